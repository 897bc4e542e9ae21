//! Generates the jobs of a scale run from its settings and seed: a base load of services, arrays and gangs, one
//! burst of short tasks, and urgent single-task jobs throughout.

use std::ops::Range;

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use serde_json::json;

use super::ScaleSettings;
use super::settings::team_name;
use crate::sim::{JobPlan, job};

/// The classes of the jobs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Class {
    /// Long-running services of the base load.
    Serve,
    /// Arrays of the base load.
    Batch,
    /// Gangs, including the largest one.
    Train,
    /// Arrays of short tasks of the burst.
    Burst,
    /// Urgent jobs of one short task.
    Urgent,
}

/// All classes, in the order in which the deployment settings list them.
pub(super) const CLASSES: [Class; 5] = [
    Class::Serve,
    Class::Batch,
    Class::Train,
    Class::Burst,
    Class::Urgent,
];

impl Class {
    /// The name of the class in the deployment settings.
    pub(super) fn name(self) -> &'static str {
        match self {
            Self::Serve => "serve",
            Self::Batch => "batch",
            Self::Train => "train",
            Self::Burst => "burst",
            Self::Urgent => "urgent",
        }
    }

    /// The wire name of the priority class of its jobs.
    fn priority(self) -> &'static str {
        match self {
            Self::Serve => "critical",
            Self::Train | Self::Urgent => "urgent",
            Self::Burst | Self::Batch => "normal",
        }
    }

    /// CPUs of a task.
    fn cpus(self) -> f64 {
        match self {
            Self::Serve => REPLICA_CPUS,
            Self::Train | Self::Batch => TASK_CPUS,
            Self::Urgent => URGENT_CPUS,
            Self::Burst => BURST_CPUS,
        }
    }

    /// Whether its tasks use GPUs.
    fn uses_gpus(self) -> bool {
        !matches!(self, Self::Burst | Self::Urgent)
    }
}

/// CPUs of a replica of a service.
const REPLICA_CPUS: f64 = 5.0;
/// CPUs of a task of an array or gang of the base load.
const TASK_CPUS: f64 = 4.0;
/// CPUs of a task of the burst: small enough to run beside a full base load.
const BURST_CPUS: f64 = 0.25;
/// CPUs of an urgent task.
const URGENT_CPUS: f64 = 1.0;
/// Mean number of CPUs of a task of the base load.
pub(super) const MEAN_CPUS: f64 = SERVICE_SHARE * REPLICA_CPUS + (1.0 - SERVICE_SHARE) * TASK_CPUS;
/// Memory of a task in GB per CPU.
const MEMORY_GB_PER_CPU: f64 = 2.0;
/// Tasks that fit the GPUs of a machine: a task that uses GPUs requests a machine's GPUs divided by this.
const GPU_TASKS_PER_MACHINE: f64 = 5.0;
/// Size of a job's image in GB.
const IMAGE_GB: f64 = 0.3;
/// Number of distinct images, which jobs share.
const IMAGES: u64 = 60;

/// Fraction of the running tasks of the base load that are replicas of services.
const SERVICE_SHARE: f64 = 0.6;
/// Fraction of the running tasks of the base load that belong to arrays; the remaining ones belong to gangs.
const ARRAY_SHARE: f64 = 0.3;
/// Replicas of a service.
const REPLICAS: u32 = 3;
/// Tasks of an array of the base load.
const ARRAY_TASKS: u32 = 20;
/// Possible numbers of tasks of a gang, chosen with equal probability.
const GANG_TASKS: [u32; 6] = [1, 2, 4, 8, 16, 32];
/// Range of the run time of an array's tasks in milliseconds.
const ARRAY_RUN_MS: Range<u64> = 30_000..90_000;
/// Range of the run time of a gang's tasks in milliseconds.
const GANG_RUN_MS: Range<u64> = 60_000..120_000;
/// Time in milliseconds within which the initial jobs of the base load arrive.
const RAMP_MS: u64 = 15_000;

/// Tasks of an array of the burst.
const BURST_TASKS: u32 = 40;
/// Run time of the burst's tasks in milliseconds.
const BURST_RUN_MS: u64 = 5_000;
/// Time between two urgent jobs in milliseconds.
const URGENT_INTERVAL_MS: u64 = 250;
/// Run time of urgent tasks in milliseconds.
const URGENT_RUN_MS: u64 = 3_000;
/// Run time of the tasks of the largest gang in milliseconds.
const LARGEST_GANG_RUN_MS: u64 = 20_000;

/// Fraction of the run's length at which the burst begins.
const BURST_AT: f64 = 0.45;
/// Fraction of the run's length at which the largest gang is submitted: before the burst.
const LARGEST_GANG_AT: f64 = 0.36;

/// Collects the planned jobs.
struct LoadGenerator<'a> {
    settings: &'a ScaleSettings,
    rng: SmallRng,
    plans: Vec<JobPlan>,
}

impl LoadGenerator<'_> {
    /// Adds a job of a random team with a random image. `kind` is the wire name of the job's kind, `at_ms` the
    /// time of its submission.
    fn add(&mut self, class: Class, kind: &str, tasks: u32, run_ms: u64, at_ms: u64) {
        let index = self.plans.len();
        let team = team_name(self.rng.random_range(0..self.settings.teams));
        let gpus = if class.uses_gpus() {
            self.settings.gpus_per_machine() / GPU_TASKS_PER_MACHINE
        } else {
            0.0
        };
        let mut plan = job(index, &team, kind, tasks, gpus, run_ms);
        let cpus = class.cpus();
        plan.body["lot"] = class.name().into();
        plan.body["rank"] = class.priority().into();
        plan.body["vcpus"] = json!(cpus);
        plan.body["memoryGb"] = json!(cpus * MEMORY_GB_PER_CPU);
        plan.body["kit"] = format!("img-{}", self.rng.random_range(0..IMAGES)).into();
        plan.body["loaners"] = json!(false);
        plan.body["sizeGb"] = json!(IMAGE_GB);
        plan.at = Some(at_ms);
        self.plans.push(plan);
    }

    fn run_ms(&self) -> u64 {
        self.settings.seconds * 1_000
    }

    /// Adds services, which run until the end of the run.
    fn add_services(&mut self) {
        let tasks = self.settings.tasks as f64;
        for _ in 0..(tasks * SERVICE_SHARE / f64::from(REPLICAS)) as u64 {
            let at_ms = self.rng.random_range(0..RAMP_MS);
            self.add(Class::Serve, "standing", REPLICAS, 0, at_ms);
        }
    }

    /// Adds as many arrays as keep [`ARRAY_SHARE`] of the tasks running throughout.
    fn add_arrays(&mut self) {
        let (tasks, end_ms) = (self.settings.tasks as f64, self.run_ms());
        let running = tasks * ARRAY_SHARE / f64::from(ARRAY_TASKS);
        let jobs = running * end_ms as f64 / mean(&ARRAY_RUN_MS);
        for number in 0..jobs as u64 {
            let at_ms = self.arrival_ms(number as f64 / running, end_ms);
            let run_ms = self.rng.random_range(ARRAY_RUN_MS);
            self.add(Class::Batch, "sweep", ARRAY_TASKS, run_ms, at_ms);
        }
    }

    /// Adds as many gangs as keep the remaining share of the tasks running throughout.
    fn add_gangs(&mut self) {
        let (tasks, end_ms) = (self.settings.tasks as f64, self.run_ms());
        let mean_tasks = GANG_TASKS.iter().sum::<u32>() as f64 / GANG_TASKS.len() as f64;
        let running = tasks * (1.0 - SERVICE_SHARE - ARRAY_SHARE) / mean_tasks;
        let jobs = running * end_ms as f64 / mean(&GANG_RUN_MS);
        for number in 0..jobs as u64 {
            let at_ms = self.arrival_ms(number as f64 / running, end_ms);
            let run_ms = self.rng.random_range(GANG_RUN_MS);
            let size = self.rng.random_range(0..GANG_TASKS.len());
            let max_tasks = self.settings.gang as u32;
            let gang_tasks = GANG_TASKS[size].min(max_tasks);
            self.add(Class::Train, "gang", gang_tasks, run_ms, at_ms);
        }
    }

    /// Submission time of a job of the base load: the jobs that first fill the share of its class arrive while the
    /// fleet scales up, later jobs at any time after that. `fills` is how many times the preceding jobs fill the
    /// share.
    fn arrival_ms(&mut self, fills: f64, end_ms: u64) -> u64 {
        if fills < 1.0 {
            self.rng.random_range(0..RAMP_MS)
        } else {
            self.rng.random_range(RAMP_MS..end_ms)
        }
    }

    fn add_burst(&mut self) {
        let settings = self.settings;
        let begin_ms = (settings.seconds as f64 * BURST_AT * 1e3) as u64;
        let tasks = settings.burst_starts * settings.burst_s;
        for _ in 0..tasks.div_ceil(u64::from(BURST_TASKS)) {
            let offset_ms = self.rng.random_range(0..settings.burst_s * 1_000);
            let at_ms = begin_ms + offset_ms;
            self.add(Class::Burst, "sweep", BURST_TASKS, BURST_RUN_MS, at_ms);
        }
    }

    /// Adds urgent jobs at regular intervals, once the fleet has scaled up.
    fn add_urgent_tasks(&mut self) {
        for at_ms in (RAMP_MS * 2..self.run_ms()).step_by(URGENT_INTERVAL_MS as usize) {
            self.add(Class::Urgent, "sweep", 1, URGENT_RUN_MS, at_ms);
        }
    }

    fn add_largest_gang(&mut self) {
        let at_ms = (self.settings.seconds as f64 * LARGEST_GANG_AT * 1e3) as u64;
        let tasks = self.settings.gang as u32;
        self.add(Class::Train, "gang", tasks, LARGEST_GANG_RUN_MS, at_ms);
    }
}

fn mean(range: &Range<u64>) -> f64 {
    (range.start + range.end) as f64 / 2.0
}

/// All jobs of a run, each with its planned submission time. The same settings give the same jobs.
pub(super) fn jobs(settings: &ScaleSettings) -> Vec<JobPlan> {
    let mut load = LoadGenerator {
        settings,
        rng: SmallRng::seed_from_u64(settings.seed),
        plans: Vec::new(),
    };
    load.add_services();
    load.add_arrays();
    load.add_gangs();
    load.add_burst();
    load.add_urgent_tasks();
    load.add_largest_gang();
    load.plans
}
