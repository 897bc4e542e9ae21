//! The messages to and from workers. Where a name on the wire differs from the name in the program, a
//! `serde` attribute gives it; nothing else in the program uses the names on the wire.

use serde::{Deserialize, Serialize};

use crate::types::{
    AgentEpoch, Attempt, ControllerId, MachineId, MachineTypeId, TaskId, WorkerToken, Zone,
};

/// The largest accepted body of a heartbeat, in bytes.
pub const MAX_HEARTBEAT_BYTES: usize = 1 << 20;

/// A worker's report, sent at each interval and in response to direct commands.
#[derive(Clone, Debug, Deserialize)]
pub struct Heartbeat {
    /// The machine that the worker runs on.
    #[serde(rename = "host")]
    pub machine_id: MachineId,
    /// Where the worker takes commands directly; empty if it takes none.
    #[serde(default)]
    pub address: String,
    /// The machine type that it was rented as.
    #[serde(rename = "rig")]
    pub machine_type: MachineTypeId,
    /// The zone that the machine runs in.
    #[serde(rename = "yard")]
    pub zone: Zone,
    /// The machine is a spot instance: the cloud may reclaim it at short notice.
    #[serde(rename = "loaners")]
    pub spot: bool,
    /// Starts at 1, and increases whenever the worker's lease expires and it kills all its tasks.
    #[serde(rename = "shift")]
    pub agent_epoch: AgentEpoch,
    /// Increases with every heartbeat and every response to direct commands. Of two heartbeats, the one
    /// with the larger pair of agent epoch and sequence is the newer.
    #[serde(rename = "tally")]
    pub heartbeat_sequence: u64,
    /// The highest token that the worker has seen.
    #[serde(rename = "baton")]
    pub worker_token: WorkerToken,
    /// Seconds until the cloud reclaims the machine; `None` if it has announced nothing.
    #[serde(rename = "warningS", default)]
    pub warning_s: Option<f64>,
    /// All tasks of the worker; exited ones are listed until a command removes them.
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
    /// The attempt that the worker has, or had.
    #[serde(rename = "try")]
    pub attempt: Attempt,
    /// The attempt's stage of execution.
    pub stage: TaskStage,
    /// Why the attempt exited; `None` if it has not.
    #[serde(default)]
    pub cause: Option<ExitCause>,
    /// Whether it saved a checkpoint before it exited; `None` if the worker does not tell.
    #[serde(rename = "kept", default)]
    pub checkpoint_saved: Option<bool>,
}

/// The stage of execution of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum TaskStage {
    /// Its image is being fetched.
    #[serde(rename = "pulling")]
    Fetching,
    /// It waits at the start barrier for the other tasks of its gang.
    #[serde(rename = "gathering")]
    Waiting,
    /// The task's process runs.
    Running,
    /// It got a command to stop, and saves a checkpoint.
    Saving,
    /// It has exited; [`ExitCause`] tells why.
    #[serde(rename = "ended")]
    Exited,
}

/// Why an attempt exited.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ExitCause {
    /// The task completed successfully.
    Done,
    /// It was stopped by a command.
    Stopped,
    /// Another task of its gang was lost.
    #[serde(rename = "mates_gone")]
    GangMemberLost,
    /// The other tasks of its gang did not reach the start barrier in time.
    #[serde(rename = "alone")]
    GangTimeout,
    /// The task exited with an error.
    Error,
    /// The start was refused: the machine lacks the resources.
    #[serde(rename = "no_room")]
    InsufficientResources,
    /// The start was refused: another attempt of the task is on the machine.
    #[serde(rename = "in_use")]
    OtherAttemptPresent,
    /// The start was refused: the job or task does not exist, or the job was not submitted.
    #[serde(rename = "no_such")]
    UnknownTask,
}

/// A command to a worker. Commands are idempotent, except that a start after a
/// [`Forget`](Self::Forget) runs the attempt again.
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
        /// Seconds until it is killed, in which it can save a checkpoint; 0 kills it at once.
        grace_s: f64,
    },
    /// Remove an exited attempt from the worker's heartbeats.
    Forget {
        /// The task to forget.
        task: TaskId,
        /// The attempt to forget.
        attempt: Attempt,
    },
}

/// The encoded form of a [`WorkerCommand`].
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
    #[serde(rename = "kill")]
    Stop {
        /// The task's name.
        #[serde(rename = "pick")]
        task: String,
        /// Its attempt.
        #[serde(rename = "try")]
        attempt: Attempt,
        /// Seconds until it is killed, in which it can save a checkpoint; 0 if absent.
        #[serde(rename = "windDownS", default)]
        grace_s: f64,
    },
    /// [`WorkerCommand::Forget`].
    #[serde(rename = "reap")]
    Forget {
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
            } => Self::Stop {
                task: task.to_string(),
                attempt: *attempt,
                grace_s: *grace_s,
            },
            WorkerCommand::Forget { task, attempt } => Self::Forget {
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
    /// The decoded command; `None` if the task's name is malformed.
    #[must_use]
    pub fn command(&self) -> Option<WorkerCommand> {
        let (WorkerCommandBody::Start { task, attempt }
        | WorkerCommandBody::Stop { task, attempt, .. }
        | WorkerCommandBody::Forget { task, attempt }) = self;
        let (task, attempt) = (TaskId::parse(task)?, *attempt);
        Some(match *self {
            WorkerCommandBody::Start { .. } => WorkerCommand::Start { task, attempt },
            WorkerCommandBody::Stop { grace_s, .. } => WorkerCommand::Stop {
                task,
                attempt,
                grace_s,
            },
            WorkerCommandBody::Forget { .. } => WorkerCommand::Forget { task, attempt },
        })
    }
}

/// The answer to a heartbeat.
#[derive(Clone, Debug, PartialEq)]
pub enum HeartbeatResponse {
    /// From the holder of the shard: the worker's lease is renewed.
    Commands {
        /// The holder's token; the worker refuses lower ones from now on.
        worker_token: WorkerToken,
        /// The commands, in the order of their execution.
        commands: Vec<WorkerCommand>,
    },
    /// Status 421: the worker must report to that controller, or to the next one if none is named.
    Redirect(Option<ControllerId>),
    /// Status 503: no holder of the shard is known, so the worker must report again later.
    RetryLater,
}

#[cfg(test)]
mod tests;
