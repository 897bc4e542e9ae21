//! What a controller is told, and what it asks for: its only connection with the outside.

use std::net::SocketAddr;

use crate::fleet::{CloudCall, CloudResponse};
use crate::jobs::JobSpec;
use crate::jobs::api::{Refused, Response};
use crate::peers::Message;
use crate::store::{CallClass, StoreCall, StoreResponse};
use crate::types::{AgentEpoch, ControllerId, JobId, MachineId, ReplyId, WorkerToken};
use crate::workers::wire::{Heartbeat, HeartbeatResponse, WorkerCommand};

/// A worker's answer to commands that were sent to it directly: its heartbeat after them, or what it
/// refused them with.
pub struct CommandReply {
    pub heartbeat: Option<Heartbeat>,
}

pub enum Event {
    /// Time passes; several times a second.
    Tick,
    Store {
        tag: u64,
        answer: StoreResponse,
    },
    Cloud {
        tag: u64,
        answer: CloudResponse,
    },
    Peer {
        from: ControllerId,
        message: Message,
    },
    Heartbeat {
        reply: ReplyId,
        heartbeat: Heartbeat,
    },
    Submit {
        reply: ReplyId,
        submission: Result<(JobId, JobSpec), Refused>,
    },
    Poll {
        reply: ReplyId,
        job: JobId,
    },
    Abort {
        reply: ReplyId,
        job: JobId,
    },
    Ready {
        reply: ReplyId,
    },
    /// What came of asking a worker for its heartbeat.
    Inspected {
        answered: bool,
    },
    /// What came of commands sent directly; none: no answer.
    Direct {
        machine_id: MachineId,
        answer: Option<CommandReply>,
    },
}

#[derive(Debug)]
pub enum Effect {
    /// Asks a worker for its heartbeat, to see whether workers can be reached.
    Inspect {
        machine_id: MachineId,
        address: SocketAddr,
    },
    /// Orders that do not wait for the worker's next heartbeat.
    Direct {
        machine_id: MachineId,
        address: SocketAddr,
        worker_token: WorkerToken,
        agent_epoch: AgentEpoch,
        commands: Vec<WorkerCommand>,
    },
    Store {
        tag: u64,
        class: CallClass,
        call: StoreCall,
    },
    /// So many changes a second of the state service are ours.
    Allow {
        writes: f64,
    },
    Cloud {
        tag: u64,
        call: CloudCall,
    },
    Peer {
        to: ControllerId,
        message: Message,
    },
    User {
        reply: ReplyId,
        response: Response,
    },
    Worker {
        reply: ReplyId,
        answer: HeartbeatResponse,
    },
    Ready {
        reply: ReplyId,
        ready: bool,
    },
}
