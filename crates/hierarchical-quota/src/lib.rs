//! Hierarchical quotas: a tree of organisations, members and teams, each with a guarantee, a limit
//! and a weight. What a node leaves unused is lent to the others and reclaimed when it is needed
//! again.
//!
//! - `tree`: the operator's file, its validation, and the traversal of the validated tree,
//! - `divide`: how a node's entitlement is divided among its children,
//! - `entitlements`: what each node is entitled to at present, and which teams may reclaim
//!   capacity from which.
//!
//! All of these are pure functions of their input: no I/O, no clock, no randomness. Controllers
//! with the same tree and demands come to the same decisions.

#![warn(missing_docs)]

mod amount;
mod divide;
mod entitlements;
mod tree;

pub use amount::Amount;
pub use divide::{Claim, divide};
pub use entitlements::{Entitlements, ResourceRequest};
pub use tree::{
    Node, NodeIndex, NodeSpec, PlatformTeam, Tree, TreeError, TreeNote, TreeProblem, TreeSpec,
};
