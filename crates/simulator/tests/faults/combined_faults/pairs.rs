//! A seeded search over pairs of faults; each fault is timed relative to a step of the previous one.

use cluster_simulator::sim::{
    HeartbeatCopies, RandomDelay, Refusal, SlowStore, World, ZoneCut, job,
};
use jaspertiller::types::Millis;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use super::super::{FAULTS_END, cut_except_workers, finish, log_if_asked, seeds};
use super::holders::SCENARIOS;
use super::{FAULT_START, leader, limit_reachability_to};

/// Injects one fault now. Returns the times of its steps in ms from now: its start, the change of leader or
/// holder that it causes, and its end.
fn inject(world: &mut World, kind: u32, rng: &mut SmallRng) -> Vec<u64> {
    let (now, old, nodes) = (world.now, leader_or_first(world), world.controllers.len());
    let long = rng.random_range(4_000..40_000);
    let hand_over = rng.random_range(4_800..7_500);
    let some = |rng: &mut SmallRng| rng.random_range(0..8);
    match kind {
        0 => {
            let until = now + long / 2;
            world.store_faults.refusals.push(Refusal {
                controller: old,
                since: now,
                until,
            });
            return vec![0, hand_over, long / 2];
        }
        1 => {
            let mut cut = cut_except_workers(old, 0, 0, rng.random_bool(0.5));
            (cut.since, cut.until) = (now, now + long);
            world.network.cuts.push(cut);
            return vec![0, hand_over, long];
        }
        2 => {
            world.store_faults.outages.push((now, now + long));
            return vec![0, long];
        }
        3 => {
            let back = rng.random_range(50..3_000);
            world.crash(old, now, back);
            return vec![0, back, back + hand_over];
        }
        4 => {
            for controller in 0..nodes {
                let at = now + rng.random_range(0..400);
                world.crash(controller, at, rng.random_range(50..4_000));
            }
            return vec![0, 900, hand_over];
        }
        5 => (0..6).for_each(|_| world.drop_commands_to_worker(some(rng), now + long)),
        6 => (0..4).for_each(|_| world.hang_worker(some(rng), now + long / 3)),
        7 => limit_reachability_to(world, old, now + long, rng.random_bool(0.5)),
        8 => world.store_faults.late_write_share = rng.random_range(0.05..0.5),
        9 => {
            world.network.heartbeat_copies = Some(HeartbeatCopies {
                share: rng.random_range(0.1..0.6),
                delay_ms: 1_000..50_000,
                replace_share: 0.2,
            })
        }
        10 => {
            world.network.held_commands = Some(RandomDelay {
                share: rng.random_range(0.1..0.6),
                delay_ms: 300..9_000,
            })
        }
        11 => (0..3).for_each(|_| world.reboot_worker(some(rng), rng.random_bool(0.3))),
        12 => {
            let by = rng.random_range(100..2_300);
            world.store_faults.slow = Some(SlowStore {
                until: now + long,
                delay_ms: by / 4..by,
            });
        }
        13 => {
            let machines = world.machines.by_id.values_mut();
            for machine in machines.filter(|_| rng.random_bool(0.4)) {
                machine.unreachable_until = Millis(now + long);
            }
        }
        14 => {
            let share = rng.random_range(0.1..1.0);
            let machines = world.machines.by_id.values_mut();
            for machine in machines.filter(|_| rng.random_bool(share)) {
                machine.heartbeats_lost_until = Millis(now + long);
            }
        }
        15 => {
            // Users cancel half of the running jobs, and their machines hang.
            for index in 0..world.jobs.len() {
                if rng.random_bool(0.5) {
                    world.abort_at(now + rng.random_range(0..200), index);
                }
            }
            (0..4).for_each(|_| world.hang_worker(some(rng), now + long));
        }
        16 => world.completion_race_share = rng.random_range(0.2..1.0),
        17 => {
            let by = rng.random_range(200..1_900);
            world.network.slow_links = Some(by / 4..by);
        }
        18 => {
            let zone = world.settings[old].zone.clone();
            world.network.zone_cuts.push(ZoneCut {
                zone,
                since: now,
                until: now + long,
                hold: rng.random_bool(0.5),
            });
        }
        _ => {
            let machine_ids: Vec<_> = world.machines.by_id.keys().cloned().collect();
            let held = machine_ids.into_iter().filter(|_| rng.random_bool(0.4));
            world.network.intercepted_machines.extend(held);
        }
    }
    vec![0, long / 3, long]
}

/// The last leader, or controller 0 while there is none.
fn leader_or_first(world: &World) -> usize {
    world.store.get("jt/lead").map_or(0, |_| leader(world))
}

/// Plays two or three faults, each timed relative to a step of the previous one.
fn pair(seed: u64) -> World {
    let mut rng = SmallRng::seed_from_u64(seed ^ 0x3ee7);
    let mut world = SCENARIOS[rng.random_range(0..SCENARIOS.len())].world(seed);
    if rng.random_bool(0.4) {
        world.machines.run_time_spread = 0.9;
    }
    let begin = rng.random_range(14_000..FAULT_START + 15_000);
    if rng.random_bool(0.6) {
        // A team at its limit, with short tasks.
        for index in 0..12 {
            let (run, team) = (rng.random_range(2_000..9_000), "small");
            let mut plan = job(50 + index, team, "sweep", 4, 1.0, run);
            plan.at = Some(begin - 9_000 + rng.random_range(0..55_000));
            world.submit(plan);
        }
    }
    for index in 0..9 {
        let at = begin + rng.random_range(0..45_000);
        world.abort_at(at.saturating_sub(3_000), index);
    }
    world.run_until(begin);
    let count = rng.random_range(2..4);
    for _ in 0..count {
        let kind = rng.random_range(0..20);
        // Messages that were held back arrive now, at the current leader.
        let to = leader_or_first(&world);
        world.release_heartbeats(to);
        let from = world.now;
        tracing::info!(kind, from, "a trouble begins");
        let steps = inject(&mut world, kind, &mut rng);
        let step = steps[rng.random_range(0..steps.len())];
        let next = from + (step + rng.random_range(0..2_000)).saturating_sub(500);
        world.run_until(next.max(from).min(FAULTS_END - 45_000));
    }
    let to = leader_or_first(&world);
    world.release_heartbeats(to);
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
