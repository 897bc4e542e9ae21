//! What a job leaves behind once it is over: its description, and its pages.

use super::Controller;
use crate::controller::CallPurpose;
use crate::controller::store_sync::PendingRead;
use crate::jobs::Phase;
use crate::jobs::cache::{Job, Writing};
use crate::jobs::record::{job_key, page_key};
use crate::lease::LEADER;
use crate::store::{CallClass, Transaction};
use crate::types::JobId;

impl Controller {
    /// Writes the final record of a cancelled job once no task of it is on any machine.
    pub(in crate::controller) fn clear(&mut self, id: &JobId) {
        let Some(job) = self.jobs.get(id) else { return };
        if job.active() || job.placed > 0 || job.writing != Writing::Idle {
            return;
        }
        if !self.knows_all_of(job) {
            let (version, job) = (job.version, id.clone());
            return self.once_applied(version, self.now, PendingRead::Clear { job });
        }
        let class = match job.record.phase {
            // A user waits for it.
            Phase::Aborting => CallClass::Cancellations,
            _ => CallClass::Rest,
        };
        let mut txn = Transaction::default();
        txn.require(job_key(id), job.version);
        txn.put(job_key(id), &job.record.finished(Phase::Aborted));
        if let Some(job) = self.jobs.get_mut(id) {
            job.writing = Writing::InFlight;
        }
        self.transact(class, txn, CallPurpose::Clear { job: id.clone() });
    }

    /// Handles the store's answer to a final record.
    pub(in crate::controller) fn on_cleared(&mut self, id: JobId) {
        if let Some(job) = self.jobs.get_mut(&id) {
            job.writing = Writing::Idle;
        }
    }

    /// Whether the cache shows all that was placed of a job before it was cancelled; afterwards nothing
    /// can be placed any more. A placement that is not known yet would be on its machine when the user
    /// hears that the job is over.
    pub(super) fn knows_all_of(&self, job: &Job) -> bool {
        self.store_sync.applied >= job.version
    }

    /// Deletes pages of finished jobs, if this controller leads and has nothing else to write. No
    /// transaction can bring them back: all rest on the version of the job's record.
    pub(in crate::controller) fn delete_finished_pages(&mut self) {
        if !self.commits.backlog.is_empty() || self.commits.deleting_pages || !self.may_place() {
            return;
        }
        let max_ops = self.settings.deployment.state.txn_ops;
        // All controllers see the pages; one deletes them.
        let Some(leader_revision) = self.leading() else {
            return;
        };
        let mut txn = Transaction::default();
        txn.require(LEADER.into(), leader_revision);
        for (id, page) in self.jobs.leftovers().take(max_ops) {
            txn.drop_key(page_key(id, *page));
        }
        if txn.changes.is_empty() {
            return;
        }
        self.commits.deleting_pages = true;
        self.transact(CallClass::Rest, txn, CallPurpose::Dropped);
    }
}
