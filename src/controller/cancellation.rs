//! Cancellations: committed immediately, and answered when no task of the job is left on any
//! machine.

use super::store_sync::PendingRead;
use super::{CallPurpose, Controller};
use crate::jobs::Phase;
use crate::jobs::api::{JobState, Response};
use crate::jobs::record::{JobRecord, job_key};
use crate::store::{CallClass, StoreResponse, Transaction};
use crate::types::{JobId, Millis, ReplyId};

impl Controller {
    /// Handles a user's request to cancel a job. A job that is not in the cache may be new, so the
    /// request is answered after a read barrier.
    pub(super) fn on_cancel(&mut self, reply: ReplyId, job: JobId) {
        match self.jobs.state(&job) {
            Some(state) if state.is_final() => self.respond(reply, Response::State(state)),
            Some(_) => self.cancel_known(reply, job),
            None => self.after_read_barrier(PendingRead::Abort { reply, job }),
        }
    }

    /// Cancels a job that is in the cache.
    pub(super) fn cancel_known(&mut self, reply: ReplyId, id: JobId) {
        let Some(job) = self.jobs.get(&id) else {
            return self.respond(reply, Response::retry_soon());
        };
        if !job.is_active() {
            self.requests.cancellations.add(&id, reply, self.now);
            return self.finalize_cancelled(&id);
        }
        let record = JobRecord {
            phase: Phase::Aborting,
            ..job.record.clone()
        };
        let mut txn = Transaction::default();
        txn.require(job_key(&id), job.version);
        txn.put(job_key(&id), &record);
        let (job, sent_at) = (id, self.now);
        let purpose = CallPurpose::Cancel {
            reply,
            job,
            sent_at,
        };
        self.transact(CallClass::Cancellations, txn, purpose);
    }

    /// Handles the store's answer to a cancellation, sent at `sent_at`.
    pub(super) fn on_cancel_committed(
        &mut self,
        reply: ReplyId,
        job: JobId,
        sent_at: Millis,
        response: StoreResponse,
    ) {
        match response {
            StoreResponse::Committed(_) => {
                self.requests.cancellations.add(&job, reply, self.now);
                self.finalize_cancelled(&job);
            }
            StoreResponse::Conflict(revision) => {
                self.resume_at_revision(revision, sent_at, PendingRead::Abort { reply, job });
                self.resume_ready_reads();
            }
            _ => self.respond(reply, Response::retry_soon()),
        }
    }

    /// Answers the requests to cancel jobs that have ended.
    pub(super) fn answer_cancellations(&mut self) {
        let jobs = &self.jobs;
        let final_state = |id: &JobId| jobs.state(id).filter(JobState::is_final);
        let cancellations = &mut self.requests.cancellations;
        let finished = cancellations.take_finished(|id| final_state(id).is_some());
        let answers: Vec<(ReplyId, JobState)> = finished
            .into_iter()
            .filter_map(|(id, reply)| Some((reply, final_state(&id)?)))
            .collect();
        for (reply, state) in answers {
            self.respond(reply, Response::State(state));
        }
    }

    /// Asks users who have waited too long to retry later. It may take long until a task on an
    /// unreachable machine is known to be gone.
    pub(super) fn expire_cancellations(&mut self) {
        for reply in self.requests.cancellations.take_expired(self.now) {
            self.respond(reply, Response::retry_soon());
        }
    }
}

#[cfg(test)]
mod tests;
