use super::*;
use crate::tree::TreeSpec;

const TREE: &str = "[tree]\nrevision = 1\nhold_s = 5\n\
    [node coop]\ngpus = 32\n\
    [node east]\nparent = coop\ngpus = 16\n\
    [node west]\nparent = coop\ngpus = 16\ngpus_max = 24\n\
    [node e1]\nparent = east\nteam = e1\ngpus = 8\n\
    [node e2]\nparent = east\nteam = e2\nweight = 3\n\
    [node w1]\nparent = west\nteam = w1\ngpus = 12\n\
    [node w2]\nparent = west\nteam = w2\n";

fn new_entitlements() -> Entitlements {
    let spec = TreeSpec::parse("f", TREE).unwrap();
    Entitlements::new(Arc::new(spec.build("f", &[]).unwrap().0))
}

fn gpus(gpus: f64) -> Amount {
    Amount::new(0.0, gpus)
}

fn leaf(entitlements: &Entitlements, team: &str) -> NodeIndex {
    entitlements.tree.leaf(team).unwrap()
}

fn set(entitlements: &mut Entitlements, demands: &[(&str, f64)], now: u64) {
    for (team, demand) in demands {
        let leaf = leaf(entitlements, team);
        entitlements.set_demand(leaf, gpus(*demand), now);
    }
    entitlements.refresh();
}

#[test]
fn unused_share_is_lent_and_returned_on_demand() {
    type Case<'a> = (&'a str, &'a [(&'a str, f64)], &'a [(&'a str, f64)]);
    let cases: &[Case] = &[
        (
            "a team without competition has all",
            &[("e1", 99.0)],
            &[("e1", 32.0)],
        ),
        (
            "a sibling takes its own share back, by weight beyond guarantees",
            &[("e1", 99.0), ("e2", 99.0)],
            // The guarantee of 8 equals the share of weight 1 of 4 in 32.
            &[("e1", 8.0), ("e2", 24.0)],
        ),
        (
            "members are equal, teams inside share by weight, no less than guaranteed",
            &[("e1", 99.0), ("e2", 99.0), ("w2", 99.0)],
            &[("e1", 8.0), ("e2", 8.0), ("w2", 16.0)],
        ),
        (
            "a limit of a member holds for all its teams",
            &[("w1", 20.0), ("w2", 20.0)],
            &[("w1", 12.0), ("w2", 12.0)],
        ),
        (
            "what one member leaves goes to the other",
            &[("e2", 2.0), ("w1", 99.0)],
            &[("e2", 2.0), ("w1", 24.0)],
        ),
    ];
    for (name, demands, expected) in cases {
        let mut entitlements = new_entitlements();
        set(&mut entitlements, demands, 0);
        for (team, amount) in *expected {
            let got = entitlements.entitled(leaf(&entitlements, team)).gpus;
            assert!((got - amount).abs() < 1e-6, "{name}: {team} has {got}");
        }
    }
}

/// A borrower that runs one job after another has no demand in between. Without the hold time it
/// lost and regained its share with each job.
#[test]
fn falling_demand_counts_until_the_hold_time_is_over() {
    let mut entitlements = new_entitlements();
    let (e1, w1) = (leaf(&entitlements, "e1"), leaf(&entitlements, "w1"));
    set(&mut entitlements, &[("e1", 32.0), ("w1", 32.0)], 0);
    let steps = [
        // time, demand of e1, entitlement of w1
        (1_000, 0.0, 16.0),
        (3_000, 32.0, 16.0),
        (4_000, 0.0, 16.0),
        (8_900, 0.0, 16.0),
        (9_000, 0.0, 24.0),
        (9_100, 32.0, 16.0),
    ];
    for (now, demand, expected) in steps {
        set(&mut entitlements, &[("e1", demand)], now);
        let got = entitlements.entitled(w1).gpus;
        assert!((got - expected).abs() < 1e-6, "{got} at {now}");
    }
    assert_eq!(entitlements.demand(e1).gpus, 32.0);
}

#[test]
fn reclaim_is_allowed_only_within_entitlement() {
    let one = ResourceRequest {
        total: gpus(1.0),
        task: gpus(1.0),
    };
    let resource_request = |total: f64, task: f64| ResourceRequest {
        total: gpus(total),
        task: gpus(task),
    };
    type Case<'a> = (
        &'a str,
        &'a [(&'a str, f64)],
        &'a str,
        f64,
        &'a str,
        ResourceRequest,
        bool,
    );
    let all: &[(&str, f64)] = &[("e1", 20.0), ("e2", 0.0), ("w1", 4.0), ("w2", 8.0)];
    let cases: &[Case] = &[
        // name, usage, victim, its task, reclaiming team, its request, allowed
        (
            "a borrower in another member",
            all,
            "e1",
            1.0,
            "w1",
            one,
            true,
        ),
        (
            "a borrower in the same member",
            all,
            "e1",
            1.0,
            "e2",
            one,
            true,
        ),
        (
            "not from one within its share",
            all,
            "w1",
            1.0,
            "e2",
            one,
            false,
        ),
        (
            "not for one beyond its share",
            all,
            "w1",
            1.0,
            "e1",
            one,
            false,
        ),
        (
            "not for more than its member's share",
            all,
            "e1",
            4.0,
            "w1",
            resource_request(8.0, 4.0),
            false,
        ),
        // w2 exceeds its share of 4 but its member does not: only w1 may reclaim from it.
        (
            "a sibling over its share inside a member that is within its own",
            all,
            "w2",
            1.0,
            "w1",
            one,
            true,
        ),
        (
            "not from a member within its share",
            all,
            "w2",
            1.0,
            "e2",
            one,
            false,
        ),
        (
            "not below the nearest task",
            &[("e1", 8.4)],
            "e1",
            1.0,
            "e2",
            one,
            false,
        ),
        (
            "a whole gang",
            all,
            "w2",
            4.0,
            "w1",
            resource_request(8.0, 4.0),
            true,
        ),
        (
            "not a gang that is too large",
            all,
            "w2",
            4.0,
            "w1",
            resource_request(12.0, 4.0),
            false,
        ),
        (
            "one task larger than the share",
            &[("e1", 20.0), ("e2", 0.0)],
            "e1",
            1.0,
            "e2",
            resource_request(16.0, 16.0),
            true,
        ),
        (
            "not a second task larger than the share",
            &[("e1", 20.0), ("e2", 1.0)],
            "e1",
            1.0,
            "e2",
            resource_request(16.0, 16.0),
            false,
        ),
        (
            "not the only task of a team",
            &[("w2", 16.0)],
            "w2",
            16.0,
            "w1",
            one,
            false,
        ),
    ];
    for (name, uses, victim, task, reclaimer, request, allowed) in cases {
        let mut entitlements = new_entitlements();
        let demands = [("e1", 99.0), ("e2", 8.0), ("w1", 99.0), ("w2", 99.0)];
        set(&mut entitlements, &demands, 0);
        let used = |ix: NodeIndex| {
            let team = |(team, _): &&(&str, f64)| {
                let leaf = leaf(&entitlements, team);
                entitlements.tree.path(leaf).any(|at| at == ix)
            };
            gpus(uses.iter().filter(team).map(|(_, used)| used).sum())
        };
        let (victim, reclaimer) = (leaf(&entitlements, victim), leaf(&entitlements, reclaimer));
        let got = entitlements.may_reclaim(victim, gpus(*task), reclaimer, *request, used);
        assert_eq!(got, *allowed, "{name}");
    }
}
