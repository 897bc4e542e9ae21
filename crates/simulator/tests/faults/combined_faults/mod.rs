//! Meetings of troubles: each brought about, and seen to have taken place. What could go wrong in each
//! and what prevents it: docs/combined-faults.md.

mod holders;
mod machines;
mod pairs;
mod users;

use std::collections::HashSet;

use cluster_simulator::config::Config;
use cluster_simulator::sim::{JobPlan, Refusal, World, job};
use jaspertiller::types::{JobId, Millis};

use super::{FAULTS_END, cut_except_workers, finish, seeds};

/// A trouble begins here: all jobs are at work.
const FAULT_START: u64 = 40_000;

/// What shows that the meeting took place, and how often it was seen.
type Observations = Vec<(&'static str, u64)>;

struct Scenario {
    name: &'static str,
    controllers: usize,
    /// None: the region's.
    lease_s: Option<u64>,
    play: fn(&mut World) -> Observations,
}

fn long_jobs() -> Vec<JobPlan> {
    let plan = |i: usize| match i % 6 {
        0 => job(i, "large", "sweep", 3, 1.0, 55_000),
        1 => job(i, "large", "gang", 2, 1.0, 60_000),
        2 => job(i, "large", "sweep", 2, 1.0, 70_000),
        3 => job(i, "large", "standing", 2, 1.0, 0),
        4 => job(i, "small", "sweep", 2, 1.0, 50_000),
        _ => job(i, "large", "gang", 3, 1.0, 45_000),
    };
    let mut jobs: Vec<JobPlan> = (0..14).map(plan).collect();
    for (index, plan) in jobs.iter_mut().enumerate() {
        plan.at = Some(1_000 + 900 * index as u64);
    }
    jobs
}

impl Scenario {
    fn world(&self, seed: u64) -> World {
        let mut config = Config {
            controllers: self.controllers,
            ..Config::default()
        };
        if let Some(lease_s) = self.lease_s {
            config.timing.lease = Millis(lease_s * 1_000);
            config.timing.cancel = Millis(lease_s * 1_000 + 20_000);
        }
        let mut world = World::new(config, seed, long_jobs());
        world.rules.calm = Millis(FAULTS_END);
        world
    }
}

/// Who leads, by the records.
pub(crate) fn leader(world: &World) -> usize {
    let (record, ..) = world.store.get("jt/lead").expect("somebody leads");
    let record: serde_json::Value = serde_json::from_str(record).unwrap();
    let label = record["leader"].as_str().unwrap();
    let index = (0..world.controllers.len()).find(|i| Config::label(*i) == label);
    index.expect("it is one of ours")
}

/// Jobs with a task on a machine now.
fn at_work(world: &World) -> HashSet<JobId> {
    let present = world.machines.tasks_started(Millis(world.now));
    present.map(|(_, task)| task.job.clone()).collect()
}

/// Cancellations of these jobs that users heard of in a span of time.
fn told(world: &World, jobs: &HashSet<JobId>, from: u64, to: u64) -> u64 {
    let heard = world.rules.aborted.iter();
    let heard = heard.filter(|(id, at)| jobs.contains(*id) && (from..to).contains(&at.0));
    heard.count() as u64
}

/// Machines whose lease was renewed by this controller after a moment.
fn renewed_by(world: &World, controller: usize, after: u64) -> u64 {
    let machines = world.machines.by_id.values();
    let renewed = machines.filter(|m| {
        m.last_renewal
            .is_some_and(|(by, at)| by == controller && at.0 > after)
    });
    renewed.count() as u64
}

/// Every other machine that reports to this controller, or all, hears nobody else for a while.
fn hear_only(world: &mut World, controller: usize, until: u64, all: bool) {
    let machines = world.machines.by_id.values_mut();
    for (index, machine) in machines.filter(|m| m.controller == controller).enumerate() {
        if all || index % 2 == 0 {
            machine.reached_only_by = Some((controller, Millis(until)));
        }
    }
}

#[test]
fn meetings_of_troubles_take_place_and_break_no_rule() {
    let seeds = seeds("MEETING", 6);
    let least = (seeds.end - seeds.start) / 2;
    let rows = [holders::SCENARIOS, machines::SCENARIOS, users::SCENARIOS];
    let asked = std::env::var("MEETING_NAME").unwrap_or_default();
    let asked = |scenario: &&Scenario| scenario.name.contains(&asked);
    for scenario in rows.into_iter().flatten().filter(asked) {
        let mut seen: Vec<(&str, u64)> = Vec::new();
        for seed in seeds.clone() {
            let mut world = scenario.world(seed);
            super::log_if_asked();
            for (what, count) in (scenario.play)(&mut world) {
                match seen.iter_mut().find(|(known, _)| *known == what) {
                    Some((_, sum)) => *sum += count,
                    None => seen.push((what, count)),
                }
            }
            finish(&mut world, &format!("{} (seed {seed})", scenario.name));
        }
        for (what, count) in seen {
            let name = scenario.name;
            assert!(count >= least, "{name}: {what} was seen {count} times only");
        }
    }
}

/// No cancellation is held back until a trouble is over that it can be seen past.
#[test]
fn cancellations_are_told_within_seconds() {
    type Trouble = fn(&mut World, usize);
    let cases: [(&str, Trouble, u64, u64); 3] = [
        // trouble, half of the users and the last of them hear within so many ms
        ("nothing is wrong", |_, _| {}, 400, 1_000),
        (
            "the state service refuses the leader alone",
            |w, old| {
                w.store_faults.refusals.push(Refusal {
                    controller: old,
                    since: FAULT_START,
                    until: FAULT_START + 20_000,
                });
            },
            500,
            8_500,
        ),
        (
            "the leader keeps workers only",
            |w, old| {
                w.network
                    .cuts
                    .push(cut_except_workers(old, FAULT_START / 1_000, 20, true))
            },
            2_500,
            10_000,
        ),
    ];
    for (name, trouble, half, last) in cases {
        let mut waits = Vec::new();
        for seed in 1..=6 {
            let mut world = holders::SCENARIOS[0].world(seed);
            world.run_until(FAULT_START);
            let (old, began) = (leader(&world), at_work(&world));
            trouble(&mut world, old);
            for index in 0..12 {
                world.abort_at(FAULT_START + 500 + 900 * index, index as usize);
            }
            world.run_until(FAULT_START + 60_000);
            for id in began {
                if let Some(asked) = world.rules.wanted_aborts.get(&id)
                    && !world.rules.done.contains(&id)
                {
                    let told = world.rules.aborted.get(&id);
                    let told = told.unwrap_or_else(|| panic!("{name} (seed {seed}): {id}"));
                    waits.push(told.since(*asked).0);
                }
            }
        }
        waits.sort_unstable();
        let (p50, worst) = (waits[waits.len() / 2], waits[waits.len() - 1]);
        let what = format!("{name}: p50 {p50} ms, worst {worst} ms of {}", waits.len());
        assert!(waits.len() > 20, "{what}");
        assert!(p50 <= half && worst <= last, "{what}");
    }
}
