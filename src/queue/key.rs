//! The order of the jobs in the queue.

use std::cmp::Reverse;

use crate::admission::Flow;
use crate::jobs::PriorityClass;
use crate::types::Millis;

/// Sort key of a queued job: jobs within their team's guarantee go first, then those of higher
/// priority, then those that were seen first. The order of the fields is the order of comparison.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct QueueKey {
    /// The job's next placement would exceed its team's guarantee.
    pub beyond_guarantee: bool,
    /// The job's priority class, highest first.
    pub priority: Reverse<PriorityClass>,
    /// When this controller first saw the job.
    pub first_seen_at: Millis,
    /// The job's class and team, whose floors apply while write capacity is scarce.
    pub flow: Flow,
}

/// The part of a [`QueueKey`] that leaves out age: equal ranks are equally entitled to resources.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct QueueRank {
    beyond_guarantee: bool,
    priority: Reverse<PriorityClass>,
}

impl QueueKey {
    /// The key without age and flow.
    pub fn rank(&self) -> QueueRank {
        QueueRank {
            beyond_guarantee: self.beyond_guarantee,
            priority: self.priority,
        }
    }
}
