//! The state of the scheduling path: the queue, the candidate machines, nominations, and failures.
//!
//! The steps that work on it are in `queueing`, `placement`, `candidates`, `preemption` and
//! `failure_attribution`.

use rustc_hash::{FxHashMap as HashMap, FxHashSet as HashSet};

use super::candidates::Candidates;
use super::nominations::Nominations;
use crate::jobs::crash_loop::CrashLoopTracker;
use crate::queue::Queue;
use crate::settings::OperatorSettings;
use crate::types::{JobId, MachineId, Millis};
use crate::workers::reconcile::RequestedStops;

/// The state that decides which task is placed next, and where.
pub(super) struct Scheduler {
    /// Jobs that have tasks which this controller has to place.
    pub(super) queue: Queue,
    /// Jobs of other owners that were forwarded to this controller.
    pub(super) forwarded: HashSet<JobId>,
    /// Jobs that were forwarded to this controller before the watch delivered their record, and
    /// when.
    pub(super) forwarded_early: HashMap<JobId, Millis>,
    /// Resources that are kept for jobs.
    pub(super) nominations: Nominations,
    /// Machines that can take tasks.
    pub(super) candidates: Candidates,
    /// Jobs whose last task failed, until they are queued again.
    pub(super) failed_jobs: HashSet<JobId>,
    /// Which jobs fail on every machine, and when they may be tried next.
    pub(super) crash_loops: CrashLoopTracker,
    /// Jobs for which the leader requests preemption on a machine of this controller.
    pub(super) preemption_requests: HashMap<JobId, MachineId>,
    /// Tasks that are to be stopped.
    pub(super) stops: RequestedStops,
    /// When a service replica was last moved to a better machine.
    pub(super) replica_moved_at: Millis,
}

impl Scheduler {
    /// The state of a controller that has no jobs yet.
    pub(super) fn new(operator: &OperatorSettings) -> Self {
        Self {
            queue: new_queue(operator),
            forwarded: HashSet::default(),
            forwarded_early: HashMap::default(),
            nominations: Nominations::default(),
            candidates: Candidates::default(),
            failed_jobs: HashSet::default(),
            crash_loops: CrashLoopTracker::default(),
            preemption_requests: HashMap::default(),
            stops: RequestedStops::default(),
            replica_moved_at: Millis(0),
        }
    }

    /// Drops the state of a job that no longer exists.
    pub(super) fn forget_job(&mut self, id: &JobId) {
        self.queue.remove(id);
        self.forwarded.remove(id);
        self.failed_jobs.remove(id);
    }
}

/// An empty queue with the operator's backoff settings.
pub(super) fn new_queue(operator: &OperatorSettings) -> Queue {
    Queue::new(operator.backoff_first, operator.backoff_max, operator.flush)
}
