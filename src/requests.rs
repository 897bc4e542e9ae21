//! Requests that the HTTP server sends to the controller.

use tokio::sync::{mpsc, oneshot};

use crate::jobs::JobSpec;
use crate::jobs::api::{RejectedSubmission, Response};
use crate::request_queue::RequestKind;
use crate::types::JobId;
use crate::workers::wire::{Heartbeat, HeartbeatResponse};

/// A request, with the channel that its response is sent on.
pub enum Request {
    /// A user submits a job.
    Submit {
        /// The job, or why the body is rejected.
        submission: Result<(JobId, JobSpec), RejectedSubmission>,
        /// Receives the response.
        reply: oneshot::Sender<Response>,
    },
    /// A user asks for a job's state.
    Poll {
        /// The job.
        job: JobId,
        /// Receives the response.
        reply: oneshot::Sender<Response>,
    },
    /// A user cancels a job.
    Abort {
        /// The job.
        job: JobId,
        /// Receives the response.
        reply: oneshot::Sender<Response>,
    },
    /// A worker's heartbeat.
    Heartbeat {
        /// The heartbeat.
        heartbeat: Heartbeat,
        /// Receives the response.
        reply: oneshot::Sender<HeartbeatResponse>,
    },
    /// A health check.
    Ready {
        /// Receives whether the controller is ready.
        reply: oneshot::Sender<bool>,
    },
}

impl Request {
    /// The kind of the request, which decides how it is queued.
    #[must_use]
    pub fn kind(&self) -> RequestKind {
        match self {
            Request::Ready { .. } => RequestKind::Probe,
            Request::Heartbeat { .. } => RequestKind::Heartbeat,
            Request::Submit { .. } | Request::Poll { .. } | Request::Abort { .. } => {
                RequestKind::User
            }
        }
    }

    /// Whether the receiver of the response was dropped, so that no response is needed.
    #[must_use]
    pub fn is_abandoned(&self) -> bool {
        match self {
            Request::Submit { reply, .. }
            | Request::Poll { reply, .. }
            | Request::Abort { reply, .. } => reply.is_closed(),
            Request::Heartbeat { reply, .. } => reply.is_closed(),
            Request::Ready { reply } => reply.is_closed(),
        }
    }
}

/// The sending half of the channel from the HTTP server to the controller.
pub type RequestSender = mpsc::Sender<Request>;
