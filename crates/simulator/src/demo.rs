//! `cluster-simulator demo`: runs a mixed set of jobs on three controllers, kills one of them during the run, and
//! prints the outcome of the jobs and whether the protocol's rules held.

use std::collections::BTreeMap;
use std::path::Path;
use std::process::ExitCode;
use std::time::Duration;

use cluster_simulator::config::{Config, team};
use cluster_simulator::live::SharedRegion;
use cluster_simulator::live::controllers::Controllers;
use cluster_simulator::live::faults::{Fault, FaultInjector, Kind, Plan, PlannedFault, read_plan};
use cluster_simulator::live::users::User;
use cluster_simulator::rules::{RULES, Rules};
use cluster_simulator::sim::{JobPlan, job};
use comfy_table::Table;
use indicatif::{ProgressBar, ProgressStyle};
use jaspertiller::jobs::JobKind;
use jaspertiller::types::{JobId, Millis};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use tokio::task::JoinSet;
use tokio::time::Instant;

/// Length in milliseconds of the period over which the jobs are submitted.
const ARRIVALS_MS: u64 = 20_000;
/// Number of jobs: four of each of the six classes.
const JOBS: usize = 24;
/// Job classes, assigned round robin.
const CLASSES: [&str; 6] = ["score", "train", "serve", "forecast", "pair", "single"];
/// Time limit of the run. Without faults, the jobs finish in a third of it.
const RUN_TIMEOUT: Duration = Duration::from_secs(150);
/// Time limit for all controllers together to become ready.
const READY_TIMEOUT: Duration = Duration::from_secs(30);
/// Interval between readiness checks of a controller.
const READY_POLL_INTERVAL: Duration = Duration::from_millis(100);
/// Longest interval between two checks for due faults, and between two progress updates.
const TICK_INTERVAL: Duration = Duration::from_millis(200);
/// Delay after which users cancel their services, which would otherwise run forever.
const SERVICE_DURATION: Duration = Duration::from_secs(15);

/// A small region of two teams, one of them with a quota.
fn config() -> Config {
    Config {
        teams: vec![team("slotting", 8.0, 16.0), team("forecast", 0.0, 0.0)],
        capacity: 12,
        ..Config::default()
    }
}

/// Generates arrays, gangs and services for two teams.
fn jobs(rng: &mut SmallRng) -> Vec<JobPlan> {
    let jobs = (0..JOBS).map(|index| {
        let run_ms = rng.random_range(3_000..8_000);
        let team = ["slotting", "forecast"][index % 2];
        let mut plan = match index % CLASSES.len() {
            0 => job(index, team, "sweep", rng.random_range(4..12), 1.0, run_ms),
            1 => job(index, team, "gang", rng.random_range(1..4), 4.0, run_ms),
            2 => job(index, team, "standing", 2, 1.0, 0),
            3 => job(index, team, "sweep", rng.random_range(10..30), 1.0, run_ms),
            4 => job(index, team, "gang", 2, 2.0, run_ms),
            _ => job(index, team, "sweep", 1, 2.0, run_ms),
        };
        plan.body["lot"] = CLASSES[index % CLASSES.len()].into();
        plan.at = Some(rng.random_range(0..ARRIVALS_MS));
        plan
    });
    jobs.collect()
}

/// The faults that are used without a plan file: the first controller is killed while jobs are still being submitted.
fn default_plan() -> Plan {
    vec![PlannedFault {
        at: Millis(9_000),
        fault: Fault {
            kind: Kind::Kill,
            target: "n0".into(),
            for_s: 4.0,
        },
    }]
}

/// Runs the demo with the faults of a plan file, or with the default faults. The exit code is a failure if a rule was
/// violated, a job did not finish in time, or a controller exited unexpectedly.
///
/// # Errors
/// The plan can't be read, or the controllers can't be started.
pub(crate) async fn run(seed: u64, plan: Option<&Path>) -> anyhow::Result<ExitCode> {
    let config = config();
    let plan = match plan {
        Some(path) => read_plan(path, config.controllers)?,
        None => default_plan(),
    };
    let (mut controllers, shared) = Controllers::prepare(&config, seed, None)?;
    tokio::spawn(shared.clone().run());
    controllers.start_all()?;
    let user = User::new(shared.clone(), controllers.addresses.clone());
    wait_until_ready(&user, &mut controllers, config.controllers).await?;
    let plans = jobs(&mut SmallRng::seed_from_u64(seed));
    let mut users = spawn_users(&user, &plans);
    run_until_done(&mut users, plan, &shared, &mut controllers).await?;
    user.poll_unknown_job().await;
    let unfinished = users.len();
    users.shutdown().await;
    let exited = controllers.exited();
    drop(controllers);
    shared.lock().rules.finish();
    println!("{}", table(&shared));
    let rules_hold = print_rules(&shared);
    if unfinished > 0 {
        let timeout_s = RUN_TIMEOUT.as_secs();
        println!("{unfinished} jobs did not finish within {timeout_s} s");
    }
    for index in &exited {
        println!("controller n{index} exited unexpectedly");
    }
    let succeeded = rules_hold && unfinished == 0 && exited.is_empty();
    Ok(if succeeded {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    })
}

async fn wait_until_ready(
    user: &User,
    controllers: &mut Controllers,
    count: usize,
) -> anyhow::Result<()> {
    let began = Instant::now();
    for index in 0..count {
        while !user.is_ready(index).await {
            if began.elapsed() > READY_TIMEOUT || !controllers.exited().is_empty() {
                let log = controllers.log_tail(index);
                anyhow::bail!("controller n{index} did not become ready: {log}");
            }
            tokio::time::sleep(READY_POLL_INTERVAL).await;
        }
    }
    Ok(())
}

/// Starts one simulated user per job, which submits the job and follows it to its end.
fn spawn_users(user: &User, plans: &[JobPlan]) -> JoinSet<()> {
    let mut users = JoinSet::new();
    for plan in plans {
        let is_service = plan.body["shape"] == "standing";
        let cancel_after = is_service.then_some(SERVICE_DURATION);
        users.spawn(user.clone().follow(plan.clone(), cancel_after));
    }
    users
}

/// Injects the planned faults and shows progress until all users are done or the time limit is reached.
async fn run_until_done(
    users: &mut JoinSet<()>,
    plan: Plan,
    shared: &SharedRegion,
    controllers: &mut Controllers,
) -> anyhow::Result<()> {
    let jobs = users.len();
    let bar = ProgressBar::new(jobs as u64);
    let style = ProgressStyle::with_template("{elapsed:>4} [{bar:40}] {pos} of {len} jobs {msg}")?;
    bar.set_style(style.progress_chars("=> "));
    let mut faults = FaultInjector::new(plan);
    let began = Instant::now();
    while !users.is_empty() && began.elapsed() < RUN_TIMEOUT {
        // The result is not needed: progress follows from the number of remaining users.
        let _ = tokio::time::timeout(TICK_INTERVAL, users.join_next()).await;
        faults.advance(shared, controllers, began.elapsed())?;
        bar.set_position((jobs - users.len()) as u64);
        bar.set_message(status_line(shared));
    }
    bar.finish();
    Ok(())
}

/// Prints for each rule whether it held, and returns whether all rules held.
fn print_rules(shared: &SharedRegion) -> bool {
    let region = shared.lock();
    let violations = &region.rules.violations;
    for rule in RULES {
        let prefix = format!("{rule}:");
        let broken = violations.iter().filter(|v| v.starts_with(&prefix));
        let broken: Vec<&String> = broken.collect();
        let status = if broken.is_empty() { "kept" } else { "BROKEN" };
        println!("rule {rule:<14} {status}");
        broken
            .iter()
            .for_each(|violation| println!("    {violation}"));
    }
    violations.is_empty()
}

/// Progress message: the running tasks and machines.
fn status_line(shared: &SharedRegion) -> String {
    let region = shared.lock();
    let tasks = region.machines.tasks_started(region.now()).count();
    let machines = region.machines.by_id.values();
    let up = machines
        .filter(|machine| machine.stopped_at.is_none())
        .count();
    format!("{tasks} tasks on {up} machines")
}

/// Column heads of the table.
const TABLE_HEAD: [&str; 8] = [
    "class",
    "shape",
    "jobs",
    "tasks",
    "done",
    "cancelled",
    "wait p50",
    "wait max",
];

/// The facts about a job that the table aggregates by class.
struct JobRow<'a> {
    id: &'a JobId,
    tasks: u32,
    kind: JobKind,
}

/// Builds the table of jobs by class, with the time that jobs waited for their first task.
fn table(shared: &SharedRegion) -> Table {
    let region = shared.lock();
    let mut classes: BTreeMap<String, Vec<JobRow>> = BTreeMap::new();
    for (id, job) in &region.machines.jobs {
        let class = job.spec.class.clone();
        let (tasks, kind) = (job.spec.tasks, job.spec.kind);
        classes
            .entry(class)
            .or_default()
            .push(JobRow { id, tasks, kind });
    }
    let mut table = Table::new();
    table.load_preset(comfy_table::presets::UTF8_BORDERS_ONLY);
    table.set_header(TABLE_HEAD);
    for (class, jobs) in classes {
        table.add_row(cells(class, &jobs, &region.rules));
    }
    table
}

fn cells(class: String, jobs: &[JobRow], rules: &Rules) -> [String; 8] {
    let wait_s = |job: &JobRow| {
        let submitted = rules.submitted.get(job.id)?;
        let started = rules.first_start.get(job.id)?;
        Some(started.since(*submitted).secs())
    };
    let mut waits: Vec<f64> = jobs.iter().filter_map(wait_s).collect();
    waits.sort_by(f64::total_cmp);
    let seconds = |wait: Option<&f64>| wait.map_or("-".into(), |s| format!("{s:.1} s"));
    let kind = match jobs.first().map(|job| job.kind) {
        Some(JobKind::Gang) => "gang",
        Some(JobKind::Service) => "service",
        _ => "array",
    };
    let done = jobs.iter().filter(|job| rules.done.contains(job.id));
    let cancelled = jobs.iter().filter(|job| rules.aborted.contains_key(job.id));
    [
        class,
        kind.into(),
        jobs.len().to_string(),
        jobs.iter().map(|job| job.tasks).sum::<u32>().to_string(),
        done.count().to_string(),
        cancelled.count().to_string(),
        seconds(waits.get(waits.len() / 2)),
        seconds(waits.last()),
    ]
}
