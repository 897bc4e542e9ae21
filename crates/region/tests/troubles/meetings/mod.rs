//! Meetings of troubles: each brought about, and seen to have taken place. What could go wrong in each
//! and what prevents it: docs/meetings.md.

use std::collections::HashSet;

use jaspertiller::types::{JobId, Millis};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use tiller_region::config::Config;
use tiller_region::sim::{JobPlan, Refusal, World, job};

use super::{CALM, alone, finish, log_if_asked, restarts, seeds};

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
fn leader(world: &World) -> usize {
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
    let hosts = world.machines.hosts.values();
    let renewed = hosts.filter(|m| m.renewed.is_some_and(|(by, at)| by == node && at.0 > after));
    renewed.count() as u64
}

/// Every other machine that reports to this controller, or all, hears nobody else for a while.
fn hear_only(world: &mut World, node: usize, until: u64, all: bool) {
    let hosts = world.machines.hosts.values_mut();
    for (index, machine) in hosts.filter(|m| m.node == node).enumerate() {
        if all || index % 2 == 0 {
            machine.hears_only = Some((node, Millis(until)));
        }
    }
}

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
    for m in world.machines.hosts.values() {
        eprintln!(
            "old {old} now {} {:?} dead {:?} node {} s {}",
            world.now, m.renewed, m.dead, m.node, m.session
        );
    }
    vec![
        ("confirmed in the gap", told(world, &began, AT, away.0)),
        (
            "kept by the old leader",
            renewed_by(world, old, away.0 + lease),
        ),
    ]
}

/// Every version that a block's key had meanwhile: each is another hold.
fn holds(world: &mut World, until: u64) -> u64 {
    let mut seen = HashSet::new();
    while world.now < until {
        world.run_until((world.now + 100).min(until));
        let block = world.store.get("jt/block/a.0");
        seen.extend(block.map(|(_, version, _)| version));
    }
    seen.len() as u64
}

fn completed(world: &World, index: usize) -> (usize, usize) {
    let id = world.jobs[index].id();
    let ended = world.machines.completed.iter();
    let tasks = world.machines.jobs[&id].spec.tasks;
    (ended.filter(|task| task.job == id).count(), tasks as usize)
}

const MEETINGS: &[Meeting] = &[
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
                let hosts = w.machines.hosts.iter().filter(|(_, m)| m.node == old);
                hosts.map(|(host, m)| (host.clone(), m.baton)).collect()
            };
            // The new holder shows them its token; what they answer is the last for a while.
            let mut silenced = HashSet::new();
            while w.now < AT + 40_000 {
                w.run_until(w.now + 50);
                for (host, before) in &seen {
                    let machine = w.machines.hosts.get_mut(host).unwrap();
                    if machine.baton > *before && silenced.insert(host.clone()) {
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
                    _ => w.deafen_worker(index, w.now + 5_000),
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
                w.deafen_worker(round as usize + 2, w.now + 16_000);
                let old = leader(w);
                w.crash(old, w.now + 500, 300);
            }
            w.run_until(100_000);
            vec![("copies of earlier sessions", w.copies_of_old_sessions)]
        },
    },
];

#[test]
fn meetings_of_troubles_take_place_and_break_no_rule() {
    let seeds = seeds("MEETING", 6);
    let least = (seeds.end - seeds.start) / 2;
    for meeting in MEETINGS {
        let mut seen: Vec<(&str, u64)> = Vec::new();
        for seed in seeds.clone() {
            let mut world = meeting.world(seed);
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
            let mut world = MEETINGS[0].world(seed);
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

/// Begins one trouble now; returns when its steps come, in ms from now: its begin, the change of hands
/// that it brings, its end.
fn strike(world: &mut World, kind: u32, luck: &mut SmallRng) -> Vec<u64> {
    let (now, old, nodes) = (world.now, leader_or_first(world), world.nodes.len());
    let long = luck.random_range(4_000..40_000);
    let hand_over = luck.random_range(4_800..7_500);
    let some = |luck: &mut SmallRng| luck.random_range(0..8);
    match kind {
        0 => {
            let until = now + long / 2;
            world.refusals.push(Refusal {
                node: old,
                since: now,
                until,
            });
            return vec![0, hand_over, long / 2];
        }
        1 => {
            let mut cut = alone(old, 0, 0, luck.random_bool(0.5));
            (cut.since, cut.until) = (now, now + long);
            world.cuts.push(cut);
            return vec![0, hand_over, long];
        }
        2 => {
            world.outages.push((now, now + long));
            return vec![0, long];
        }
        3 => {
            let back = luck.random_range(50..3_000);
            world.crash(old, now, back);
            return vec![0, back, back + hand_over];
        }
        4 => {
            for node in 0..nodes {
                let at = now + luck.random_range(0..400);
                world.crash(node, at, luck.random_range(50..4_000));
            }
            return vec![0, 900, hand_over];
        }
        5 => (0..6).for_each(|_| world.deafen_worker(some(luck), now + long)),
        6 => (0..4).for_each(|_| world.hang_worker(some(luck), now + long / 3)),
        7 => hear_only(world, old, now + long, luck.random_bool(0.5)),
        8 => world.late_writes = luck.random_range(0.05..0.5),
        9 => world.copies = Some((luck.random_range(0.1..0.6), 1_000..50_000, 0.2)),
        10 => world.held_commands = Some((luck.random_range(0.1..0.6), 300..9_000)),
        11 => (0..3).for_each(|_| world.reboot_worker(some(luck), luck.random_bool(0.3))),
        12 => {
            let by = luck.random_range(100..2_300);
            world.slow_store = Some((now + long, by / 4..by));
        }
        _ => {
            let hosts = world.machines.hosts.values_mut();
            for machine in hosts.filter(|_| luck.random_bool(0.4)) {
                machine.unreachable_until = Millis(now + long);
            }
        }
    }
    vec![0, long / 3, long]
}

/// Who led last, or the first while nobody leads.
fn leader_or_first(world: &World) -> usize {
    world.store.get("jt/lead").map_or(0, |_| leader(world))
}

/// Two troubles or three, each placed relative to a step of the one before.
fn pair(seed: u64) -> World {
    let mut luck = SmallRng::seed_from_u64(seed ^ 0x3ee7);
    let mut world = MEETINGS[luck.random_range(0..MEETINGS.len())].world(seed);
    if luck.random_bool(0.4) {
        world.machines.spread = 0.9;
    }
    let begin = luck.random_range(14_000..AT + 15_000);
    if luck.random_bool(0.6) {
        // A team that uses all of its limit, in tasks that come and go.
        for index in 0..12 {
            let (run, team) = (luck.random_range(2_000..9_000), "small");
            let mut plan = job(50 + index, team, "sweep", 4, 1.0, run);
            plan.at = Some(begin - 9_000 + luck.random_range(0..55_000));
            world.submit(plan);
        }
    }
    for index in 0..9 {
        let at = begin + luck.random_range(0..45_000);
        world.abort_at(at.saturating_sub(3_000), index);
    }
    world.run_until(begin);
    let count = luck.random_range(2..4);
    for _ in 0..count {
        let kind = luck.random_range(0..14);
        let from = world.now;
        tracing::info!(kind, from, "a trouble begins");
        let steps = strike(&mut world, kind, &mut luck);
        let step = steps[luck.random_range(0..steps.len())];
        let next = from + (step + luck.random_range(0..2_000)).saturating_sub(500);
        world.run_until(next.max(from).min(CALM - 45_000));
    }
    world
}

#[test]
fn a_seeded_search_of_pairs_of_troubles_finds_nothing() {
    log_if_asked();
    for seed in seeds("PAIR", 16) {
        let mut world = pair(seed);
        finish(&mut world, &format!("pair {seed}"));
    }
}
