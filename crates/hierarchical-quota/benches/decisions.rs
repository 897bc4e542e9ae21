//! Duration of decisions, which depends on the depth of the tree and not on the number of teams, and
//! of recomputing entitlements, which depends on what changed. Also prints the estimated memory of a
//! tree and its entitlements per leaf.

#![allow(
    missing_docs,
    reason = "criterion_group! makes a public function without a doc comment"
)]

use std::hint::black_box;
use std::sync::Arc;

use criterion::{BenchmarkId, Criterion, criterion_group, criterion_main};
use hierarchical_quota::{
    Amount, Entitlements, NodeIndex, NodeSpec, ResourceRequest, Tree, TreeSpec,
};

const LEAVES: [usize; 3] = [10, 1_000, 10_000];
const WAITING: [u32; 3] = [100, 10_000, 100_000];

/// Three levels: a root, as many members as the square root of the number of leaves, and the leaves.
fn tree(leaves: usize) -> Arc<Tree> {
    let members = (leaves as f64).sqrt().ceil() as usize;
    let node = |name: String, parent: Option<String>, gpus: f64| NodeSpec {
        name,
        parent,
        team: None,
        guarantee: Amount::new(0.0, gpus),
        limit: Amount::ZERO,
        weight: 1.0,
    };
    let mut nodes = vec![node("root".into(), None, leaves as f64 * 4.0)];
    for member in 0..members {
        nodes.push(node(format!("m{member}"), Some("root".into()), 0.0));
    }
    for leaf in 0..leaves {
        let parent = format!("m{}", leaf % members);
        let mut spec = node(format!("l{leaf}"), Some(parent), f64::from(leaf as u32 % 4));
        spec.team = Some(format!("t{leaf}"));
        nodes.push(spec);
    }
    let spec = TreeSpec {
        revision: 1,
        hold_s: 0.0,
        enabled: true,
        nodes,
    };
    match spec.build("bench", &[]) {
        Ok((tree, _)) => Arc::new(tree),
        Err(error) => panic!("{error}"),
    }
}

fn leaves(tree: &Tree) -> Vec<NodeIndex> {
    let leaf = |ix: &NodeIndex| tree.node(*ix).team.is_some();
    tree.node_indices().filter(leaf).collect()
}

fn loaded(tree: &Arc<Tree>, waiting: u32) -> Entitlements {
    let mut entitlements = Entitlements::new(tree.clone());
    let leaves = leaves(tree);
    for (index, leaf) in leaves.iter().enumerate() {
        let tasks = f64::from(waiting) / leaves.len() as f64 * (index % 3) as f64;
        entitlements.set_demand(*leaf, Amount::new(tasks * 8.0, tasks), 0);
    }
    entitlements.refresh();
    entitlements
}

fn decisions(c: &mut Criterion) {
    let one = ResourceRequest {
        total: Amount::new(8.0, 1.0),
        task: Amount::new(8.0, 1.0),
    };
    for waiting in WAITING {
        let mut group = c.benchmark_group(format!("{waiting} waiting tasks"));
        for count in LEAVES {
            let tree = tree(count);
            let entitlements = loaded(&tree, waiting);
            let leaves = leaves(&tree);
            let used = |ix: NodeIndex| Amount::new(0.0, f64::from(ix.0 % 7));
            group.bench_with_input(BenchmarkId::new("within", count), &count, |b, _| {
                let mut at = 0;
                b.iter(|| {
                    at = (at + 7) % leaves.len();
                    entitlements.is_within_entitlement(leaves[at], black_box(used(leaves[at])), one)
                });
            });
            group.bench_with_input(BenchmarkId::new("may_reclaim", count), &count, |b, _| {
                let mut at = 0;
                b.iter(|| {
                    at = (at + 7) % leaves.len();
                    let by = leaves[(at * 31 + 1) % leaves.len()];
                    entitlements.may_reclaim(leaves[at], one.task, by, one, used)
                });
            });
            let mut changing = entitlements.clone();
            group.bench_with_input(BenchmarkId::new("refresh one", count), &count, |b, _| {
                let (mut at, mut now) = (0, 1);
                b.iter(|| {
                    (at, now) = ((at + 7) % leaves.len(), now + 1);
                    let amount = Amount::new(0.0, f64::from(now as u32 % 90));
                    changing.set_demand(leaves[at], amount, now);
                    changing.refresh().len()
                });
            });
        }
        group.finish();
    }
}

fn memory(_: &mut Criterion) {
    for count in LEAVES {
        let entitlements = loaded(&tree(count), 1_000);
        let bytes = entitlements.estimated_bytes() as f64 / count as f64;
        println!("memory: {count} leaves, {bytes:.0} bytes a leaf");
    }
}

criterion_group! {
    name = benches;
    config = Criterion::default().sample_size(20)
        .warm_up_time(std::time::Duration::from_millis(300))
        .measurement_time(std::time::Duration::from_millis(700));
    targets = decisions, memory
}
criterion_main!(benches);
