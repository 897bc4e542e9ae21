//! Requests of users: submissions and polls, and the answers that wait for a read barrier.
//!
//! A submission is idempotent: if the job is known already, the answer is its state. Answers to
//! polls, and refusals, wait until the cache is known to be as new as the request. State:
//! [`UserRequests`].

use admission_control::gate::{SubmissionRequest, Urgency};
use rand::Rng;
use rustc_hash::FxHashMap as HashMap;

use super::store_sync::PendingRead;
use super::{CallPurpose, Controller, Effect};
use crate::jobs::api::{self, RejectedSubmission, RejectionReason, Response};
use crate::jobs::cancel::PendingCancellations;
use crate::jobs::record::{JobRecord, job_key, page_size};
use crate::jobs::{JobSpec, Phase, PriorityClass};
use crate::store::{CallClass, StoreResponse, Transaction};
use crate::types::{JobId, Millis, ReplyId, Revision};

/// If the key-value store has not answered for this long, users are asked to retry.
const STORE_TIMEOUT: Millis = Millis(2_500);
/// Seconds after which users are asked to retry while the store is not ready or no machine types
/// are known.
const NOT_READY_RETRY_S: u32 = 2;

/// Requests of users that wait for the store or for tasks to end.
#[derive(Debug, Default)]
pub(super) struct UserRequests {
    /// Submissions in flight, with all requests that wait for each.
    submitting: HashMap<JobId, Vec<ReplyId>>,
    /// Requests that wait for the end of cancelled jobs.
    pub(super) cancellations: PendingCancellations,
}

impl Controller {
    /// Answers a request of a user.
    pub(super) fn respond(&mut self, reply: ReplyId, response: Response) {
        self.effects.push(Effect::User { reply, response });
    }

    /// Handles a submission: answers with the job's state if it is known, else checks it and
    /// commits the job's record.
    pub(super) fn on_submit(
        &mut self,
        reply: ReplyId,
        submission: Result<(JobId, JobSpec), RejectedSubmission>,
    ) {
        let (id, spec) = match submission {
            Ok(submission) => submission,
            Err(RejectedSubmission {
                id: Some(id),
                reason,
            }) => return self.refuse(reply, id, reason),
            Err(RejectedSubmission { id: None, reason }) => {
                return self.respond(reply, reason.into());
            }
        };
        if self.jobs.state(&id).is_some() {
            return self.on_poll(reply, id);
        }
        if !self.store_is_ready() || self.autoscaler.type_specs.is_empty() {
            return self.respond(reply, Response::RetryAfter(NOT_READY_RETRY_S));
        }
        if let Some(waiting) = self.requests.submitting.get_mut(&id) {
            waiting.push(reply);
            return;
        }
        let spec = match api::check_feasibility(spec, &self.settings, &self.autoscaler.type_specs) {
            Ok(spec) => spec,
            Err(why) => return self.refuse(reply, id, why),
        };
        if let Err(retry_s) = self.admit_now(&id, &spec) {
            return self.respond(reply, Response::RetryAfter(retry_s));
        }
        self.requests.submitting.insert(id.clone(), vec![reply]);
        self.commit_submission(id, spec);
    }

    /// Whether the store answers, and all its records are in the cache.
    fn store_is_ready(&self) -> bool {
        self.store_sync.synced && self.without_store() <= STORE_TIMEOUT
    }

    /// Asks admission control whether to accept a submission now. If not, returns the seconds after
    /// which the user should retry.
    fn admit_now(&mut self, id: &JobId, spec: &JobSpec) -> Result<(), u32> {
        let pending = self.requests.submitting.len();
        let urgency = if spec.priority >= PriorityClass::Urgent {
            Urgency::Urgent
        } else {
            Urgency::Normal
        };
        let request = SubmissionRequest {
            class: self.commits.flows.of(spec).class,
            urgency,
            pending,
            allowed: self.commits.admission.allowed_rate,
            now_s: self.now.secs(),
            jitter: self.rng.random(),
        };
        self.commits.gate.admit(request).map_err(|rejected| {
            let pause = rejected.retry_after_s;
            tracing::debug!(job = %id, pending, pause, "submission rejected by admission control");
            pause
        })
    }

    /// Commits the record of a new job.
    fn commit_submission(&mut self, id: JobId, spec: JobSpec) {
        let deployment = &self.settings.deployment;
        let zones = deployment.zones.iter();
        let longest_zone = zones.map(|zone| zone.as_str().len()).max().unwrap_or(0);
        let record = JobRecord {
            phase: Phase::Active,
            owner: self.me.clone(),
            tasks: spec.tasks,
            page_size: page_size(deployment.state.value_kb, longest_zone),
            spec: Some(spec),
        };
        let mut txn = Transaction::default();
        txn.require(job_key(&id), Revision(0));
        txn.put(job_key(&id), &record);
        let (job, sent_at) = (id, self.now);
        let purpose = CallPurpose::Submit { job, sent_at };
        self.transact(CallClass::Submissions, txn, purpose);
    }

    /// Refuses a submission, unless its job is known after a read barrier, since the cache may be
    /// outdated. A job that was accepted once is never refused, even if its body or the settings
    /// have changed since.
    fn refuse(&mut self, reply: ReplyId, job: JobId, why: RejectionReason) {
        if self.jobs.state(&job).is_some() {
            return self.on_poll(reply, job);
        }
        self.after_read_barrier(PendingRead::Refuse { reply, job, why });
    }

    /// Handles the store's answer to a submission, sent at `sent_at`.
    pub(super) fn on_submitted(&mut self, id: JobId, sent_at: Millis, response: StoreResponse) {
        let replies = self.requests.submitting.remove(&id).unwrap_or_default();
        for reply in replies {
            match response {
                StoreResponse::Committed(revision) if self.store_sync.may_miss(revision) => {
                    self.respond(reply, Response::Accepted(id.clone()));
                }
                // The answer came late: another controller may have told the user meanwhile that the
                // job is done or cancelled.
                StoreResponse::Committed(_) => self.on_poll(reply, id.clone()),
                // The job is known already: it was submitted to another controller, or by an
                // earlier request to this one that was presumed lost.
                StoreResponse::Conflict(revision) => {
                    let job = id.clone();
                    self.resume_at_revision(revision, sent_at, PendingRead::State { reply, job });
                    self.resume_ready_reads();
                }
                _ => {
                    tracing::debug!(
                        job = %id,
                        answer = ?response,
                        "submission not confirmed, asking the user to retry"
                    );
                    self.respond(reply, Response::retry_soon());
                }
            }
        }
    }

    /// Continues `read` after a read barrier, or gives up immediately if the store does not answer.
    pub(super) fn after_read_barrier(&mut self, read: PendingRead) {
        if self.store_is_ready() {
            self.request_read_barrier(read);
        } else {
            self.on_read_barrier_expired(read);
        }
    }

    /// Handles a poll of a job's state. Final states do not change, so only others need a read
    /// barrier.
    pub(super) fn on_poll(&mut self, reply: ReplyId, job: JobId) {
        match self.jobs.state(&job) {
            Some(state) if state.is_final() => self.respond(reply, Response::State(state)),
            _ => self.after_read_barrier(PendingRead::State { reply, job }),
        }
    }

    /// Continues a read whose read barrier was reached: the cache is now as new as the request.
    pub(super) fn on_read_barrier_reached(&mut self, read: PendingRead) {
        match read {
            PendingRead::State { reply, job } => {
                let response = self
                    .jobs
                    .state(&job)
                    .map_or(Response::UnknownJob, Response::State);
                self.respond(reply, response);
            }
            PendingRead::Refuse { reply, job, why } => {
                let state = self.jobs.state(&job).map(Response::State);
                self.respond(reply, state.unwrap_or(why.into()));
            }
            PendingRead::Abort { reply, job } => match self.jobs.state(&job) {
                None => self.respond(reply, Response::UnknownJob),
                Some(state) if state.is_final() => self.respond(reply, Response::State(state)),
                Some(_) => self.cancel_known(reply, job),
            },
            PendingRead::FinalizeCancelled { job } => self.finalize_cancelled(&job),
            PendingRead::ResolveTransaction { job } => self.restart_from_records(&job),
        }
    }

    /// Handles a read barrier that was not reached in time.
    pub(super) fn on_read_barrier_expired(&mut self, read: PendingRead) {
        match read {
            PendingRead::State { reply, job }
            | PendingRead::Refuse { reply, job, .. }
            | PendingRead::Abort { reply, job } => {
                tracing::debug!(%job, "read barrier expired, asking the user to retry");
                self.respond(reply, Response::retry_soon());
            }
            PendingRead::FinalizeCancelled { job } => self.finalize_cancelled(&job),
            // The outcome of a transaction must become known, however long it takes.
            unresolved @ PendingRead::ResolveTransaction { .. } => self
                .store_sync
                .read_barrier
                .unsent
                .push((self.now, unresolved)),
        }
    }
}

#[cfg(test)]
mod tests;
