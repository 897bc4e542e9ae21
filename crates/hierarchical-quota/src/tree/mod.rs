//! The checked tree of quotas, and its traversal.
//!
//! An operator's file is read into a [`TreeSpec`], and built into a [`Tree`] that is consistent
//! with itself and with the platform's teams.

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
    /// Its position in [`Tree::nodes`].
    pub(crate) fn index(self) -> usize {
        self.0 as usize
    }
}

/// A node of a checked tree.
#[derive(Clone, Debug)]
pub struct Node {
    /// Its name, unique in the tree.
    pub name: String,
    /// The node above it; a root has none.
    pub parent: Option<NodeIndex>,
    /// The nodes below it, in the order of the file.
    pub children: Vec<NodeIndex>,
    /// The platform's team that a leaf represents.
    pub team: Option<String>,
    /// What it is guaranteed: for a leaf at least what the platform guarantees its team, for others
    /// at least the sum of the children's.
    pub guarantee: Amount,
    /// What it may use at most, for a leaf also by the platform's limit; 0 means no limit.
    pub limit: Amount,
    /// The limit by the tree alone, without the platform's; 0 means no limit.
    pub own_limit: Amount,
    /// Its weight among its siblings.
    pub weight: f64,
    /// Number of nodes above it.
    pub depth: u32,
}

/// A checked tree, or several beside each other.
#[derive(Clone, Debug, Default)]
pub struct Tree {
    /// Of two trees the one with the higher revision is active.
    pub revision: u64,
    /// How long demand that falls still counts, in milliseconds.
    pub hold_ms: u64,
    /// All nodes; parents come before their children.
    pub nodes: Vec<Node>,
    /// The leaves by the team that they stand for.
    leaves: HashMap<String, NodeIndex>,
}

impl Tree {
    /// The node with this index.
    pub fn node(&self, ix: NodeIndex) -> &Node {
        &self.nodes[ix.index()]
    }

    /// The leaf that represents a team.
    pub fn leaf(&self, team: &str) -> Option<NodeIndex> {
        self.leaves.get(team).copied()
    }

    /// All nodes, parents before their children.
    pub fn node_indices(&self) -> impl DoubleEndedIterator<Item = NodeIndex> + use<> {
        (0..self.nodes.len() as u32).map(NodeIndex)
    }

    /// A node, its parent, and so on up to its root.
    pub fn path(&self, ix: NodeIndex) -> impl Iterator<Item = NodeIndex> + '_ {
        std::iter::successors(Some(ix), |at| self.node(*at).parent)
    }

    /// The root above a node.
    pub fn root(&self, ix: NodeIndex) -> NodeIndex {
        self.path(ix).last().unwrap_or(ix)
    }

    /// The children of the lowest common ancestor of two nodes that are on the ways to them, or
    /// the roots above them if they have no common ancestor. `None`: one is above the other.
    pub fn branches(&self, a: NodeIndex, b: NodeIndex) -> Option<(NodeIndex, NodeIndex)> {
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
