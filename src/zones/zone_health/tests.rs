use super::*;

const HOLD: Millis = Millis(60_000);
const UNLIMITED: usize = usize::MAX;

fn observation(machines: u32, silent: u32, controllers_silent: bool) -> ZoneObservation {
    ZoneObservation {
        machines,
        silent,
        one_way: 0,
        controllers_silent,
    }
}

fn suspects(zone: &str, count: usize) -> Vec<SuspectedMachine> {
    let eviction_costs = [
        EvictionCost::Replicas,
        EvictionCost::Idle,
        EvictionCost::Gangs,
        EvictionCost::Arrays,
    ];
    let suspect = |i: usize| SuspectedMachine {
        machine_id: format!("vm-{i:04}").into(),
        zone: zone.into(),
        eviction_cost: eviction_costs[i % 4],
    };
    (0..count).map(suspect).collect()
}

#[test]
fn the_health_of_a_zone_follows_its_machines_heartbeats() {
    use ZoneHealth::{Degraded, Healthy, Partitioned, Recovering};
    let cases = [
        // machines, silent, whether its controllers are silent too: health after each
        (vec![(100, 5, false)], vec![Healthy]),
        (vec![(2, 2, true)], vec![Healthy]),
        (vec![(100, 30, false)], vec![Degraded]),
        // A controller of the zone is in contact, so it is no partition.
        (vec![(100, 100, false)], vec![Degraded]),
        (
            vec![(100, 79, true), (100, 80, true)],
            vec![Degraded, Partitioned],
        ),
        // Hysteresis: a state is left at a lower fraction than it is entered.
        (
            vec![
                (100, 90, true),
                (100, 60, true),
                (100, 49, true),
                (100, 9, true),
            ],
            vec![Partitioned, Partitioned, Recovering, Healthy],
        ),
        (
            vec![(100, 90, true), (100, 90, false)],
            vec![Partitioned, Recovering],
        ),
        (
            vec![(100, 30, false), (100, 13, false), (100, 12, false)],
            vec![Degraded, Degraded, Healthy],
        ),
    ];
    // Machines in contact one way only: a few are replaced; many, or most of a small zone's, are a partition.
    for (machines, one_way, expected) in [
        (4, 2, Degraded),
        (5, 3, Partitioned),
        (7, 3, Degraded),
        (100, 20, Healthy),
        (100, 30, Partitioned),
    ] {
        let mut zones = ZoneHealthTracker::default();
        let observed = ZoneObservation {
            one_way,
            ..observation(machines, one_way, false)
        };
        zones.observe(&Zone::from("a"), observed, Millis(1));
        assert_eq!(
            zones.health(&Zone::from("a")),
            expected,
            "{one_way} of {machines}"
        );
    }
    for (observations, expected) in cases {
        let (mut zones, zone) = (ZoneHealthTracker::default(), Zone::from("a"));
        for (index, (observed, expected)) in observations.iter().zip(&expected).enumerate() {
            let (machines, silent, controllers) = *observed;
            let at = Millis(index as u64 * 1_000);
            zones.observe(&zone, observation(machines, silent, controllers), at);
            assert_eq!(zones.health(&zone), *expected, "{observations:?}, {index}");
        }
    }
}

/// A zone was cut off for 51 s. From the 35th second on its machines were deleted, a hundred a second, and
/// nearly all of them ran tasks.
#[test]
fn a_partitioned_zone_is_kept_and_then_deleted_in_steps() {
    let zone = Zone::from("a");
    let cases = [
        // silent machines, whether the zone's controllers are silent too; deleted after 0, 59, 60, 70, 80 and 110 s
        (10, false, [10, 10, 10, 10, 10, 10]),
        // At 110 s the bound of half a zone in 30 s limits the count.
        (100, true, [0, 0, 2, 4, 8, 54]),
    ];
    for (silent, controllers, expected) in cases {
        let mut zones = ZoneHealthTracker::default();
        zones.observe(&zone, observation(100, silent, controllers), Millis(0));
        zones.observe(&Zone::from("b"), observation(900, 0, false), Millis(0));
        let mut remaining = suspects("a", silent as usize);
        let mut deleted = 0;
        for (at_s, expected) in [0, 59, 60, 70, 80, 110].into_iter().zip(expected) {
            let chosen =
                zones.choose_deletions(remaining.clone(), UNLIMITED, HOLD, Millis(at_s * 1_000));
            remaining.retain(|suspect| !chosen.contains(&suspect.machine_id));
            deleted += chosen.len();
            assert_eq!(deleted, expected, "{silent} silent, after {at_s} s");
        }
    }
}

#[test]
fn the_cheapest_machines_are_deleted_first() {
    let mut zones = ZoneHealthTracker::default();
    let zone = Zone::from("a");
    zones.observe(&zone, observation(40, 40, true), Millis(0));
    let chosen = zones.choose_deletions(suspects("a", 40), UNLIMITED, Millis(0), Millis(30_000));
    let expected: Vec<MachineId> = (0..7)
        .map(|i| format!("vm-{:04}", 4 * i + 1).into())
        .collect();
    assert_eq!(chosen, expected);
}

/// A request to the cloud deletes at most a hundred machines. All machines that were chosen at once counted
/// against the bound, and those that did not fit into the request waited for half a minute.
#[test]
fn only_sent_deletions_count_against_the_bound() {
    let mut zones = ZoneHealthTracker::default();
    zones.observe(&Zone::from("a"), observation(1_000, 200, false), Millis(0));
    let mut suspected = suspects("a", 200);
    for at in [1_000, 2_000] {
        let chosen = zones.choose_deletions(suspected.clone(), 100, HOLD, Millis(at));
        assert_eq!(chosen.len(), 100, "at {at}");
        suspected.retain(|suspect| !chosen.contains(&suspect.machine_id));
    }
}

/// A leader with a wrong view of the cluster cannot delete the fleet at once.
#[test]
fn deletions_for_silence_are_bounded_per_zone_and_in_total() {
    for (zones_silent, expected) in [(1, 50), (4, 100)] {
        let mut zones = ZoneHealthTracker::default();
        let names = ["a", "b", "c", "d"];
        let mut suspected = Vec::new();
        for (index, name) in names.into_iter().enumerate() {
            let silent = if index < zones_silent { 100 } else { 0 };
            zones.observe(
                &Zone::from(name),
                observation(100, silent, false),
                Millis(0),
            );
            suspected.extend(suspects(name, silent as usize).into_iter().map(|s| {
                SuspectedMachine {
                    machine_id: format!("{name}-{}", s.machine_id).into(),
                    ..s
                }
            }));
        }
        let first = zones.choose_deletions(suspected.clone(), UNLIMITED, HOLD, Millis(1_000));
        assert_eq!(first.len(), expected, "{zones_silent} zones");
        suspected.retain(|suspect| !first.contains(&suspect.machine_id));
        assert!(
            zones
                .choose_deletions(suspected.clone(), UNLIMITED, HOLD, Millis(30_000))
                .is_empty()
        );
        assert!(
            !zones
                .choose_deletions(suspected, UNLIMITED, HOLD, Millis(32_000))
                .is_empty()
        );
    }
}
