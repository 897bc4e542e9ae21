//! Troubles that were on no list: machines that speak and do not hear, late copies of heartbeats,
//! controllers that keep their workers and lose all else, processes and machines that are back at
//! once, jobs that fail everywhere. No rule may break, all work has to end, and whatever is left has
//! to be heard of and to wait for something that can be named.

mod combined_faults;
mod leaders;

use std::ops::Range;

use cluster_simulator::config::Config;
use cluster_simulator::sim::{Cut, JobPlan, World, job};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

const NODES: usize = 5;
/// All troubles are over by then.
const CALM: u64 = 120_000;
const END: u64 = 260_000;

fn jobs() -> Vec<JobPlan> {
    let mut jobs: Vec<JobPlan> = (0..16)
        .map(|i| match i % 8 {
            0 => job(i, "small", "sweep", 5, 1.0, 6_000),
            1 => job(i, "large", "gang", 2, 1.0, 5_000),
            2 => job(i, "small", "standing", 2, 1.0, 0),
            3 => job(i, "large", "gang", 4, 4.0, 6_000),
            4 => job(i, "small", "gang", 3, 1.0, 4_000),
            5 => job(i, "large", "sweep", 12, 1.0, 9_000),
            6 => job(i, "large", "sweep", 2, 1.0, 30_000),
            _ => job(i, "small", "sweep", 4, 1.0, 3_000),
        })
        .collect();
    // Some come in the middle of it.
    for (index, plan) in jobs.iter_mut().enumerate() {
        if index >= 8 {
            plan.at = Some(20_000 + 4_000 * index as u64);
        }
    }
    jobs
}

fn world(seed: u64) -> World {
    let config = Config {
        controllers: NODES,
        ..Config::default()
    };
    let mut world = World::new(config, seed, jobs());
    world.rules.calm = jaspertiller::types::Millis(CALM);
    world
}

/// It keeps its workers and loses state service and peers.
fn alone(node: usize, from_s: u64, for_s: u64, hold: bool) -> Cut {
    Cut {
        node,
        from_store: true,
        from_workers: false,
        from_peers: true,
        since: from_s * 1_000,
        until: (from_s + for_s) * 1_000,
        hold,
    }
}

/// A process is killed and back after so many milliseconds, time and again.
fn restarts(world: &mut World, node: usize, from: u64, count: u64, back: u64) {
    for round in 0..count {
        world.crash(node, from + round * (back + 250), back);
    }
}

struct Day {
    name: &'static str,
    play: fn(&mut World),
}

const DAYS: &[Day] = &[
    Day {
        name: "machines that do not hear, for 50 s and for good",
        play: |w| {
            for (at, index, until) in [
                (14_000, 0, 64_000),
                (16_000, 1, 900_000),
                (22_000, 2, 900_000),
                (30_000, 4, 45_000),
            ] {
                w.run_until(at);
                w.drop_commands_to_worker(index, until);
            }
        },
    },
    Day {
        name: "no machine hears for 20 s, then half of them for 40 s",
        play: |w| {
            w.run_until(18_000);
            (0..40).for_each(|index| w.drop_commands_to_worker(index, 38_000));
            w.run_until(60_000);
            (0..40)
                .step_by(2)
                .for_each(|index| w.drop_commands_to_worker(index, 100_000));
        },
    },
    Day {
        name: "copies of reports, by half a second to well over a lease",
        play: |w| w.copies = Some((0.5, 500..60_000, 0.0)),
    },
    Day {
        name: "copies of reports whose originals are lost, and controllers that restart",
        play: |w| {
            w.copies = Some((0.3, 500..40_000, 0.5));
            (0..NODES).for_each(|n| w.crash(n, 20_000 + 9_000 * n as u64, 300));
            w.run_until(25_000);
            w.kill_worker(0);
            w.run_until(33_000);
            w.kill_worker(1);
        },
    },
    Day {
        name: "a controller keeps its workers and loses all else",
        play: |w| w.cuts.push(alone(1, 16, 50, true)),
    },
    Day {
        name: "the leader and another keep their workers and lose all else",
        play: |w| {
            w.cuts.push(alone(0, 16, 60, true));
            w.cuts.push(alone(2, 22, 40, false));
        },
    },
    Day {
        name: "each in turn keeps its workers and loses all else",
        play: |w| (0..NODES).for_each(|n| w.cuts.push(alone(n, 14 + 20 * n as u64, 18, true))),
    },
    Day {
        name: "each restarts five times in two seconds, one after the other",
        play: |w| (0..NODES).for_each(|n| restarts(w, n, 15_000 + 12_000 * n as u64, 5, 150)),
    },
    Day {
        name: "all restart at once, twice, and again in the middle of the election",
        play: |w| {
            for at in [18_000, 18_700, 19_300, 50_000] {
                (0..NODES).for_each(|n| w.crash(n, at + 13 * n as u64, 100 + 70 * n as u64));
            }
        },
    },
    Day {
        name: "restarts at once while answers are lost and transactions come late",
        play: |w| {
            w.lost_answers = 0.15;
            (0..NODES).for_each(|n| restarts(w, n, 14_000 + 7_000 * n as u64, 3, 80));
        },
    },
    Day {
        name: "machines that are back at once, with counters begun anew or not",
        play: |w| {
            for round in 0..12 {
                w.run_until(14_000 + 4_000 * round);
                w.reboot_worker(round as usize % 5, round % 2 == 0);
            }
        },
    },
    Day {
        name: "jobs that fail everywhere, beside a machine that fails all",
        play: |w| {
            for index in 0..6 {
                let kind = ["sweep", "gang", "sweep"][index % 3];
                let mut plan = job(100 + index, "small", kind, 3, 1.0, 3_000);
                plan.at = Some(9_000 + 2_500 * index as u64);
                plan.broken = true;
                w.submit(plan);
            }
            w.run_until(15_000);
            w.make_quarantined(1);
        },
    },
    Day {
        name: "a bit of all",
        play: |w| {
            w.copies = Some((0.2, 500..40_000, 0.3));
            w.lost_answers = 0.05;
            w.cuts.push(alone(3, 18, 30, true));
            restarts(w, 1, 24_000, 4, 120);
            w.outages.push((52_000, 64_000));
            for (at, index) in [(16_000, 0), (21_000, 3), (35_000, 2)] {
                w.run_until(at);
                w.drop_commands_to_worker(index, at + 30_000);
                w.reboot_worker(index + 2, index % 2 == 0);
            }
        },
    },
];

fn finish(world: &mut World, name: &str) {
    world.run_until(CALM.max(world.now));
    world.copies = None;
    world.held_commands = None;
    (world.lost_answers, world.late_writes) = (0.0, 0.0);
    (world.slow_links, world.meet_ends) = (None, 0.0);
    world.peer_copies = None;
    world.run_until(END);
    let broken: Vec<_> = world
        .jobs
        .iter()
        .filter(|j| j.broken)
        .map(JobPlan::id)
        .collect();
    let mut unfinished = world.unfinished();
    unfinished.retain(|id| !broken.contains(id));
    let violations = &world.rules.violations;
    assert!(violations.is_empty(), "{name}: {violations:?}");
    assert!(unfinished.is_empty(), "{name}: {unfinished:?}");
    let drift = world.index_drift();
    assert!(drift.is_empty(), "{name}: {drift:?}");
    let unaccounted = world.unaccounted();
    assert!(unaccounted.is_empty(), "{name}: {unaccounted:?}");
    let mut left = world.rules.left_waiting();
    left.retain(|(id, _)| !broken.contains(id));
    assert!(left.is_empty(), "{name}: left waiting: {left:?}");
    let unheard = world.rules.unheard();
    assert!(unheard.is_empty(), "{name}: {unheard:?}");
}

#[test]
fn unlisted_troubles_break_no_rule_and_leave_no_work_behind() {
    for day in DAYS {
        for seed in 1..=3 {
            let mut world = world(seed);
            for (index, at) in [(2, 34_000), (3, 17_000), (9, 63_000), (0, 26_000)] {
                world.abort_at(at + seed % 3 * 700, index);
            }
            (day.play)(&mut world);
            finish(&mut world, &format!("{} (seed {seed})", day.name));
        }
    }
}

/// One day of random troubles.
fn random_day(seed: u64) -> World {
    let mut luck = SmallRng::seed_from_u64(seed ^ 0x5eed);
    let mut world = world(seed);
    let span = |luck: &mut SmallRng, range: Range<u64>| luck.random_range(range);
    for index in [2, 3, 9, 0] {
        world.abort_at(span(&mut luck, 15_000..90_000), index);
    }
    if luck.random_bool(0.5) {
        let instead = luck.random_range(0.0..0.6);
        let most = span(&mut luck, 5_000..70_000);
        world.copies = Some((luck.random_range(0.05..0.5), 500..most, instead));
    }
    if luck.random_bool(0.4) {
        world.lost_answers = luck.random_range(0.01..0.15);
    }
    for node in 0..NODES {
        if luck.random_bool(0.3) {
            let (from, long) = (luck.random_range(12..70), luck.random_range(4..45));
            let mut cut = alone(node, from, long, luck.random_bool(0.5));
            if luck.random_bool(0.4) {
                cut.from_workers = luck.random_bool(0.5);
                cut.from_peers = luck.random_bool(0.5);
                cut.from_store = luck.random_bool(0.6);
            }
            world.cuts.push(cut);
        }
        if luck.random_bool(0.5) {
            let (from, back) = (span(&mut luck, 12_000..90_000), span(&mut luck, 30..4_000));
            let count = span(&mut luck, 1..5);
            restarts(&mut world, node, from, count, back);
        }
    }
    if luck.random_bool(0.3) {
        let from = span(&mut luck, 14_000..90_000);
        world
            .outages
            .push((from, from + span(&mut luck, 2_000..25_000)));
    }
    if luck.random_bool(0.3) {
        let from = span(&mut luck, 14_000..60_000);
        world
            .cloud_down
            .push((from, from + span(&mut luck, 5_000..50_000)));
    }
    let mut at = 12_000;
    while at < CALM - 35_000 {
        at += span(&mut luck, 500..9_000);
        world.run_until(at);
        let index = span(&mut luck, 0..8) as usize;
        let long = span(&mut luck, 2_000..60_000);
        let until = (at + long).min(CALM);
        match span(&mut luck, 0..9) {
            0 | 1 => world.drop_commands_to_worker(index, until),
            2 | 3 => {
                let anew = luck.random_bool(0.5);
                world.reboot_worker(index, anew);
            }
            4 => world.hang_worker(index, until),
            5 => world.kill_worker(index),
            6 => world.make_quarantined(index),
            _ => {}
        }
    }
    world
}

/// How many seeds are played, from which on: `NAME_DAYS` and `NAME_FROM`.
fn seeds(name: &str, count: u64) -> Range<u64> {
    let number = |what: &str, default| {
        let text = std::env::var(format!("{name}_{what}")).ok();
        text.and_then(|text| text.parse().ok()).unwrap_or(default)
    };
    let from = number("FROM", 1);
    from..from + number("DAYS", count)
}

/// For a look at one seed: what the controllers log of it.
fn log_if_asked() {
    if std::env::var("TROUBLE_LOG").is_ok() {
        let level = tracing_subscriber::filter::LevelFilter::DEBUG;
        let log = tracing_subscriber::fmt()
            .with_max_level(level)
            .without_time();
        let _ = log.with_ansi(false).with_writer(std::io::stderr).try_init();
    }
}

#[test]
fn a_seeded_search_of_mixed_troubles_finds_nothing() {
    log_if_asked();
    for seed in seeds("TROUBLE", 12) {
        let mut world = random_day(seed);
        finish(&mut world, &format!("seed {seed}"));
    }
}

/// A controller that keeps its workers and loses all else answers them until somebody else holds their
/// shard; then they come over with their tasks. Kept on with a lower token, they killed them at the end
/// of their lease.
#[test]
fn machines_change_hands_without_a_kill() {
    let mut seen = 0;
    for seed in 1..=12 {
        for node in [0, 1] {
            let mut world = world(seed);
            world.cuts.push(alone(node, 20, 60, seed % 2 == 0));
            world.run_until(20_000);
            let at_work: Vec<_> = world
                .machines
                .machine_ids
                .iter()
                .filter(|(_, m)| m.dead.is_none() && m.node == node)
                .filter(|(_, m)| m.tasks.values().any(|task| task.on_machine()))
                .map(|(machine_id, m)| (machine_id.clone(), m.agent_epoch))
                .collect();
            seen += at_work.len();
            world.run_until(79_000);
            for (machine_id, agent_epoch) in at_work {
                let now = world.machines.machine_ids[&machine_id].agent_epoch;
                assert_eq!(now, agent_epoch, "{machine_id} of {node} (seed {seed})");
            }
            assert_eq!(world.cloud.deleted_at_work, 0, "{node} (seed {seed})");
        }
    }
    assert!(seen > 10, "only {seen} machines show it");
}
