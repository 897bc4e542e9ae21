//! What each node of a tree is entitled to at present, and who may reclaim from whom.
//!
//! Demand goes up the tree, what is guaranteed comes down it. Both are worked out anew only where
//! something changed, a few times a second at the most; a decision looks at one path.

use std::sync::Arc;

use crate::amount::{Amount, SLACK};
use crate::divide::{Claim, divide};
use crate::tree::{NodeIx, Tree};

#[derive(Clone, Copy, Debug, Default)]
struct State {
    /// What the teams below could use, as far as limits let them.
    demand: Amount,
    /// What guarantees give it, whatever others want.
    floor: Amount,
    /// What it is entitled to: its floor and what others leave unused.
    entitled: Amount,
    /// Its children's claims, or what it has to divide, changed.
    dirty: bool,
    /// Since when a leaf's demand is less than what counts.
    less_since: Option<u64>,
    /// The largest demand since then.
    most: Amount,
}

/// The shares of a tree. Times are milliseconds of a steady clock.
#[derive(Clone, Debug)]
pub struct Shares {
    tree: Arc<Tree>,
    nodes: Vec<State>,
    /// By root: which amounts it governs.
    governed: Vec<[bool; 2]>,
}

/// What a task, or all tasks of a gang, would take.
#[derive(Clone, Copy, Debug)]
pub struct Wanted {
    pub total: Amount,
    pub task: Amount,
}

impl Shares {
    pub fn new(tree: Arc<Tree>) -> Self {
        let nodes = vec![State::default(); tree.nodes.len()];
        let governed = tree
            .all()
            .map(|ix| {
                let held = tree.node(tree.root(ix)).guarantee.each();
                [held[0] > 0.0, held[1] > 0.0]
            })
            .collect();
        Self {
            tree,
            nodes,
            governed,
        }
    }

    pub fn tree(&self) -> &Arc<Tree> {
        &self.tree
    }

    /// Bytes that the tree and its shares take, names included, about.
    pub fn bytes(&self) -> usize {
        let node = size_of::<State>() + size_of::<crate::tree::Node>() + size_of::<[bool; 2]>();
        let names = self.tree.nodes.iter().map(|node| {
            // A team's name is kept twice: in its node and in the index of leaves.
            let team = node.team.as_ref().map_or(0, |team| 2 * team.len() + 40);
            node.name.len() + team + node.children.len() * size_of::<NodeIx>()
        });
        self.nodes.len() * node + names.sum::<usize>()
    }

    pub fn entitled(&self, ix: NodeIx) -> Amount {
        self.nodes[ix.at()].entitled
    }

    pub fn demand(&self, ix: NodeIx) -> Amount {
        self.nodes[ix.at()].demand
    }

    /// Notes what a leaf could use now. More counts at once; less counts once it has been less for
    /// the tree's hold time, so that a team whose jobs come one after the other keeps its share in
    /// between.
    pub fn set_demand(&mut self, leaf: NodeIx, amount: Amount, now: u64) {
        let hold = self.tree.hold_ms;
        let limit = self.tree.node(leaf).limit;
        let state = &mut self.nodes[leaf.at()];
        let amount = amount.capped(limit);
        let more = amount.cpus >= state.demand.cpus && amount.gpus >= state.demand.gpus;
        let counts = if more {
            state.less_since = None;
            amount
        } else {
            let since = *state.less_since.get_or_insert(now);
            if since == now {
                state.most = amount;
            }
            state.most = Amount {
                cpus: state.most.cpus.max(amount.cpus),
                gpus: state.most.gpus.max(amount.gpus),
            };
            if now - since < hold {
                return;
            }
            state.less_since = None;
            std::mem::take(&mut state.most)
        };
        if counts != state.demand {
            state.demand = counts;
            state.dirty = true;
        }
    }

    /// Works out what changed. Returns the leaves that are entitled to more than before.
    pub fn refresh(&mut self) -> Vec<NodeIx> {
        let tree = self.tree.clone();
        for ix in (0..tree.nodes.len()).rev() {
            if !self.nodes[ix].dirty {
                continue;
            }
            let node = &tree.nodes[ix];
            let (base, sum) = if node.children.is_empty() {
                (Amount::ZERO, self.nodes[ix].demand)
            } else {
                let below = node.children.iter().map(|child| &self.nodes[child.at()]);
                below.fold((Amount::ZERO, Amount::ZERO), |(base, sum), state| {
                    (base.plus(state.floor), sum.plus(state.demand))
                })
            };
            let demand = sum.capped(node.limit);
            let base = base.least(demand);
            let floor = up_to(base, demand, node.guarantee, self.governed[ix]);
            let state = &mut self.nodes[ix];
            if node.children.is_empty() {
                state.dirty = false;
            }
            (state.demand, state.floor) = (demand, floor);
            if let Some(parent) = node.parent {
                self.nodes[parent.at()].dirty = true;
            } else {
                self.nodes[ix].entitled = floor;
            }
        }
        let mut raised = Vec::new();
        for ix in 0..tree.nodes.len() {
            let node = &tree.nodes[ix];
            if !std::mem::take(&mut self.nodes[ix].dirty) || node.children.is_empty() {
                if node.parent.is_none() && node.children.is_empty() {
                    self.nodes[ix].entitled = self.nodes[ix].floor;
                }
                continue;
            }
            let claim = |child: &NodeIx| Claim {
                floor: self.nodes[child.at()].floor,
                demand: self.nodes[child.at()].demand,
                weight: tree.node(*child).weight,
            };
            let claims: Vec<Claim> = node.children.iter().map(claim).collect();
            let given = divide(self.nodes[ix].entitled, self.governed[ix], &claims);
            for (child, amount) in node.children.iter().zip(given) {
                let state = &mut self.nodes[child.at()];
                let before = state.entitled;
                if before == amount {
                    continue;
                }
                state.entitled = amount;
                if !tree.node(*child).children.is_empty() {
                    state.dirty = true;
                } else if amount.cpus > before.cpus + SLACK || amount.gpus > before.gpus + SLACK {
                    raised.push(*child);
                }
            }
        }
        raised
    }

    fn each(&self, ix: NodeIx) -> impl Iterator<Item = usize> + use<> {
        let governed = self.governed[ix.at()];
        [0, 1].into_iter().filter(move |r| governed[*r])
    }

    /// Whether work is within what a node is entitled to, to the nearest task: of a team, such work
    /// goes first, and may reclaim what others borrowed. A node that uses nothing may have one task
    /// that is larger than all of its share: else it would never run.
    pub fn within(&self, ix: NodeIx, used: Amount, wanted: Wanted) -> bool {
        let entitled = self.entitled(ix).each();
        let (used, total, task) = (used.each(), wanted.total.each(), wanted.task.each());
        let alone = wanted.total == wanted.task;
        let mut governed = false;
        let all = self.each(ix).filter(|r| total[*r] > 0.0).all(|r| {
            governed = true;
            let nearest = used[r] + total[r] - task[r] / 2.0 <= entitled[r] + SLACK;
            nearest || alone && used[r] <= SLACK && entitled[r] > SLACK
        });
        governed && all
    }

    /// Whether a node stays nearer to its share, or above it, without a task; less `gives`, which
    /// it has to give up for a task that is larger than the share of its owner.
    fn spares(&self, ix: NodeIx, used: Amount, task: Amount, gives: Amount) -> bool {
        let entitled = self.entitled(ix).each();
        let (used, task, gives) = (used.each(), task.each(), gives.each());
        self.each(ix).filter(|r| task[*r] > 0.0).any(|r| {
            let only = used[r] <= task[r] + SLACK && entitled[r] > SLACK;
            !only && used[r] - task[r] / 2.0 + gives[r] > entitled[r] + SLACK
        })
    }

    /// Whether a task of one team may be stopped for work of another. Seen from where their ways
    /// part, the one's branch must be within its share and the other's beyond it; so is the other
    /// team itself. `used`: what a node's teams use at present.
    pub fn may_reclaim(
        &self,
        from: NodeIx,
        task: Amount,
        by: NodeIx,
        wanted: Wanted,
        used: impl Fn(NodeIx) -> Amount,
    ) -> bool {
        let gives = if used(by).is_zero() && wanted.total == wanted.task {
            wanted.task.minus(self.entitled(by))
        } else {
            Amount::ZERO
        };
        if !self.spares(from, used(from), task, gives) {
            return false;
        }
        match self.tree.parting(by, from) {
            Some((mine, its)) => {
                self.within(mine, used(mine), wanted)
                    && (its == from || self.spares(its, used(its), task, gives))
            }
            None => false,
        }
    }

    /// How far a team is beyond its share, as a part of what its root holds: the largest of its
    /// amounts.
    pub fn over(&self, leaf: NodeIx, used: Amount) -> f64 {
        let held = self.tree.node(self.tree.root(leaf)).guarantee.each();
        let (used, entitled) = (used.each(), self.entitled(leaf).each());
        self.each(leaf)
            .map(|r| (used[r] - entitled[r]) / held[r])
            .fold(0.0, f64::max)
    }
}

/// On the way from `base` to `demand`, as far as the guarantee reaches.
fn up_to(base: Amount, demand: Amount, guarantee: Amount, governed: [bool; 2]) -> Amount {
    let (from, to, held) = (base.each(), demand.each(), guarantee.each());
    if guarantee.is_zero() {
        return base;
    }
    let mut part: f64 = 1.0;
    for r in 0..2 {
        let more = to[r] - from[r];
        if governed[r] && more > 0.0 {
            part = part.min((held[r] - from[r]).max(0.0) / more);
        }
    }
    base.plus(demand.minus(base).times(part))
}

#[cfg(test)]
mod tests;
