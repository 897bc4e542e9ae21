//! Changes of tasks that this controller has decided on or observed, and that no record shows yet.

use crate::jobs::Placement;
use crate::types::{Attempt, FencingToken, Revision};

/// What this controller wants the record of a task to say next. A change applies to one attempt only:
/// by the time it is written, the task may have another attempt on another machine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum TaskChange {
    /// The task is to run on a machine.
    Place(Placement),
    /// The task is proven off the machine it was placed on, without being done.
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
    /// Whether the task is done by this change.
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
    /// The cloud answered that the machine is deleted.
    Deleted,
}

/// Whether a transaction with changes of a job is in flight. At most one is.
#[derive(Debug, PartialEq, Eq)]
pub enum CommitState {
    /// None is; noted changes may be written.
    Idle,
    /// One is, and the store has not answered yet.
    InFlight,
    /// One failed or went unanswered: nothing is written before the cache has reached this revision
    /// (`None`: before a read of the store's revision shows which one that is).
    Resolving(Option<Revision>),
}
