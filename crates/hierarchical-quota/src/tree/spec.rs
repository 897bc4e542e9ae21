//! The tree as an operator wrote it, before it is checked.

use serde::{Deserialize, Serialize};

use crate::amount::Amount;

/// A team of the platform, with its own guarantee and limit.
#[derive(Clone, Debug)]
pub struct PlatformTeam {
    /// The team's name.
    pub team: String,
    /// What the platform guarantees it.
    pub guarantee: Amount,
    /// What the platform allows it at most; 0 means no limit.
    pub limit: Amount,
}

/// One node as it was written. The stored form, whose JSON is hashed.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct NodeSpec {
    /// Its name, unique in the tree.
    pub name: String,
    /// The name of the node above it; a root has none.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub parent: Option<String>,
    /// The platform's team that this leaf represents.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub team: Option<String>,
    /// What it is guaranteed; 0 means what its children, or its team, are guaranteed.
    pub guarantee: Amount,
    /// What it may use at most; 0 means no limit.
    pub limit: Amount,
    /// Its weight among its siblings.
    pub weight: f64,
}

impl NodeSpec {
    /// A root of this name without guarantee and limit.
    pub(super) fn named(name: &str) -> Self {
        Self {
            name: name.into(),
            parent: None,
            team: None,
            guarantee: Amount::ZERO,
            limit: Amount::ZERO,
            weight: 1.0,
        }
    }
}

/// A tree as it was written.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TreeSpec {
    /// Of two trees the one with the higher revision is active.
    pub revision: u64,
    /// How long demand that falls still counts, in seconds, so that entitlements do not oscillate.
    pub hold_s: f64,
    /// If not, quotas are flat, as if there were no tree.
    pub enabled: bool,
    /// The nodes, in the order of the file.
    pub nodes: Vec<NodeSpec>,
}

/// What an operator should know of a tree that is valid.
#[derive(Clone, Debug, PartialEq)]
pub enum TreeNote {
    /// The platform has this team and the tree does not: it keeps its flat quota.
    TeamOutside(String),
    /// A leaf (the first name) represents a team (the second) that the platform does not have.
    /// Nothing can use its guarantee, so it is lent.
    LeafWithoutTeam(String, String),
}

impl std::fmt::Display for TreeNote {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            TreeNote::TeamOutside(team) => {
                write!(f, "team {team} is not in the tree and keeps its flat quota")
            }
            TreeNote::LeafWithoutTeam(node, team) => write!(
                f,
                "node {node}: the platform has no team {team}, so its share is lent"
            ),
        }
    }
}
