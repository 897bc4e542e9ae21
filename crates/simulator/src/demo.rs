//! `cluster-simulator demo`: a mixed set of jobs on three controllers, of which one is killed.

use std::collections::BTreeMap;
use std::path::Path;
use std::process::ExitCode;
use std::time::Duration;

use cluster_simulator::config::{Config, team};
use cluster_simulator::live::Shared;
use cluster_simulator::live::controllers::Controllers;
use cluster_simulator::live::faults::{Fault, Kind, Plan, read_plan};
use cluster_simulator::live::users::User;
use cluster_simulator::rules::RULES;
use cluster_simulator::sim::{JobPlan, job};
use comfy_table::Table;
use indicatif::{ProgressBar, ProgressStyle};
use jaspertiller::jobs::JobKind;
use jaspertiller::types::{JobId, Millis};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use tokio::task::JoinSet;
use tokio::time::Instant;

/// Jobs come over this long.
const ARRIVALS_MS: u64 = 20_000;
const MOST: Duration = Duration::from_secs(150);
const READY: Duration = Duration::from_secs(30);
/// Services are cancelled after running for a while.
const SERVICE: Duration = Duration::from_secs(15);

fn config() -> Config {
    Config {
        teams: vec![team("slotting", 8.0, 16.0), team("forecast", 0.0, 0.0)],
        capacity: 12,
        ..Config::default()
    }
}

/// Arrays, gangs and services of two teams.
fn jobs(rng: &mut SmallRng) -> Vec<JobPlan> {
    let jobs = (0..24).map(|i| {
        let run = rng.random_range(3_000..8_000);
        let team = ["slotting", "forecast"][i % 2];
        let mut plan = match i % 6 {
            0 => job(i, team, "sweep", rng.random_range(4..12), 1.0, run),
            1 => job(i, team, "gang", rng.random_range(1..4), 4.0, run),
            2 => job(i, team, "standing", 2, 1.0, 0),
            3 => job(i, team, "sweep", rng.random_range(10..30), 1.0, run),
            4 => job(i, team, "gang", 2, 2.0, run),
            _ => job(i, team, "sweep", 1, 2.0, run),
        };
        plan.body["lot"] = ["score", "train", "serve", "forecast", "pair", "single"][i % 6].into();
        plan.at = Some(rng.random_range(0..ARRIVALS_MS));
        plan
    });
    jobs.collect()
}

pub async fn run(seed: u64, plan: Option<&Path>) -> anyhow::Result<ExitCode> {
    let config = config();
    let plan = match plan {
        Some(path) => read_plan(path, config.controllers)?,
        None => vec![(
            Millis(9_000),
            Fault {
                kind: Kind::Kill,
                target: "n0".into(),
                for_s: 4.0,
            },
        )],
    };
    let (mut controllers, shared) = Controllers::prepare(&config, seed, None)?;
    tokio::spawn(shared.clone().run());
    controllers.start_all()?;
    let user = User::new(shared.clone(), controllers.addresses.clone());
    let began = Instant::now();
    for index in 0..config.controllers {
        while !user.ready(index).await {
            if began.elapsed() > READY || !controllers.ended().is_empty() {
                anyhow::bail!("n{index} does not get ready: {}", controllers.log(index));
            }
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
    }
    let plans = jobs(&mut SmallRng::seed_from_u64(seed));
    let mut users = JoinSet::new();
    for plan in &plans {
        let cancel = (plan.body["shape"] == "standing").then_some(SERVICE);
        users.spawn(user.clone().follow(plan.clone(), cancel));
    }
    let bar = ProgressBar::new(plans.len() as u64);
    let style = ProgressStyle::with_template("{elapsed:>4} [{bar:40}] {pos} of {len} jobs {msg}")?;
    bar.set_style(style.progress_chars("=> "));
    let mut faults = Faults::new(plan);
    let began = Instant::now();
    while !users.is_empty() && began.elapsed() < MOST {
        let _ = tokio::time::timeout(Duration::from_millis(200), users.join_next()).await;
        faults.strike(&shared, &mut controllers, began.elapsed())?;
        bar.set_position((plans.len() - users.len()) as u64);
        bar.set_message(said(&shared));
    }
    user.ask_for_nothing().await;
    bar.finish();
    let unfinished = users.len();
    users.shutdown().await;
    let by_themselves = controllers.ended();
    drop(controllers);
    shared.lock().rules.finish();
    println!("{}", table(&shared));
    let violations: Vec<String> = {
        let region = shared.lock();
        region.rules.violations.iter().cloned().collect()
    };
    for rule in RULES {
        let prefix = format!("{rule}:");
        let broken: Vec<_> = violations
            .iter()
            .filter(|v| v.starts_with(&prefix))
            .collect();
        let word = if broken.is_empty() { "kept" } else { "BROKEN" };
        println!("rule {rule:<14} {word}");
        broken.iter().for_each(|what| println!("    {what}"));
    }
    if unfinished > 0 {
        println!("{unfinished} jobs were not over after {} s", MOST.as_secs());
    }
    for index in &by_themselves {
        println!("controller n{index} ended by itself");
    }
    let good = violations.is_empty() && unfinished == 0 && by_themselves.is_empty();
    Ok(if good {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    })
}

fn said(shared: &Shared) -> String {
    let region = shared.lock();
    let tasks = region.machines.tasks_started(region.now()).count();
    let alive = region
        .machines
        .by_id
        .values()
        .filter(|m| m.stopped_at.is_none());
    format!("{tasks} tasks on {} machines", alive.count())
}

/// A plan under way.
pub struct Faults {
    plan: Plan,
    /// Killed controllers and when they come back.
    down: Vec<(Duration, usize)>,
}

impl Faults {
    pub fn new(plan: Plan) -> Self {
        let down = Vec::new();
        Self { plan, down }
    }

    pub fn strike(
        &mut self,
        shared: &Shared,
        controllers: &mut Controllers,
        now: Duration,
    ) -> anyhow::Result<()> {
        let time = Millis(now.as_millis() as u64);
        while self.plan.first().is_some_and(|(at, _)| *at <= time) {
            let (_, fault) = self.plan.remove(0);
            if let Err(why) = self.one(&fault, shared, controllers, now) {
                eprintln!("a fault of the plan is passed over: {why}");
            }
        }
        let (due, down) = std::mem::take(&mut self.down)
            .into_iter()
            .partition(|(back, _)| *back <= now);
        self.down = down;
        due.into_iter()
            .try_for_each(|(_, index): (Duration, usize)| controllers.start(index))
    }

    pub fn one(
        &mut self,
        fault: &Fault,
        shared: &Shared,
        controllers: &mut Controllers,
        now: Duration,
    ) -> Result<(), String> {
        fault.strike(shared, controllers)?;
        let index = fault.target.strip_prefix('n').and_then(|n| n.parse().ok());
        if let (Kind::Kill, Some(index)) = (fault.kind, index) {
            self.down.retain(|(_, other)| *other != index);
            let back = now + Duration::from_secs_f64(fault.for_s);
            self.down.push((back, index));
        }
        Ok(())
    }
}

/// What ran, by class: how long jobs waited for their first task.
fn table(shared: &Shared) -> Table {
    let region = shared.lock();
    let rules = &region.rules;
    let mut classes: BTreeMap<String, Vec<(&JobId, u32, JobKind)>> = BTreeMap::new();
    for (id, job) in &region.machines.jobs {
        let class = job.spec.class.clone();
        let its = (id, job.spec.tasks, job.spec.kind);
        classes.entry(class).or_default().push(its);
    }
    let mut table = Table::new();
    table.load_preset(comfy_table::presets::UTF8_BORDERS_ONLY);
    table.set_header([
        "class",
        "shape",
        "jobs",
        "tasks",
        "done",
        "cancelled",
        "wait p50",
        "wait most",
    ]);
    for (class, jobs) in classes {
        let mut waits: Vec<f64> = jobs
            .iter()
            .filter_map(|(id, ..)| {
                let (from, to) = (rules.submitted.get(*id)?, rules.first_start.get(*id)?);
                Some(to.since(*from).secs())
            })
            .collect();
        waits.sort_by(f64::total_cmp);
        let seconds = |wait: Option<&f64>| wait.map_or("-".into(), |s| format!("{s:.1} s"));
        let kind = match jobs.first().map(|(.., kind)| *kind) {
            Some(JobKind::Gang) => "gang",
            Some(JobKind::Service) => "service",
            _ => "array",
        };
        let count = |known: &dyn Fn(&JobId) -> bool| {
            jobs.iter().filter(|(id, ..)| known(id)).count().to_string()
        };
        table.add_row([
            class,
            kind.into(),
            jobs.len().to_string(),
            jobs.iter()
                .map(|(_, tasks, _)| tasks)
                .sum::<u32>()
                .to_string(),
            count(&|id| rules.done.contains(id)),
            count(&|id| rules.aborted.contains_key(id)),
            seconds(waits.get(waits.len() / 2)),
            seconds(waits.last()),
        ]);
    }
    table
}
