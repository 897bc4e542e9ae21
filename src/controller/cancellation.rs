//! Cancellations: what is asked is committed at once, and told once no task is left anywhere.

use super::store_sync::PendingRead;
use super::{CallPurpose, Controller};
use crate::jobs::Phase;
use crate::jobs::api::{Response, is_final};
use crate::jobs::record::{JobRecord, job_key};
use crate::store::{CallClass, StoreResponse, Transaction};
use crate::types::{JobId, ReplyId};

impl Controller {
    pub(super) fn on_abort(&mut self, reply: ReplyId, job: JobId) {
        match self.jobs.state(&job) {
            Some(state) if is_final(&state) => self.tell(reply, Response::State(state)),
            Some(_) => self.abort_known(reply, job),
            None => self.ask_fresh(PendingRead::Abort { reply, job }),
        }
    }

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
        self.transact(
            CallClass::Cancellations,
            txn,
            CallPurpose::Abort { reply, job: id },
        );
    }

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

    /// Tells users whose jobs have ended meanwhile.
    pub(super) fn tell_cancelled(&mut self) {
        let jobs = &self.jobs;
        let state = |id: &JobId| jobs.state(id).filter(is_final);
        let over = self.requests.cancellations.over(|id| state(id).is_some());
        let told: Vec<_> = over
            .into_iter()
            .filter_map(|(id, reply)| Some((reply, state(&id)?)))
            .collect();
        for (reply, state) in told {
            self.tell(reply, Response::State(state));
        }
    }

    /// A task that nobody hears of may take long to be seen gone: its user asks again.
    pub(super) fn expire_cancellations(&mut self) {
        for reply in self.requests.cancellations.late(self.now) {
            self.tell(reply, Response::later());
        }
    }
}

#[cfg(test)]
mod tests;
