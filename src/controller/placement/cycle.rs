//! One scheduling cycle: it takes the next task of a job, or a whole gang, and ends with a
//! placement, with the job handed to another controller, or with the job back in the queue.

use std::collections::BTreeSet;

use crate::controller::Controller;
use crate::controller::candidates::MachineScope;
use crate::controller::preemption::PreemptionScope;
use crate::jobs::PriorityClass;
use crate::jobs::cache::{CommitState, Job};
use crate::queue::{Check, PoppedJob, QueueKey};
use crate::types::JobId;

impl Controller {
    /// Runs one cycle for a job. Returns whether a task, or a gang, was placed.
    pub(super) fn run_cycle(&mut self, popped: &PoppedJob) -> bool {
        let id = &popped.id;
        let Some(job) = self.jobs.get(id) else {
            return false;
        };
        if !job.is_active() || job.waiting_tasks() == 0 || job.commit_state != CommitState::Idle {
            // A job whose transaction is in flight is queued again when the store answers.
            return false;
        }
        let key = self.queue_key(job);
        self.work_counters.cycles.add(1);
        if job.is_completed_gang() {
            self.finalize_completed_gang(id);
            self.requeue(id, 0, BTreeSet::new(), key);
            return false;
        }
        if self.defer_crash_looping(id, key) {
            return false;
        }
        if self
            .jobs
            .get(id)
            .is_some_and(|job| self.may_be_placed_by_another(job))
        {
            self.requeue(id, 0, BTreeSet::new(), key);
            return false;
        }
        if popped.failures == 0 && self.try_faster_start(id, key) {
            return false;
        }
        match self.place(id) {
            Ok(()) => {
                self.after_placement(id, key);
                true
            }
            Err(checks) => {
                self.handle_unplaced(popped, checks, key);
                false
            }
        }
    }

    /// Schedules the commit of the placement, and queues the job again if more of its tasks wait.
    fn after_placement(&mut self, id: &JobId, key: QueueKey) {
        self.end_used_nominations(id);
        if self.jobs.get(id).is_some_and(Job::is_multi_task_gang) {
            self.commit(id);
        } else if self.commits.changed_jobs.last() != Some(id) {
            self.commits.changed_jobs.push(id.clone());
        }
        if let Some(job) = self.jobs.get(id)
            && job.waiting_tasks() > 0
            && !self.defer_crash_looping(id, key)
        {
            self.scheduler.queue.push(id, key);
        } else {
            self.scheduler.forwarded.remove(id);
        }
    }

    /// Tries to start the job faster than by fetching its image to this controller's machines. A
    /// fetch takes far longer than forwarding by way of the leader, or than preemption. Where this
    /// controller's shards lack the image, the job is placed where the image is cached, and for an
    /// urgent job tasks are preempted there.
    ///
    /// Returns whether that ends the cycle.
    fn try_faster_start(&mut self, id: &JobId, key: QueueKey) -> bool {
        let Some(job) = self.jobs.get(id) else {
            return false;
        };
        let urgent = job.spec.priority >= PriorityClass::Urgent;
        let gang = job.is_multi_task_gang();
        let leading = self.leading().is_some();
        if gang && leading {
            // The ordinary cycle considers the whole fleet already.
            return false;
        }
        if self.has_cached_capacity(id, MachineScope::Own) {
            return false;
        }
        if urgent && self.serve_preemption_request(id) {
            self.scheduler.queue.park_nominated(id, 0, key, self.now);
            return true;
        }
        let cached_elsewhere = !gang && self.has_cached_capacity(id, MachineScope::Others);
        if !leading {
            return (cached_elsewhere || urgent) && self.ask_leader_for_faster_start(id, key);
        }
        if cached_elsewhere {
            self.forward_for_faster_start(id, key);
            return true;
        }
        if urgent && self.preempt(id, PreemptionScope::Quickest) {
            self.scheduler.queue.park_nominated(id, 0, key, self.now);
            return true;
        }
        false
    }

    /// As the leader, treats a job as one that does not fit this controller's shards, since another
    /// controller's machines have its image.
    fn forward_for_faster_start(&mut self, id: &JobId, key: QueueKey) {
        let checks = BTreeSet::from([Check::Resources]);
        let job = PoppedJob {
            id: id.clone(),
            failures: 0,
        };
        self.handle_unplaced(&job, checks, key);
    }

    /// Returns the job to the leader, which considers the whole fleet, unless the leader has
    /// forwarded the job to this controller. In the meantime the job backs off; if the leader does
    /// not place it, this controller tries it again.
    fn ask_leader_for_faster_start(&mut self, id: &JobId, key: QueueKey) -> bool {
        if self.scheduler.forwarded.contains(id) || !self.return_to_leader(id) {
            return false;
        }
        self.requeue(id, 0, BTreeSet::new(), key);
        true
    }
}
