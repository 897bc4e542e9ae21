//! What controllers cost by size: one mixed load, played in virtual time at several sizes. Counts are exact
//! and repeat; times are this machine's. Simulated.

use std::time::Duration;

use jaspertiller::types::{Millis, Resources, TaskId, Zone};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use serde_json::json;

use crate::config::{Config, StateLimits, team};
use crate::meter::{Meter, NodeMeter};
use crate::sim::{JobPlan, World, job};

/// Images that jobs share.
const IMAGES: usize = 40;

/// A size to play.
#[derive(Clone, Copy, Debug)]
pub struct Size {
    pub machines: u32,
    pub controllers: usize,
    pub zones: usize,
    pub teams: usize,
    pub seconds: u64,
}

/// The load of one machine: jobs at the start and a minute, by class.
struct Class {
    name: &'static str,
    kind: &'static str,
    priority: &'static str,
    tasks: std::ops::RangeInclusive<u32>,
    gpus: f64,
    run_ms: std::ops::RangeInclusive<u64>,
    at_start: f64,
    a_minute: f64,
}

const CLASSES: [Class; 3] = [
    Class {
        name: "serve",
        kind: "standing",
        priority: "critical",
        tasks: 2..=4,
        gpus: 1.0,
        run_ms: 0..=0,
        at_start: 0.35,
        a_minute: 0.04,
    },
    Class {
        name: "batch",
        kind: "sweep",
        priority: "normal",
        tasks: 5..=60,
        gpus: 1.0,
        run_ms: 30_000..=80_000,
        at_start: 0.08,
        a_minute: 0.05,
    },
    Class {
        name: "train",
        kind: "gang",
        priority: "urgent",
        tasks: 1..=4,
        gpus: 8.0,
        run_ms: 60_000..=150_000,
        at_start: 0.12,
        a_minute: 0.05,
    },
];

/// What one controller did at one size.
#[derive(Clone, Debug)]
pub struct Role {
    pub leads: bool,
    /// Machines of its shards at the end.
    pub machines: usize,
    pub meter: NodeMeter,
    /// What it looked at: name and count.
    pub work: Vec<(&'static str, u64)>,
    /// Part of a core that it would take, on this machine.
    pub core: f64,
}

/// One size as it was played.
#[derive(Clone, Debug)]
pub struct Played {
    pub size: Size,
    pub starts: u64,
    pub written: u64,
    pub machines: usize,
    pub tasks: usize,
    pub roles: Vec<Role>,
    pub broken: Vec<String>,
}

fn config(size: Size) -> Config {
    let scale = f64::from(size.machines) / 1_337.0;
    let mut config = Config {
        controllers: size.controllers,
        zones: (0..size.zones)
            .map(|i| Zone::from(format!("z{i}")))
            .collect(),
        teams: teams(size),
        capacity: size.machines,
        list_lag: Millis(5_000),
        state: StateLimits {
            rps: 200.0 * scale.max(1.0),
            write_rps: 70.0 * scale.max(1.0),
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
        gpus: 8.0,
        memory_gb: 768.0,
    };
    config.machine_type.boot = Millis(10_000);
    config
}

fn team_name(index: usize) -> String {
    format!("team-{index:03}")
}

/// Every other team has a limit, well above what it uses.
fn teams(size: Size) -> Vec<jaspertiller::settings::TeamSettings> {
    let gpus = f64::from(size.machines) * 8.0;
    let limit = |index: usize| if index % 2 == 1 { gpus } else { 0.0 };
    let all = 0..size.teams.max(1);
    all.map(|index| team(&team_name(index), 0.0, limit(index)))
        .collect()
}

fn jobs(size: Size, rng: &mut SmallRng) -> Vec<JobPlan> {
    let mut plans = Vec::new();
    for class in &CLASSES {
        let at_start = (class.at_start * f64::from(size.machines)).round() as u64;
        let later = class.a_minute * f64::from(size.machines) * size.seconds as f64 / 60.0;
        for number in 0..at_start + later.round() as u64 {
            let at = if number < at_start {
                rng.random_range(2_000..6_000)
            } else {
                rng.random_range(6_000..size.seconds * 1_000)
            };
            plans.push(plan(class, size, plans.len(), at, rng));
        }
    }
    plans
}

fn plan(class: &Class, size: Size, id: usize, at: u64, rng: &mut SmallRng) -> JobPlan {
    let tasks = rng.random_range(class.tasks.clone());
    let run_ms = rng.random_range(class.run_ms.clone());
    let team = team_name(rng.random_range(0..size.teams.max(1)));
    let mut plan = job(id, &team, class.kind, tasks, class.gpus, run_ms);
    plan.body["lot"] = class.name.into();
    plan.body["rank"] = class.priority.into();
    plan.body["vcpus"] = json!(class.gpus * 10.0);
    plan.body["memoryGb"] = json!(class.gpus * 72.0);
    plan.body["kit"] = format!("img-{}", rng.random_range(0..IMAGES)).into();
    plan.body["sizeGb"] = json!(4.0);
    plan.body["loaners"] = json!(false);
    plan.at = Some(at);
    plan
}

/// Plays one size and returns what each controller did, from an empty fleet on.
pub fn play(size: Size, seed: u64) -> Played {
    let mut rng = SmallRng::seed_from_u64(seed);
    let jobs = jobs(size, &mut rng);
    let mut world = World::new(config(size), seed, jobs);
    // What could run is of no interest here, and is looked for at great cost.
    world.rules.calm = Millis(u64::MAX);
    world.meter = Some(Meter::new(size.controllers));
    world.run_until(size.seconds * 1_000);
    let meter = world.meter.take().unwrap_or_default();
    let roles = world.controllers.iter().zip(meter.nodes);
    let roles = roles.filter_map(|(node, meter)| {
        let node = node.as_ref()?;
        Some(Role {
            leads: node.is_leading(),
            machines: node.machines_held(),
            work: node.work().rows().to_vec(),
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
        broken: world.rules.violations.iter().cloned().collect(),
    }
}
