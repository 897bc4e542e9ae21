//! The state of the scheduling path: the queue, the candidates, and what is reserved for whom.

use rustc_hash::{FxHashMap as HashMap, FxHashSet as HashSet};

use super::candidates::Candidates;
use super::nominations::Nominations;
use crate::jobs::crash_loop::CrashLoopTracker;
use crate::queue::Queue;
use crate::settings::Operator;
use crate::types::{JobId, MachineId, Millis};
use crate::workers::reconcile::Stops;

/// Everything that decides which task is placed next, and where.
pub(super) struct Scheduler {
    pub(super) queue: Queue,
    /// Jobs of other owners that were forwarded to us.
    pub(super) forwarded: HashSet<JobId>,
    /// Forwarded before the watch brought them, and since when.
    pub(super) forwarded_early: HashMap<JobId, Millis>,
    pub(super) nominations: Nominations,
    pub(super) candidates: Candidates,
    /// Jobs whose last task failed.
    pub(super) failed_jobs: HashSet<JobId>,
    pub(super) crash_loops: CrashLoopTracker,
    /// Jobs for which the leader wants a machine of ours preempted.
    pub(super) preemption_requests: HashMap<JobId, MachineId>,
    /// Tasks that are to be stopped.
    pub(super) stops: Stops,
    pub(super) replica_moved_at: Millis,
}

impl Scheduler {
    pub(super) fn new(operator: &Operator) -> Self {
        Self {
            queue: new_queue(operator),
            forwarded: HashSet::default(),
            forwarded_early: HashMap::default(),
            nominations: Nominations::default(),
            candidates: Candidates::default(),
            failed_jobs: HashSet::default(),
            crash_loops: CrashLoopTracker::default(),
            preemption_requests: HashMap::default(),
            stops: Stops::default(),
            replica_moved_at: Millis(0),
        }
    }
}

/// An empty queue with the operator's waits.
pub(super) fn new_queue(operator: &Operator) -> Queue {
    Queue::new(
        operator.backoff_first,
        operator.backoff_most,
        operator.flush,
    )
}
