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
mod tests {
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

    fn shares() -> Shares {
        let spec = TreeSpec::parse("f", TREE).unwrap();
        Shares::new(Arc::new(spec.build("f", &[]).unwrap().0))
    }

    fn gpus(gpus: f64) -> Amount {
        Amount::new(0.0, gpus)
    }

    fn leaf(shares: &Shares, team: &str) -> NodeIx {
        shares.tree.leaf(team).unwrap()
    }

    fn set(shares: &mut Shares, demands: &[(&str, f64)], now: u64) {
        for (team, demand) in demands {
            let leaf = leaf(shares, team);
            shares.set_demand(leaf, gpus(*demand), now);
        }
        shares.refresh();
    }

    #[test]
    fn unused_share_is_lent_and_comes_back() {
        type Case<'a> = (&'a str, &'a [(&'a str, f64)], &'a [(&'a str, f64)]);
        let cases: &[Case] = &[
            ("alone, a team has all", &[("e1", 99.0)], &[("e1", 32.0)]),
            (
                "a sibling takes its own share back, by weight beyond guarantees",
                &[("e1", 99.0), ("e2", 99.0)],
                // 8 guaranteed is just what weight 1 of 4 gives of 32.
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
            let mut shares = shares();
            set(&mut shares, demands, 0);
            for (team, amount) in *expected {
                let got = shares.entitled(leaf(&shares, team)).gpus;
                assert!((got - amount).abs() < 1e-6, "{name}: {team} has {got}");
            }
        }
    }

    /// A borrower whose jobs come one after the other asks for nothing in between. Without the
    /// hold its share went away and came back with each of them.
    #[test]
    fn demand_that_falls_counts_for_a_while() {
        let mut shares = shares();
        let (e1, w1) = (leaf(&shares, "e1"), leaf(&shares, "w1"));
        set(&mut shares, &[("e1", 32.0), ("w1", 32.0)], 0);
        let steps = [
            // when, e1's demand, what w1 is entitled to
            (1_000, 0.0, 16.0),
            (3_000, 32.0, 16.0),
            (4_000, 0.0, 16.0),
            (8_900, 0.0, 16.0),
            (9_000, 0.0, 24.0),
            (9_100, 32.0, 16.0),
        ];
        for (now, demand, expected) in steps {
            set(&mut shares, &[("e1", demand)], now);
            let got = shares.entitled(w1).gpus;
            assert!((got - expected).abs() < 1e-6, "{got} at {now}");
        }
        assert_eq!(shares.demand(e1).gpus, 32.0);
    }

    #[test]
    fn who_may_reclaim_from_whom() {
        let one = Wanted {
            total: gpus(1.0),
            task: gpus(1.0),
        };
        let of = |total: f64, task: f64| Wanted {
            total: gpus(total),
            task: gpus(task),
        };
        type Case<'a> = (
            &'a str,
            &'a [(&'a str, f64)],
            &'a str,
            f64,
            &'a str,
            Wanted,
            bool,
        );
        let all: &[(&str, f64)] = &[("e1", 20.0), ("e2", 0.0), ("w1", 4.0), ("w2", 8.0)];
        let cases: &[Case] = &[
            // name, use, from, its task, by, what it wants, allowed
            (
                "a borrower in another member",
                all,
                "e1",
                1.0,
                "w1",
                one,
                true,
            ),
            ("a borrower beside it", all, "e1", 1.0, "e2", one, true),
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
                of(8.0, 4.0),
                false,
            ),
            // w2 is over its share of 4, but its member is not over: only w1 may take from it.
            (
                "beside it, over inside its member",
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
            ("a whole gang", all, "w2", 4.0, "w1", of(8.0, 4.0), true),
            (
                "not a gang that is too large",
                all,
                "w2",
                4.0,
                "w1",
                of(12.0, 4.0),
                false,
            ),
            (
                "one task larger than the share",
                &[("e1", 20.0), ("e2", 0.0)],
                "e1",
                1.0,
                "e2",
                of(16.0, 16.0),
                true,
            ),
            (
                "but not two of them",
                &[("e1", 20.0), ("e2", 1.0)],
                "e1",
                1.0,
                "e2",
                of(16.0, 16.0),
                false,
            ),
            (
                "nor is a team's only task stopped for it",
                &[("w2", 16.0)],
                "w2",
                16.0,
                "w1",
                one,
                false,
            ),
        ];
        for (name, uses, from, task, by, wanted, allowed) in cases {
            let mut shares = shares();
            let demands = [("e1", 99.0), ("e2", 8.0), ("w1", 99.0), ("w2", 99.0)];
            set(&mut shares, &demands, 0);
            let used = |ix: NodeIx| {
                let team = |(team, _): &&(&str, f64)| {
                    let leaf = leaf(&shares, team);
                    shares.tree.path(leaf).any(|at| at == ix)
                };
                gpus(uses.iter().filter(team).map(|(_, used)| used).sum())
            };
            let (from, by) = (leaf(&shares, from), leaf(&shares, by));
            let got = shares.may_reclaim(from, gpus(*task), by, *wanted, used);
            assert_eq!(got, *allowed, "{name}");
        }
    }
}
