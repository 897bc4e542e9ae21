//! Events that a controller handles and effects that it requests: its only interface to the
//! outside.
//!
//! The daemon and the simulator turn answers, requests and the passing of time into [`Event`]s, and
//! carry out each [`Effect`]. An answer carries the tag or the reply id of what it answers.

use std::net::SocketAddr;

use crate::fleet::{CloudCall, CloudResponse};
use crate::jobs::JobSpec;
use crate::jobs::api::{RejectedSubmission, Response};
use crate::peers::Message;
use crate::store::{CallClass, StoreCall, StoreResponse};
use crate::types::{AgentEpoch, ControllerId, ExchangeId, JobId, MachineId, ReplyId, WorkerToken};
use crate::workers::wire::{Heartbeat, HeartbeatResponse, WorkerCommand};

/// A worker's answer to commands that were sent to it directly.
pub struct CommandReply {
    /// The worker's heartbeat after the commands, whether it carried them out or refused them; `None` if
    /// nothing was sent, or the worker rejected the request as malformed.
    pub heartbeat: Option<Heartbeat>,
}

/// What a controller has to handle.
pub enum Event {
    /// Time has passed; sent several times a second.
    Tick,
    /// The key-value store answered a call.
    Store {
        /// The tag of the call.
        tag: u64,
        /// The store's response, or that there was none.
        response: StoreResponse,
    },
    /// The cloud answered a call.
    Cloud {
        /// The tag of the call.
        tag: u64,
        /// The cloud's response, or that there was none.
        response: CloudResponse,
    },
    /// Another controller sent a message.
    Peer {
        /// The sender.
        from: ControllerId,
        /// Its message.
        message: Message,
    },
    /// A worker sent a heartbeat and waits for the response.
    Heartbeat {
        /// The worker's request.
        reply: ReplyId,
        /// What it reports.
        heartbeat: Heartbeat,
    },
    /// A user submits a job.
    Submit {
        /// The user's request.
        reply: ReplyId,
        /// The job, or why the submission is invalid.
        submission: Result<(JobId, JobSpec), RejectedSubmission>,
    },
    /// A user asks for the state of a job.
    Poll {
        /// The user's request.
        reply: ReplyId,
        /// The job that it asks for.
        job: JobId,
    },
    /// A user cancels a job.
    Cancel {
        /// The user's request.
        reply: ReplyId,
        /// The job to cancel.
        job: JobId,
    },
    /// A load balancer asks whether this controller can take users' requests.
    Ready {
        /// The load balancer's request.
        reply: ReplyId,
    },
    /// The outcome of [`Effect::Inspect`].
    Inspected {
        /// Whether the worker answered.
        answered: bool,
    },
    /// The outcome of [`Effect::DirectCommands`].
    DirectReply {
        /// The machine that the commands were sent to.
        machine_id: MachineId,
        /// The exchange that has ended.
        exchange: ExchangeId,
        /// The worker's answer; `None` if there was no answer.
        answer: Option<CommandReply>,
    },
}

/// An effect that a controller requests.
#[derive(Debug)]
pub enum Effect {
    /// Ask a worker for its heartbeat, to find out whether this controller can reach workers at
    /// all.
    Inspect {
        /// The worker's machine.
        machine_id: MachineId,
        /// The worker's address.
        address: SocketAddr,
    },
    /// Send a worker commands that should not wait for its next heartbeat.
    DirectCommands {
        /// The worker's machine.
        machine_id: MachineId,
        /// The exchange, which its outcome has to carry.
        exchange: ExchangeId,
        /// The worker's address.
        address: SocketAddr,
        /// The token under which the commands are sent.
        worker_token: WorkerToken,
        /// The agent epoch that the commands are for; a worker that has restarted since refuses
        /// them.
        agent_epoch: AgentEpoch,
        /// The commands, in order.
        commands: Vec<WorkerCommand>,
    },
    /// Call the key-value store.
    Store {
        /// The tag that the answer has to carry.
        tag: u64,
        /// The priority of the call within the store's budget.
        class: CallClass,
        /// The call.
        call: StoreCall,
    },
    /// Limit the rate of changes that this controller may send to the key-value store.
    SetWriteLimit {
        /// Maximum number of changes per second.
        writes_per_s: f64,
    },
    /// Call the cloud.
    Cloud {
        /// The tag that the answer has to carry.
        tag: u64,
        /// The call.
        call: CloudCall,
    },
    /// Send another controller a message.
    Peer {
        /// The receiver.
        to: ControllerId,
        /// The message.
        message: Message,
    },
    /// Answer a user's request.
    User {
        /// The request.
        reply: ReplyId,
        /// The response to it.
        response: Response,
    },
    /// Answer a worker's heartbeat.
    Worker {
        /// The worker's request.
        reply: ReplyId,
        /// The response to it.
        answer: HeartbeatResponse,
    },
    /// Answer a load balancer's readiness check.
    Ready {
        /// The load balancer's request.
        reply: ReplyId,
        /// Whether this controller can take users' requests.
        ready: bool,
    },
}
