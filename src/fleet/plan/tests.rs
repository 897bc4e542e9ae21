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
    let firm = spec(1.0, false);
    let capacity = spec(8.0, false);
    let need = |spec, count| Need {
        spec,
        count,
        spot_only: false,
    };
    let dear = |spec, count| Need {
        spec,
        count,
        spot_only: true,
    };
    let cases = [
        // bins, demand, spare, spot sold out, rented spot, rented on demand, released
        (vec![], vec![need(&small, 9)], 0, false, 2, 0, 0),
        (vec![], vec![need(&small, 9)], 0, true, 0, 2, 0),
        (
            vec![],
            vec![need(&firm, 9), need(&small, 7)],
            0,
            false,
            0,
            2,
            0,
        ),
        (
            vec![bin("vm-1", false, 4.0, 0)],
            vec![need(&firm, 4)],
            0,
            false,
            0,
            0,
            0,
        ),
        (
            vec![bin("vm-1", true, 8.0, 0)],
            vec![need(&firm, 4)],
            0,
            false,
            0,
            1,
            0,
        ),
        (
            vec![bin("vm-1", false, 7.0, 0)],
            vec![need(&capacity, 2)],
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
            vec![dear(&small, 3)],
            0,
            false,
            1,
            0,
            0,
        ),
        (vec![bin("vm-1", true, 8.0, 99)], vec![], 1, false, 0, 1, 1),
    ];
    for (index, (bins, needs, spare, no_spot, spot, ordinary, released)) in
        cases.into_iter().enumerate()
    {
        let headroom = [(false, spare), (true, 0)].map(|(spot, machines)| Headroom {
            spot,
            machines,
            empty: 0,
            resources: resources(8.0),
        });
        let sold_out = |o: &Offer| o.spot && no_spot;
        let plan = plan(
            bins,
            &needs,
            &headroom,
            &type_specs(),
            sold_out,
            Millis(20_000),
        );
        let rented = |spot| -> u32 {
            plan.rent
                .iter()
                .filter(|(o, _)| o.spot == spot)
                .map(|(_, n)| n)
                .sum()
        };
        let got = (rented(true), rented(false), plan.release.len());
        assert_eq!(got, (spot, ordinary, released), "case {index}");
    }
}

/// Idle machines were returned after 20 s together with images that took minutes to fetch again; and normal
/// jobs, which cannot preempt, were expected to be placed on machines full of arrays.
#[test]
fn machines_are_kept_for_cached_images_and_for_non_preempting_jobs() {
    let cases = [
        // free, soft, idle for, worth, ready, empty; rented, released
        ((8.0, 0.0, 30, 0.0, 0, 0), (0, 1)),
        ((8.0, 0.0, 30, 60.0, 0, 0), (0, 0)),
        ((8.0, 0.0, 90, 60.0, 0, 0), (0, 1)),
        ((2.0, 6.0, 0, 0.0, 1, 0), (0, 0)),
        ((2.0, 6.0, 0, 0.0, 1, 1), (1, 0)),
        ((8.0, 0.0, 30, 0.0, 1, 1), (0, 0)),
        ((8.0, 0.0, 30, 0.0, 0, 1), (0, 0)),
    ];
    for ((available, preemptible, idle_s, cache_refetch_s, machines, empty), (rented, released)) in
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
        let got = (plan.rent.values().sum::<u32>(), plan.release.len());
        let case = (
            available,
            preemptible,
            idle_s,
            cache_refetch_s,
            machines,
            empty,
        );
        assert_eq!(got, (rented, released), "{case:?}");
    }
}

/// Tasks of a gang that must be in one zone were counted as served by machines in several.
#[test]
fn a_gang_in_one_zone_gets_its_machines_there() {
    let mut gang = spec(8.0, false);
    (gang.kind, gang.one_zone) = (JobKind::Gang, true);
    let there = |name: &str, zone: &str| Bin {
        offer: offer(zone, false),
        ..bin(name, false, 8.0, 0)
    };
    let cases = [
        // machines, tasks, rented in a, rented in b
        (vec![], 4, 4, 0),
        (vec![there("vm-1", "a"), there("vm-2", "b")], 2, 0, 1),
        (
            vec![there("vm-1", "a"), there("vm-2", "a"), there("vm-3", "b")],
            3,
            1,
            0,
        ),
        (vec![there("vm-1", "b"), there("vm-2", "b")], 2, 0, 0),
    ];
    for (bins, count, in_a, in_b) in cases {
        let needs = [Need {
            spec: &gang,
            count,
            spot_only: false,
        }];
        let plan = plan(bins, &needs, &[], &type_specs(), |_| false, Millis(20_000));
        let rented = |zone: &str| -> u32 {
            let of = plan.rent.iter().filter(|(o, _)| o.zone.as_str() == zone);
            of.map(|(_, n)| n).sum()
        };
        assert_eq!((rented("a"), rented("b")), (in_a, in_b), "{count} tasks");
    }
}
