//! The reason why tasks of a job wait, for operators and tests.

use super::Controller;
use crate::jobs::cache::CommitState;
use crate::queue::WaitReason;
use crate::types::JobId;

impl Controller {
    /// Why tasks of this job wait at this controller; `None` if no task waits or another controller
    /// queues the job.
    pub fn wait_reason(&self, id: &JobId) -> Option<WaitReason> {
        let job = self.jobs.get(id)?;
        let has_changes = !job.pending_changes.is_empty();
        if job.is_active() && job.waiting_tasks() == 0 && !has_changes {
            return None;
        }
        if job.commit_state != CommitState::Idle || has_changes {
            return Some(WaitReason::Writing);
        }
        let queued = self.scheduler.queue.waits_for(id);
        queued.or_else(|| (job.placed > 0).then_some(WaitReason::EarlierAttempt))
    }
}
