//! What each node of a tree is entitled to at present, and which teams may reclaim from which.
//!
//! Demands are aggregated from the leaves up, and entitlements divided from the roots down. Both are
//! recomputed only where something changed, a few times a second at most. A decision reads a single
//! path of the tree.

use std::sync::Arc;

use crate::amount::{Amount, TOLERANCE};
use crate::divide::{Claim, divide};
use crate::tree::{NodeIndex, Tree};

/// Estimated size of an entry of the index of leaves, in bytes, without the team's name.
const INDEX_ENTRY_BYTES: usize = 40;

/// The state of a node.
#[derive(Clone, Copy, Debug, Default)]
struct NodeState {
    /// What the teams below the node could use, within the limits.
    demand: Amount,
    /// What guarantees give the node, regardless of the demand of its siblings.
    floor: Amount,
    /// The entitlement: the floor, and a share of what other nodes leave unused.
    entitled: Amount,
    /// Whether the children's claims or the entitlement have changed since it was last divided.
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
    /// By node: whether CPUs and GPUs are governed, that is, whether the root above it has a
    /// guarantee of them.
    governed: Vec<[bool; 2]>,
}

/// The resources of work that asks to be placed.
#[derive(Clone, Copy, Debug)]
pub struct ResourceRequest {
    /// The sum over the work: one task, or all tasks of a gang.
    pub total: Amount,
    /// The amount of a single task.
    pub task: Amount,
}

impl Entitlements {
    /// Entitlements without any demand, so all are zero.
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

    /// The tree to which the entitlements belong.
    pub fn tree(&self) -> &Arc<Tree> {
        &self.tree
    }

    /// Estimated memory of the tree and its entitlements, in bytes, names included.
    pub fn estimated_bytes(&self) -> usize {
        let node = size_of::<NodeState>() + size_of::<crate::tree::Node>() + size_of::<[bool; 2]>();
        let names = self.tree.nodes.iter().map(|node| {
            // A team's name is stored twice: in its node and in the index of leaves.
            let team = node.team.as_ref();
            let team = team.map_or(0, |team| 2 * team.len() + INDEX_ENTRY_BYTES);
            node.name.len() + team + node.children.len() * size_of::<NodeIndex>()
        });
        self.nodes.len() * node + names.sum::<usize>()
    }

    /// The entitlement of a node, as of the last [`Entitlements::refresh`].
    pub fn entitled(&self, ix: NodeIndex) -> Amount {
        self.nodes[ix.index()].entitled
    }

    /// What the teams below a node could use, within the limits. For inner nodes it is as of the last
    /// [`Entitlements::refresh`].
    pub fn demand(&self, ix: NodeIndex) -> Amount {
        self.nodes[ix.index()].demand
    }

    /// Sets what a leaf could use at the time `now`. A higher demand counts at once. A lower one
    /// counts after it has been lower for the tree's hold time, so that a team that runs one job
    /// after another keeps its entitlement in between.
    pub fn set_demand(&mut self, leaf: NodeIndex, amount: Amount, now: u64) {
        let hold = self.tree.hold_ms;
        let limit = self.tree.node(leaf).limit;
        let state = &mut self.nodes[leaf.index()];
        let amount = amount.capped(limit);
        let is_higher = amount.cpus >= state.demand.cpus && amount.gpus >= state.demand.gpus;
        let effective = if is_higher {
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
        if effective != state.demand {
            state.demand = effective;
            state.dirty = true;
        }
    }

    /// Recomputes the entitlements where a demand changed. Returns the leaves that are entitled
    /// to more than before.
    pub fn refresh(&mut self) -> Vec<NodeIndex> {
        let tree = self.tree.clone();
        for ix in tree.node_indices().rev() {
            self.aggregate(&tree, ix);
        }
        let mut raised = Vec::new();
        for ix in tree.node_indices() {
            self.divide_among_children(&tree, ix, &mut raised);
        }
        raised
    }

    /// Recomputes a node's demand and floor from those of its children, which must be up to date.
    fn aggregate(&mut self, tree: &Tree, ix: NodeIndex) {
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
        let allocations = divide(
            self.nodes[ix.index()].entitled,
            self.governed[ix.index()],
            &claims,
        );
        for (child, amount) in node.children.iter().zip(allocations) {
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

    /// Whether a node stays within its entitlement, rounded to the nearest task, when the requested
    /// work is added to its usage. Such work of a team has precedence, and may reclaim what others
    /// borrowed.
    ///
    /// A node that uses nothing may run one task that is larger than its whole entitlement, because
    /// the task would otherwise never run.
    #[must_use]
    pub fn is_within_entitlement(
        &self,
        ix: NodeIndex,
        used: Amount,
        request: ResourceRequest,
    ) -> bool {
        let entitled = self.entitled(ix).to_array();
        let (used, total, task) = (
            used.to_array(),
            request.total.to_array(),
            request.task.to_array(),
        );
        let is_single_task = request.total == request.task;
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

    /// Whether a node still uses its entitlement, rounded to the nearest task, or more after one of
    /// its tasks is stopped. `conceded` is added to its usage, so that the node gives up that much
    /// more for a task that is larger than the whole entitlement of the reclaiming team.
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

    /// Whether a task of the leaf `victim` may be preempted for work of the leaf `reclaimer`. `used`
    /// returns what the teams below a node use at present.
    ///
    /// Below the lowest common ancestor of both, the branch of the reclaimer must be within its
    /// entitlement, and that of the victim beyond its own; so must the victim itself.
    #[must_use]
    pub fn may_reclaim(
        &self,
        victim: NodeIndex,
        task: Amount,
        reclaimer: NodeIndex,
        request: ResourceRequest,
        used: impl Fn(NodeIndex) -> Amount,
    ) -> bool {
        let conceded = if used(reclaimer).is_zero() && request.total == request.task {
            request.task.minus(self.entitled(reclaimer))
        } else {
            Amount::ZERO
        };
        if !self.can_spare(victim, used(victim), task, conceded) {
            return false;
        }
        let Some((reclaimer_branch, victim_branch)) =
            self.tree.diverging_branches(reclaimer, victim)
        else {
            return false;
        };
        self.is_within_entitlement(reclaimer_branch, used(reclaimer_branch), request)
            && (victim_branch == victim
                || self.can_spare(victim_branch, used(victim_branch), task, conceded))
    }

    /// How far the usage of a leaf exceeds its entitlement, as a fraction of the guarantee of its
    /// root: the largest fraction of any governed kind of resource, at least 0.
    #[must_use]
    pub fn overuse(&self, leaf: NodeIndex, used: Amount) -> f64 {
        let root = self.tree.node(self.tree.root(leaf)).guarantee.to_array();
        let (used, entitled) = (used.to_array(), self.entitled(leaf).to_array());
        self.governed_kinds(leaf)
            .map(|kind| (used[kind] - entitled[kind]) / root[kind])
            .fold(0.0, f64::max)
    }
}

/// The point on the line from `base` to `demand` up to which the guarantee suffices.
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
