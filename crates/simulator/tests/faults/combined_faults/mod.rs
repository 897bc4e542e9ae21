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

use super::{CALM, alone, finish, seeds};

/// A trouble begins here: all jobs are at work.
const AT: u64 = 40_000;

/// What shows that the meeting took place, and how often it was seen.
type Seen = Vec<(&'static str, u64)>;

struct Meeting {
    name: &'static str,
    controllers: usize,
    /// None: the region's.
    lease_s: Option<u64>,
    play: fn(&mut World) -> Seen,
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

impl Meeting {
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
        world.rules.calm = Millis(CALM);
        world
    }
}

/// Who leads, by the records.
pub(crate) fn leader(world: &World) -> usize {
    let (record, ..) = world.store.get("jt/lead").expect("somebody leads");
    let record: serde_json::Value = serde_json::from_str(record).unwrap();
    let label = record["leader"].as_str().unwrap();
    let index = (0..world.nodes.len()).find(|i| Config::label(*i) == label);
    index.expect("it is one of ours")
}

/// Jobs with a task on a machine now.
fn at_work(world: &World) -> HashSet<JobId> {
    let present = world.machines.present(Millis(world.now));
    present.map(|(_, task)| task.job.clone()).collect()
}

/// Cancellations of these jobs that users heard of in a span of time.
fn told(world: &World, jobs: &HashSet<JobId>, from: u64, to: u64) -> u64 {
    let heard = world.rules.aborted.iter();
    let heard = heard.filter(|(id, at)| jobs.contains(*id) && (from..to).contains(&at.0));
    heard.count() as u64
}

/// Machines whose lease was renewed by this controller after a moment.
fn renewed_by(world: &World, node: usize, after: u64) -> u64 {
    let machine_ids = world.machines.machine_ids.values();
    let renewed =
        machine_ids.filter(|m| m.renewed.is_some_and(|(by, at)| by == node && at.0 > after));
    renewed.count() as u64
}

/// Every other machine that reports to this controller, or all, hears nobody else for a while.
fn hear_only(world: &mut World, node: usize, until: u64, all: bool) {
    let machine_ids = world.machines.machine_ids.values_mut();
    for (index, machine) in machine_ids.filter(|m| m.node == node).enumerate() {
        if all || index % 2 == 0 {
            machine.reached_only_by = Some((node, Millis(until)));
        }
    }
}

#[test]
fn meetings_of_troubles_take_place_and_break_no_rule() {
    let seeds = seeds("MEETING", 6);
    let least = (seeds.end - seeds.start) / 2;
    let rows = [holders::MEETINGS, machines::MEETINGS, users::MEETINGS];
    let asked = std::env::var("MEETING_NAME").unwrap_or_default();
    let asked = |meeting: &&Meeting| meeting.name.contains(&asked);
    for meeting in rows.into_iter().flatten().filter(asked) {
        let mut seen: Vec<(&str, u64)> = Vec::new();
        for seed in seeds.clone() {
            let mut world = meeting.world(seed);
            super::log_if_asked();
            for (what, count) in (meeting.play)(&mut world) {
                match seen.iter_mut().find(|(known, _)| *known == what) {
                    Some((_, sum)) => *sum += count,
                    None => seen.push((what, count)),
                }
            }
            finish(&mut world, &format!("{} (seed {seed})", meeting.name));
        }
        for (what, count) in seen {
            let name = meeting.name;
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
                w.refusals.push(Refusal {
                    node: old,
                    since: AT,
                    until: AT + 20_000,
                });
            },
            500,
            8_500,
        ),
        (
            "the leader keeps workers only",
            |w, old| w.cuts.push(alone(old, AT / 1_000, 20, true)),
            2_500,
            10_000,
        ),
    ];
    for (name, trouble, half, last) in cases {
        let mut waits = Vec::new();
        for seed in 1..=6 {
            let mut world = holders::MEETINGS[0].world(seed);
            world.run_until(AT);
            let (old, began) = (leader(&world), at_work(&world));
            trouble(&mut world, old);
            for index in 0..12 {
                world.abort_at(AT + 500 + 900 * index, index as usize);
            }
            world.run_until(AT + 60_000);
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
