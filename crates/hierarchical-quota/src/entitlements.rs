//! What each node of a tree is entitled to at present, and which teams may reclaim from which.
//!
//! Demands are summed up the tree, and entitlements divided down it. Both are recomputed only where
//! something changed, a few times a second at most; a decision looks at a single path of the tree.

use std::sync::Arc;

use crate::amount::{Amount, TOLERANCE};
use crate::divide::{Claim, divide};
use crate::tree::{NodeIndex, Tree};

/// About how many bytes an entry of the index of leaves takes besides the team's name.
const INDEX_ENTRY_BYTES: usize = 40;

/// The state of a node.
#[derive(Clone, Copy, Debug, Default)]
struct NodeState {
    /// What the teams below could use, within the limits.
    demand: Amount,
    /// What guarantees give it, regardless of the others' demand.
    floor: Amount,
    /// What it is entitled to: its floor and its part of what others leave unused.
    entitled: Amount,
    /// Its children's claims, or its own entitlement, have changed since it was last divided.
    dirty: bool,
    /// Since when a leaf's actual demand is less than `demand`, in milliseconds.
    lower_since: Option<u64>,
    /// The largest actual demand since then.
    highest_since: Amount,
}

/// The entitlements of a tree's nodes. Times are milliseconds of a monotonic clock.
#[derive(Clone, Debug)]
pub struct Entitlements {
    tree: Arc<Tree>,
    /// By node.
    nodes: Vec<NodeState>,
    /// By node: whether CPUs and GPUs are governed, that is, whether its root is guaranteed any.
    governed: Vec<[bool; 2]>,
}

/// The amounts that work would use if it were placed.
#[derive(Clone, Copy, Debug)]
pub struct ResourceRequest {
    /// All of it: one task, or all tasks of a gang.
    pub total: Amount,
    /// One task of it.
    pub task: Amount,
}

impl Entitlements {
    /// Entitlements without any demand.
    #[must_use]
    pub fn new(tree: Arc<Tree>) -> Self {
        let nodes = vec![NodeState::default(); tree.nodes.len()];
        let governed = tree
            .node_indices()
            .map(|ix| {
                let guarantee = tree.node(tree.root(ix)).guarantee.to_array();
                guarantee.map(|amount| amount > 0.0)
            })
            .collect();
        Self {
            tree,
            nodes,
            governed,
        }
    }

    /// The tree.
    pub fn tree(&self) -> &Arc<Tree> {
        &self.tree
    }

    /// About how many bytes the tree and its entitlements take in memory, names included.
    pub fn bytes(&self) -> usize {
        let node = size_of::<NodeState>() + size_of::<crate::tree::Node>() + size_of::<[bool; 2]>();
        let names = self.tree.nodes.iter().map(|node| {
            // A team's name is kept twice: in its node and in the index of leaves.
            let team = node.team.as_ref();
            let team = team.map_or(0, |team| 2 * team.len() + INDEX_ENTRY_BYTES);
            node.name.len() + team + node.children.len() * size_of::<NodeIndex>()
        });
        self.nodes.len() * node + names.sum::<usize>()
    }

    /// What a node is entitled to at present.
    pub fn entitled(&self, ix: NodeIndex) -> Amount {
        self.nodes[ix.index()].entitled
    }

    /// What the teams below a node could use, within the limits.
    pub fn demand(&self, ix: NodeIndex) -> Amount {
        self.nodes[ix.index()].demand
    }

    /// Sets what a leaf could use at the time `now`. A higher demand counts at once, a lower one
    /// after it has been lower for the tree's hold time: a team whose jobs come one after the other
    /// keeps its entitlement in between.
    pub fn set_demand(&mut self, leaf: NodeIndex, amount: Amount, now: u64) {
        let hold = self.tree.hold_ms;
        let limit = self.tree.node(leaf).limit;
        let state = &mut self.nodes[leaf.index()];
        let amount = amount.capped(limit);
        let is_higher = amount.cpus >= state.demand.cpus && amount.gpus >= state.demand.gpus;
        let counted = if is_higher {
            state.lower_since = None;
            amount
        } else {
            let since = *state.lower_since.get_or_insert(now);
            if since == now {
                state.highest_since = amount;
            }
            state.highest_since = Amount {
                cpus: state.highest_since.cpus.max(amount.cpus),
                gpus: state.highest_since.gpus.max(amount.gpus),
            };
            if now - since < hold {
                return;
            }
            state.lower_since = None;
            std::mem::take(&mut state.highest_since)
        };
        if counted != state.demand {
            state.demand = counted;
            state.dirty = true;
        }
    }

    /// Recomputes the entitlements where something changed. Returns the leaves that are entitled
    /// to more than before.
    pub fn refresh(&mut self) -> Vec<NodeIndex> {
        let tree = self.tree.clone();
        for ix in tree.node_indices().rev() {
            self.sum_up(&tree, ix);
        }
        let mut raised = Vec::new();
        for ix in tree.node_indices() {
            self.divide_among_children(&tree, ix, &mut raised);
        }
        raised
    }

    /// Recomputes a node's demand and floor from its children, whose own are up to date.
    fn sum_up(&mut self, tree: &Tree, ix: NodeIndex) {
        if !self.nodes[ix.index()].dirty {
            return;
        }
        let node = tree.node(ix);
        let (base, sum) = if node.children.is_empty() {
            (Amount::ZERO, self.nodes[ix.index()].demand)
        } else {
            let below = node.children.iter().map(|child| &self.nodes[child.index()]);
            below.fold((Amount::ZERO, Amount::ZERO), |(base, sum), state| {
                (base.plus(state.floor), sum.plus(state.demand))
            })
        };
        let demand = sum.capped(node.limit);
        let base = base.min(demand);
        let floor = guaranteed_part(base, demand, node.guarantee, self.governed[ix.index()]);
        let state = &mut self.nodes[ix.index()];
        if node.children.is_empty() {
            state.dirty = false;
        }
        (state.demand, state.floor) = (demand, floor);
        match node.parent {
            Some(parent) => self.nodes[parent.index()].dirty = true,
            None => state.entitled = floor,
        }
    }

    /// Divides a node's entitlement, which is up to date, among its children. Adds the leaves that
    /// are entitled to more than before to `raised`.
    fn divide_among_children(&mut self, tree: &Tree, ix: NodeIndex, raised: &mut Vec<NodeIndex>) {
        let node = tree.node(ix);
        let dirty = std::mem::take(&mut self.nodes[ix.index()].dirty);
        if node.children.is_empty() {
            if node.parent.is_none() {
                self.nodes[ix.index()].entitled = self.nodes[ix.index()].floor;
            }
            return;
        }
        if !dirty {
            return;
        }
        let claim = |child: &NodeIndex| Claim {
            floor: self.nodes[child.index()].floor,
            demand: self.nodes[child.index()].demand,
            weight: tree.node(*child).weight,
        };
        let claims: Vec<Claim> = node.children.iter().map(claim).collect();
        let given = divide(
            self.nodes[ix.index()].entitled,
            self.governed[ix.index()],
            &claims,
        );
        for (child, amount) in node.children.iter().zip(given) {
            let state = &mut self.nodes[child.index()];
            let before = state.entitled;
            if before == amount {
                continue;
            }
            state.entitled = amount;
            if !tree.node(*child).children.is_empty() {
                state.dirty = true;
            } else if amount.cpus > before.cpus + TOLERANCE || amount.gpus > before.gpus + TOLERANCE
            {
                raised.push(*child);
            }
        }
    }

    /// The kinds of resources that a node governs: 0 for CPUs, 1 for GPUs.
    fn governed_kinds(&self, ix: NodeIndex) -> impl Iterator<Item = usize> + use<> {
        let governed = self.governed[ix.index()];
        [0, 1].into_iter().filter(move |kind| governed[*kind])
    }

    /// Whether work is within what a node is entitled to, rounded to the nearest task. Such work of
    /// a team goes first, and may reclaim what others borrowed.
    ///
    /// A node that uses nothing may have one task that is larger than its whole entitlement, which
    /// otherwise would never run.
    #[must_use]
    pub fn is_within_entitlement(
        &self,
        ix: NodeIndex,
        used: Amount,
        wanted: ResourceRequest,
    ) -> bool {
        let entitled = self.entitled(ix).to_array();
        let (used, total, task) = (
            used.to_array(),
            wanted.total.to_array(),
            wanted.task.to_array(),
        );
        let is_single_task = wanted.total == wanted.task;
        let mut any_governed = false;
        let all_within = self
            .governed_kinds(ix)
            .filter(|kind| total[*kind] > 0.0)
            .all(|kind| {
                any_governed = true;
                let nearest = used[kind] + total[kind] - task[kind] / 2.0;
                let is_first_task =
                    is_single_task && used[kind] <= TOLERANCE && entitled[kind] > TOLERANCE;
                nearest <= entitled[kind] + TOLERANCE || is_first_task
            });
        any_governed && all_within
    }

    /// Whether a node is still at its entitlement, rounded to the nearest task, or beyond it after
    /// one of its tasks is stopped. `conceded` is what it has to give up beyond that, for a task
    /// that is larger than the whole entitlement of its team.
    fn can_spare(&self, ix: NodeIndex, used: Amount, task: Amount, conceded: Amount) -> bool {
        let entitled = self.entitled(ix).to_array();
        let (used, task, conceded) = (used.to_array(), task.to_array(), conceded.to_array());
        self.governed_kinds(ix)
            .filter(|kind| task[*kind] > 0.0)
            .any(|kind| {
                let is_only_task =
                    used[kind] <= task[kind] + TOLERANCE && entitled[kind] > TOLERANCE;
                let nearest = used[kind] - task[kind] / 2.0 + conceded[kind];
                !is_only_task && nearest > entitled[kind] + TOLERANCE
            })
    }

    /// Whether a task of the leaf `from` may be stopped for work of the leaf `by`. `used` returns
    /// what the teams below a node use at present.
    ///
    /// Below the lowest common ancestor of both, the branch of `by` must be within its entitlement
    /// and that of `from` beyond its own; so must the leaf `from` itself.
    #[must_use]
    pub fn may_reclaim(
        &self,
        from: NodeIndex,
        task: Amount,
        by: NodeIndex,
        wanted: ResourceRequest,
        used: impl Fn(NodeIndex) -> Amount,
    ) -> bool {
        let conceded = if used(by).is_zero() && wanted.total == wanted.task {
            wanted.task.minus(self.entitled(by))
        } else {
            Amount::ZERO
        };
        if !self.can_spare(from, used(from), task, conceded) {
            return false;
        }
        let Some((branch_of_by, branch_of_from)) = self.tree.branches(by, from) else {
            return false;
        };
        self.is_within_entitlement(branch_of_by, used(branch_of_by), wanted)
            && (branch_of_from == from
                || self.can_spare(branch_of_from, used(branch_of_from), task, conceded))
    }

    /// How far a leaf with the usage `used` is beyond its entitlement, as a part of what its root is
    /// guaranteed: the largest part of any kind of resource, at least 0.
    #[must_use]
    pub fn overuse(&self, leaf: NodeIndex, used: Amount) -> f64 {
        let root = self.tree.node(self.tree.root(leaf)).guarantee.to_array();
        let (used, entitled) = (used.to_array(), self.entitled(leaf).to_array());
        self.governed_kinds(leaf)
            .map(|kind| (used[kind] - entitled[kind]) / root[kind])
            .fold(0.0, f64::max)
    }
}

/// The point on the way from `base` to `demand` that the guarantee reaches.
fn guaranteed_part(base: Amount, demand: Amount, guarantee: Amount, governed: [bool; 2]) -> Amount {
    if guarantee.is_zero() {
        return base;
    }
    let (from, to, guaranteed) = (base.to_array(), demand.to_array(), guarantee.to_array());
    let mut fraction: f64 = 1.0;
    for kind in 0..2 {
        let distance = to[kind] - from[kind];
        if governed[kind] && distance > 0.0 {
            fraction = fraction.min((guaranteed[kind] - from[kind]).max(0.0) / distance);
        }
    }
    base.plus(demand.minus(base).times(fraction))
}

#[cfg(test)]
mod tests;
