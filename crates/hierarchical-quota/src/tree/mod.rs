//! The validated quota tree and its traversal.
//!
//! An operator's file is parsed into a [`TreeSpec`], from which a [`Tree`] is built that is
//! consistent in itself and with the platform's teams.

mod build;
mod error;
mod parse;
mod spec;

use std::collections::HashMap;

pub use self::error::{TreeError, TreeProblem};
pub use self::spec::{NodeSpec, PlatformTeam, TreeNote, TreeSpec};
use crate::amount::Amount;

/// The index of a node in its tree.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct NodeIndex(pub u32);

impl NodeIndex {
    /// The position in [`Tree::nodes`].
    pub(crate) fn index(self) -> usize {
        self.0 as usize
    }
}

/// A node of a validated tree.
#[derive(Clone, Debug)]
pub struct Node {
    /// The name, unique in the tree.
    pub name: String,
    /// The parent node; a root has none.
    pub parent: Option<NodeIndex>,
    /// The direct children, in the order of the file.
    pub children: Vec<NodeIndex>,
    /// The platform's team that the node represents, if it is a leaf.
    pub team: Option<String>,
    /// The guaranteed amount: for a leaf at least what the platform guarantees its team, for other
    /// nodes at least the sum of the children's guarantees.
    pub guarantee: Amount,
    /// The most that the node may use; for a leaf, the platform's limit applies too. 0 means no
    /// limit.
    pub limit: Amount,
    /// The limit that the tree states, without the platform's; 0 means no limit.
    pub own_limit: Amount,
    /// The weight among its siblings when surplus is divided.
    pub weight: f64,
    /// Number of ancestors.
    pub depth: u32,
}

/// A validated tree. It may have several roots; entitlements are divided within each root separately.
#[derive(Clone, Debug, Default)]
pub struct Tree {
    /// Of two trees, the one with the higher revision is in force.
    pub revision: u64,
    /// How long the previous demand of a team still counts after its demand falls, in milliseconds.
    pub hold_ms: u64,
    /// All nodes; parents come before their children.
    pub nodes: Vec<Node>,
    /// The leaves by the team that they represent.
    leaves: HashMap<String, NodeIndex>,
}

impl Tree {
    /// The node with this index.
    pub fn node(&self, ix: NodeIndex) -> &Node {
        &self.nodes[ix.index()]
    }

    /// The leaf that represents a team; `None` if the team is not in the tree.
    pub fn leaf(&self, team: &str) -> Option<NodeIndex> {
        self.leaves.get(team).copied()
    }

    /// The indices of all nodes, parents before their children.
    pub fn node_indices(&self) -> impl DoubleEndedIterator<Item = NodeIndex> + use<> {
        (0..self.nodes.len() as u32).map(NodeIndex)
    }

    /// A node and its ancestors, from the node up to its root.
    pub fn path(&self, ix: NodeIndex) -> impl Iterator<Item = NodeIndex> + '_ {
        std::iter::successors(Some(ix), |at| self.node(*at).parent)
    }

    /// The root above a node.
    pub fn root(&self, ix: NodeIndex) -> NodeIndex {
        self.path(ix).last().unwrap_or(ix)
    }

    /// The children of the lowest common ancestor of two nodes that lead to them, or their roots if
    /// they have no common ancestor. `None` if one node is the other or an ancestor of it.
    pub fn diverging_branches(&self, a: NodeIndex, b: NodeIndex) -> Option<(NodeIndex, NodeIndex)> {
        let (mut a, mut b) = (a, b);
        while self.node(a).depth > self.node(b).depth {
            a = self.node(a).parent?;
        }
        while self.node(b).depth > self.node(a).depth {
            b = self.node(b).parent?;
        }
        while a != b && self.node(a).parent != self.node(b).parent {
            a = self.node(a).parent?;
            b = self.node(b).parent?;
        }
        (a != b).then_some((a, b))
    }
}
