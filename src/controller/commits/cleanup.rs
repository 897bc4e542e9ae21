//! Writes the final records of cancelled jobs, which no longer contain the spec, and deletes the
//! pages of finished jobs.

use super::Controller;
use crate::controller::CallPurpose;
use crate::controller::store_sync::PendingRead;
use crate::jobs::Phase;
use crate::jobs::cache::{CommitState, Job};
use crate::jobs::record::{job_key, page_key};
use crate::lease::LEADER_KEY;
use crate::store::{CallClass, Transaction};
use crate::types::JobId;

impl Controller {
    /// Writes the final record of a cancelled job once no task of it is on any machine.
    pub(in crate::controller) fn finalize_cancelled(&mut self, id: &JobId) {
        let Some(job) = self.jobs.get(id) else { return };
        if job.is_active() || job.placed > 0 || job.commit_state != CommitState::Idle {
            return;
        }
        if !self.all_placements_known(job) {
            let (version, job) = (job.version, id.clone());
            return self.resume_at_revision(
                version,
                self.now,
                PendingRead::FinalizeCancelled { job },
            );
        }
        let class = match job.record.phase {
            // A user waits for the end of the job.
            Phase::Aborting => CallClass::Cancellations,
            _ => CallClass::Background,
        };
        let mut txn = Transaction::default();
        txn.require(job_key(id), job.version);
        txn.put(job_key(id), &job.record.finished(Phase::Aborted));
        if let Some(job) = self.jobs.get_mut(id) {
            job.commit_state = CommitState::InFlight;
        }
        self.transact(class, txn, CallPurpose::Finalize { job: id.clone() });
    }

    /// Writes the final record of a gang of which the records show a done task. A controller of an earlier version may
    /// have recorded the completions of a large gang one by one, and stopped before the last.
    pub(in crate::controller) fn finalize_completed_gang(&mut self, id: &JobId) {
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        if !job.is_completed_gang() || job.commit_state != CommitState::Idle {
            return;
        }
        let mut txn = Transaction::default();
        txn.require(job_key(id), job.version);
        txn.put(job_key(id), &job.record.finished(Phase::Done));
        job.commit_state = CommitState::InFlight;
        let purpose = CallPurpose::Finalize { job: id.clone() };
        self.transact(CallClass::Jobs, txn, purpose);
    }

    /// Handles the store's answer to a final record.
    pub(in crate::controller) fn on_finalized(&mut self, id: JobId) {
        if let Some(job) = self.jobs.get_mut(&id) {
            job.commit_state = CommitState::Idle;
        }
    }

    /// Whether the cache shows every task that was placed before the job was cancelled; none can be
    /// placed afterwards. Otherwise a task could still be on its machine when the user is told that
    /// the job has ended.
    pub(super) fn all_placements_known(&self, job: &Job) -> bool {
        self.store_sync.applied >= job.version
    }

    /// Deletes pages of finished jobs, if this controller leads and has nothing else to write. No
    /// transaction can write these pages again, since each is conditioned on the version of the
    /// job's record.
    pub(in crate::controller) fn delete_finished_pages(&mut self) {
        let applied = self.store_sync.applied;
        if !self.commits.backlog.is_empty()
            || !self.commits.page_deletion.is_open(applied, self.now)
            || !self.may_place()
        {
            return;
        }
        let max_ops = self.settings.deployment.state.txn_ops;
        // Every controller has the pages in its cache; only the leader deletes them.
        let Some(leader_revision) = self.leading() else {
            return;
        };
        let mut txn = Transaction::default();
        txn.require(LEADER_KEY.into(), leader_revision);
        for (id, page) in self.jobs.obsolete_pages().take(max_ops) {
            txn.delete(page_key(id, *page));
        }
        if txn.changes.is_empty() {
            return;
        }
        self.commits.page_deletion.begin(self.now);
        self.transact(CallClass::Background, txn, CallPurpose::DeletePages);
    }
}
