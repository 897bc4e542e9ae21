//! What the HTTP server asks of the controller: the messages between the two actors.

use tokio::sync::{mpsc, oneshot};

use crate::jobs::JobSpec;
use crate::jobs::api::{RejectedSubmission, Response};
use crate::request_queue::RequestKind;
use crate::types::JobId;
use crate::workers::wire::{Heartbeat, HeartbeatResponse};

/// A request, with the channel on which its response is awaited.
pub enum Request {
    /// A user submits a job.
    Submit {
        /// The job, or why the body is refused.
        submission: Result<(JobId, JobSpec), RejectedSubmission>,
        /// Where the response goes.
        reply: oneshot::Sender<Response>,
    },
    /// A user asks for a job's state.
    Poll {
        /// The job.
        job: JobId,
        /// Where the response goes.
        reply: oneshot::Sender<Response>,
    },
    /// A user cancels a job.
    Abort {
        /// The job.
        job: JobId,
        /// Where the response goes.
        reply: oneshot::Sender<Response>,
    },
    /// A worker's heartbeat.
    Heartbeat {
        /// The heartbeat.
        heartbeat: Heartbeat,
        /// Where the response goes.
        reply: oneshot::Sender<HeartbeatResponse>,
    },
    /// A health check.
    Ready {
        /// Receives whether the controller is ready.
        reply: oneshot::Sender<bool>,
    },
}

impl Request {
    /// The queue in which it waits.
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

/// Where the HTTP server sends requests.
pub type RequestSender = mpsc::Sender<Request>;
