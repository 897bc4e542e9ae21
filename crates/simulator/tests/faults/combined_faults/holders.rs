//! Meetings of leaders, holders and the state service.

use std::collections::HashSet;

use cluster_simulator::sim::{Refusal, World};
use jaspertiller::types::Millis;

use super::super::{alone, restarts};
use super::{AT, Meeting, Seen, at_work, hear_only, leader, renewed_by, told};

/// The state service refuses the leader alone; others confirm cancellations; then it is away for all,
/// longer than cancelled tasks may stay, while workers go on reporting to the old leader. `apart`: it hears
/// nothing of the others either, and some machines hear nobody else.
fn gap(world: &mut World, gap: u64, apart: bool) -> Seen {
    world.run_until(AT);
    let (old, began) = (leader(world), at_work(world));
    let away = (AT + gap, AT + gap + 45_000);
    world.refusals.push(Refusal {
        node: old,
        since: AT,
        until: AT + 14_000,
    });
    world.outages.push(away);
    if apart {
        let mut cut = alone(old, AT / 1_000, 0, true);
        (cut.from_store, cut.until) = (false, away.1);
        world.cuts.push(cut);
        hear_only(world, old, away.1, false);
    }
    for index in 0..10 {
        world.abort_at(AT + gap * index / 11, index as usize);
    }
    world.run_until(away.1 - 1_000);
    let lease = 12_000;
    vec![
        ("confirmed in the gap", told(world, &began, AT, away.0)),
        (
            "kept by the old leader",
            renewed_by(world, old, away.0 + lease),
        ),
    ]
}

/// Every version that a shard's key had meanwhile: each is another hold.
pub(super) fn holds(world: &mut World, until: u64) -> u64 {
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

pub(super) const MEETINGS: &[Meeting] = &[
    Meeting {
        name: "the gap, 2.5 s long: blocks have not changed hands",
        controllers: 5,
        lease_s: None,
        play: |w| gap(w, 2_500, false),
    },
    Meeting {
        name: "the gap, 6.5 s long: blocks are changing hands",
        controllers: 5,
        lease_s: None,
        play: |w| gap(w, 6_500, true),
    },
    Meeting {
        name: "the gap, 9 s long, with machines that hear the old leader only",
        controllers: 3,
        lease_s: None,
        play: |w| gap(w, 9_000, true),
    },
    Meeting {
        name: "the state service is slow, then refuses the leader alone, then is away for all",
        controllers: 5,
        lease_s: None,
        play: |w| {
            w.slow_store = Some((AT + 70_000, 300..1_800));
            gap(w, 4_500, false)
        },
    },
    Meeting {
        name: "handed over and back, all end, one returns within a second",
        controllers: 5,
        lease_s: None,
        play: |w| {
            w.late_writes = 0.05;
            w.run_until(AT - 10_000);
            let (mut holds_seen, mut began) = (0, 0);
            for round in 0..3 {
                let at = w.now;
                let old = leader(w);
                w.cuts.push(alone(old, at / 1_000, 8, round % 2 == 0));
                for node in 0..5 {
                    let back = if node == old { 300 } else { 3_000 };
                    w.crash(node, at + 9_000 + 40 * node as u64, back);
                }
                w.abort_at(at + 8_500, 2 * round);
                holds_seen += holds(w, at + 20_000).saturating_sub(1);
                began += u64::from(w.nodes.iter().all(Option::is_some));
            }
            vec![("changes of hands", holds_seen), ("all came back", began)]
        },
    },
    Meeting {
        name: "an answer of the new holder is lost, the old one goes on answering, then ends",
        controllers: 3,
        lease_s: Some(26),
        play: |w| {
            w.run_until(AT);
            let old = leader(w);
            w.cuts.push(alone(old, AT / 1_000, 45, false));
            hear_only(w, old, AT + 36_000, true);
            // For a moment the old one can't be reached: they ask the others, and hear nothing of them.
            let mut away = alone(old, AT / 1_000 + 7, 5, false);
            (away.from_workers, away.from_store, away.from_peers) = (true, false, false);
            w.cuts.push(away);
            // Else the machines are deleted for their silence first.
            w.cloud_down.push((AT, AT + 58_000));
            w.run_until(AT + 35_500);
            let kept = renewed_by(w, old, AT + 25_000);
            let seen: Vec<_> = {
                let machine_ids = w.machines.machine_ids.iter().filter(|(_, m)| m.node == old);
                machine_ids
                    .map(|(machine_id, m)| (machine_id.clone(), m.worker_token))
                    .collect()
            };
            // The new holder shows them its token; what they answer is the last for a while.
            let mut silenced = HashSet::new();
            while w.now < AT + 40_000 {
                w.run_until(w.now + 50);
                for (machine_id, before) in &seen {
                    let machine = w.machines.machine_ids.get_mut(machine_id).unwrap();
                    if machine.worker_token > *before && silenced.insert(machine_id.clone()) {
                        machine.unreachable_until = Millis(w.now + 14_000);
                    }
                }
            }
            w.crash(old, AT + 40_000, 900);
            for index in 0..4 {
                w.abort_at(AT + 33_000 + 1_000 * index, index as usize);
            }
            w.run_until(AT + 60_000);
            vec![
                ("kept by the old holder past the new one's answers", kept),
                ("silent once they had seen the token", silenced.len() as u64),
            ]
        },
    },
    Meeting {
        name: "commands and their answers are held for seconds, machines hang and go on",
        controllers: 5,
        lease_s: None,
        play: |w| {
            w.held_commands = Some((0.4, 300..9_000));
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
            vec![("obeyed after the sender gave up", w.obeyed_late)]
        },
    },
    Meeting {
        name: "the leader keeps workers only, jobs are cancelled through the new one",
        controllers: 5,
        lease_s: None,
        play: |w| {
            w.run_until(AT);
            let (old, began) = (leader(w), at_work(w));
            w.cuts.push(alone(old, AT / 1_000, 50, true));
            hear_only(w, old, AT + 25_000, false);
            for index in 0..8 {
                w.abort_at(AT + 7_000 + 2_500 * index, index as usize);
            }
            w.run_until(AT + 24_000);
            let kept = renewed_by(w, old, AT + 18_000);
            w.run_until(AT + 49_000);
            let heard = told(w, &began, AT + 7_000, AT + 49_000);
            vec![
                ("kept by the old leader", kept),
                ("cancelled meanwhile", heard),
            ]
        },
    },
    Meeting {
        name: "transactions are carried out late, after newer ones, across changes of leader",
        controllers: 5,
        lease_s: None,
        play: |w| {
            w.late_writes = 0.25;
            for index in 0..6 {
                w.abort_at(20_000 + 7_000 * index, 2 * index as usize);
            }
            for round in 0..3 {
                w.run_until(25_000 + 15_000 * round);
                let old = leader(w);
                if round == 1 {
                    w.cuts.push(alone(old, w.now / 1_000, 9, true));
                } else {
                    restarts(w, old, w.now, 2, 300);
                }
            }
            w.run_until(90_000);
            let (done, nothing) = w.late_written;
            vec![("late and done", done), ("late and nothing", nothing)]
        },
    },
    Meeting {
        name: "jobs of two or three tasks end far apart across a change of leader",
        controllers: 5,
        lease_s: None,
        play: |w| {
            w.machines.spread = 0.9;
            w.late_writes = 0.1;
            let mut between = 0;
            for round in 0..5 {
                w.run_until(25_000 + 14_000 * round);
                let old = leader(w);
                if round % 2 == 0 {
                    w.crash(old, w.now, 400);
                } else {
                    w.cuts.push(alone(old, w.now / 1_000, 9, true));
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
    Meeting {
        name: "the leader is refused just as it has dead machines deleted",
        controllers: 5,
        lease_s: None,
        play: |w| {
            // The holders come after the machines: none has heard them, so none can tell that they left.
            w.run_until(AT - 100);
            (0..3).for_each(|index| w.kill_worker(index));
            (0..5).for_each(|node| w.crash(node, AT, 200 + 50 * node as u64));
            w.run_until(AT + 10_000);
            let old = leader(w);
            // Deleted, and not yet written: from then on nobody else knows.
            let before = w.cloud.deleted.len();
            while w.cloud.deleted.len() == before && w.now < AT + 25_000 {
                w.run_until(w.now + 20);
            }
            w.refusals.push(Refusal {
                node: old,
                since: w.now,
                until: w.now + 9_000,
            });
            let gone = w.cloud.deleted.len() - before;
            w.abort_at(w.now + 2_000, 0);
            w.run_until(w.now + 30_000);
            vec![("deleted and not written", gone as u64)]
        },
    },
    Meeting {
        name: "old reports after newer ones, of earlier sessions, to holders old and new",
        controllers: 5,
        lease_s: None,
        play: |w| {
            w.copies = Some((0.5, 1_000..50_000, 0.2));
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
            vec![("copies of earlier sessions", w.copies_of_old_agent_epochs)]
        },
    },
];
