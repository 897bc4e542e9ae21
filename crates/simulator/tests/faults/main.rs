//! Unlisted faults: machines that send heartbeats but receive no commands, late duplicates of
//! heartbeats, controllers that reach only their workers, instant restarts of processes and
//! machines, jobs that fail on every machine. No invariant may break, all jobs have to finish, and
//! each remaining job needs a reported state and a known reason to wait.

mod combined_faults;
mod command_copies;
mod copy_injection;
mod large_gangs;
mod late_answers;
mod leaders;
mod search;

use std::ops::Range;

use cluster_simulator::config::Config;
use cluster_simulator::sim::{Cut, HeartbeatCopies, JobPlan, RandomDelay, World, job};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

const CONTROLLERS: usize = 5;
/// Milliseconds at which all faults are over.
const FAULTS_END: u64 = 120_000;
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
    // Some jobs arrive during the faults.
    for (index, plan) in jobs.iter_mut().enumerate() {
        if index >= 8 {
            plan.at = Some(20_000 + 4_000 * index as u64);
        }
    }
    jobs
}

fn world(seed: u64) -> World {
    let config = Config {
        controllers: CONTROLLERS,
        ..Config::default()
    };
    let mut world = World::new(config, seed, jobs());
    world.rules.calm = jaspertiller::types::Millis(FAULTS_END);
    world
}

/// A partition of one controller from the store and its peers, but not from its workers.
fn cut_except_workers(controller: usize, from_s: u64, duration_s: u64, hold: bool) -> Cut {
    Cut {
        controller,
        from_store: true,
        from_workers: false,
        from_peers: true,
        since: from_s * 1_000,
        until: (from_s + duration_s) * 1_000,
        hold,
    }
}

/// Kills a controller `count` times; it restarts after `downtime_ms` milliseconds each time.
fn restart_repeatedly(
    world: &mut World,
    controller: usize,
    from: u64,
    count: u64,
    downtime_ms: u64,
) {
    for round in 0..count {
        world.crash(controller, from + round * (downtime_ms + 250), downtime_ms);
    }
}

struct Scenario {
    name: &'static str,
    play: fn(&mut World),
}

const SCENARIOS: &[Scenario] = &[
    Scenario {
        name: "machines receive no commands, some for up to 50 s and some permanently",
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
    Scenario {
        name: "no machine receives commands for 20 s, then half of them receive none for 40 s",
        play: |w| {
            w.run_until(18_000);
            (0..40).for_each(|index| w.drop_commands_to_worker(index, 38_000));
            w.run_until(60_000);
            (0..40)
                .step_by(2)
                .for_each(|index| w.drop_commands_to_worker(index, 100_000));
        },
    },
    Scenario {
        name: "duplicate heartbeats, delayed by half a second to well over a lease",
        play: |w| {
            w.network.heartbeat_copies = Some(HeartbeatCopies {
                share: 0.5,
                delay_ms: 500..60_000,
                replace_share: 0.0,
            })
        },
    },
    Scenario {
        name: "late duplicates of lost heartbeats while controllers restart",
        play: |w| {
            w.network.heartbeat_copies = Some(HeartbeatCopies {
                share: 0.3,
                delay_ms: 500..40_000,
                replace_share: 0.5,
            });
            (0..CONTROLLERS).for_each(|n| w.crash(n, 20_000 + 9_000 * n as u64, 300));
            w.run_until(25_000);
            w.kill_worker(0);
            w.run_until(33_000);
            w.kill_worker(1);
        },
    },
    Scenario {
        name: "a controller reaches only its workers",
        play: |w| w.network.cuts.push(cut_except_workers(1, 16, 50, true)),
    },
    Scenario {
        name: "the leader and another controller reach only their workers",
        play: |w| {
            w.network.cuts.push(cut_except_workers(0, 16, 60, true));
            w.network.cuts.push(cut_except_workers(2, 22, 40, false));
        },
    },
    Scenario {
        name: "each controller in turn reaches only its workers",
        play: |w| {
            (0..CONTROLLERS).for_each(|n| {
                w.network
                    .cuts
                    .push(cut_except_workers(n, 14 + 20 * n as u64, 18, true))
            })
        },
    },
    Scenario {
        name: "each controller in turn restarts five times within two seconds",
        play: |w| {
            (0..CONTROLLERS)
                .for_each(|n| restart_repeatedly(w, n, 15_000 + 12_000 * n as u64, 5, 150))
        },
    },
    Scenario {
        name: "all controllers restart at once, repeatedly, also during the election",
        play: |w| {
            for at in [18_000, 18_700, 19_300, 50_000] {
                (0..CONTROLLERS).for_each(|n| w.crash(n, at + 13 * n as u64, 100 + 70 * n as u64));
            }
        },
    },
    Scenario {
        name: "controllers restart repeatedly while store responses are lost and transactions commit late",
        play: |w| {
            w.store_faults.lost_response_share = 0.15;
            (0..CONTROLLERS)
                .for_each(|n| restart_repeatedly(w, n, 14_000 + 7_000 * n as u64, 3, 80));
        },
    },
    Scenario {
        name: "all but one controller end within half a second, repeatedly, while transactions are answered late",
        play: |w| {
            w.store_faults.late_answers = Some(RandomDelay {
                share: 0.6,
                delay_ms: 300..600,
            });
            for round in 0..5 {
                let from = 14_000 + 18_000 * round;
                let leader = combined_faults::current_leader(w).unwrap_or(0);
                let others = (0..CONTROLLERS).filter(|n| *n != leader);
                others.for_each(|n| w.crash(n, from + 110 * n as u64, 8_000));
                w.run_until(from + 18_000);
            }
        },
    },
    Scenario {
        name: "machines restart instantly, with and without a reset of their counters",
        play: |w| {
            for round in 0..12 {
                w.run_until(14_000 + 4_000 * round);
                w.reboot_worker(round as usize % 5, round % 2 == 0);
            }
        },
    },
    Scenario {
        name: "jobs fail on every machine, and one machine fails every task",
        play: |w| {
            for index in 0..6 {
                let kind = ["sweep", "gang", "sweep"][index % 3];
                let mut plan = job(100 + index, "small", kind, 3, 1.0, 3_000);
                plan.at = Some(9_000 + 2_500 * index as u64);
                plan.broken = true;
                w.submit(plan);
            }
            w.run_until(15_000);
            w.break_worker(1);
        },
    },
    Scenario {
        name: "a mix of faults",
        play: |w| {
            w.network.heartbeat_copies = Some(HeartbeatCopies {
                share: 0.2,
                delay_ms: 500..40_000,
                replace_share: 0.3,
            });
            w.store_faults.lost_response_share = 0.05;
            w.network.cuts.push(cut_except_workers(3, 18, 30, true));
            restart_repeatedly(w, 1, 24_000, 4, 120);
            w.store_faults.outages.push((52_000, 64_000));
            for (at, index) in [(16_000, 0), (21_000, 3), (35_000, 2)] {
                w.run_until(at);
                w.drop_commands_to_worker(index, at + 30_000);
                w.reboot_worker(index + 2, index % 2 == 0);
            }
        },
    },
];

fn finish(world: &mut World, name: &str) {
    world.run_until(FAULTS_END.max(world.now));
    world.network.heartbeat_copies = None;
    world.network.command_copies = None;
    world.store_faults.late_answers = None;
    world.network.held_commands = None;
    world.network.late_reply_share = 0.0;
    (
        world.store_faults.lost_response_share,
        world.store_faults.late_write_share,
    ) = (0.0, 0.0);
    (world.network.slow_links, world.completion_race_share) = (None, 0.0);
    world.network.peer_copies = None;
    world.run_until(END);
    let broken_jobs: Vec<_> = world
        .jobs
        .iter()
        .filter(|j| j.broken)
        .map(JobPlan::id)
        .collect();
    let mut unfinished = world.unfinished_jobs();
    unfinished.retain(|id| !broken_jobs.contains(id));
    let violations = &world.rules.violations;
    assert!(
        violations.is_empty(),
        "{name}: violated invariants: {violations:?}"
    );
    assert_eq!(
        world.fault_counts.starts_by_copies, 0,
        "{name}: copies of direct commands started tasks"
    );
    assert!(
        unfinished.is_empty(),
        "{name}: unfinished jobs: {unfinished:?}"
    );
    let drift = world.index_drift();
    assert!(
        drift.is_empty(),
        "{name}: the capacity index differs from a recount: {drift:?}"
    );
    let unaccounted = world.unaccounted_jobs();
    assert!(
        unaccounted.is_empty(),
        "{name}: jobs without a known state or reason to wait: {unaccounted:?}"
    );
    let mut left_waiting_jobs = world.rules.left_waiting();
    left_waiting_jobs.retain(|(id, _)| !broken_jobs.contains(id));
    assert!(
        left_waiting_jobs.is_empty(),
        "{name}: runnable jobs left waiting: {left_waiting_jobs:?}"
    );
    let unheard = world.rules.unheard();
    assert!(
        unheard.is_empty(),
        "{name}: polls without a response in time: {unheard:?}"
    );
}

#[test]
fn unlisted_faults_break_no_invariant_and_leave_no_unfinished_work() {
    for scenario in SCENARIOS {
        for seed in 1..=3 {
            let mut world = world(seed);
            for (index, at) in [(2, 34_000), (3, 17_000), (9, 63_000), (0, 26_000)] {
                world.abort_at(at + seed % 3 * 700, index);
            }
            (scenario.play)(&mut world);
            finish(&mut world, &format!("{} (seed {seed})", scenario.name));
        }
    }
}

/// Plays random faults, and returns the world while some of them may still last.
fn random_scenario(seed: u64) -> World {
    let mut rng = SmallRng::seed_from_u64(seed ^ 0x5eed);
    let mut world = world(seed);
    search::inject(&mut world, seed);
    let uniform = |rng: &mut SmallRng, range: Range<u64>| rng.random_range(range);
    for index in [2, 3, 9, 0] {
        world.abort_at(uniform(&mut rng, 15_000..90_000), index);
    }
    if rng.random_bool(0.5) {
        let replaced = rng.random_range(0.0..0.6);
        let max_delay = uniform(&mut rng, 5_000..70_000);
        world.network.heartbeat_copies = Some(HeartbeatCopies {
            share: rng.random_range(0.05..0.5),
            delay_ms: 500..max_delay,
            replace_share: replaced,
        });
    }
    if rng.random_bool(0.4) {
        world.store_faults.lost_response_share = rng.random_range(0.01..0.15);
    }
    for controller in 0..CONTROLLERS {
        if rng.random_bool(0.3) {
            let (from, duration) = (rng.random_range(12..70), rng.random_range(4..45));
            let mut cut = cut_except_workers(controller, from, duration, rng.random_bool(0.5));
            if rng.random_bool(0.4) {
                cut.from_workers = rng.random_bool(0.5);
                cut.from_peers = rng.random_bool(0.5);
                cut.from_store = rng.random_bool(0.6);
            }
            world.network.cuts.push(cut);
        }
        if rng.random_bool(0.5) {
            let (from, downtime) = (
                uniform(&mut rng, 12_000..90_000),
                uniform(&mut rng, 30..4_000),
            );
            let count = uniform(&mut rng, 1..5);
            restart_repeatedly(&mut world, controller, from, count, downtime);
        }
    }
    if rng.random_bool(0.3) {
        let from = uniform(&mut rng, 14_000..90_000);
        world
            .store_faults
            .outages
            .push((from, from + uniform(&mut rng, 2_000..25_000)));
    }
    if rng.random_bool(0.3) {
        let from = uniform(&mut rng, 14_000..60_000);
        world
            .network
            .cloud_outages
            .push((from, from + uniform(&mut rng, 5_000..50_000)));
    }
    let mut at = 12_000;
    while at < FAULTS_END - 35_000 {
        at += uniform(&mut rng, 500..9_000);
        world.run_until(at);
        let index = uniform(&mut rng, 0..8) as usize;
        let duration = uniform(&mut rng, 2_000..60_000);
        let until = (at + duration).min(FAULTS_END);
        match uniform(&mut rng, 0..9) {
            0 | 1 => world.drop_commands_to_worker(index, until),
            2 | 3 => {
                let reset_counters = rng.random_bool(0.5);
                world.reboot_worker(index, reset_counters);
            }
            4 => world.hang_worker(index, until),
            5 => world.kill_worker(index),
            6 => world.break_worker(index),
            _ => {}
        }
    }
    world
}

/// The range of seeds, which `NAME_DAYS` (number) and `NAME_FROM` (first seed) override.
fn seeds(name: &str, count: u64) -> Range<u64> {
    let number = |what: &str, default| {
        let text = std::env::var(format!("{name}_{what}")).ok();
        text.and_then(|text| text.parse().ok()).unwrap_or(default)
    };
    let from = number("FROM", 1);
    from..from + number("DAYS", count)
}

/// Writes the controllers' logs to standard error, to examine one seed.
fn enable_logging_if_requested() {
    if std::env::var("TROUBLE_LOG").is_ok() {
        let level = tracing_subscriber::filter::LevelFilter::DEBUG;
        let log = tracing_subscriber::fmt()
            .with_max_level(level)
            .without_time();
        let _ = log.with_ansi(false).with_writer(std::io::stderr).try_init();
    }
}

#[test]
fn a_seeded_search_over_mixed_faults_finds_no_violation() {
    enable_logging_if_requested();
    let mut observed = search::Observed::default();
    for seed in seeds("TROUBLE", 12) {
        let mut world = random_scenario(seed);
        finish(&mut world, &format!("seed {seed}"));
        observed.add(&world, seed);
    }
    observed.assert_sufficient();
}

/// Guards against the loss of running tasks when a shard changes holders. A controller that reaches only its
/// workers renews their leases until another controller holds their shard. Workers that then stayed with the
/// lower token, instead of moving to the new holder, killed their tasks when their lease expired.
#[test]
fn shards_change_holders_without_killing_tasks() {
    let mut checked_machines = 0;
    for seed in 1..=12 {
        for controller in [0, 1] {
            let mut world = world(seed);
            world
                .network
                .cuts
                .push(cut_except_workers(controller, 20, 60, seed % 2 == 0));
            world.run_until(20_000);
            let busy_machines: Vec<_> = world
                .machines
                .by_id
                .iter()
                .filter(|(_, m)| m.stopped_at.is_none() && m.controller == controller)
                .filter(|(_, m)| m.tasks.values().any(|task| task.on_machine()))
                .map(|(machine_id, m)| (machine_id.clone(), m.agent_epoch))
                .collect();
            checked_machines += busy_machines.len();
            world.run_until(79_000);
            for (machine_id, agent_epoch) in busy_machines {
                let now = world.machines.by_id[&machine_id].agent_epoch;
                assert_eq!(
                    now, agent_epoch,
                    "{machine_id} of controller {controller} changed its agent epoch (seed {seed})"
                );
            }
            assert_eq!(
                world.cloud.deleted_at_work, 0,
                "busy machines deleted while controller {controller} is partitioned (seed {seed})"
            );
        }
    }
    assert!(
        checked_machines > 10,
        "only {checked_machines} busy machines were checked"
    );
}
