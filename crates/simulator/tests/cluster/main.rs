//! Complete controllers in a simulated cluster: crashes, partitions, outages, late messages. The
//! simulator checks the invariants; each test also checks that the jobs finish.

use cluster_simulator::config::Config;
use cluster_simulator::sim::{Cut, JobPlan, World, ZoneCut, job};
use jaspertiller::types::Millis;

const CONTROLLERS: usize = 5;
/// Fewer machines than this are no evidence about the health of their zone.
const MIN_ZONE_MACHINES: usize = 5;

/// The safeguards that are disabled, to show that the simulator's checks can fail.
#[derive(Clone, Copy, Default)]
struct DisabledSafeguards {
    /// The store ignores the conditions of transactions.
    conditions: bool,
    /// Workers keep their tasks after their lease has expired.
    leases: bool,
}

fn mixed_jobs() -> Vec<JobPlan> {
    (0..14)
        .map(|i| match i % 7 {
            0 => job(i, "small", "sweep", 5, 1.0, 6_000),
            1 => job(i, "large", "gang", 2, 1.0, 5_000),
            2 => job(i, "small", "standing", 2, 1.0, 0),
            4 => job(i, "small", "gang", 3, 1.0, 4_000),
            // Tasks that need whole machines, more than one holder's shard has initially.
            3 if i < 7 => job(i, "large", "sweep", 12, 1.0, 3_000),
            3 => job(i, "large", "gang", 4, 4.0, 6_000),
            5 => job(i, "large", "sweep", 1, 1.0, 20_000),
            _ => job(i, "small", "sweep", 4, 1.0, 3_000),
        })
        .collect()
}

fn world(seed: u64) -> World {
    let config = Config {
        controllers: CONTROLLERS,
        ..Config::default()
    };
    World::new(config, seed, mixed_jobs())
}

struct Scenario {
    name: &'static str,
    inject_faults: fn(&mut World),
}

fn cut(
    controller: usize,
    store: bool,
    workers: bool,
    peers: bool,
    from_s: u64,
    for_s: u64,
    hold: bool,
) -> Cut {
    Cut {
        controller,
        from_store: store,
        from_workers: workers,
        from_peers: peers,
        since: from_s * 1_000,
        until: (from_s + for_s) * 1_000,
        hold,
    }
}

fn zone_cut(zone: &str, from_s: u64, for_s: u64, hold: bool) -> ZoneCut {
    ZoneCut {
        zone: zone.into(),
        since: from_s * 1_000,
        until: (from_s + for_s) * 1_000,
        hold,
    }
}

const SCENARIOS: &[Scenario] = &[
    Scenario {
        name: "no faults",
        inject_faults: |_| {},
    },
    Scenario {
        name: "one controller after another crashes",
        inject_faults: |w| {
            (0..CONTROLLERS).for_each(|n| w.crash(n, 15_000 + 9_000 * n as u64, 3_000))
        },
    },
    Scenario {
        name: "all controllers crash during a store outage",
        inject_faults: |w| {
            w.store_faults.outages.push((18_000, 40_000));
            (0..CONTROLLERS).for_each(|n| w.crash(n, 25_000, 4_000));
        },
    },
    Scenario {
        name: "store responses are lost, transactions arrive late",
        inject_faults: |w| w.store_faults.lost_response_share = 0.15,
    },
    Scenario {
        name: "a holder is partitioned from the store only",
        inject_faults: |w| {
            w.network
                .cuts
                .push(cut(0, true, false, false, 14, 40, true))
        },
    },
    Scenario {
        name: "a holder is partitioned from store and peers, its messages arrive late",
        inject_faults: |w| w.network.cuts.push(cut(1, true, false, true, 14, 45, true)),
    },
    Scenario {
        name: "a holder is partitioned from workers, its commands arrive late",
        inject_faults: |w| {
            w.network
                .cuts
                .push(cut(2, false, true, false, 14, 40, true))
        },
    },
    Scenario {
        name: "a holder is fully partitioned, then another crashes",
        inject_faults: |w| {
            w.network.cuts.push(cut(0, true, true, true, 12, 30, true));
            w.crash(1, 20_000, 5_000);
        },
    },
    Scenario {
        name: "a cloud outage while one machine is faulty and another fails",
        inject_faults: |w| {
            w.run_until(15_000);
            w.network.cloud_outages.push((15_000, 45_000));
            w.break_worker(0);
            w.kill_worker(1);
        },
    },
    Scenario {
        name: "one controller after another, leader or not, is fully partitioned",
        inject_faults: |w| {
            for controller in 0..CONTROLLERS {
                w.network.cuts.push(cut(
                    controller,
                    true,
                    true,
                    true,
                    14 + 40 * controller as u64,
                    22,
                    false,
                ));
            }
        },
    },
    Scenario {
        name: "machines are partitioned during a cloud outage",
        inject_faults: |w| {
            w.network.cloud_outages.push((16_000, 50_000));
            w.cut_workers(&[0, 1, 2], 16_000, 50_000);
        },
    },
    Scenario {
        name: "image fetches take longer than the gang timeout",
        inject_faults: |w| w.machines.fetch_duration = Some(2_000..25_000),
    },
    Scenario {
        name: "slow image fetches, lost responses, all controllers crash one after another",
        inject_faults: |w| {
            w.machines.fetch_duration = Some(2_000..25_000);
            w.store_faults.lost_response_share = 0.05;
            (0..CONTROLLERS).for_each(|n| w.crash(n, 20_000 + 11_000 * n as u64, 5_000));
        },
    },
    Scenario {
        name: "a zone is partitioned for 20 s",
        inject_faults: |w| w.network.zone_cuts.push(zone_cut("b", 18, 20, true)),
    },
    Scenario {
        name: "a zone is partitioned for 50 s, its controllers crash meanwhile",
        inject_faults: |w| {
            w.network.zone_cuts.push(zone_cut("b", 20, 50, true));
            w.crash(1, 31_000, 3_000);
            w.crash(3, 31_500, 5_000);
        },
    },
    Scenario {
        name: "a zone is partitioned for 120 s, its controllers crash early and late",
        inject_faults: |w| {
            w.network.zone_cuts.push(zone_cut("b", 21, 120, false));
            w.crash(1, 23_000, 3_000);
            w.crash(3, 60_000, 8_000);
        },
    },
    Scenario {
        name: "a zone is partitioned repeatedly, with lost responses",
        inject_faults: |w| {
            w.store_faults.lost_response_share = 0.05;
            for round in 0..6 {
                w.network
                    .zone_cuts
                    .push(zone_cut("a", 15 + 20 * round, 10, true));
            }
        },
    },
    Scenario {
        name: "a zone and its controllers lose power",
        inject_faults: |w| {
            w.crash(1, 20_000, 70_000);
            w.crash(3, 20_000, 70_000);
            w.run_until(20_000);
            w.power_off_zone("b");
        },
    },
    Scenario {
        name: "half a zone is partitioned, then the other half",
        inject_faults: |w| {
            w.cut_workers(&[0, 2, 4, 6], 18_000, 58_000);
            w.cut_workers(&[1, 3, 5, 7], 45_000, 80_000);
        },
    },
    Scenario {
        name: "a silent zone is given up while its partition ends",
        inject_faults: |w| {
            w.change_operator_settings(|operator| operator.partitioned_zone_hold = Millis(1_000));
            w.network.zone_cuts.push(zone_cut("b", 18, 34, true));
            w.network.zone_cuts.push(zone_cut("a", 70, 33, true));
        },
    },
    Scenario {
        name: "zones are partitioned one after another, also during a store outage",
        inject_faults: |w| {
            w.network.zone_cuts.push(zone_cut("a", 18, 35, true));
            w.network.zone_cuts.push(zone_cut("b", 50, 40, true));
            w.store_faults.outages.push((60_000, 75_000));
            w.crash(2, 25_000, 4_000);
            w.crash(3, 64_000, 4_000);
        },
    },
    Scenario {
        name: "lost responses, a crash and a partition at once",
        inject_faults: |w| {
            w.store_faults.lost_response_share = 0.08;
            w.crash(2, 16_000, 6_000);
            w.network.cuts.push(cut(0, false, true, true, 18, 25, true));
        },
    },
];

fn run_scenario(seed: u64, scenario: &Scenario, disabled: DisabledSafeguards) -> World {
    let mut world = world(seed);
    world.store.ignore_conditions = disabled.conditions;
    world.machines.ignore_lease_expiry = disabled.leases;
    for (index, at) in [(2, 22_000), (3, 17_000), (9, 33_000), (0, 26_000)] {
        world.abort_at(at + (seed % 7) * 500, index);
    }
    (scenario.inject_faults)(&mut world);
    // The last fault of every scenario is over by then.
    world.rules.calm = Millis(200_000);
    world.run_until(300_000);
    world
}

#[test]
fn invariants_hold_and_all_jobs_finish_under_faults() {
    for scenario in SCENARIOS {
        for seed in 1..=3 {
            let world = run_scenario(seed, scenario, DisabledSafeguards::default());
            let name = format!("{} (seed {seed})", scenario.name);
            assert!(
                world.rules.violations.is_empty(),
                "{name}: {:?}",
                world.rules.violations
            );
            assert!(
                world.unfinished_jobs().is_empty(),
                "{name}: {:?}",
                world.unfinished_jobs()
            );
            assert!(
                world.unaccounted_jobs().is_empty(),
                "{name}: {:?}",
                world.unaccounted_jobs()
            );
            let unheard = world.rules.unheard();
            assert!(unheard.is_empty(), "{name}: {unheard:?}");
            assert!(
                world.rules.starts > 20,
                "{name}: only {} starts",
                world.rules.starts
            );
        }
    }
}

/// A partitioned leader considers its machines failed; its deletions must not reach the cloud.
#[test]
fn busy_machines_are_not_deleted_by_a_partitioned_controller() {
    let scenarios = SCENARIOS.iter().filter(|scenario| {
        scenario.name.starts_with("one controller") || scenario.name == "no faults"
    });
    for scenario in scenarios {
        for seed in 1..=6 {
            let world = run_scenario(seed, scenario, DisabledSafeguards::default());
            assert_eq!(
                world.cloud.deleted_at_work, 0,
                "{} (seed {seed})",
                scenario.name
            );
        }
    }
}

/// Guards against workers that kill all their tasks when their zone is partitioned for longer than a lease,
/// even with a controller inside the partition, or when that controller crashes during it.
#[test]
fn a_partitioned_zone_keeps_running_its_tasks() {
    let cases: &[(&str, &[(usize, u64)])] = &[
        ("no controller crashes", &[]),
        ("one crashes", &[(1, 32_000)]),
        ("both crash", &[(1, 32_000), (3, 32_000)]),
        (
            "both crash, one twice",
            &[(1, 32_000), (3, 32_000), (1, 62_000)],
        ),
    ];
    for (name, crashes) in cases {
        let mut runs_with_tasks = 0;
        for seed in 1..=41 {
            let mut config = Config {
                controllers: CONTROLLERS,
                ..Config::default()
            };
            // A worker that looks for another controller waits 5 s for each unreachable one.
            config.timing.lease = Millis(26_000);
            config.timing.cancel = Millis(46_000);
            let mut world = World::new(config, seed, mixed_jobs());
            world.network.zone_cuts.push(zone_cut("b", 20, 60, true));
            for (controller, at) in *crashes {
                world.crash(*controller, *at, 3_000);
            }
            world.run_until(20_000);
            let machines = world.machines.by_id.iter();
            let up = machines.filter(|(_, m)| m.stopped_at.is_none() && m.zone.as_str() == "b");
            let inside: Vec<_> = up.collect();
            // The partition of a zone with very few machines cannot be detected.
            if inside.len() < MIN_ZONE_MACHINES {
                continue;
            }
            // A machine whose tasks have all ended may be known to be idle and deleted.
            let busy = inside
                .into_iter()
                .filter(|(_, m)| m.tasks.values().any(|task| task.on_machine()));
            let inside: Vec<_> = busy
                .map(|(machine_id, m)| (machine_id.clone(), m.agent_epoch))
                .collect();
            runs_with_tasks += usize::from(!inside.is_empty());
            world.run_until(79_000);
            for (machine_id, agent_epoch) in inside {
                let machine = &world.machines.by_id[&machine_id];
                let kept = machine.stopped_at.is_none() && machine.agent_epoch == agent_epoch;
                assert!(
                    kept,
                    "{name} (seed {seed}): {machine_id} {agent_epoch} {} {:?}",
                    machine.agent_epoch, machine.stopped_at
                );
            }
        }
        assert!(
            runs_with_tasks >= 5,
            "{name}: only {runs_with_tasks} runs had busy machines in the zone"
        );
    }
}

/// Guards against the deletion of nearly all machines of a zone, most of them busy, from the 35th second of
/// its partition on.
#[test]
fn a_zone_partitioned_for_a_minute_keeps_its_machines() {
    for seed in 1..=4 {
        let mut world = world(seed);
        world.network.zone_cuts.push(zone_cut("b", 20, 60, true));
        world.run_until(79_900);
        assert_eq!(world.cloud.deleted_at_work, 0, "seed {seed}");
        // The services use quota that other jobs of their team wait for.
        for index in [2, 9] {
            world.abort_at(90_000, index);
        }
        world.run_until(240_000);
        assert!(world.unfinished_jobs().is_empty(), "seed {seed}");
    }
}

/// The simulator's checks can fail: with a safeguard disabled, some run violates an invariant.
#[test]
fn disabling_a_safeguard_violates_an_invariant() {
    let safeguards = [
        (
            "conditions",
            DisabledSafeguards {
                conditions: true,
                ..DisabledSafeguards::default()
            },
        ),
        (
            "leases",
            DisabledSafeguards {
                leases: true,
                ..DisabledSafeguards::default()
            },
        ),
    ];
    for (name, disabled) in safeguards {
        let found = SCENARIOS
            .iter()
            .flat_map(|scenario| (1..=8).map(move |seed| (scenario, seed)))
            .any(|(scenario, seed)| {
                !run_scenario(seed, scenario, disabled)
                    .rules
                    .violations
                    .is_empty()
            });
        assert!(found, "no violation found without {name}");
    }
}

#[test]
fn the_same_seed_gives_the_same_run() {
    let outcome = |_| {
        let world = run_scenario(5, &SCENARIOS[3], DisabledSafeguards::default());
        let mut done: Vec<_> = world.rules.done.iter().cloned().collect();
        done.sort();
        (world.rules.starts, done)
    };
    assert_eq!(outcome(0), outcome(1));
}

/// Controllers that start during a cloud outage read the machine types from the store.
#[test]
fn jobs_are_accepted_after_a_restart_during_a_cloud_outage() {
    let mut world = world(1);
    world.network.cloud_outages.push((8_000, 200_000));
    (0..CONTROLLERS).for_each(|n| world.crash(n, 9_000, 2_000));
    world.run_until(60_000);
    assert_eq!(world.rules.accepted.len(), world.jobs.len());
    assert!(
        world.rules.violations.is_empty(),
        "{:?}",
        world.rules.violations
    );
}
