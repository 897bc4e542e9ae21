//! The tree as an operator wrote it, before validation.

use serde::{Deserialize, Serialize};

use crate::amount::Amount;

/// A team of the platform, with its own guarantee and limit.
#[derive(Clone, Debug)]
pub struct PlatformTeam {
    /// The team's name, by which leaves refer to it.
    pub team: String,
    /// What the platform guarantees the team.
    pub guarantee: Amount,
    /// The most that the platform allows the team; 0 means no limit.
    pub limit: Amount,
}

/// One node as it was written. This is also the stored form, whose JSON is hashed.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct NodeSpec {
    /// The name, unique in the tree.
    pub name: String,
    /// The name of the parent node; a root has none.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub parent: Option<String>,
    /// The platform's team that this leaf represents.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub team: Option<String>,
    /// The guaranteed amount; 0 means what the children, or the team of a leaf, are guaranteed.
    pub guarantee: Amount,
    /// The most that the node may use; 0 means no limit.
    pub limit: Amount,
    /// The weight among its siblings when surplus is divided.
    pub weight: f64,
}

impl NodeSpec {
    /// A root without guarantee and limit, with weight 1.
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
    /// Of two trees, the one with the higher revision is in force.
    pub revision: u64,
    /// How long the previous demand of a team still counts after its demand falls, in seconds, so
    /// that entitlements do not oscillate.
    pub hold_s: f64,
    /// Whether the tree is in force. If not, quotas are flat, as if there were no tree.
    pub enabled: bool,
    /// The nodes, in the order of the file.
    pub nodes: Vec<NodeSpec>,
}

/// A warning about a valid tree.
#[derive(Clone, Debug, PartialEq)]
pub enum TreeNote {
    /// The platform has this team and the tree does not, so the team keeps its flat quota.
    TeamNotInTree(String),
    /// A leaf (the first name) represents a team (the second) that the platform does not have.
    /// Nothing can use the leaf's guarantee, so it is lent.
    LeafWithoutTeam(String, String),
}

impl std::fmt::Display for TreeNote {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            TreeNote::TeamNotInTree(team) => {
                write!(f, "team {team} is not in the tree and keeps its flat quota")
            }
            TreeNote::LeafWithoutTeam(node, team) => write!(
                f,
                "node {node}: the platform has no team {team}, so its share is lent"
            ),
        }
    }
}
