//! Nested quotas. A tree of organisations, members and teams, each with a guarantee, a limit and a
//! weight; unused share is lent down the tree and among siblings, and reclaimed. All of it pure
//! decisions: no I/O, no clock, no randomness, the same input gives the same answer.

mod amount;
mod divide;
mod shares;
mod tree;

pub use amount::Amount;
pub use divide::{Claim, divide};
pub use shares::{Shares, Wanted};
pub use tree::{Node, NodeIx, NodeSpec, Outer, Tree, TreeError, TreeNote, TreeSpec};
