//! Scheduled messages: everything that is due in the simulated cluster at a given virtual time.

use jaspertiller::controller::CommandReply;
use jaspertiller::controller::Event;
use jaspertiller::store::lanes::QueuedCall;
use jaspertiller::store::{StoreCall, Transaction};
use jaspertiller::types::{AgentEpoch, ExchangeId, JobId, MachineId, Revision, WorkerToken};
use jaspertiller::workers::wire::{HeartbeatResponse, WorkerCommand};

use super::command_copies::ExecutedCommands;
use crate::machines::OutgoingHeartbeat;

/// A store call in a controller's priority lanes, with the tag under which the controller expects the response.
pub(super) type QueuedStoreCall = QueuedCall<(u64, StoreCall)>;

/// One process of a controller. A restarted controller has a new epoch, so that messages for its earlier
/// processes are dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct ProcessId {
    /// Index of the controller.
    pub controller: usize,
    /// How many times the controller has been started.
    pub epoch: u64,
}

/// Whether the sender of a request still waits for the response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Reply {
    /// The sender waits, and the response is delivered.
    Expected,
    /// The sender timed out or the response is lost; the request still takes effect.
    Abandoned,
}

impl Reply {
    /// Whether the response must be delivered.
    pub(super) fn is_expected(self) -> bool {
        self == Self::Expected
    }
}

/// Commands that a controller sends to a worker outside of heartbeat responses.
pub(super) struct DirectCommands {
    /// The controller process that sent them.
    pub sender: ProcessId,
    /// The target machine.
    pub machine_id: MachineId,
    /// The exchange that the response ends.
    pub exchange: ExchangeId,
    /// The token under which they are valid.
    pub worker_token: WorkerToken,
    /// The agent epoch that they are meant for.
    pub agent_epoch: AgentEpoch,
    /// The commands, in order.
    pub commands: Vec<WorkerCommand>,
    /// Virtual time in milliseconds at which the controller sent them.
    pub sent_at: u64,
    /// Whether the sender still expects a response.
    pub reply: Reply,
}

impl DirectCommands {
    /// The event that ends the exchange at the controller; `answer` is none if the worker did not respond in time.
    pub(super) fn outcome(&self, answer: Option<CommandReply>) -> Event {
        Event::DirectReply {
            machine_id: self.machine_id.clone(),
            exchange: self.exchange,
            answer,
        }
    }
}

/// What happens at a scheduled time.
pub(super) enum ScheduledMessage {
    /// Machines, leases and watches advance to the current time.
    Step,
    /// A controller's periodic tick.
    Tick(ProcessId),
    /// An event for a controller, dropped if that process has ended.
    ControllerEvent {
        process: ProcessId,
        event: Box<Event>,
    },
    /// A call arrives at the store.
    StoreCall {
        sender: ProcessId,
        call: QueuedStoreCall,
        reply: Reply,
    },
    /// A transaction arrives late, usually after its sender timed out; the sender gets no response to it.
    LateWrite(Transaction),
    /// A late answer to a transaction, which was committed at `revision`, arrives at its sender.
    LateAnswer {
        /// The keys that the transaction has put.
        written: Vec<String>,
        /// The revision at which it was committed.
        revision: Revision,
    },
    /// A controller's call budget may allow another store call.
    BudgetCheck(ProcessId),
    /// Commands arrive at a worker.
    DirectCommands(DirectCommands),
    /// A duplicate of direct commands, which were carried out and answered, arrives at the worker.
    CommandCopy(ExecutedCommands),
    /// A heartbeat arrives at a controller.
    Heartbeat(OutgoingHeartbeat),
    /// A duplicate of a heartbeat arrives at a controller; nothing waits for the response.
    DuplicateHeartbeat(OutgoingHeartbeat),
    /// A controller's response arrives at the worker that sent the heartbeat.
    HeartbeatResponse {
        heartbeat: OutgoingHeartbeat,
        response: HeartbeatResponse,
    },
    /// A user submits the job with this index in `World::jobs`.
    Submit { job_index: usize },
    /// A user asks for the state of a job.
    Poll(JobId),
    /// A user cancels a job.
    Abort(JobId),
    /// A controller's process ends.
    Stop { controller: usize },
    /// A controller's process starts.
    Start { controller: usize },
}

/// Who waits for the response to an event that a controller handles.
pub(super) enum PendingReply {
    /// The worker that sent this heartbeat.
    Worker(OutgoingHeartbeat),
    /// The user of this job.
    User(JobId),
}
