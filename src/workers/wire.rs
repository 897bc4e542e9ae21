//! The messages to and from workers. The names on the wire are the protocol's own and are given by `serde`
//! attributes; nothing else in the program uses them.

use serde::{Deserialize, Serialize};

use crate::types::{
    AgentEpoch, Attempt, ControllerId, MachineId, MachineTypeId, TaskId, WorkerToken, Zone,
};

/// The largest body of a heartbeat that is read, in bytes.
pub const MAX_HEARTBEAT_BYTES: usize = 1 << 20;

/// What a worker reports at each interval, and in answer to direct commands.
#[derive(Clone, Debug, Deserialize)]
pub struct Heartbeat {
    /// The machine that the worker runs on.
    #[serde(rename = "host")]
    pub machine_id: MachineId,
    /// Where the worker takes commands directly; empty if it takes none.
    #[serde(default)]
    pub address: String,
    /// The machine's type.
    #[serde(rename = "rig")]
    pub machine_type: MachineTypeId,
    /// The machine's zone.
    #[serde(rename = "yard")]
    pub zone: Zone,
    /// The cloud may take the machine away at short notice.
    #[serde(rename = "loaners")]
    pub spot: bool,
    /// Starts at 1, and increases whenever the worker's lease expires and it kills all its tasks.
    #[serde(rename = "shift")]
    pub agent_epoch: AgentEpoch,
    /// Increases with every heartbeat and every answer to direct commands: of two heartbeats, the one
    /// with the larger agent epoch and sequence is the newer.
    #[serde(rename = "tally")]
    pub heartbeat_sequence: u64,
    /// The highest token that the worker has seen.
    #[serde(rename = "baton")]
    pub worker_token: WorkerToken,
    /// Seconds until the cloud takes the machine away, if it announced that.
    #[serde(rename = "warningS", default)]
    pub warning_s: Option<f64>,
    /// All tasks that the worker has, until a command removes them.
    #[serde(default)]
    #[serde(rename = "picks")]
    pub tasks: Vec<TaskStatus>,
}

/// A task in a heartbeat.
#[derive(Clone, Debug, Deserialize)]
pub struct TaskStatus {
    /// The task's name; parsed by [`TaskId::parse`].
    #[serde(rename = "pick")]
    pub task: String,
    /// The attempt of the task.
    #[serde(rename = "try")]
    pub attempt: Attempt,
    /// How far the attempt is.
    pub stage: TaskStage,
    /// Why the attempt exited, if it did.
    #[serde(default)]
    pub cause: Option<ExitCause>,
    /// Whether it saved a checkpoint before it exited.
    #[serde(rename = "kept", default)]
    pub checkpoint_saved: Option<bool>,
}

/// How far an attempt is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum TaskStage {
    /// Its image is being fetched.
    #[serde(rename = "pulling")]
    Fetching,
    /// It waits for the other tasks of its gang.
    #[serde(rename = "gathering")]
    Waiting,
    /// It runs.
    Running,
    /// It got a command to stop, and saves a checkpoint.
    Saving,
    /// It is over; [`ExitCause`] tells why.
    #[serde(rename = "ended")]
    Exited,
}

/// Why an attempt exited.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ExitCause {
    /// It succeeded.
    Done,
    /// It got a command to stop.
    Stopped,
    /// Another task of its gang was lost.
    #[serde(rename = "mates_gone")]
    GangMemberLost,
    /// The rest of its gang did not start in time.
    #[serde(rename = "alone")]
    GangTimeout,
    /// It failed.
    Error,
    /// The start was refused: the machine lacks the resources.
    #[serde(rename = "no_room")]
    InsufficientResources,
    /// The start was refused: another attempt of the task is on the machine.
    #[serde(rename = "in_use")]
    OtherAttemptPresent,
    /// The start was refused: no such job or task, or the job was not submitted.
    #[serde(rename = "no_such")]
    UnknownTask,
}

/// A command to a worker. Each may be repeated, except that a start after a [`Forget`](Self::Forget)
/// starts the attempt once more.
#[derive(Clone, Debug, PartialEq)]
pub enum WorkerCommand {
    /// Start an attempt of a task.
    Start {
        /// The task to start.
        task: TaskId,
        /// The attempt; one that the worker already has is not started again.
        attempt: Attempt,
    },
    /// Stop an attempt.
    Stop {
        /// The task to stop.
        task: TaskId,
        /// The attempt to stop.
        attempt: Attempt,
        /// Seconds that it gets to save a checkpoint.
        grace_s: f64,
    },
    /// Remove an attempt that has exited from the heartbeats.
    Forget {
        /// The task to forget.
        task: TaskId,
        /// The attempt to forget.
        attempt: Attempt,
    },
}

/// A command as it is written on the wire.
#[derive(Serialize, Deserialize)]
#[serde(tag = "verb", rename_all = "snake_case")]
pub enum WorkerCommandBody {
    /// [`WorkerCommand::Start`].
    Start {
        /// The task's name.
        #[serde(rename = "pick")]
        task: String,
        /// Its attempt.
        #[serde(rename = "try")]
        attempt: Attempt,
    },
    /// [`WorkerCommand::Stop`].
    Kill {
        /// The task's name.
        #[serde(rename = "pick")]
        task: String,
        /// Its attempt.
        #[serde(rename = "try")]
        attempt: Attempt,
        /// Seconds that it gets to save a checkpoint.
        #[serde(rename = "windDownS", default)]
        grace_s: f64,
    },
    /// [`WorkerCommand::Forget`].
    Reap {
        /// The task's name.
        #[serde(rename = "pick")]
        task: String,
        /// Its attempt.
        #[serde(rename = "try")]
        attempt: Attempt,
    },
}

impl From<&WorkerCommand> for WorkerCommandBody {
    fn from(command: &WorkerCommand) -> Self {
        match command {
            WorkerCommand::Start { task, attempt } => Self::Start {
                task: task.to_string(),
                attempt: *attempt,
            },
            WorkerCommand::Stop {
                task,
                attempt,
                grace_s,
            } => Self::Kill {
                task: task.to_string(),
                attempt: *attempt,
                grace_s: *grace_s,
            },
            WorkerCommand::Forget { task, attempt } => Self::Reap {
                task: task.to_string(),
                attempt: *attempt,
            },
        }
    }
}

impl Serialize for WorkerCommand {
    fn serialize<S: serde::Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        WorkerCommandBody::from(self).serialize(serializer)
    }
}

impl WorkerCommandBody {
    /// The command in this form; `None` if the task's name is malformed.
    #[must_use]
    pub fn command(&self) -> Option<WorkerCommand> {
        let (WorkerCommandBody::Start { task, attempt }
        | WorkerCommandBody::Kill { task, attempt, .. }
        | WorkerCommandBody::Reap { task, attempt }) = self;
        let (task, attempt) = (TaskId::parse(task)?, *attempt);
        Some(match *self {
            WorkerCommandBody::Start { .. } => WorkerCommand::Start { task, attempt },
            WorkerCommandBody::Kill { grace_s, .. } => WorkerCommand::Stop {
                task,
                attempt,
                grace_s,
            },
            WorkerCommandBody::Reap { .. } => WorkerCommand::Forget { task, attempt },
        })
    }
}

/// The answer to a heartbeat.
#[derive(Clone, Debug, PartialEq)]
pub enum HeartbeatResponse {
    /// From the shard's holder: the lease is renewed.
    Commands {
        /// The holder's token; the worker refuses lower ones from now on.
        worker_token: WorkerToken,
        /// What the worker is to do, in this order.
        commands: Vec<WorkerCommand>,
    },
    /// 421: report to that controller, or to the next if none is named.
    Redirect(Option<ControllerId>),
    /// 503: no holder of the shard is known, so report again later.
    RetryLater,
}

#[cfg(test)]
mod tests;
