//! Pending changes of tasks: those that this controller has decided on or observed, and that no record
//! shows yet.

use crate::jobs::Placement;
use crate::types::{Attempt, FencingToken, Revision};

/// The next state of a task that this controller wants to write. A change applies to one attempt only:
/// by the time it is written, the task may have another attempt on another machine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum TaskChange {
    /// The task is to run on a machine.
    Place(Placement),
    /// The task is proven to have left its machine without being done.
    Release {
        /// The attempt that left.
        attempt: Attempt,
        /// How that is known.
        evidence: Evidence,
    },
    /// The task is done.
    Finish {
        /// The attempt that completed.
        attempt: Attempt,
    },
}

impl TaskChange {
    /// Whether the change marks the task as done.
    pub fn finishes(&self) -> bool {
        matches!(self, TaskChange::Finish { .. })
    }
}

/// The evidence that a task is off its machine. A missing heartbeat is no evidence.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Evidence {
    /// Observed by the holder of the machine's shard under this token. Under another token, another
    /// controller may have started the task since.
    Holder(FencingToken),
    /// The cloud's response shows that the machine is deleted.
    Deleted,
}

/// Whether a transaction with changes of a job is in flight; there is at most one.
#[derive(Debug, PartialEq, Eq)]
pub enum CommitState {
    /// No transaction is in flight; pending changes may be written.
    Idle,
    /// A transaction is in flight, and the store has not responded yet.
    InFlight,
    /// A transaction failed or got no response. Nothing is written before the cache has reached this
    /// revision; `None`: a read of the store's revision has yet to show which one that is.
    Resolving(Option<Revision>),
}
