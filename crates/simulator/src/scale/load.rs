//! The jobs of a scale run, by counts and a seed: a standing load of services, arrays and gangs, one burst
//! of short tasks, and urgent single tasks throughout.

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use serde_json::json;

use super::ScaleSettings;
use super::settings::team_name;
use crate::sim::{JobPlan, job};

pub(super) const CLASSES: [&str; 5] = ["serve", "batch", "train", "burst", "urgent"];
/// Processors of a replica, and of another task of the standing load.
const REPLICA_CPUS: f64 = 5.0;
const TASK_CPUS: f64 = 4.0;
const BURST_CPUS: f64 = 0.25;
/// Processors of a task of the standing load in the mean.
pub(super) const MEAN_CPUS: f64 = SERVICES * REPLICA_CPUS + (1.0 - SERVICES) * TASK_CPUS;
/// Parts of the running tasks that are services, and arrays; the rest are gangs.
const SERVICES: f64 = 0.6;
const ARRAYS: f64 = 0.3;
const REPLICAS: u32 = 3;
const ARRAY_TASKS: u32 = 20;
const GANG_TASKS: [u32; 6] = [1, 2, 4, 8, 16, 32];
/// What tasks of arrays and gangs run.
const ARRAY_MS: std::ops::Range<u64> = 30_000..90_000;
const GANG_MS: std::ops::Range<u64> = 60_000..120_000;
/// The first jobs come within this long.
const RAMP_MS: u64 = 15_000;
const BURST_TASKS: u32 = 40;
const BURST_RUN_MS: u64 = 5_000;
const URGENT_EVERY_MS: u64 = 250;
const IMAGES: u64 = 60;

/// Parts of the run's time at which things happen.
pub(super) const BURST_AT: f64 = 0.45;
pub(super) const LARGE_GANG_AT: f64 = 0.36;

struct Load<'a> {
    settings: &'a ScaleSettings,
    rng: SmallRng,
    plans: Vec<JobPlan>,
}

impl Load<'_> {
    fn add(&mut self, class: &str, kind: &str, tasks: u32, run_ms: u64, at: u64) {
        let index = self.plans.len();
        let team = team_name(self.rng.random_range(0..self.settings.teams));
        let gpus = match class {
            "burst" | "urgent" => 0.0,
            _ => self.settings.gpus_a_machine() / 5.0,
        };
        let mut plan = job(index, &team, kind, tasks, gpus, run_ms);
        let (priority, cpus) = match class {
            "serve" => ("critical", REPLICA_CPUS),
            "train" => ("urgent", TASK_CPUS),
            "urgent" => ("urgent", 1.0),
            "burst" => ("normal", BURST_CPUS),
            _ => ("normal", TASK_CPUS),
        };
        plan.body["lot"] = class.into();
        plan.body["rank"] = priority.into();
        plan.body["vcpus"] = json!(cpus);
        plan.body["memoryGb"] = json!(cpus * 2.0);
        plan.body["kit"] = format!("img-{}", self.rng.random_range(0..IMAGES)).into();
        plan.body["loaners"] = json!(false);
        plan.body["sizeGb"] = json!(0.3);
        plan.at = Some(at);
        self.plans.push(plan);
    }

    fn standing(&mut self) {
        let (tasks, end) = (self.settings.tasks as f64, self.settings.seconds * 1_000);
        for _ in 0..(tasks * SERVICES / f64::from(REPLICAS)) as u64 {
            let at = self.rng.random_range(0..RAMP_MS);
            self.add("serve", "standing", REPLICAS, 0, at);
        }
        // As many arrays and gangs as keep their part of the tasks running.
        let mean = |range: &std::ops::Range<u64>| (range.start + range.end) as f64 / 2.0;
        let arrays = tasks * ARRAYS / f64::from(ARRAY_TASKS);
        let again = arrays * end as f64 / mean(&ARRAY_MS);
        for number in 0..again as u64 {
            let at = self.arrival(number as f64 / arrays, end);
            let run = self.rng.random_range(ARRAY_MS);
            self.add("batch", "sweep", ARRAY_TASKS, run, at);
        }
        let each = GANG_TASKS.iter().sum::<u32>() as f64 / GANG_TASKS.len() as f64;
        let gangs = tasks * (1.0 - SERVICES - ARRAYS) / each;
        let again = gangs * end as f64 / mean(&GANG_MS);
        for number in 0..again as u64 {
            let at = self.arrival(number as f64 / gangs, end);
            let run = self.rng.random_range(GANG_MS);
            let size = self.rng.random_range(0..GANG_TASKS.len());
            let most = self.settings.gang as u32;
            self.add("train", "gang", GANG_TASKS[size].min(most), run, at);
        }
    }

    /// The first fill of a class comes while the fleet is built, the rest spread over the run.
    fn arrival(&mut self, fills: f64, end: u64) -> u64 {
        if fills < 1.0 {
            self.rng.random_range(0..RAMP_MS)
        } else {
            self.rng.random_range(RAMP_MS..end)
        }
    }

    fn burst(&mut self) {
        let settings = self.settings;
        let at = (settings.seconds as f64 * BURST_AT * 1e3) as u64;
        let tasks = settings.burst_starts * settings.burst_s;
        for _ in 0..tasks.div_ceil(u64::from(BURST_TASKS)) {
            let later = self.rng.random_range(0..settings.burst_s * 1_000);
            self.add("burst", "sweep", BURST_TASKS, BURST_RUN_MS, at + later);
        }
    }

    fn urgent(&mut self) {
        let end = self.settings.seconds * 1_000;
        for at in (RAMP_MS * 2..end).step_by(URGENT_EVERY_MS as usize) {
            self.add("urgent", "sweep", 1, 3_000, at);
        }
        let at = (self.settings.seconds as f64 * LARGE_GANG_AT * 1e3) as u64;
        self.add("train", "gang", self.settings.gang as u32, 20_000, at);
    }
}

/// All jobs of a run, each with the time at which it is meant to be sent.
pub(super) fn jobs(settings: &ScaleSettings) -> Vec<JobPlan> {
    let mut load = Load {
        settings,
        rng: SmallRng::seed_from_u64(settings.seed),
        plans: Vec::new(),
    };
    load.standing();
    load.burst();
    load.urgent();
    load.plans
}
