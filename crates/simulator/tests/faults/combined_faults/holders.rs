//! Combined faults of leaders, shard holders and the key-value store.

use std::collections::HashSet;

use cluster_simulator::sim::{HeartbeatCopies, RandomDelay, Refusal, SlowStore, World};
use jaspertiller::types::Millis;
use rand::Rng;

use super::super::{cut_except_workers, restart_repeatedly};
use super::{
    FAULT_START, Observations, Scenario, confirmed_cancellations, leader, limit_reachability_to,
    machines_renewed_by, running_jobs,
};

/// The store rejects only the leader's requests, and other controllers confirm cancellations. After
/// `outage_delay` milliseconds the store is unavailable to all for longer than the cancellation timeout, while
/// workers keep reporting to the old leader. `partitioned`: the old leader is also partitioned from its peers,
/// and only it reaches some machines.
fn refuse_leader_then_outage(
    world: &mut World,
    outage_delay: u64,
    partitioned: bool,
) -> Observations {
    world.run_until(FAULT_START);
    let (old, running) = (leader(world), running_jobs(world));
    let outage = (
        FAULT_START + outage_delay,
        FAULT_START + outage_delay + 45_000,
    );
    world.store_faults.refusals.push(Refusal {
        controller: old,
        since: FAULT_START,
        until: FAULT_START + 14_000,
    });
    world.store_faults.outages.push(outage);
    if partitioned {
        let mut cut = cut_except_workers(old, FAULT_START / 1_000, 0, true);
        (cut.from_store, cut.until) = (false, outage.1);
        world.network.cuts.push(cut);
        limit_reachability_to(world, old, outage.1, false);
    }
    for index in 0..10 {
        world.abort_at(FAULT_START + outage_delay * index / 11, index as usize);
    }
    world.run_until(outage.1 - 1_000);
    let lease = 12_000;
    vec![
        (
            "cancellations confirmed before the outage",
            confirmed_cancellations(world, &running, FAULT_START, outage.0),
        ),
        (
            "machines still renewed by the old leader",
            machines_renewed_by(world, old, outage.0 + lease),
        ),
    ]
}

/// Advances the simulation to `until` and counts the observed versions of the key of shard a.0; each version
/// is a new hold.
pub(super) fn observe_shard_holds(world: &mut World, until: u64) -> u64 {
    let mut versions = HashSet::new();
    while world.now < until {
        world.run_until((world.now + 100).min(until));
        let shard = world.store.get("jt/block/a.0");
        versions.extend(shard.map(|(_, version, _)| version));
    }
    versions.len() as u64
}

/// Completed tasks of a job, and all of its tasks; zero of both if it was not submitted yet.
fn task_counts(world: &World, index: usize) -> (usize, usize) {
    let id = world.jobs[index].id();
    let completed = world.machines.completed.iter();
    let job = world.machines.jobs.get(&id);
    let tasks = job.map_or(0, |job| job.spec.tasks);
    (
        completed.filter(|task| task.job == id).count(),
        tasks as usize,
    )
}

pub(super) const SCENARIOS: &[Scenario] = &[
    Scenario {
        name: "the store rejects the leader, outage after 2.5 s: before shards change holders",
        controllers: 5,
        lease_s: None,
        play: |w| refuse_leader_then_outage(w, 2_500, false),
    },
    Scenario {
        name: "the store rejects the leader, outage after 6.5 s: while shards change holders",
        controllers: 5,
        lease_s: None,
        play: |w| refuse_leader_then_outage(w, 6_500, true),
    },
    Scenario {
        name: "the store rejects the leader, outage after 9 s: only the old leader reaches some machines",
        controllers: 3,
        lease_s: None,
        play: |w| refuse_leader_then_outage(w, 9_000, true),
    },
    Scenario {
        name: "the store is slow, then rejects only the leader, then is unavailable to all",
        controllers: 5,
        lease_s: None,
        play: |w| {
            w.store_faults.slow = Some(SlowStore {
                until: FAULT_START + 70_000,
                delay_ms: 300..1_800,
            });
            refuse_leader_then_outage(w, 4_500, false)
        },
    },
    Scenario {
        name: "shards change holders and back, all controllers crash, and one restarts within a second",
        controllers: 5,
        lease_s: None,
        play: |w| {
            w.store_faults.late_write_share = 0.05;
            w.run_until(FAULT_START - 10_000);
            let (mut holds_seen, mut rounds_all_up) = (0, 0);
            for round in 0..3 {
                let at = w.now;
                let old = leader(w);
                w.network
                    .cuts
                    .push(cut_except_workers(old, at / 1_000, 8, round % 2 == 0));
                for controller in 0..5 {
                    let downtime = if controller == old { 300 } else { 3_000 };
                    w.crash(controller, at + 9_000 + 40 * controller as u64, downtime);
                }
                w.abort_at(at + 8_500, 2 * round);
                holds_seen += observe_shard_holds(w, at + 20_000).saturating_sub(1);
                rounds_all_up += u64::from(w.controllers.iter().all(Option::is_some));
            }
            vec![
                ("changes of shard holder", holds_seen),
                ("rounds after which all controllers were up", rounds_all_up),
            ]
        },
    },
    Scenario {
        name: "responses of the new shard holder are lost, and the old one keeps responding until it crashes",
        controllers: 3,
        lease_s: Some(26),
        play: |w| {
            w.run_until(FAULT_START);
            let old = leader(w);
            w.network
                .cuts
                .push(cut_except_workers(old, FAULT_START / 1_000, 45, false));
            limit_reachability_to(w, old, FAULT_START + 36_000, true);
            // Workers cannot reach the old holder for a few seconds, so they try the other controllers without
            // success.
            let mut worker_cut = cut_except_workers(old, FAULT_START / 1_000 + 7, 5, false);
            (
                worker_cut.from_workers,
                worker_cut.from_store,
                worker_cut.from_peers,
            ) = (true, false, false);
            w.network.cuts.push(worker_cut);
            // Without a cloud outage the machines would be deleted first for missing heartbeats.
            w.network
                .cloud_outages
                .push((FAULT_START, FAULT_START + 58_000));
            w.run_until(FAULT_START + 35_500);
            let still_renewed = machines_renewed_by(w, old, FAULT_START + 25_000);
            let tokens_seen: Vec<_> = {
                let machines = w.machines.by_id.iter().filter(|(_, m)| m.controller == old);
                machines
                    .map(|(machine_id, m)| (machine_id.clone(), m.worker_token))
                    .collect()
            };
            // Each machine becomes unreachable for 14 s after it has seen the new holder's token.
            let mut unreachable = HashSet::new();
            while w.now < FAULT_START + 40_000 {
                w.run_until(w.now + 50);
                for (machine_id, before) in &tokens_seen {
                    let machine = w.machines.by_id.get_mut(machine_id).unwrap();
                    if machine.worker_token > *before && unreachable.insert(machine_id.clone()) {
                        machine.unreachable_until = Millis(w.now + 14_000);
                    }
                }
            }
            w.crash(old, FAULT_START + 40_000, 900);
            for index in 0..4 {
                w.abort_at(FAULT_START + 33_000 + 1_000 * index, index as usize);
            }
            w.run_until(FAULT_START + 60_000);
            vec![
                (
                    "machines renewed by the old holder 25 s after the partition",
                    still_renewed,
                ),
                (
                    "machines unreachable after they saw the new token",
                    unreachable.len() as u64,
                ),
            ]
        },
    },
    Scenario {
        name: "commands and their responses are delayed by seconds while machines hang and resume",
        controllers: 5,
        lease_s: None,
        play: |w| {
            w.network.held_commands = Some(RandomDelay {
                share: 0.4,
                delay_ms: 300..9_000,
            });
            for index in 0..9 {
                w.abort_at(8_000 + 4_000 * index, index as usize);
            }
            for round in 0..8 {
                w.run_until(14_000 + 6_000 * round);
                let index = round as usize % 5;
                match round % 3 {
                    0 => w.hang_worker(index, w.now + 9_000),
                    1 => w.reboot_worker(index, round == 4),
                    _ => w.drop_commands_to_worker(index, w.now + 5_000),
                }
            }
            w.run_until(80_000);
            vec![(
                "commands executed after their sender timed out",
                w.fault_counts.late_commands_executed,
            )]
        },
    },
    Scenario {
        name: "the leader reaches only its workers, and jobs are cancelled through the new leader",
        controllers: 5,
        lease_s: None,
        play: |w| {
            w.run_until(FAULT_START);
            let (old, running) = (leader(w), running_jobs(w));
            w.network
                .cuts
                .push(cut_except_workers(old, FAULT_START / 1_000, 50, true));
            limit_reachability_to(w, old, FAULT_START + 25_000, false);
            // In the other runs the new leader may delete the old one's machines for missing heartbeats.
            if w.rng.random_bool(0.5) {
                let outage = (FAULT_START, FAULT_START + 25_000);
                w.network.cloud_outages.push(outage);
            }
            for index in 0..8 {
                w.abort_at(FAULT_START + 7_000 + 2_500 * index, index as usize);
            }
            w.run_until(FAULT_START + 24_000);
            let still_renewed = machines_renewed_by(w, old, FAULT_START + 18_000);
            w.run_until(FAULT_START + 49_000);
            let confirmed =
                confirmed_cancellations(w, &running, FAULT_START + 7_000, FAULT_START + 49_000);
            vec![
                ("machines still renewed by the old leader", still_renewed),
                ("cancellations confirmed during the partition", confirmed),
            ]
        },
    },
    Scenario {
        name: "transactions commit late, after newer ones, across leader changes",
        controllers: 5,
        lease_s: None,
        play: |w| {
            w.store_faults.late_write_share = 0.25;
            for index in 0..6 {
                w.abort_at(20_000 + 7_000 * index, 2 * index as usize);
            }
            for round in 0..3 {
                w.run_until(25_000 + 15_000 * round);
                let old = leader(w);
                if round == 1 {
                    w.network
                        .cuts
                        .push(cut_except_workers(old, w.now / 1_000, 9, true));
                } else {
                    restart_repeatedly(w, old, w.now, 2, 300);
                }
            }
            w.run_until(90_000);
            let (committed, rejected) = (
                w.fault_counts.late_writes_committed,
                w.fault_counts.late_writes_rejected,
            );
            vec![
                ("late transactions committed", committed),
                ("late transactions rejected", rejected),
            ]
        },
    },
    Scenario {
        name: "the two or three tasks of a job complete far apart, across leader changes",
        controllers: 5,
        lease_s: None,
        play: |w| {
            w.machines.run_time_spread = 0.9;
            w.store_faults.late_write_share = 0.1;
            let mut partially_completed = 0;
            for round in 0..5 {
                w.run_until(25_000 + 14_000 * round);
                let old = leader(w);
                if round % 2 == 0 {
                    w.crash(old, w.now, 400);
                } else {
                    w.network
                        .cuts
                        .push(cut_except_workers(old, w.now / 1_000, 9, true));
                }
                let partial = (0..w.jobs.len()).filter(|index| {
                    let (done, all) = task_counts(w, *index);
                    done > 0 && done < all
                });
                partially_completed += partial.count() as u64;
            }
            w.run_until(100_000);
            vec![("partially completed jobs", partially_completed)]
        },
    },
    Scenario {
        name: "the store rejects the leader just as the leader has deleted dead machines",
        controllers: 5,
        lease_s: None,
        play: |w| {
            // The controllers restart after the machines died, so no shard holder has received heartbeats from
            // these machines.
            w.run_until(FAULT_START - 100);
            (0..3).for_each(|index| w.kill_worker(index));
            (0..5).for_each(|controller| {
                w.crash(controller, FAULT_START, 200 + 50 * controller as u64)
            });
            w.run_until(FAULT_START + 10_000);
            let old = leader(w);
            // The deletion is not yet recorded in the store, so no other controller knows of it.
            let before = w.cloud.deleted.len();
            while w.cloud.deleted.len() == before && w.now < FAULT_START + 25_000 {
                w.run_until(w.now + 20);
            }
            w.store_faults.refusals.push(Refusal {
                controller: old,
                since: w.now,
                until: w.now + 9_000,
            });
            let deleted = w.cloud.deleted.len() - before;
            w.abort_at(w.now + 2_000, 0);
            w.run_until(w.now + 30_000);
            vec![(
                "machines deleted before the deletion was recorded",
                deleted as u64,
            )]
        },
    },
    Scenario {
        name: "late duplicates of heartbeats, also of earlier agent epochs, reach old and new shard holders",
        controllers: 5,
        lease_s: None,
        play: |w| {
            w.network.heartbeat_copies = Some(HeartbeatCopies {
                share: 0.5,
                delay_ms: 1_000..50_000,
                replace_share: 0.2,
            });
            for index in 0..4 {
                w.abort_at(45_000 + 6_000 * index, 3 * index as usize);
            }
            for round in 0..6 {
                w.run_until(20_000 + 9_000 * round);
                w.reboot_worker(round as usize, false);
                w.drop_commands_to_worker(round as usize + 2, w.now + 16_000);
                let old = leader(w);
                w.crash(old, w.now + 500, 300);
            }
            w.run_until(100_000);
            vec![(
                "duplicates from earlier agent epochs",
                w.fault_counts.copies_of_old_agent_epochs,
            )]
        },
    },
];
