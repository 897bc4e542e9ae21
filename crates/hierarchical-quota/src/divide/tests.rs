use super::*;

fn gpus(floor: f64, demand: f64, weight: f64) -> Claim {
    Claim {
        floor: Amount::new(0.0, floor),
        demand: Amount::new(0.0, demand),
        weight,
    }
}

#[test]
fn surplus_is_divided_by_weight() {
    let cases = [
        // pool, claims, shares
        (10.0, vec![gpus(0.0, 20.0, 1.0)], vec![10.0]),
        (10.0, vec![gpus(0.0, 4.0, 1.0)], vec![4.0]),
        (
            12.0,
            vec![gpus(0.0, 20.0, 1.0), gpus(0.0, 20.0, 2.0)],
            vec![4.0, 8.0],
        ),
        // Capacity that one claim does not demand goes to the others.
        (
            12.0,
            vec![gpus(0.0, 20.0, 1.0), gpus(0.0, 3.0, 2.0)],
            vec![9.0, 3.0],
        ),
        // A floor above the fair share is kept; the other claims divide the rest.
        (
            12.0,
            vec![
                gpus(8.0, 8.0, 1.0),
                gpus(0.0, 9.0, 1.0),
                gpus(0.0, 9.0, 1.0),
            ],
            vec![8.0, 2.0, 2.0],
        ),
        // A floor below the fair share has no effect.
        (
            12.0,
            vec![gpus(2.0, 9.0, 1.0), gpus(0.0, 9.0, 1.0)],
            vec![6.0, 6.0],
        ),
        (0.0, vec![gpus(0.0, 9.0, 1.0)], vec![0.0]),
    ];
    for (pool, claims, expected) in cases {
        let got = divide(Amount::new(0.0, pool), [false, true], &claims);
        let pairs = got.iter().zip(&expected);
        let near = pairs.into_iter().all(|(a, b)| (a.gpus - b).abs() < 1e-6);
        assert!(near, "{claims:?}: {got:?}, not {expected:?}");
    }
}

/// The standard example of dominant-resource fairness: 9 CPUs and 18 units of the other resource.
/// Tasks of (1, 4) and of (3, 1) get three of the first kind and two of the second.
#[test]
fn dominant_shares_are_equal() {
    let claim = |cpus: f64, gpus: f64| Claim {
        floor: Amount::ZERO,
        demand: Amount::new(cpus, gpus),
        weight: 1.0,
    };
    let claims = [claim(100.0, 400.0), claim(300.0, 100.0)];
    let got = divide(Amount::new(9.0, 18.0), [true, true], &claims);
    assert!((got[0].gpus - 12.0).abs() < 1e-6, "{got:?}");
    assert!((got[1].cpus - 6.0).abs() < 1e-6, "{got:?}");
}

#[test]
fn an_exhausted_resource_limits_only_claims_that_need_it() {
    let claim = |cpus: f64, gpus: f64| Claim {
        floor: Amount::ZERO,
        demand: Amount::new(cpus, gpus),
        weight: 1.0,
    };
    let claims = [claim(20.0, 0.0), claim(0.0, 5.0), claim(20.0, 0.0)];
    let got = divide(Amount::new(10.0, 10.0), [true, true], &claims);
    assert!((got[0].cpus - 5.0).abs() < 1e-6, "{got:?}");
    assert!((got[1].gpus - 5.0).abs() < 1e-6, "{got:?}");
}
