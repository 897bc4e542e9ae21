//! What workers send and get.

use serde::{Deserialize, Serialize};

use crate::types::{Attempt, Baton, HostId, NodeId, Session, Sku, TaskId, Zone};

/// A worker's heartbeat may list this many bytes of tasks at the most.
pub const LARGEST_REPORT: usize = 1 << 20;

#[derive(Clone, Debug, Deserialize)]
pub struct Report {
    pub host: HostId,
    #[serde(default)]
    pub address: String,
    pub rig: Sku,
    pub yard: Zone,
    pub loaners: bool,
    pub shift: Session,
    pub tally: u64,
    pub baton: Baton,
    #[serde(rename = "warningS", default)]
    pub warning_s: Option<f64>,
    #[serde(default)]
    pub picks: Vec<Pick>,
}

#[derive(Clone, Debug, Deserialize)]
pub struct Pick {
    pub pick: String,
    #[serde(rename = "try")]
    pub attempt: Attempt,
    pub stage: TaskStage,
    #[serde(default)]
    pub cause: Option<Cause>,
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
pub enum Cause {
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
pub enum Order {
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
pub enum OrderBody {
    Start {
        pick: String,
        #[serde(rename = "try")]
        attempt: Attempt,
    },
    Kill {
        pick: String,
        #[serde(rename = "try")]
        attempt: Attempt,
        #[serde(rename = "windDownS", default)]
        grace_s: f64,
    },
    Reap {
        pick: String,
        #[serde(rename = "try")]
        attempt: Attempt,
    },
}

impl Serialize for Order {
    fn serialize<S: serde::Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        let body = match self {
            Order::Start { task, attempt } => OrderBody::Start {
                pick: task.to_string(),
                attempt: *attempt,
            },
            Order::Stop {
                task,
                attempt,
                grace_s,
            } => OrderBody::Kill {
                pick: task.to_string(),
                attempt: *attempt,
                grace_s: *grace_s,
            },
            Order::Forget { task, attempt } => OrderBody::Reap {
                pick: task.to_string(),
                attempt: *attempt,
            },
        };
        body.serialize(serializer)
    }
}

impl OrderBody {
    /// The order that is written so, if it names a task.
    pub fn order(&self) -> Option<Order> {
        let (OrderBody::Start { pick, attempt }
        | OrderBody::Kill { pick, attempt, .. }
        | OrderBody::Reap { pick, attempt }) = self;
        let (task, attempt) = (TaskId::parse(pick)?, *attempt);
        Some(match *self {
            OrderBody::Start { .. } => Order::Start { task, attempt },
            OrderBody::Kill { grace_s, .. } => Order::Stop {
                task,
                attempt,
                grace_s,
            },
            OrderBody::Reap { .. } => Order::Forget { task, attempt },
        })
    }
}

/// The answer to a heartbeat.
#[derive(Clone, Debug, PartialEq)]
pub enum ReportAnswer {
    Orders {
        baton: Baton,
        orders: Vec<Order>,
    },
    /// 421: report to that controller, or to the next.
    Elsewhere(Option<NodeId>),
    /// 503: nobody is known to be entitled.
    Later,
}

#[cfg(test)]
mod tests;
