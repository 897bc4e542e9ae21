//! What controllers cost by the size of the region: one mixed load, played in virtual time at several sizes.
//!
//! All is simulated. Counts and sizes are exact and repeat with the seed; times are those of this machine.

use std::ops::{Range, RangeInclusive};
use std::time::Duration;

use jaspertiller::settings::TeamSettings;
use jaspertiller::types::{Millis, Resources, TaskId, Zone};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use serde_json::json;

use crate::config::{Config, StateLimits, team};
use crate::meter::{Meter, NodeMeter};
use crate::sim::{JobPlan, World, job};

/// GPUs of a machine.
const MACHINE_GPUS: f64 = 8.0;
/// Machines for which the store's limits stay at their base; they grow in proportion beyond.
const BASE_MACHINES: f64 = 1_337.0;
/// Requests a second that the store grants at the base size.
const BASE_STORE_REQUESTS: f64 = 200.0;
/// Changes a second that the store grants at the base size.
const BASE_STORE_CHANGES: f64 = 70.0;
/// Milliseconds at which the first jobs arrive: when the controllers have started.
const INITIAL_ARRIVALS_MS: Range<u64> = 2_000..6_000;
/// Processors that a task asks for with each GPU.
const CPUS_PER_GPU: f64 = 10.0;
/// Gigabytes of memory that a task asks for with each GPU.
const MEMORY_GB_PER_GPU: f64 = 72.0;
/// Size of a job's image in GB.
const IMAGE_GB: f64 = 4.0;
/// Images that jobs share.
const IMAGES: usize = 40;

/// A size to play.
#[derive(Clone, Copy, Debug)]
pub struct Size {
    /// Machines that the cloud can rent out.
    pub machines: u32,
    /// Controllers.
    pub controllers: usize,
    /// Zones.
    pub zones: usize,
    /// Teams that submit jobs.
    pub teams: usize,
    /// Virtual seconds from an empty fleet on.
    pub seconds: u64,
}

/// A class of jobs.
struct Class {
    name: &'static str,
    /// The protocol's word for the kind of its jobs.
    kind: &'static str,
    priority: &'static str,
    tasks: RangeInclusive<u32>,
    /// GPUs of a task.
    gpus: f64,
    /// Milliseconds that tasks run; none for services.
    run_ms: RangeInclusive<u64>,
    /// Jobs for each machine that arrive at the beginning.
    initial_jobs: f64,
    /// Jobs for each machine that arrive in a minute.
    jobs_per_minute: f64,
}

/// The load: services that stay, arrays that come and go, and gangs that take whole machines.
const CLASSES: [Class; 3] = [
    Class {
        name: "serve",
        kind: "standing",
        priority: "critical",
        tasks: 2..=4,
        gpus: 1.0,
        run_ms: 0..=0,
        initial_jobs: 0.35,
        jobs_per_minute: 0.04,
    },
    Class {
        name: "batch",
        kind: "sweep",
        priority: "normal",
        tasks: 5..=60,
        gpus: 1.0,
        run_ms: 30_000..=80_000,
        initial_jobs: 0.08,
        jobs_per_minute: 0.05,
    },
    Class {
        name: "train",
        kind: "gang",
        priority: "urgent",
        tasks: 1..=4,
        gpus: 8.0,
        run_ms: 60_000..=150_000,
        initial_jobs: 0.12,
        jobs_per_minute: 0.05,
    },
];

/// What one controller did at one size.
#[derive(Clone, Debug)]
pub struct Role {
    /// Whether it is the leader at the end.
    pub leads: bool,
    /// Machines of its shards at the end.
    pub machines: usize,
    /// What it exchanged and handled.
    pub meter: NodeMeter,
    /// Its work counters: name and count.
    pub work: Vec<(&'static str, u64)>,
    /// Cores that it would use in real time, on this machine.
    pub core: f64,
}

/// The result of one size.
#[derive(Clone, Debug)]
pub struct Played {
    /// What was played.
    pub size: Size,
    /// Tasks that started.
    pub starts: u64,
    /// Changes that the store committed.
    pub written: u64,
    /// Machines that are up at the end.
    pub machines: usize,
    /// Tasks that machines hold at the end.
    pub tasks: usize,
    /// What each controller that is up at the end did.
    pub roles: Vec<Role>,
    /// The protocol's rules that were broken, and how.
    pub violations: Vec<String>,
}

/// The region of a size.
fn config(size: Size) -> Config {
    let scale = (f64::from(size.machines) / BASE_MACHINES).max(1.0);
    let mut config = Config {
        controllers: size.controllers,
        zones: (0..size.zones)
            .map(|zone| Zone::from(format!("z{zone}")))
            .collect(),
        teams: teams(size),
        capacity: size.machines,
        list_lag: Millis(5_000),
        state: StateLimits {
            rps: BASE_STORE_REQUESTS * scale,
            write_rps: BASE_STORE_CHANGES * scale,
            value_kb: 8.0,
            txn_ops: 12,
        },
        ..Config::default()
    };
    config.timing.heartbeat = Millis(5_000);
    config.timing.lease = Millis(26_500);
    config.timing.cancel = Millis(46_500);
    config.machine_type.resources = Resources {
        cpus: 96.0,
        gpus: MACHINE_GPUS,
        memory_gb: 768.0,
    };
    config.machine_type.boot = Millis(10_000);
    config
}

fn team_name(index: usize) -> String {
    format!("team-{index:03}")
}

/// Every other team has a limit, well above what it uses.
fn teams(size: Size) -> Vec<TeamSettings> {
    let all_gpus = f64::from(size.machines) * MACHINE_GPUS;
    let limit = |index: usize| if index % 2 == 1 { all_gpus } else { 0.0 };
    let indices = 0..size.teams.max(1);
    indices
        .map(|index| team(&team_name(index), 0.0, limit(index)))
        .collect()
}

/// All jobs of a size.
fn jobs(size: Size, rng: &mut SmallRng) -> Vec<JobPlan> {
    let machines = f64::from(size.machines);
    let end_ms = size.seconds * 1_000;
    let mut plans = Vec::new();
    for class in &CLASSES {
        let initial = (class.initial_jobs * machines).round() as u64;
        let later = class.jobs_per_minute * machines * size.seconds as f64 / 60.0;
        for number in 0..initial + later.round() as u64 {
            let at_ms = if number < initial {
                rng.random_range(INITIAL_ARRIVALS_MS)
            } else {
                rng.random_range(INITIAL_ARRIVALS_MS.end..end_ms)
            };
            plans.push(plan(class, size, plans.len(), at_ms, rng));
        }
    }
    plans
}

/// One job of a random team with a random image, sent at `at_ms`.
fn plan(class: &Class, size: Size, index: usize, at_ms: u64, rng: &mut SmallRng) -> JobPlan {
    let tasks = rng.random_range(class.tasks.clone());
    let run_ms = rng.random_range(class.run_ms.clone());
    let team = team_name(rng.random_range(0..size.teams.max(1)));
    let mut plan = job(index, &team, class.kind, tasks, class.gpus, run_ms);
    plan.body["lot"] = class.name.into();
    plan.body["rank"] = class.priority.into();
    plan.body["vcpus"] = json!(class.gpus * CPUS_PER_GPU);
    plan.body["memoryGb"] = json!(class.gpus * MEMORY_GB_PER_GPU);
    plan.body["kit"] = format!("img-{}", rng.random_range(0..IMAGES)).into();
    plan.body["sizeGb"] = json!(IMAGE_GB);
    plan.body["loaners"] = json!(false);
    plan.at = Some(at_ms);
    plan
}

/// Plays one size from an empty fleet on, and returns what each controller did.
#[must_use]
pub fn play(size: Size, seed: u64) -> Played {
    let mut rng = SmallRng::seed_from_u64(seed);
    let jobs = jobs(size, &mut rng);
    let mut world = World::new(config(size), seed, jobs);
    // The rule that tasks which fit get started is not checked: it costs more than all the rest.
    world.rules.calm = Millis(u64::MAX);
    world.meter = Some(Meter::new(size.controllers));
    world.run_until(size.seconds * 1_000);
    let meter = world.meter.take().unwrap_or_default();
    let controllers = world.controllers.iter().zip(meter.nodes);
    let roles = controllers.filter_map(|(controller, meter)| {
        let controller = controller.as_ref()?;
        Some(Role {
            leads: controller.is_leading(),
            machines: controller.machines_held(),
            work: controller.work_counters().rows().to_vec(),
            core: meter.busy().as_secs_f64() / Duration::from_secs(size.seconds).as_secs_f64(),
            meter,
        })
    });
    let roles = roles.collect();
    let now = Millis(world.now);
    let tasks: Vec<&TaskId> = world.machines.tasks_allocated(now).collect();
    Played {
        size,
        starts: world.rules.starts,
        written: world.store.written,
        machines: world.machines.healthy(now).count(),
        tasks: tasks.len(),
        roles,
        violations: world.rules.violations.iter().cloned().collect(),
    }
}
