//! Cost of controllers by region size: one mixed load, simulated in virtual time at several sizes.
//!
//! Counts and sizes are exact and the same for the same seed; processing times depend on the machine that runs the
//! simulation.

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
/// Number of machines up to which the store's limits have their base values; beyond it, they grow in proportion.
const BASE_MACHINES: f64 = 1_337.0;
/// Store requests a second that are allowed at the base size.
const BASE_STORE_REQUESTS: f64 = 200.0;
/// Store changes a second that are allowed at the base size.
const BASE_STORE_CHANGES: f64 = 70.0;
/// Period, in milliseconds, over which the initial jobs are submitted. It begins when the controllers have started.
const INITIAL_ARRIVALS_MS: Range<u64> = 2_000..6_000;
/// CPUs that a task requests for each of its GPUs.
const CPUS_PER_GPU: f64 = 10.0;
/// Gigabytes of memory that a task requests for each of its GPUs.
const MEMORY_GB_PER_GPU: f64 = 72.0;
/// Size of a job's image in GB.
const IMAGE_GB: f64 = 4.0;
/// Number of distinct images among all jobs.
const IMAGES: usize = 40;

/// A region size to simulate.
#[derive(Clone, Copy, Debug)]
pub struct Size {
    /// Machines that the cloud can rent out.
    pub machines: u32,
    /// Number of controllers.
    pub controllers: usize,
    /// Number of zones.
    pub zones: usize,
    /// Number of teams that submit jobs; 0 counts as 1.
    pub teams: usize,
    /// Length of the simulation in virtual seconds, starting from an empty fleet.
    pub seconds: u64,
}

/// A job class of the load.
struct Class {
    name: &'static str,
    /// Job kind, as its name in the protocol.
    kind: &'static str,
    priority: &'static str,
    tasks: RangeInclusive<u32>,
    /// GPUs of a task.
    gpus: f64,
    /// Milliseconds that tasks run; none for services.
    run_ms: RangeInclusive<u64>,
    /// Initial jobs per machine.
    initial_jobs: f64,
    /// Later jobs per machine and minute.
    jobs_per_minute: f64,
}

/// The load: services that never end, arrays of short tasks, and gangs whose tasks take whole machines.
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

/// Measurements of one controller at one size.
#[derive(Clone, Debug)]
pub struct ControllerResult {
    /// Whether it is the leader at the end.
    pub leads: bool,
    /// Machines in the controller's shards at the end.
    pub machines: usize,
    /// Message and event counters.
    pub meter: NodeMeter,
    /// Counts of starts and of attempts that must not be forgotten: name and count.
    pub starts: Vec<(&'static str, u64)>,
    /// Work counters of the controller: name and count.
    pub work: Vec<(&'static str, u64)>,
    /// Cores of the simulating machine that the controller would use in real time, on average.
    pub cores: f64,
}

/// Measurements of one size.
#[derive(Clone, Debug)]
pub struct SizeResult {
    /// The simulated size.
    pub size: Size,
    /// Task starts.
    pub task_starts: u64,
    /// Changes that the store committed.
    pub committed_changes: u64,
    /// Machines that are up at the end.
    pub machines: usize,
    /// Tasks that are allocated to machines at the end.
    pub tasks: usize,
    /// Measurements of each controller that is up at the end.
    pub controllers: Vec<ControllerResult>,
    /// Violations of the protocol's rules, each with the rule's name.
    pub violations: Vec<String>,
}

/// Builds the configuration of a size.
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

/// Builds the teams. Every other team has a limit, well above its use.
fn teams(size: Size) -> Vec<TeamSettings> {
    let all_gpus = f64::from(size.machines) * MACHINE_GPUS;
    let limit = |index: usize| if index % 2 == 1 { all_gpus } else { 0.0 };
    let indices = 0..size.teams.max(1);
    indices
        .map(|index| team(&team_name(index), 0.0, limit(index)))
        .collect()
}

/// Generates all jobs of a size.
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

/// Generates one job of a random team with a random image, submitted at `at_ms`.
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

/// Simulates one size, starting from an empty fleet.
#[must_use]
pub fn simulate(size: Size, seed: u64) -> SizeResult {
    let mut rng = SmallRng::seed_from_u64(seed);
    let jobs = jobs(size, &mut rng);
    let mut world = World::new(config(size), seed, jobs);
    // Disables the check that tasks which fit are started: it takes more time than the whole rest of the simulation.
    world.rules.calm = Millis(u64::MAX);
    world.meter = Some(Meter::new(size.controllers));
    world.run_until(size.seconds * 1_000);
    let meter = world.meter.take().unwrap_or_default();
    let controllers = world.controllers.iter().zip(meter.nodes);
    let results = controllers.filter_map(|(controller, meter)| {
        let controller = controller.as_ref()?;
        Some(ControllerResult {
            leads: controller.is_leading(),
            machines: controller.machines_held(),
            work: controller.work_counters().rows().to_vec(),
            starts: controller.direct_start_rows().to_vec(),
            cores: meter.busy().as_secs_f64() / Duration::from_secs(size.seconds).as_secs_f64(),
            meter,
        })
    });
    let results = results.collect();
    let now = Millis(world.now);
    let tasks: Vec<&TaskId> = world.machines.tasks_allocated(now).collect();
    SizeResult {
        size,
        task_starts: world.rules.starts,
        committed_changes: world.store.written,
        machines: world.machines.healthy(now).count(),
        tasks: tasks.len(),
        controllers: results,
        violations: world.rules.violations.iter().cloned().collect(),
    }
}
