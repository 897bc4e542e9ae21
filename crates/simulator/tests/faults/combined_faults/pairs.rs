//! A seeded search over pairs of troubles, each placed relative to a step of the one before.

use cluster_simulator::sim::{Refusal, World, ZoneCut, job};
use jaspertiller::types::Millis;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use super::super::{CALM, alone, finish, log_if_asked, seeds};
use super::holders::MEETINGS;
use super::{AT, hear_only, leader};

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
        5 => (0..6).for_each(|_| world.drop_commands_to_worker(some(luck), now + long)),
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
        13 => {
            let machine_ids = world.machines.machine_ids.values_mut();
            for machine in machine_ids.filter(|_| luck.random_bool(0.4)) {
                machine.unreachable_until = Millis(now + long);
            }
        }
        14 => {
            let share = luck.random_range(0.1..1.0);
            let machine_ids = world.machines.machine_ids.values_mut();
            for machine in machine_ids.filter(|_| luck.random_bool(share)) {
                machine.heartbeats_lost_until = Millis(now + long);
            }
        }
        15 => {
            // Users call off half of what runs, and its machines hang.
            for index in 0..world.jobs.len() {
                if luck.random_bool(0.5) {
                    world.abort_at(now + luck.random_range(0..200), index);
                }
            }
            (0..4).for_each(|_| world.hang_worker(some(luck), now + long));
        }
        16 => world.meet_ends = luck.random_range(0.2..1.0),
        17 => {
            let by = luck.random_range(200..1_900);
            world.slow_links = Some(by / 4..by);
        }
        18 => {
            let zone = world.settings[old].zone.clone();
            world.zone_cuts.push(ZoneCut {
                zone,
                since: now,
                until: now + long,
                hold: luck.random_bool(0.5),
            });
        }
        _ => {
            let machine_ids: Vec<_> = world.machines.machine_ids.keys().cloned().collect();
            let held = machine_ids.into_iter().filter(|_| luck.random_bool(0.4));
            world.holds_heartbeats.extend(held);
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
        let kind = luck.random_range(0..20);
        // What was held back before arrives now, at whoever leads.
        let to = leader_or_first(&world);
        world.let_heartbeats_through(to);
        let from = world.now;
        tracing::info!(kind, from, "a trouble begins");
        let steps = strike(&mut world, kind, &mut luck);
        let step = steps[luck.random_range(0..steps.len())];
        let next = from + (step + luck.random_range(0..2_000)).saturating_sub(500);
        world.run_until(next.max(from).min(CALM - 45_000));
    }
    let to = leader_or_first(&world);
    world.let_heartbeats_through(to);
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
