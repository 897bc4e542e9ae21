//! Combinations of faults. Each scenario injects its faults and counts evidence that they coincided.
//! docs/combined-faults.md describes the hazard of each scenario and the mechanism that prevents it.

mod attempts;
mod holders;
mod machines;
mod pairs;
mod users;

use std::collections::HashSet;

use cluster_simulator::config::Config;
use cluster_simulator::sim::{JobPlan, Refusal, World, job};
use jaspertiller::types::{JobId, Millis};

use super::{FAULTS_END, cut_except_workers, finish, search, seeds};

/// Milliseconds at which the first fault begins; all jobs are running by then.
const FAULT_START: u64 = 40_000;

/// Kinds of evidence that the faults coincided, and how often each was observed.
type Observations = Vec<(&'static str, u64)>;

struct Scenario {
    name: &'static str,
    controllers: usize,
    /// Lease duration in seconds; `None` takes the default of `Config`.
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

/// Index of the leader according to the store's records.
pub(crate) fn leader(world: &World) -> usize {
    current_leader(world).expect("the store has a leader record")
}

/// Index of the leader according to the store's records; `None` while there is none.
pub(crate) fn current_leader(world: &World) -> Option<usize> {
    let (record, ..) = world.store.get("jt/lead")?;
    let record: serde_json::Value = serde_json::from_str(record).unwrap();
    let label = record["leader"].as_str().unwrap();
    let index = (0..world.controllers.len()).find(|i| Config::label(*i) == label);
    Some(index.expect("the recorded leader is a simulated controller"))
}

/// Jobs with at least one task running on a machine.
fn running_jobs(world: &World) -> HashSet<JobId> {
    let present = world.machines.tasks_started(Millis(world.now));
    present.map(|(_, task)| task.job.clone()).collect()
}

/// Cancellations of these jobs that were confirmed to their users within `from..to` (milliseconds).
fn confirmed_cancellations(world: &World, jobs: &HashSet<JobId>, from: u64, to: u64) -> u64 {
    let confirmed = world.rules.aborted.iter();
    let confirmed = confirmed.filter(|(id, at)| jobs.contains(*id) && (from..to).contains(&at.0));
    confirmed.count() as u64
}

/// Machines whose lease was last renewed by this controller, and after `after` (milliseconds).
fn machines_renewed_by(world: &World, controller: usize, after: u64) -> u64 {
    let machines = world.machines.by_id.values();
    let renewed = machines.filter(|m| {
        m.last_renewal
            .is_some_and(|(by, at)| by == controller && at.0 > after)
    });
    renewed.count() as u64
}

/// Until `until` only this controller reaches every second machine that reports to it, or all of them.
fn limit_reachability_to(world: &mut World, controller: usize, until: u64, all: bool) {
    let machines = world.machines.by_id.values_mut();
    for (index, machine) in machines.filter(|m| m.controller == controller).enumerate() {
        if all || index % 2 == 0 {
            machine.reached_only_by = Some((controller, Millis(until)));
        }
    }
}

#[test]
fn combined_faults_coincide_and_break_no_invariant() {
    let seeds = seeds("MEETING", 6);
    let min_count = (seeds.end - seeds.start) / 2;
    let groups = [holders::SCENARIOS, machines::SCENARIOS, users::SCENARIOS];
    let name_filter = std::env::var("MEETING_NAME").unwrap_or_default();
    let selected = |scenario: &&Scenario| scenario.name.contains(&name_filter);
    let mut observed = search::Observed::default();
    for scenario in groups.into_iter().flatten().filter(selected) {
        let mut observed_counts: Vec<(&str, u64)> = Vec::new();
        for seed in seeds.clone() {
            let mut world = scenario.world(seed);
            search::inject(&mut world, seed);
            super::enable_logging_if_requested();
            for (evidence, count) in (scenario.play)(&mut world) {
                match observed_counts
                    .iter_mut()
                    .find(|(known, _)| *known == evidence)
                {
                    Some((_, sum)) => *sum += count,
                    None => observed_counts.push((evidence, count)),
                }
            }
            finish(&mut world, &format!("{} (seed {seed})", scenario.name));
            observed.add(&world, seed);
        }
        for (evidence, count) in observed_counts {
            let name = scenario.name;
            assert!(
                count >= min_count,
                "{name}: `{evidence}` was observed only {count} times"
            );
        }
    }
    observed.assert_sufficient();
}

/// Cancellations must be confirmed during a fault, without waiting for its end, if the state of their tasks
/// can still be observed.
#[test]
fn cancellations_are_confirmed_within_seconds() {
    type Fault = fn(&mut World, usize);
    let cases: [(&str, Fault, u64, u64); 3] = [
        // Fault, its injection, bounds in ms of the median and of the longest time to confirmation.
        ("no fault", |_, _| {}, 400, 1_000),
        (
            "the store rejects only the leader's requests",
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
            "the leader reaches only its workers",
            |w, old| {
                w.network
                    .cuts
                    .push(cut_except_workers(old, FAULT_START / 1_000, 20, true))
            },
            2_500,
            10_000,
        ),
    ];
    for (name, inject_fault, max_median, max_worst) in cases {
        let mut waits = Vec::new();
        for seed in 1..=6 {
            let mut world = holders::SCENARIOS[0].world(seed);
            world.run_until(FAULT_START);
            let (old, running) = (leader(&world), running_jobs(&world));
            inject_fault(&mut world, old);
            for index in 0..12 {
                world.abort_at(FAULT_START + 500 + 900 * index, index as usize);
            }
            world.run_until(FAULT_START + 60_000);
            for id in running {
                if let Some(requested_at) = world.rules.wanted_aborts.get(&id)
                    && !world.rules.done.contains(&id)
                {
                    let confirmed = world.rules.aborted.get(&id);
                    let confirmed = confirmed.unwrap_or_else(|| {
                        panic!("{name} (seed {seed}): cancellation of {id} was not confirmed")
                    });
                    waits.push(confirmed.since(*requested_at).0);
                }
            }
        }
        waits.sort_unstable();
        let (median, worst) = (waits[waits.len() / 2], waits[waits.len() - 1]);
        let summary = format!(
            "{name}: median {median} ms, maximum {worst} ms of {} cancellations",
            waits.len()
        );
        assert!(waits.len() > 20, "{summary}");
        assert!(median <= max_median && worst <= max_worst, "{summary}");
    }
}
