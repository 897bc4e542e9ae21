//! Leader changes, and lost, duplicated or late messages between controllers, under a steady stream of jobs:
//! every controller's capacity index is exact at each second, and scheduling continues.

use cluster_simulator::sim::{Cut, JobPlan, RandomDelay, World, job};

use super::combined_faults::leader;
use super::{CONTROLLERS, finish, world};

/// Milliseconds at which the fault begins.
const FAULT_START: u64 = 40_000;
/// Milliseconds until which the index is compared with a recount.
const INDEX_CHECKS_END: u64 = 100_000;

/// Kinds of evidence that the fault had its effect, and how often each was observed.
type Observations = Vec<(&'static str, u64)>;

struct Scenario {
    name: &'static str,
    play: fn(&mut World) -> Observations,
}

/// Jobs with short tasks, submitted at a steady rate.
fn short_jobs() -> impl Iterator<Item = JobPlan> {
    (100..160).map(|index| {
        let kind = ["sweep", "gang", "sweep"][index % 3];
        let mut plan = job(index, "large", kind, 2, 1.0, 4_000);
        plan.at = Some(20_000 + 1_200 * (index as u64 - 100));
        plan
    })
}

/// Advances the simulation and compares the index with a recount about once a second, at varying offsets.
fn run_checking_index(world: &mut World, until: u64, name: &str) -> u64 {
    let mut checks = 0;
    while world.now < until {
        world.run_until((world.now + 970).min(until));
        let drift = world.index_drift();
        assert!(
            drift.is_empty(),
            "{name} at {} ms: the capacity index differs from a recount: {drift:?}",
            world.now
        );
        checks += 1;
    }
    checks
}

/// A suspended controller: it sends nothing, and receives everything late.
fn suspension_cut(controller: usize, duration_ms: u64) -> Cut {
    Cut {
        controller,
        from_store: true,
        from_workers: true,
        from_peers: true,
        since: FAULT_START,
        until: FAULT_START + duration_ms,
        hold: true,
    }
}

const SCENARIOS: &[Scenario] = &[
    Scenario {
        name: "the leader crashes",
        play: |w| {
            let old = leader(w);
            w.crash(old, FAULT_START + 1, 25_000);
            w.run_until(FAULT_START + 9_000);
            let starts = w.rules.starts;
            w.run_until(FAULT_START + 24_000);
            vec![
                (
                    "another controller became leader",
                    u64::from(leader(w) != old),
                ),
                (
                    "tasks started under the new leader",
                    w.rules.starts - starts,
                ),
            ]
        },
    },
    Scenario {
        name: "the leader is suspended for longer than its lease, then continues",
        play: |w| {
            let old = leader(w);
            w.network.cuts.push(suspension_cut(old, 9_000));
            w.run_until(FAULT_START + 8_500);
            let replaced = leader(w) != old;
            w.run_until(FAULT_START + 20_000);
            vec![
                ("another controller became leader", u64::from(replaced)),
                (
                    "the old leader is up again",
                    u64::from(w.controllers[old].is_some()),
                ),
            ]
        },
    },
    Scenario {
        name: "the leader is replaced twice within seconds",
        play: |w| {
            let first = leader(w);
            w.crash(first, FAULT_START + 1, 20_000);
            w.run_until(FAULT_START + 7_000);
            let second = leader(w);
            w.crash(second, w.now + 1, 20_000);
            w.run_until(FAULT_START + 16_000);
            let third = leader(w);
            vec![
                (
                    "a second controller became leader",
                    u64::from(second != first),
                ),
                (
                    "a third controller became leader",
                    u64::from(third != second && third != first),
                ),
            ]
        },
    },
    Scenario {
        name: "messages between controllers are lost, duplicated and delayed",
        play: |w| {
            w.network.peer_copies = Some(RandomDelay {
                share: 0.5,
                delay_ms: 500..15_000,
            });
            w.network.slow_links = Some(0..900);
            let lost = Cut {
                from_store: false,
                from_workers: false,
                hold: false,
                ..suspension_cut(leader(w), 6_000)
            };
            w.network.cuts.push(lost);
            w.run_until(FAULT_START + 30_000);
            vec![("duplicated messages", w.fault_counts.peer_copies)]
        },
    },
    Scenario {
        name: "all controllers restart one after the other",
        play: |w| {
            let old = leader(w);
            let order = (0..CONTROLLERS).map(|step| (old + step) % CONTROLLERS);
            for (step, controller) in order.enumerate() {
                w.crash(controller, FAULT_START + 1 + 4_000 * step as u64, 1_500);
            }
            let starts = w.rules.starts;
            w.run_until(FAULT_START + 26_000);
            vec![("tasks started during the restarts", w.rules.starts - starts)]
        },
    },
    Scenario {
        name: "all controllers crash at once, and a new leader rebuilds the index",
        play: |w| {
            (0..CONTROLLERS).for_each(|controller| {
                w.crash(controller, FAULT_START + 1, 3_000 + 400 * controller as u64)
            });
            let starts = w.rules.starts;
            w.run_until(FAULT_START + 20_000);
            vec![("tasks started after the crash", w.rules.starts - starts)]
        },
    },
];

#[test]
fn capacity_index_is_exact_and_scheduling_continues_across_leader_changes() {
    for scenario in SCENARIOS {
        let mut observed: Observations = Vec::new();
        for seed in 1..=2 {
            let mut world = world(seed);
            short_jobs().for_each(|plan| world.submit(plan));
            // Cancels services, which would otherwise occupy the rest of their team's limit.
            [2, 10]
                .into_iter()
                .for_each(|index| world.abort_at(60_000, index));
            let name = format!("{} (seed {seed})", scenario.name);
            assert!(run_checking_index(&mut world, FAULT_START, &name) > 20);
            for (evidence, count) in (scenario.play)(&mut world) {
                match observed.iter_mut().find(|(known, _)| *known == evidence) {
                    Some((_, sum)) => *sum += count,
                    None => observed.push((evidence, count)),
                }
            }
            assert!(run_checking_index(&mut world, INDEX_CHECKS_END, &name) > 20);
            finish(&mut world, &name);
        }
        for (evidence, count) in observed {
            assert!(
                count >= 2,
                "{}: `{evidence}` was observed only {count} times",
                scenario.name
            );
        }
    }
}
