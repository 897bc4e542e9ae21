//! Cancellations: committed at once, and answered when no task of the job is left on any machine.

use super::store_sync::PendingRead;
use super::{CallPurpose, Controller};
use crate::jobs::Phase;
use crate::jobs::api::{JobState, Response, is_final};
use crate::jobs::record::{JobRecord, job_key};
use crate::store::{CallClass, StoreResponse, Transaction};
use crate::types::{JobId, ReplyId};

impl Controller {
    /// Handles a user's request to cancel a job. A job that is not in the cache may be new, so that is
    /// answered after a read barrier.
    pub(super) fn on_abort(&mut self, reply: ReplyId, job: JobId) {
        match self.jobs.state(&job) {
            Some(state) if is_final(&state) => self.tell(reply, Response::State(state)),
            Some(_) => self.abort_known(reply, job),
            None => self.ask_fresh(PendingRead::Abort { reply, job }),
        }
    }

    /// Cancels a job that is in the cache.
    pub(super) fn abort_known(&mut self, reply: ReplyId, id: JobId) {
        let Some(job) = self.jobs.get(&id) else {
            return self.tell(reply, Response::later());
        };
        if !job.active() {
            self.requests.cancellations.add(&id, reply, self.now);
            return self.clear(&id);
        }
        let record = JobRecord {
            phase: Phase::Aborting,
            ..job.record.clone()
        };
        let mut txn = Transaction::default();
        txn.require(job_key(&id), job.version);
        txn.put(job_key(&id), &record);
        let purpose = CallPurpose::Abort { reply, job: id };
        self.transact(CallClass::Cancellations, txn, purpose);
    }

    /// Handles the store's answer to a cancellation.
    pub(super) fn on_aborted(&mut self, reply: ReplyId, job: JobId, answer: StoreResponse) {
        match answer {
            StoreResponse::Committed(_) => {
                self.requests.cancellations.add(&job, reply, self.now);
                self.clear(&job);
            }
            StoreResponse::Conflict(revision) => {
                self.once_applied(revision, self.now, PendingRead::Abort { reply, job });
                self.proved();
            }
            _ => self.tell(reply, Response::later()),
        }
    }

    /// Answers users whose cancelled jobs are over.
    pub(super) fn tell_cancelled(&mut self) {
        let jobs = &self.jobs;
        let final_state = |id: &JobId| jobs.state(id).filter(is_final);
        let cancellations = &mut self.requests.cancellations;
        let finished = cancellations.take_finished(|id| final_state(id).is_some());
        let answers: Vec<(ReplyId, JobState)> = finished
            .into_iter()
            .filter_map(|(id, reply)| Some((reply, final_state(&id)?)))
            .collect();
        for (reply, state) in answers {
            self.tell(reply, Response::State(state));
        }
    }

    /// Asks users to come back who have waited long enough. A task on a machine that can't be reached
    /// may take long to be proven gone.
    pub(super) fn expire_cancellations(&mut self) {
        for reply in self.requests.cancellations.take_expired(self.now) {
            self.tell(reply, Response::later());
        }
    }
}

#[cfg(test)]
mod tests;
