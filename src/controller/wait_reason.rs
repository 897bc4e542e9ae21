//! What a job waits for, for operators and tests.

use super::Controller;
use crate::jobs::cache::Writing;
use crate::queue::WaitReason;
use crate::types::JobId;

impl Controller {
    /// What a job of which tasks wait waits for here; none: it is no job of ours, or has none.
    pub fn waits_for(&self, id: &JobId) -> Option<WaitReason> {
        let job = self.jobs.get(id)?;
        if job.active() && job.waiting() == 0 && job.changes.is_empty() {
            return None;
        }
        if job.writing != Writing::Idle || !job.changes.is_empty() {
            return Some(WaitReason::Writing);
        }
        let queued = self.scheduler.queue.waits_for(id);
        queued.or_else(|| (job.placed > 0).then_some(WaitReason::Leaving))
    }
}
