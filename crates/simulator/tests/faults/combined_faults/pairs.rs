//! A seeded search over sequences of two or three faults, each timed relative to a step of the previous one.
//! Guards against faults that break an invariant only when they coincide with the handling of another one.

use cluster_simulator::sim::{
    HeartbeatCopies, RandomDelay, Refusal, SlowStore, World, ZoneCut, job,
};
use jaspertiller::types::Millis;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use super::super::{
    FAULTS_END, cut_except_workers, enable_logging_if_requested, finish, search, seeds,
};
use super::holders::SCENARIOS;
use super::{FAULT_START, leader, limit_reachability_to};

/// Injects one fault now. Returns the times of its steps in ms from now: its start, the change of leader or
/// shard holder that it causes, and its end.
fn inject(world: &mut World, kind: u32, rng: &mut SmallRng) -> Vec<u64> {
    let (now, target, controller_count) =
        (world.now, leader_or_first(world), world.controllers.len());
    let duration = rng.random_range(4_000..40_000);
    let takeover = rng.random_range(4_800..7_500);
    let random_worker = |rng: &mut SmallRng| rng.random_range(0..8);
    match kind {
        0 => {
            let until = now + duration / 2;
            world.store_faults.refusals.push(Refusal {
                controller: target,
                since: now,
                until,
            });
            return vec![0, takeover, duration / 2];
        }
        1 => {
            let mut cut = cut_except_workers(target, 0, 0, rng.random_bool(0.5));
            (cut.since, cut.until) = (now, now + duration);
            world.network.cuts.push(cut);
            return vec![0, takeover, duration];
        }
        2 => {
            world.store_faults.outages.push((now, now + duration));
            return vec![0, duration];
        }
        3 => {
            let downtime = rng.random_range(50..3_000);
            world.crash(target, now, downtime);
            return vec![0, downtime, downtime + takeover];
        }
        4 => {
            for controller in 0..controller_count {
                let at = now + rng.random_range(0..400);
                world.crash(controller, at, rng.random_range(50..4_000));
            }
            return vec![0, 900, takeover];
        }
        5 => (0..6).for_each(|_| world.drop_commands_to_worker(random_worker(rng), now + duration)),
        6 => (0..4).for_each(|_| world.hang_worker(random_worker(rng), now + duration / 3)),
        7 => limit_reachability_to(world, target, now + duration, rng.random_bool(0.5)),
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
        11 => (0..3).for_each(|_| world.reboot_worker(random_worker(rng), rng.random_bool(0.3))),
        12 => {
            let max_delay = rng.random_range(100..2_300);
            world.store_faults.slow = Some(SlowStore {
                until: now + duration,
                delay_ms: max_delay / 4..max_delay,
            });
        }
        13 => {
            let machines = world.machines.by_id.values_mut();
            for machine in machines.filter(|_| rng.random_bool(0.4)) {
                machine.unreachable_until = Millis(now + duration);
            }
        }
        14 => {
            let share = rng.random_range(0.1..1.0);
            let machines = world.machines.by_id.values_mut();
            for machine in machines.filter(|_| rng.random_bool(share)) {
                machine.heartbeats_lost_until = Millis(now + duration);
            }
        }
        15 => {
            // Users cancel half of the running jobs, and their machines hang.
            for index in 0..world.jobs.len() {
                if rng.random_bool(0.5) {
                    world.abort_at(now + rng.random_range(0..200), index);
                }
            }
            (0..4).for_each(|_| world.hang_worker(random_worker(rng), now + duration));
        }
        16 => world.completion_race_share = rng.random_range(0.2..1.0),
        17 => {
            let max_delay = rng.random_range(200..1_900);
            world.network.slow_links = Some(max_delay / 4..max_delay);
        }
        18 => {
            let zone = world.settings[target].zone.clone();
            world.network.zone_cuts.push(ZoneCut {
                zone,
                since: now,
                until: now + duration,
                hold: rng.random_bool(0.5),
            });
        }
        _ => {
            let machine_ids: Vec<_> = world.machines.by_id.keys().cloned().collect();
            let intercepted = machine_ids.into_iter().filter(|_| rng.random_bool(0.4));
            world.network.intercepted_machines.extend(intercepted);
        }
    }
    vec![0, duration / 3, duration]
}

/// Index of the last recorded leader, or 0 if the store has no leader record.
fn leader_or_first(world: &World) -> usize {
    world.store.get("jt/lead").map_or(0, |_| leader(world))
}

/// Plays two or three faults, each timed relative to a step of the previous one.
fn play_fault_sequence(seed: u64) -> World {
    let mut rng = SmallRng::seed_from_u64(seed ^ 0x3ee7);
    let mut world = SCENARIOS[rng.random_range(0..SCENARIOS.len())].world(seed);
    search::inject(&mut world, seed);
    if rng.random_bool(0.4) {
        world.machines.run_time_spread = 0.9;
    }
    let first_fault_at = rng.random_range(14_000..FAULT_START + 15_000);
    if rng.random_bool(0.6) {
        // Jobs with short tasks keep one team at its limit.
        for index in 0..12 {
            let (run, team) = (rng.random_range(2_000..9_000), "small");
            let mut plan = job(50 + index, team, "sweep", 4, 1.0, run);
            plan.at = Some(first_fault_at - 9_000 + rng.random_range(0..55_000));
            world.submit(plan);
        }
    }
    for index in 0..9 {
        let at = first_fault_at + rng.random_range(0..45_000);
        world.abort_at(at.saturating_sub(3_000), index);
    }
    world.run_until(first_fault_at);
    let count = rng.random_range(2..4);
    for _ in 0..count {
        let kind = rng.random_range(0..20);
        // Intercepted heartbeats arrive now, at the current leader.
        let target = leader_or_first(&world);
        world.release_heartbeats(target);
        let from = world.now;
        tracing::info!(kind, from, "injecting fault");
        let steps = inject(&mut world, kind, &mut rng);
        let step = steps[rng.random_range(0..steps.len())];
        let next = from + (step + rng.random_range(0..2_000)).saturating_sub(500);
        world.run_until(next.max(from).min(FAULTS_END - 45_000));
    }
    let target = leader_or_first(&world);
    world.release_heartbeats(target);
    world
}

#[test]
fn seeded_search_over_fault_sequences_finds_no_violation() {
    enable_logging_if_requested();
    let mut observed = search::Observed::default();
    for seed in seeds("PAIR", 16) {
        let mut world = play_fault_sequence(seed);
        finish(&mut world, &format!("fault sequence (seed {seed})"));
        observed.add(&world, seed);
    }
    observed.assert_sufficient();
}
