//! The user API: validation of submissions, and the responses.
//!
//! [`submission`] parses a request body into a [`JobSpec`](super::JobSpec), [`feasibility`] checks
//! that the job can ever run, and this module defines the responses. HTTP itself is in `http_server`.

mod feasibility;
mod submission;

use serde::Serialize;
use thiserror::Error;

use crate::types::JobId;
pub use feasibility::check_feasibility;
pub use submission::{MAX_BODY_BYTES, parse};

/// Why a submission is rejected.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum RejectionReason {
    /// The body is not a valid job; HTTP status 400.
    #[error("{0}")]
    Malformed(String),
    /// The job can't ever run; HTTP status 422.
    #[error("{0}")]
    Infeasible(String),
}

impl RejectionReason {
    fn malformed(reason: &str) -> Self {
        Self::Malformed(reason.to_string())
    }
}

/// A rejected submission, with the id of its job if that could be read: for a known job the response
/// is its state, whatever else the body contains.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("submission refused: {reason}")]
pub struct RejectedSubmission {
    /// The job, if the body has a well-formed id.
    pub id: Option<JobId>,
    /// Why the submission is rejected.
    #[source]
    pub reason: RejectionReason,
}

/// The progress of a job as users see it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum JobStage {
    /// No task is on a machine.
    Queued,
    /// Tasks are on machines.
    Running,
    /// All tasks are done.
    Done,
    /// The job was cancelled, and no task of it is on any machine.
    Aborted,
}

/// The state of a job in responses to users.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct JobState {
    /// The job's id.
    pub id: JobId,
    /// The job's progress.
    pub stage: JobStage,
    /// How many tasks are done.
    pub done: u32,
    /// How many tasks are on machines.
    pub running: u32,
}

impl JobState {
    /// Whether the state won't change any more.
    pub fn is_final(&self) -> bool {
        matches!(self.stage, JobStage::Done | JobStage::Aborted)
    }
}

/// The response to a user's request.
#[derive(Clone, Debug, PartialEq)]
pub enum Response {
    /// The job was submitted by this request.
    Accepted(JobId),
    /// The state of a job that was known before.
    State(JobState),
    /// The body is not a valid job; the text gives the reason.
    Malformed(String),
    /// The job can't ever run; the text gives the reason.
    Infeasible(String),
    /// There is no such job.
    UnknownJob,
    /// Not accepted now: the user should retry after this many seconds.
    RetryAfter(u32),
}

impl Response {
    /// Asks the user to retry after one second.
    #[must_use]
    pub fn retry_soon() -> Self {
        Response::RetryAfter(1)
    }
}

impl From<RejectionReason> for Response {
    fn from(reason: RejectionReason) -> Self {
        match reason {
            RejectionReason::Malformed(reason) => Response::Malformed(reason),
            RejectionReason::Infeasible(reason) => Response::Infeasible(reason),
        }
    }
}

#[cfg(test)]
pub(crate) mod tests;
