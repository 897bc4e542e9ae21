use super::*;
use crate::jobs::api::{parse, tests::body};
use serde_json::json;

fn resources(gpus: f64) -> Resources {
    Resources {
        cpus: gpus * 10.0,
        gpus,
        memory_gb: gpus * 50.0,
    }
}

fn type_specs() -> Vec<MachineTypeSpec> {
    vec![MachineTypeSpec {
        id: "g8".into(),
        resources: resources(8.0),
        cache_gb: 100.0,
        fetch_gb_per_s: 1.0,
        price: 10.0,
        spot_price: 4.0,
        boot_s: 30.0,
        zones: vec!["a".into(), "b".into()],
    }]
}

fn spec(gpus: f64, spot: bool) -> JobSpec {
    let mut b = body();
    b["accelerators"] = json!(gpus);
    b["vcpus"] = json!(gpus * 10.0);
    b["memoryGb"] = json!(gpus * 50.0);
    b["loaners"] = json!(spot);
    b["rigs"] = json!(null);
    parse(b.to_string().as_bytes()).unwrap().1
}

fn offer(zone: &str, spot: bool) -> Offer {
    Offer {
        machine_type: "g8".into(),
        zone: zone.into(),
        spot,
    }
}

fn bin(name: &str, spot: bool, available: f64, idle_s: u64) -> Bin {
    Bin {
        machine_id: Some(name.into()),
        offer: offer("a", spot),
        capacity: resources(8.0),
        available: resources(available),
        preemptible: Resources::default(),
        idle_for: Millis(idle_s * 1000),
        cache_refetch_s: 0.0,
    }
}

#[test]
fn machines_are_rented_for_unplaced_demand_and_returned_when_idle() {
    let small = spec(1.0, true);
    let ordinary_only = spec(1.0, false);
    let whole_machine = spec(8.0, false);
    let need = |spec, count| Need {
        spec,
        count,
        spot_only: false,
    };
    let spot_only = |spec, count| Need {
        spec,
        count,
        spot_only: true,
    };
    let cases = [
        // bins, needs, headroom, spot sold out; spot rented, ordinary rented, returned
        (vec![], vec![need(&small, 9)], 0, false, 2, 0, 0),
        (vec![], vec![need(&small, 9)], 0, true, 0, 2, 0),
        (
            vec![],
            vec![need(&ordinary_only, 9), need(&small, 7)],
            0,
            false,
            0,
            2,
            0,
        ),
        (
            vec![bin("vm-1", false, 4.0, 0)],
            vec![need(&ordinary_only, 4)],
            0,
            false,
            0,
            0,
            0,
        ),
        (
            vec![bin("vm-1", true, 8.0, 0)],
            vec![need(&ordinary_only, 4)],
            0,
            false,
            0,
            1,
            0,
        ),
        (
            vec![bin("vm-1", false, 7.0, 0)],
            vec![need(&whole_machine, 2)],
            0,
            false,
            0,
            2,
            0,
        ),
        (vec![bin("vm-1", false, 8.0, 99)], vec![], 0, false, 0, 0, 1),
        (vec![bin("vm-1", false, 8.0, 9)], vec![], 0, false, 0, 0, 0),
        (vec![bin("vm-1", false, 8.0, 99)], vec![], 2, false, 0, 1, 0),
        (
            vec![bin("vm-1", false, 4.0, 0)],
            vec![spot_only(&small, 3)],
            0,
            false,
            1,
            0,
            0,
        ),
        (vec![bin("vm-1", true, 8.0, 99)], vec![], 1, false, 0, 1, 1),
    ];
    for (index, (bins, needs, spare, spot_sold_out, spot, ordinary, returned)) in
        cases.into_iter().enumerate()
    {
        let headroom = [(false, spare), (true, 0)].map(|(spot, machines)| Headroom {
            spot,
            machines,
            empty: 0,
            resources: resources(8.0),
        });
        let sold_out = |o: &Offer| o.spot && spot_sold_out;
        let plan = plan(
            bins,
            &needs,
            &headroom,
            &type_specs(),
            sold_out,
            Millis(20_000),
        );
        let rented = |spot| -> u32 {
            plan.rentals
                .iter()
                .filter(|(o, _)| o.spot == spot)
                .map(|(_, n)| n)
                .sum()
        };
        let got = (rented(true), rented(false), plan.returns.len());
        assert_eq!(got, (spot, ordinary, returned), "case {index}");
    }
}

/// Guards against returning machines after 20 s of idleness although their cached images take minutes to fetch
/// again, and against headroom for normal jobs, which cannot preempt, on machines full of arrays.
#[test]
fn machines_are_kept_for_cached_images_and_for_non_preempting_jobs() {
    let cases = [
        // available, preemptible, idle s, cache refetch s, ready machines, empty machines; rented, returned
        ((8.0, 0.0, 30, 0.0, 0, 0), (0, 1)),
        ((8.0, 0.0, 30, 60.0, 0, 0), (0, 0)),
        ((8.0, 0.0, 90, 60.0, 0, 0), (0, 1)),
        ((2.0, 6.0, 0, 0.0, 1, 0), (0, 0)),
        ((2.0, 6.0, 0, 0.0, 1, 1), (1, 0)),
        ((8.0, 0.0, 30, 0.0, 1, 1), (0, 0)),
        ((8.0, 0.0, 30, 0.0, 0, 1), (0, 0)),
    ];
    for ((available, preemptible, idle_s, cache_refetch_s, machines, empty), (rented, returned)) in
        cases
    {
        let bin = Bin {
            preemptible: resources(preemptible),
            cache_refetch_s,
            ..bin("vm-1", false, available, idle_s)
        };
        let headroom = Headroom {
            spot: false,
            machines,
            empty,
            resources: resources(8.0),
        };
        let idle_return = Millis(20_000);
        let plan = plan(
            vec![bin],
            &[],
            &[headroom],
            &type_specs(),
            |_| false,
            idle_return,
        );
        let got = (plan.rentals.values().sum::<u32>(), plan.returns.len());
        let case = (
            available,
            preemptible,
            idle_s,
            cache_refetch_s,
            machines,
            empty,
        );
        assert_eq!(got, (rented, returned), "{case:?}");
    }
}

/// Guards against assigning the tasks of a gang that must be in one zone to machines in several zones.
#[test]
fn machines_for_a_single_zone_gang_are_rented_in_its_zone() {
    let mut gang = spec(8.0, false);
    (gang.kind, gang.one_zone) = (JobKind::Gang, true);
    let bin_in = |name: &str, zone: &str| Bin {
        offer: offer(zone, false),
        ..bin(name, false, 8.0, 0)
    };
    let cases = [
        // machines, tasks, rented in a, rented in b
        (vec![], 4, 4, 0),
        (vec![bin_in("vm-1", "a"), bin_in("vm-2", "b")], 2, 0, 1),
        (
            vec![
                bin_in("vm-1", "a"),
                bin_in("vm-2", "a"),
                bin_in("vm-3", "b"),
            ],
            3,
            1,
            0,
        ),
        (vec![bin_in("vm-1", "b"), bin_in("vm-2", "b")], 2, 0, 0),
    ];
    for (bins, count, in_a, in_b) in cases {
        let needs = [Need {
            spec: &gang,
            count,
            spot_only: false,
        }];
        let plan = plan(bins, &needs, &[], &type_specs(), |_| false, Millis(20_000));
        let rented = |zone: &str| -> u32 {
            let in_zone = plan.rentals.iter().filter(|(o, _)| o.zone.as_str() == zone);
            in_zone.map(|(_, n)| n).sum()
        };
        assert_eq!((rented("a"), rented("b")), (in_a, in_b), "{count} tasks");
    }
}
