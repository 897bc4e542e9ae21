//! User requests that coincide with job completions, rejected writes and unavailable controllers.

use cluster_simulator::sim::{Refusal, World, job};
use jaspertiller::types::Millis;

use super::super::{cut_except_workers, restart_repeatedly};
use super::{FAULT_START, Observations, Scenario, confirmed_cancellations, leader, running_jobs};

/// Jobs are cancelled within 200 ms after the store starts to reject the leader's requests; the store
/// becomes unavailable `outage_delay` milliseconds after that start, for longer than the cancellation timeout.
fn cancel_while_leader_refused(world: &mut World, outage_delay: u64) -> Observations {
    world.run_until(FAULT_START);
    let (leader_index, running) = (leader(world), running_jobs(world));
    world.store_faults.refusals.push(Refusal {
        controller: leader_index,
        since: FAULT_START,
        until: FAULT_START + 14_000,
    });
    let cancel = world.config.timing.cancel.0;
    let outage_end = FAULT_START + outage_delay + cancel + 8_000;
    world
        .store_faults
        .outages
        .push((FAULT_START + outage_delay, outage_end));
    for index in 0..12 {
        world.abort_at(FAULT_START + 16 * index, index as usize);
    }
    world.run_until(outage_end + 10_000);
    let confirmed_before_outage =
        confirmed_cancellations(world, &running, FAULT_START, FAULT_START + outage_delay);
    vec![(
        "cancellations confirmed",
        confirmed_cancellations(world, &running, FAULT_START, outage_end + 10_000)
            + confirmed_before_outage,
    )]
}

/// All controllers are down for longer than a lease and restart `interval_ms` milliseconds after one another.
fn crash_all_controllers(world: &mut World, interval_ms: u64) -> Observations {
    world.run_until(FAULT_START);
    let running = running_jobs(world);
    let lease = world.config.timing.lease.0;
    (0..4).for_each(|index| world.abort_at(FAULT_START - 200 + 60 * index, index as usize));
    for controller in 0..world.controllers.len() {
        world.crash(
            controller,
            FAULT_START + 10 * controller as u64,
            lease + 4_000 + interval_ms * controller as u64,
        );
    }
    (4..8).for_each(|index| world.abort_at(FAULT_START + 3_000 * index, index as usize));
    // One worker dies and one restarts while no controller is up.
    world.run_until(FAULT_START + 6_000);
    world.kill_worker(0);
    world.reboot_worker(1, false);
    world.run_until(FAULT_START + lease + 30_000);
    vec![
        (
            "tasks killed on lease expiry",
            world.machines.killed_by_lease,
        ),
        (
            "cancellations confirmed",
            confirmed_cancellations(world, &running, FAULT_START, world.now),
        ),
    ]
}

pub(super) const SCENARIOS: &[Scenario] = &[
    Scenario {
        name: "users cancel, poll and resubmit a job as its last task completes",
        controllers: 3,
        lease_s: None,
        play: |w| {
            w.completion_race_share = 1.0;
            for index in 0..24 {
                let (kind, tasks) = [("sweep", 1), ("gang", 2), ("sweep", 5)][index % 3];
                let run = 3_000 + 400 * index as u64;
                let mut plan = job(100 + index, "large", kind, tasks, 1.0, run);
                plan.at = Some(4_000 + 2_000 * index as u64);
                w.submit(plan);
            }
            w.run_until(100_000);
            let cancelled = w.rules.aborted.len() as u64;
            vec![
                (
                    "completions that coincided with user requests",
                    w.fault_counts.completion_races,
                ),
                ("jobs reported as cancelled", cancelled),
                ("jobs reported as done", w.rules.done.len() as u64),
            ]
        },
    },
    Scenario {
        name: "users cancel, poll and resubmit a job as its last task completes, while transactions get no response or commit late",
        controllers: 3,
        lease_s: None,
        play: |w| {
            (
                w.completion_race_share,
                w.store_faults.late_write_share,
                w.store_faults.lost_response_share,
            ) = (1.0, 0.15, 0.1);
            for index in 0..16 {
                let (kind, tasks) = [("sweep", 1), ("gang", 2), ("sweep", 3)][index % 3];
                let mut plan = job(100 + index, "large", kind, tasks, 1.0, 5_000);
                plan.at = Some(4_000 + 2_500 * index as u64);
                w.submit(plan);
            }
            w.run_until(100_000);
            let (committed, rejected) = (
                w.fault_counts.late_writes_committed,
                w.fault_counts.late_writes_rejected,
            );
            vec![
                (
                    "completions that coincided with user requests",
                    w.fault_counts.completion_races,
                ),
                ("late transactions", committed + rejected),
            ]
        },
    },
    Scenario {
        name: "jobs are cancelled as the store rejects the leader, and an outage follows after 0.5 s",
        controllers: 5,
        lease_s: None,
        play: |w| cancel_while_leader_refused(w, 500),
    },
    Scenario {
        name: "jobs are cancelled as the store rejects the leader, and an outage follows after 1 s",
        controllers: 3,
        lease_s: None,
        play: |w| cancel_while_leader_refused(w, 1_000),
    },
    Scenario {
        name: "jobs are cancelled as the store rejects the leader, and an outage follows after 2 s",
        controllers: 5,
        lease_s: None,
        play: |w| cancel_while_leader_refused(w, 2_000),
    },
    Scenario {
        name: "jobs are cancelled as the store rejects the leader, and an outage follows after 5 s",
        controllers: 5,
        lease_s: None,
        play: |w| cancel_while_leader_refused(w, 5_000),
    },
    Scenario {
        name: "all controllers are down for longer than a lease, and restart together",
        controllers: 5,
        lease_s: None,
        play: |w| crash_all_controllers(w, 3),
    },
    Scenario {
        name: "all controllers are down for longer than a lease, and restart one after the other",
        controllers: 5,
        lease_s: None,
        play: |w| crash_all_controllers(w, 4_000),
    },
    Scenario {
        name: "the leader changes up to ten times in two minutes, also during a store outage",
        controllers: 5,
        lease_s: None,
        play: |w| {
            w.store_faults.outages.push((61_000, 66_000));
            for index in 0..8 {
                w.abort_at(20_000 + 11_000 * index, index as usize);
            }
            let (mut changes, mut starts) = (0, 0);
            w.run_until(15_000);
            for round in 0..10 {
                let (now, old, before) = (w.now, leader(w), w.rules.starts);
                if round % 3 == 1 {
                    w.network
                        .cuts
                        .push(cut_except_workers(old, now / 1_000, 9, round % 2 == 0));
                } else {
                    restart_repeatedly(w, old, now, 2, 3_500);
                }
                let mut plan = job(100 + round as usize, "large", "sweep", 3, 1.0, 6_000);
                plan.at = Some(now + 1_000);
                w.submit(plan);
                w.run_until(15_000 + 10_300 * (round + 1));
                changes += u64::from(w.store.get("jt/lead").is_some() && leader(w) != old);
                starts += u64::from(w.rules.starts > before);
            }
            assert!(starts >= 8, "tasks started in only {starts} of 10 rounds");
            vec![
                ("leader changes", changes),
                ("rounds in which tasks started", starts),
            ]
        },
    },
];

/// Guards against a job whose reported terminal state is lost or changes when all controllers restart, and
/// against polls without a response within the documented time in any state of the job.
#[test]
fn reported_terminal_states_do_not_change() {
    for seed in 1..=3 {
        let mut world = SCENARIOS[0].world(seed);
        (SCENARIOS[0].play)(&mut world);
        let (done, aborted) = (world.rules.done.clone(), world.rules.aborted.clone());
        assert!(done.len() > 3 && aborted.len() > 3);
        for controller in 0..3 {
            world.crash(controller, world.now + 2_000 * controller as u64, 500);
        }
        world.run_until(world.now + 60_000);
        assert_eq!(
            world.rules.violations.len(),
            0,
            "seed {seed}: {:?}",
            world.rules.violations
        );
        assert!(
            done.is_subset(&world.rules.done),
            "a completed job is no longer reported as done (seed {seed})"
        );
        let unanswered = world.rules.unheard();
        assert!(
            unanswered.is_empty(),
            "polls without a response in time (seed {seed}): {unanswered:?}"
        );
        assert!(world.now > Millis(100_000).0);
    }
}
