//! Invariants that hold for any tree and any demand.

use std::sync::Arc;

use hierarchical_quota::{
    Amount, Entitlements, NodeIndex, NodeSpec, PlatformTeam, ResourceRequest, Tree, TreeSpec,
};
use proptest::prelude::*;

const TOLERANCE: f64 = 1e-6;

/// A generated node: the choice of its parent, its guarantee, the slack up to its limit, and its
/// weight.
type GeneratedNode = (usize, f64, Option<f64>, f64);

fn tree(generated: &[GeneratedNode], two_kinds: bool) -> Arc<Tree> {
    let mut nodes: Vec<NodeSpec> = Vec::new();
    for (index, (pick, guarantee, _, weight)) in generated.iter().enumerate() {
        let parent = (index > 0).then(|| format!("n{}", pick % index));
        nodes.push(NodeSpec {
            name: format!("n{index}"),
            parent,
            team: None,
            guarantee: Amount::new(if two_kinds { guarantee * 3.0 } else { 0.0 }, *guarantee),
            limit: Amount::ZERO,
            weight: *weight,
        });
    }
    // Leaves name teams; an inner node holds its children's guarantees and some more.
    for index in (0..nodes.len()).rev() {
        let name = nodes[index].name.clone();
        let children = nodes.iter().filter(|n| n.parent.as_ref() == Some(&name));
        let sums: Vec<(Amount, Amount)> = children.map(|n| (n.guarantee, n.limit)).collect();
        if sums.is_empty() {
            nodes[index].team = Some(format!("t{index}"));
        }
        let sum = sums.iter().fold(Amount::ZERO, |sum, (g, _)| sum.plus(*g));
        nodes[index].guarantee = nodes[index].guarantee.plus(sum);
        if let Some(slack) = generated[index].2 {
            let least = sums.iter().map(|(_, limit)| limit.gpus).fold(0.0, f64::max);
            let gpus = (nodes[index].guarantee.gpus + slack).max(least);
            nodes[index].limit = Amount::new(0.0, gpus);
        }
    }
    // A child's limit may not be above its parent's, so those without one of their own inherit.
    let spec = TreeSpec {
        revision: 1,
        hold_s: 0.0,
        enabled: true,
        nodes,
    };
    let (tree, _) = spec.build("generated", &[]).unwrap();
    Arc::new(tree)
}

fn leaves(tree: &Tree) -> Vec<NodeIndex> {
    let leaf = |ix: &NodeIndex| tree.node(*ix).team.is_some();
    tree.node_indices().filter(leaf).collect()
}

fn amount(gpus: f64, two_kinds: bool) -> Amount {
    Amount::new(if two_kinds { gpus * 2.0 } else { 0.0 }, gpus)
}

prop_compose! {
    fn node()(pick in 0usize..1000, guarantee in prop_oneof![Just(0.0), 0.0..50.0],
        slack in proptest::option::of(0.0..50.0), weight in 0.1..10.0) -> GeneratedNode {
        (pick, guarantee, slack, weight)
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 400, failure_persistence: None,
        rng_seed: proptest::test_runner::RngSeed::Fixed(7), ..ProptestConfig::default() })]

    #[test]
    fn shares_satisfy_guarantees_and_limits(generated in proptest::collection::vec(node(), 1..40),
        demands in proptest::collection::vec(prop_oneof![Just(0.0), 0.0..200.0], 40), two_kinds: bool) {
        let tree = tree(&generated, two_kinds);
        let mut shares = Entitlements::new(tree.clone());
        for (leaf, demand) in leaves(&tree).into_iter().zip(&demands) {
            shares.set_demand(leaf, amount(*demand, two_kinds), 0);
        }
        shares.refresh();
        for ix in tree.node_indices() {
            let (node, mine) = (tree.node(ix), shares.entitled(ix));
            // No node is entitled to more than its limit or its demand.
            for ((got, limit), demand) in mine.to_array().iter().zip(node.limit.to_array())
                .zip(shares.demand(ix).to_array()) {
                prop_assert!(limit == 0.0 || *got <= limit + TOLERANCE, "{} over its limit", node.name);
                prop_assert!(*got <= demand + TOLERANCE, "{} has more than its demand", node.name);
            }
            // Children never have more than their node, and with a single resource no capacity
            // is left over while there is demand inside the node.
            let sum = node.children.iter().fold(Amount::ZERO, |s, c| s.plus(shares.entitled(*c)));
            let governed = tree.node(tree.root(ix)).guarantee;
            if !node.children.is_empty() && governed.gpus > 0.0 {
                prop_assert!(sum.gpus <= mine.gpus + TOLERANCE, "{}: {sum:?} of {mine:?}", node.name);
                if !two_kinds {
                    let demand: f64 = node.children.iter().map(|c| shares.demand(*c).gpus).sum();
                    let short = mine.gpus.min(demand) - sum.gpus;
                    prop_assert!(short <= TOLERANCE, "{} leaves {short} undivided", node.name);
                }
            }
            // Guarantees are met before capacity is lent.
            if !two_kinds && governed.gpus > 0.0 {
                let due = node.guarantee.gpus.min(shares.demand(ix).gpus);
                prop_assert!(mine.gpus + TOLERANCE >= due, "{} has {mine:?} of {due}", node.name);
            }
        }
    }

    /// The same demands give the same shares, whatever their order and the earlier demands, so that
    /// two controllers agree.
    #[test]
    fn the_same_demand_gives_the_same_shares(
        generated in proptest::collection::vec(node(), 1..30),
        before in proptest::collection::vec(0.0..200.0, 30),
        demands in proptest::collection::vec(prop_oneof![Just(0.0), 0.0..200.0], 30)) {
        let tree = tree(&generated, false);
        let leaves = leaves(&tree);
        let (mut one, mut other) = (Entitlements::new(tree.clone()), Entitlements::new(tree.clone()));
        for (leaf, demand) in leaves.iter().zip(&before) {
            one.set_demand(*leaf, amount(*demand, false), 0);
        }
        one.refresh();
        for (leaf, demand) in leaves.iter().zip(&demands) {
            // The hold time is 0, so a lower demand counts at once and the repeated call has no effect.
            one.set_demand(*leaf, amount(*demand, false), 1);
            one.set_demand(*leaf, amount(*demand, false), 2);
        }
        for (leaf, demand) in leaves.iter().zip(&demands).rev() {
            other.set_demand(*leaf, amount(*demand, false), 9);
        }
        one.refresh();
        other.refresh();
        for ix in tree.node_indices() {
            let (a, b) = (one.entitled(ix), other.entitled(ix));
            prop_assert!((a.gpus - b.gpus).abs() < TOLERANCE, "{}: {a:?} {b:?}", tree.node(ix).name);
        }
    }

    /// Each preemption for reclaim brings usage nearer to the entitlements: reclaim terminates, and no
    /// team reclaims what was just preempted from it.
    #[test]
    fn reclaim_terminates(generated in proptest::collection::vec(node(), 2..25),
        sizes in proptest::collection::vec(1u8..5, 25),
        demands in proptest::collection::vec(0u8..60, 25),
        uses in proptest::collection::vec(0u8..60, 25)) {
        let tree = tree(&generated, false);
        let leaves = leaves(&tree);
        let mut shares = Entitlements::new(tree.clone());
        let mut used: Vec<f64> = vec![0.0; tree.nodes.len()];
        for ((leaf, demand), (using, size)) in leaves.iter().zip(&demands).zip(uses.iter().zip(&sizes)) {
            let (demand, size) = (f64::from(*demand), f64::from(*size));
            let have = (f64::from(*using).min(demand) / size).floor() * size;
            shares.set_demand(*leaf, amount(demand, false), 0);
            tree.path(*leaf).for_each(|ix| used[ix.0 as usize] += have);
        }
        shares.refresh();
        let mut preemptions = 0;
        loop {
            let one = |i: usize| Amount::new(0.0, f64::from(sizes[i]));
            let at = |used: &[f64], ix: NodeIndex| Amount::new(0.0, used[ix.0 as usize]);
            let pair = leaves.iter().enumerate().flat_map(|by| leaves.iter().enumerate()
                .map(move |from| (by, from))).find(|((b, by), (f, from))| {
                let task = one(*b);
                let unmet = shares.demand(**by).gpus - used[by.0 as usize];
                by != from && unmet >= task.gpus
                    && shares.is_within_entitlement(**by, at(&used, **by), ResourceRequest { total: task, task })
                    && shares.may_reclaim(**from, one(*f), **by, ResourceRequest { total: task, task },
                        |ix| at(&used, ix))
            });
            let Some(((b, by), (f, from))) = pair else { break };
            let (gain, loss) = (f64::from(sizes[b]), f64::from(sizes[f]));
            // The reclaimer starts a task if this preemption alone makes room for it.
            tree.path(*from).for_each(|ix| used[ix.0 as usize] -= loss);
            if loss >= gain {
                tree.path(*by).for_each(|ix| used[ix.0 as usize] += gain);
            }
            preemptions += 1;
            prop_assert!(preemptions < 3_000, "reclaim does not terminate");
        }
    }
}

/// The capacity of teams that the platform does not have is lent, and a warning names them. A team
/// that is not in the tree is named too.
#[test]
fn differences_between_tree_and_platform_are_reported() {
    let text = "[tree]\nrevision=1\n[node a]\ngpus=8\n[node x]\nparent=a\nteam=known\ngpus=4\n\
        [node y]\nparent=a\nteam=missing\ngpus=4\n";
    let platform_team = |team: &str| PlatformTeam {
        team: team.into(),
        guarantee: Amount::new(0.0, 2.0),
        limit: Amount::new(0.0, 6.0),
    };
    let spec = TreeSpec::parse("f", text).unwrap();
    let (tree, notes) = spec
        .build("f", &[platform_team("known"), platform_team("unlisted")])
        .unwrap();
    let warnings: Vec<String> = notes.iter().map(ToString::to_string).collect();
    assert_eq!(
        warnings,
        [
            "node y: the platform has no team missing, so its share is lent",
            "team unlisted is not in the tree and keeps its flat quota"
        ]
    );
    let known = tree.leaf("known").unwrap();
    assert_eq!(tree.node(known).limit.gpus, 6.0);
    assert_eq!(tree.leaf("unlisted"), None);
    let mut shares = Entitlements::new(Arc::new(tree));
    shares.set_demand(known, Amount::new(0.0, 99.0), 0);
    shares.refresh();
    assert_eq!(shares.entitled(known).gpus, 6.0);
    // The platform now guarantees more than the tree, and overrides the tree in force.
    let more = PlatformTeam {
        guarantee: Amount::new(0.0, 9.0),
        limit: Amount::new(0.0, 10.0),
        ..platform_team("known")
    };
    assert!(spec.build("f", std::slice::from_ref(&more)).is_err());
    let tree = spec
        .build_resolving_conflicts("f", std::slice::from_ref(&more))
        .unwrap();
    let known = tree.leaf("known").unwrap();
    assert_eq!(tree.node(known).guarantee.gpus, 9.0);
    assert_eq!(tree.node(tree.root(known)).guarantee.gpus, 13.0);
}

#[test]
fn a_tree_can_be_disabled() {
    let spec = TreeSpec::parse("f", "[tree]\nrevision = 9\nenabled = no\n").unwrap();
    assert!(!spec.enabled);
    let error = TreeSpec::parse("f", "[tree]\nrevision = 9\nenabled = perhaps\n").unwrap_err();
    assert_eq!(error.field, "[tree] enabled");
}

#[test]
fn an_invalid_tree_is_rejected_naming_the_key() {
    let platform_team = PlatformTeam {
        team: "t".into(),
        guarantee: Amount::new(0.0, 4.0),
        limit: Amount::new(0.0, 8.0),
    };
    let head = "[tree]\nrevision = 3\n";
    let cases = [
        ("[node a]\nteam=t\n", "[tree] revision"),
        ("[tree]\nrevision = -1\n", "[tree] revision"),
        ("[tree]\nrevision = 1\nhold_s = NaN\n", "[tree] hold_s"),
        ("[tree]\nrevision = 1\n", "[node ...]"),
        ("[tree]\nrevision = 1\n[tree]\nrevision = 1\n", "[tree]"),
        ("H[group a]\n", "[group a]"),
        ("H[node a]\nteam=t\nunknown=1\n", "[node a] unknown"),
        ("H[node a]\nteam=t\ngpus=-1\n", "[node a] gpus"),
        ("H[node a]\nteam=t\ngpus=NaN\n", "[node a] gpus"),
        ("H[node a]\nteam=t\ngpus=1e300\n", "[node a] gpus"),
        ("H[node a]\nteam=t\nweight=0\n", "[node a] weight"),
        ("H[node a]\nteam=t\ngpus=4\ngpus=5\n", "[node a] gpus"),
        ("H[node a]\nteam=t\n[node a]\nteam=u\n", "[node a]"),
        ("H[node a]\nteam=t\n[node b]\nteam=t\n", "[node b] team"),
        ("H[node a]\n", "[node a] team"),
        ("H[node a]\nparent=b\nteam=t\n", "[node a] parent"),
        ("H[node a]\nparent=a\nteam=t\n", "[node a] parent"),
        (
            "H[node a]\nparent=b\n[node b]\nparent=c\n[node c]\nparent=b\n",
            "[node b] parent",
        ),
        (
            "H[node a]\nteam=t\n[node b]\nparent=a\nteam=u\n",
            "[node b] parent",
        ),
        // A child with a larger guarantee than its parent.
        (
            "H[node a]\ngpus=6\n[node b]\nparent=a\nteam=u\ngpus=7\n",
            "[node a] gpus",
        ),
        (
            "H[node a]\ngpus=6\n[node b]\nparent=a\nteam=t\n[node c]\nparent=a\nteam=u\ngpus=3\n",
            "[node a] gpus",
        ),
        (
            "H[node a]\ngpus_max=6\n[node b]\nparent=a\nteam=u\ngpus_max=7\n",
            "[node b] gpus_max",
        ),
        (
            "H[node a]\nteam=u\ngpus=6\ngpus_max=5\n",
            "[node a] gpus_max",
        ),
        // Contradictions to the platform's guarantee and limit.
        ("H[node a]\nteam=t\ngpus=3\n", "[node a] gpus"),
        ("H[node a]\nteam=t\ngpus=9\n", "[node a] gpus"),
        ("H[node a]\nteam=t\ngpus_max=3\n", "[node a] gpus_max"),
    ];
    for (text, field) in cases {
        let text = text.replace('H', head);
        let spec = TreeSpec::parse("f.ini", &text);
        let built = spec.and_then(|spec| spec.build("f.ini", std::slice::from_ref(&platform_team)));
        let error = built.unwrap_err().to_string();
        assert!(
            error.starts_with(&format!("f.ini: {field}: ")),
            "{text}: {error}"
        );
    }
}
