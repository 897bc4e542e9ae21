//! What workers send and get.

use serde::{Deserialize, Serialize};

use crate::types::{
    AgentEpoch, Attempt, ControllerId, MachineId, MachineTypeId, TaskId, WorkerToken, Zone,
};

/// A worker's heartbeat may list this many bytes of tasks at the most.
pub const MAX_HEARTBEAT_BYTES: usize = 1 << 20;

#[derive(Clone, Debug, Deserialize)]
pub struct Heartbeat {
    #[serde(rename = "host")]
    pub machine_id: MachineId,
    #[serde(default)]
    pub address: String,
    #[serde(rename = "rig")]
    pub machine_type: MachineTypeId,
    #[serde(rename = "yard")]
    pub zone: Zone,
    #[serde(rename = "loaners")]
    pub spot: bool,
    #[serde(rename = "shift")]
    pub agent_epoch: AgentEpoch,
    #[serde(rename = "tally")]
    pub heartbeat_sequence: u64,
    #[serde(rename = "baton")]
    pub worker_token: WorkerToken,
    #[serde(rename = "warningS", default)]
    pub warning_s: Option<f64>,
    #[serde(default)]
    #[serde(rename = "picks")]
    pub tasks: Vec<TaskStatus>,
}

#[derive(Clone, Debug, Deserialize)]
pub struct TaskStatus {
    #[serde(rename = "pick")]
    pub task: String,
    #[serde(rename = "try")]
    pub attempt: Attempt,
    pub stage: TaskStage,
    #[serde(default)]
    pub cause: Option<ExitCause>,
    #[serde(default)]
    pub kept: Option<bool>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum TaskStage {
    #[serde(rename = "pulling")]
    Fetching,
    #[serde(rename = "gathering")]
    Waiting,
    Running,
    Saving,
    #[serde(rename = "ended")]
    Exited,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ExitCause {
    Done,
    Stopped,
    #[serde(rename = "mates_gone")]
    PeersGone,
    Alone,
    Error,
    NoRoom,
    #[serde(rename = "in_use")]
    Busy,
    #[serde(rename = "no_such")]
    Unknown,
}

#[derive(Clone, Debug, PartialEq)]
pub enum WorkerCommand {
    Start {
        task: TaskId,
        attempt: Attempt,
    },
    Stop {
        task: TaskId,
        attempt: Attempt,
        grace_s: f64,
    },
    Forget {
        task: TaskId,
        attempt: Attempt,
    },
}

/// An order as it is written.
#[derive(Serialize, Deserialize)]
#[serde(tag = "verb", rename_all = "snake_case")]
pub enum WorkerCommandBody {
    Start {
        #[serde(rename = "pick")]
        task: String,
        #[serde(rename = "try")]
        attempt: Attempt,
    },
    Kill {
        #[serde(rename = "pick")]
        task: String,
        #[serde(rename = "try")]
        attempt: Attempt,
        #[serde(rename = "windDownS", default)]
        grace_s: f64,
    },
    Reap {
        #[serde(rename = "pick")]
        task: String,
        #[serde(rename = "try")]
        attempt: Attempt,
    },
}

impl Serialize for WorkerCommand {
    fn serialize<S: serde::Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        let body = match self {
            WorkerCommand::Start { task, attempt } => WorkerCommandBody::Start {
                task: task.to_string(),
                attempt: *attempt,
            },
            WorkerCommand::Stop {
                task,
                attempt,
                grace_s,
            } => WorkerCommandBody::Kill {
                task: task.to_string(),
                attempt: *attempt,
                grace_s: *grace_s,
            },
            WorkerCommand::Forget { task, attempt } => WorkerCommandBody::Reap {
                task: task.to_string(),
                attempt: *attempt,
            },
        };
        body.serialize(serializer)
    }
}

impl WorkerCommandBody {
    /// The order that is written so, if it names a task.
    pub fn order(&self) -> Option<WorkerCommand> {
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
    Commands {
        worker_token: WorkerToken,
        commands: Vec<WorkerCommand>,
    },
    /// 421: report to that controller, or to the next.
    Redirect(Option<ControllerId>),
    /// 503: nobody is known to be entitled.
    RetryLater,
}

#[cfg(test)]
mod tests;
