//! What users ask: submissions, polls and cancellations.

use crate::jobs::cancel::Cancelling;
use rand::Rng;
use rustc_hash::FxHashMap as HashMap;

use super::store_sync::PendingRead;
use super::{CallPurpose, Controller, Effect};
use crate::jobs::api::{self, Refusal, Refused, Response, is_final};
use crate::jobs::record::{JobRecord, job_key, page_size};
use crate::jobs::{JobSpec, Phase, PriorityClass};
use crate::store::{CallClass, StoreResponse, Transaction};
use crate::types::{JobId, Millis, ReplyId, Revision};

/// Without an answer of the state service for this long, users are told to come back.
const STORE_LOST: Millis = Millis(2_500);

/// Requests of users that wait for the store or for tasks to end.
#[derive(Debug, Default)]
pub(super) struct UserRequests {
    /// Submissions in flight, with everyone who asked.
    pub(super) submitting: HashMap<JobId, Vec<ReplyId>>,
    pub(super) cancellations: Cancelling,
}

impl Controller {
    pub(super) fn tell(&mut self, reply: ReplyId, response: Response) {
        self.effects.push(Effect::User { reply, response });
    }

    pub(super) fn on_submit(
        &mut self,
        reply: ReplyId,
        submission: Result<(JobId, JobSpec), Refused>,
    ) {
        let (id, spec) = match submission {
            Ok(submission) => submission,
            Err(Refused { id: Some(id), why }) => return self.refuse(reply, id, why),
            Err(Refused { id: None, why }) => return self.tell(reply, why.into()),
        };
        if self.jobs.state(&id).is_some() {
            return self.on_poll(reply, id);
        }
        if !self.store_sync.synced
            || self.autoscaler.type_specs.is_empty()
            || self.without_store() > STORE_LOST
        {
            return self.tell(reply, Response::Later(2));
        }
        if let Some(waiting) = self.requests.submitting.get_mut(&id) {
            waiting.push(reply);
            return;
        }
        let spec = match api::admit(spec, &self.settings, &self.autoscaler.type_specs) {
            Ok(spec) => spec,
            Err(why) => return self.refuse(reply, id, why),
        };
        let (class, urgent) = (
            self.commits.flows.of(&spec).class,
            spec.priority >= PriorityClass::Urgent,
        );
        let (pending, luck) = (self.requests.submitting.len(), self.rng.random());
        let (allowed, now) = (self.commits.admission.allowed, self.now.secs());
        let asked = self
            .commits
            .gate
            .ask(class, urgent, pending, allowed, now, luck);
        if let Err(pause) = asked {
            tracing::debug!(job = %id, pending, pause, "submission rejected by admission control");
            return self.tell(reply, Response::Later(pause));
        }
        let deployment = &self.settings.deployment;
        let longest = deployment
            .zones
            .iter()
            .map(|z| z.as_str().len())
            .max()
            .unwrap_or(0);
        let record = JobRecord {
            phase: Phase::Active,
            owner: self.me.clone(),
            tasks: spec.tasks,
            page: page_size(deployment.state.value_kb, longest),
            spec: Some(spec),
        };
        let mut txn = Transaction::default();
        txn.require(job_key(&id), Revision(0));
        txn.put(job_key(&id), &record);
        self.requests.submitting.insert(id.clone(), vec![reply]);
        self.transact(CallClass::Submissions, txn, CallPurpose::Submit { job: id });
    }

    /// A job that was accepted once is never refused, whatever has changed since in its body or the settings:
    /// nobody is refused by a cache that may be behind.
    fn refuse(&mut self, reply: ReplyId, job: JobId, why: Refusal) {
        if self.jobs.state(&job).is_some() {
            return self.on_poll(reply, job);
        }
        self.ask_fresh(PendingRead::Refuse { reply, job, why });
    }

    pub(super) fn on_submitted(&mut self, id: JobId, answer: StoreResponse) {
        let replies = self.requests.submitting.remove(&id).unwrap_or_default();
        for reply in replies {
            match answer {
                StoreResponse::Committed(_) => self.tell(reply, Response::Accepted(id.clone())),
                // Known already: from another controller, or from a request of ours that was
                // thought lost.
                StoreResponse::Conflict(revision) => {
                    let job = id.clone();
                    self.once_applied(revision, self.now, PendingRead::State { reply, job });
                    self.proved();
                }
                _ => {
                    tracing::debug!(job = %id, ?answer, "submission not accepted");
                    self.tell(reply, Response::later());
                }
            }
        }
    }

    /// Asks for a proof unless the state service is away anyway.
    pub(super) fn ask_fresh(&mut self, after: PendingRead) {
        if self.without_store() > STORE_LOST || !self.store_sync.synced {
            self.not_proved(after);
        } else {
            self.once_fresh(after);
        }
    }

    pub(super) fn on_poll(&mut self, reply: ReplyId, job: JobId) {
        match self.jobs.state(&job) {
            Some(state) if is_final(&state) => self.tell(reply, Response::State(state)),
            _ => self.ask_fresh(PendingRead::State { reply, job }),
        }
    }

    /// The cache is as new as the request now.
    pub(super) fn go_on(&mut self, after: PendingRead) {
        match after {
            PendingRead::State { reply, job } => {
                let response = self
                    .jobs
                    .state(&job)
                    .map_or(Response::Unknown, Response::State);
                self.tell(reply, response);
            }
            PendingRead::Refuse { reply, job, why } => {
                let state = self.jobs.state(&job).map(Response::State);
                self.tell(reply, state.unwrap_or(why.into()));
            }
            PendingRead::Abort { reply, job } => match self.jobs.state(&job) {
                None => self.tell(reply, Response::Unknown),
                Some(state) if is_final(&state) => self.tell(reply, Response::State(state)),
                Some(_) => self.abort_known(reply, job),
            },
            PendingRead::Clear { job } => self.clear(&job),
            PendingRead::Settle { job } => self.settle(&job),
        }
    }

    pub(super) fn not_proved(&mut self, after: PendingRead) {
        match after {
            PendingRead::State { reply, job }
            | PendingRead::Refuse { reply, job, .. }
            | PendingRead::Abort { reply, job } => {
                tracing::debug!(%job, "read barrier expired");
                self.tell(reply, Response::later());
            }
            PendingRead::Clear { job } => self.clear(&job),
            // A transaction's fate must become known, however long it takes.
            settle @ PendingRead::Settle { .. } => {
                self.store_sync.read_barrier.next.push((self.now, settle))
            }
        }
    }
}

#[cfg(test)]
mod tests;
