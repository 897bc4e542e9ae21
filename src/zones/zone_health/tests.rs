use super::*;

const HOLD: Millis = Millis(60_000);
const ANY: usize = usize::MAX;

fn seen(machines: u32, silent: u32, controllers_silent: bool) -> ZoneObservation {
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
fn a_zone_stands_as_its_machines_are_heard() {
    use ZoneHealth::{Degraded, Healthy, Partitioned, Recovering};
    let cases = [
        // machines, silent, its controllers too: standing after each
        (vec![(100, 5, false)], vec![Healthy]),
        (vec![(2, 2, true)], vec![Healthy]),
        (vec![(100, 30, false)], vec![Degraded]),
        // A controller speaks from there, so it is no cut.
        (vec![(100, 100, false)], vec![Degraded]),
        (
            vec![(100, 79, true), (100, 80, true)],
            vec![Degraded, Partitioned],
        ),
        // It is left at another point than entered.
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
    // Machines in contact one way only: a few are replaced, many are a cut, and in a small zone most.
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
            ..seen(machines, one_way, false)
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
            zones.observe(&zone, seen(machines, silent, controllers), at);
            assert_eq!(zones.health(&zone), *expected, "{observations:?}, {index}");
        }
    }
}

/// A zone was cut off for 51 s. From the 35th second on its machines were deleted, a hundred a
/// second, nearly all of them at work.
#[test]
fn a_silent_zone_is_left_alone_and_then_given_up_in_steps() {
    let zone = Zone::from("a");
    let cases = [
        // silent, its controllers too, given up after 0, 59, 60, 70, 80 and 110 s
        (10, false, [10, 10, 10, 10, 10, 10]),
        // The bound of half a zone in 30 s holds then.
        (100, true, [0, 0, 2, 4, 8, 54]),
    ];
    for (silent, controllers, expected) in cases {
        let mut zones = ZoneHealthTracker::default();
        zones.observe(&zone, seen(100, silent, controllers), Millis(0));
        zones.observe(&Zone::from("b"), seen(900, 0, false), Millis(0));
        let mut left = suspects("a", silent as usize);
        let mut given_up = 0;
        for (at_s, expected) in [0, 59, 60, 70, 80, 110].into_iter().zip(expected) {
            let gone = zones.give_up(left.clone(), ANY, HOLD, Millis(at_s * 1_000));
            left.retain(|suspect| !gone.contains(&suspect.machine_id));
            given_up += gone.len();
            assert_eq!(given_up, expected, "{silent} silent, after {at_s} s");
        }
    }
}

#[test]
fn what_is_worth_least_goes_first() {
    let mut zones = ZoneHealthTracker::default();
    let zone = Zone::from("a");
    zones.observe(&zone, seen(40, 40, true), Millis(0));
    let gone = zones.give_up(suspects("a", 40), ANY, Millis(0), Millis(30_000));
    let expected: Vec<MachineId> = (0..7)
        .map(|i| format!("vm-{:04}", 4 * i + 1).into())
        .collect();
    assert_eq!(gone, expected);
}

/// The cloud takes a hundred names at a time. All that was given up at once counted against the
/// bound, and what had not been sent waited for half a minute.
#[test]
fn only_what_is_sent_counts_against_the_bound() {
    let mut zones = ZoneHealthTracker::default();
    zones.observe(&Zone::from("a"), seen(1_000, 200, false), Millis(0));
    let mut lost = suspects("a", 200);
    for at in [1_000, 2_000] {
        let gone = zones.give_up(lost.clone(), 100, HOLD, Millis(at));
        assert_eq!(gone.len(), 100, "at {at}");
        lost.retain(|suspect| !gone.contains(&suspect.machine_id));
    }
}

/// Whatever a leader thinks it knows, it can't delete a fleet at once.
#[test]
fn deletions_for_silence_are_bounded_in_a_zone_and_in_all() {
    for (zones_silent, expected) in [(1, 50), (4, 100)] {
        let mut zones = ZoneHealthTracker::default();
        let names = ["a", "b", "c", "d"];
        let mut lost = Vec::new();
        for (index, name) in names.into_iter().enumerate() {
            let silent = if index < zones_silent { 100 } else { 0 };
            zones.observe(&Zone::from(name), seen(100, silent, false), Millis(0));
            lost.extend(
                suspects(name, silent as usize)
                    .into_iter()
                    .map(|s| SuspectedMachine {
                        machine_id: format!("{name}-{}", s.machine_id).into(),
                        ..s
                    }),
            );
        }
        let first = zones.give_up(lost.clone(), ANY, HOLD, Millis(1_000));
        assert_eq!(first.len(), expected, "{zones_silent} zones");
        lost.retain(|suspect| !first.contains(&suspect.machine_id));
        assert!(
            zones
                .give_up(lost.clone(), ANY, HOLD, Millis(30_000))
                .is_empty()
        );
        assert!(!zones.give_up(lost, ANY, HOLD, Millis(32_000)).is_empty());
    }
}
