//! Combined faults of leaders, shard holders and the key-value store.

use std::collections::HashSet;

use cluster_simulator::sim::{HeartbeatCopies, RandomDelay, Refusal, SlowStore, World};
use jaspertiller::types::Millis;

use super::super::{cut_except_workers, restart_repeatedly};
use super::{
    FAULT_START, Observations, Scenario, confirmed_cancellations, leader, limit_reachability_to,
    machines_renewed_by, running_jobs,
};

/// The store rejects only the leader's requests, and other controllers confirm cancellations. Then the store
/// is unavailable to all for longer than the cancellation timeout, while workers keep reporting to the old
/// leader. `apart`: the old leader is also partitioned from its peers, and only it reaches some machines.
fn refuse_leader_then_outage(world: &mut World, gap: u64, apart: bool) -> Observations {
    world.run_until(FAULT_START);
    let (old, began) = (leader(world), running_jobs(world));
    let away = (FAULT_START + gap, FAULT_START + gap + 45_000);
    world.store_faults.refusals.push(Refusal {
        controller: old,
        since: FAULT_START,
        until: FAULT_START + 14_000,
    });
    world.store_faults.outages.push(away);
    if apart {
        let mut cut = cut_except_workers(old, FAULT_START / 1_000, 0, true);
        (cut.from_store, cut.until) = (false, away.1);
        world.network.cuts.push(cut);
        limit_reachability_to(world, old, away.1, false);
    }
    for index in 0..10 {
        world.abort_at(FAULT_START + gap * index / 11, index as usize);
    }
    world.run_until(away.1 - 1_000);
    let lease = 12_000;
    vec![
        (
            "confirmed in the gap",
            confirmed_cancellations(world, &began, FAULT_START, away.0),
        ),
        (
            "kept by the old leader",
            machines_renewed_by(world, old, away.0 + lease),
        ),
    ]
}

/// Number of versions that the key of shard a.0 has until `until`; each version is a new hold.
pub(super) fn observe_shard_holds(world: &mut World, until: u64) -> u64 {
    let mut seen = HashSet::new();
    while world.now < until {
        world.run_until((world.now + 100).min(until));
        let shard = world.store.get("jt/block/a.0");
        seen.extend(shard.map(|(_, version, _)| version));
    }
    seen.len() as u64
}

fn completed(world: &World, index: usize) -> (usize, usize) {
    let id = world.jobs[index].id();
    let ended = world.machines.completed.iter();
    let tasks = world.machines.jobs[&id].spec.tasks;
    (ended.filter(|task| task.job == id).count(), tasks as usize)
}

pub(super) const SCENARIOS: &[Scenario] = &[
    Scenario {
        name: "the gap, 2.5 s long: blocks have not changed hands",
        controllers: 5,
        lease_s: None,
        play: |w| refuse_leader_then_outage(w, 2_500, false),
    },
    Scenario {
        name: "the gap, 6.5 s long: blocks are changing hands",
        controllers: 5,
        lease_s: None,
        play: |w| refuse_leader_then_outage(w, 6_500, true),
    },
    Scenario {
        name: "the gap, 9 s long, with machines that hear the old leader only",
        controllers: 3,
        lease_s: None,
        play: |w| refuse_leader_then_outage(w, 9_000, true),
    },
    Scenario {
        name: "the state service is slow, then refuses the leader alone, then is away for all",
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
        name: "handed over and back, all end, one returns within a second",
        controllers: 5,
        lease_s: None,
        play: |w| {
            w.store_faults.late_write_share = 0.05;
            w.run_until(FAULT_START - 10_000);
            let (mut holds_seen, mut began) = (0, 0);
            for round in 0..3 {
                let at = w.now;
                let old = leader(w);
                w.network
                    .cuts
                    .push(cut_except_workers(old, at / 1_000, 8, round % 2 == 0));
                for controller in 0..5 {
                    let back = if controller == old { 300 } else { 3_000 };
                    w.crash(controller, at + 9_000 + 40 * controller as u64, back);
                }
                w.abort_at(at + 8_500, 2 * round);
                holds_seen += observe_shard_holds(w, at + 20_000).saturating_sub(1);
                began += u64::from(w.controllers.iter().all(Option::is_some));
            }
            vec![("changes of hands", holds_seen), ("all came back", began)]
        },
    },
    Scenario {
        name: "an answer of the new holder is lost, the old one goes on answering, then ends",
        controllers: 3,
        lease_s: Some(26),
        play: |w| {
            w.run_until(FAULT_START);
            let old = leader(w);
            w.network
                .cuts
                .push(cut_except_workers(old, FAULT_START / 1_000, 45, false));
            limit_reachability_to(w, old, FAULT_START + 36_000, true);
            // The old holder is briefly unreachable, so workers try the other controllers without success.
            let mut away = cut_except_workers(old, FAULT_START / 1_000 + 7, 5, false);
            (away.from_workers, away.from_store, away.from_peers) = (true, false, false);
            w.network.cuts.push(away);
            // Otherwise the machines would be deleted for silence first.
            w.network
                .cloud_outages
                .push((FAULT_START, FAULT_START + 58_000));
            w.run_until(FAULT_START + 35_500);
            let kept = machines_renewed_by(w, old, FAULT_START + 25_000);
            let seen: Vec<_> = {
                let machines = w.machines.by_id.iter().filter(|(_, m)| m.controller == old);
                machines
                    .map(|(machine_id, m)| (machine_id.clone(), m.worker_token))
                    .collect()
            };
            // The new holder announces its token; the machines' responses are the last ones for a while.
            let mut silenced = HashSet::new();
            while w.now < FAULT_START + 40_000 {
                w.run_until(w.now + 50);
                for (machine_id, before) in &seen {
                    let machine = w.machines.by_id.get_mut(machine_id).unwrap();
                    if machine.worker_token > *before && silenced.insert(machine_id.clone()) {
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
                ("kept by the old holder past the new one's answers", kept),
                ("silent once they had seen the token", silenced.len() as u64),
            ]
        },
    },
    Scenario {
        name: "commands and their answers are held for seconds, machines hang and go on",
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
                "obeyed after the sender gave up",
                w.fault_counts.late_commands_executed,
            )]
        },
    },
    Scenario {
        name: "the leader keeps workers only, jobs are cancelled through the new one",
        controllers: 5,
        lease_s: None,
        play: |w| {
            w.run_until(FAULT_START);
            let (old, began) = (leader(w), running_jobs(w));
            w.network
                .cuts
                .push(cut_except_workers(old, FAULT_START / 1_000, 50, true));
            limit_reachability_to(w, old, FAULT_START + 25_000, false);
            for index in 0..8 {
                w.abort_at(FAULT_START + 7_000 + 2_500 * index, index as usize);
            }
            w.run_until(FAULT_START + 24_000);
            let kept = machines_renewed_by(w, old, FAULT_START + 18_000);
            w.run_until(FAULT_START + 49_000);
            let cancelled =
                confirmed_cancellations(w, &began, FAULT_START + 7_000, FAULT_START + 49_000);
            vec![
                ("kept by the old leader", kept),
                ("cancelled meanwhile", cancelled),
            ]
        },
    },
    Scenario {
        name: "transactions are carried out late, after newer ones, across changes of leader",
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
            let (done, nothing) = (
                w.fault_counts.late_writes_committed,
                w.fault_counts.late_writes_rejected,
            );
            vec![("late and done", done), ("late and nothing", nothing)]
        },
    },
    Scenario {
        name: "jobs of two or three tasks end far apart across a change of leader",
        controllers: 5,
        lease_s: None,
        play: |w| {
            w.machines.run_time_spread = 0.9;
            w.store_faults.late_write_share = 0.1;
            let mut between = 0;
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
                let parts = (0..w.jobs.len()).filter(|index| {
                    let (done, all) = completed(w, *index);
                    done > 0 && done < all
                });
                between += parts.count() as u64;
            }
            w.run_until(100_000);
            vec![("jobs in the middle of their ends", between)]
        },
    },
    Scenario {
        name: "the leader is refused just as it has dead machines deleted",
        controllers: 5,
        lease_s: None,
        play: |w| {
            // Holders start after the machines left, so no holder has received their heartbeats.
            w.run_until(FAULT_START - 100);
            (0..3).for_each(|index| w.kill_worker(index));
            (0..5).for_each(|controller| {
                w.crash(controller, FAULT_START, 200 + 50 * controller as u64)
            });
            w.run_until(FAULT_START + 10_000);
            let old = leader(w);
            // Deleted, but not yet recorded: no other controller knows of the deletion.
            let before = w.cloud.deleted.len();
            while w.cloud.deleted.len() == before && w.now < FAULT_START + 25_000 {
                w.run_until(w.now + 20);
            }
            w.store_faults.refusals.push(Refusal {
                controller: old,
                since: w.now,
                until: w.now + 9_000,
            });
            let gone = w.cloud.deleted.len() - before;
            w.abort_at(w.now + 2_000, 0);
            w.run_until(w.now + 30_000);
            vec![("deleted and not written", gone as u64)]
        },
    },
    Scenario {
        name: "old reports after newer ones, of earlier sessions, to holders old and new",
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
                "copies of earlier sessions",
                w.fault_counts.copies_of_old_agent_epochs,
            )]
        },
    },
];
