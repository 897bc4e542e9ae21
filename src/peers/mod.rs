//! The link between controllers: `bitcode` frames over TCP. What is lost on it costs time, never
//! safety: the state service arbitrates.

pub mod link;

use bitcode::{Decode, Encode};

/// Spoken by both ends or not at all.
pub const VERSION: u32 = 6;

#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub enum Message {
    /// The first frame of each connection.
    Hello {
        version: u32,
        label: String,
    },
    Status(Status),
    /// To the homes of their jobs: these tasks have left machines of the sender's shards.
    TasksDeparted(Vec<TaskDeparture>),
    /// To all: a task of this job failed on that machine.
    Failed {
        job: String,
        machine_id: String,
    },
    /// To the leader: this job does not fit the sender's shards.
    Unplaced {
        job: String,
    },
    /// From the leader: the receiver's shards have room for this job, or can make it on the
    /// machine named.
    Place {
        job: String,
        preempt: Option<String>,
    },
    /// From the leader: the receiver is to make room for a task of this job on that machine and
    /// to keep it; the leader places the job's gang over several holders.
    MakeRoom {
        job: String,
        machine_id: String,
    },
}

/// A task that has left its machine.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct TaskDeparture {
    pub job: String,
    pub index: u32,
    pub attempt: u64,
    /// The token of the machine's shard under which that was seen.
    pub token: u64,
    /// Whether it is done.
    pub done: bool,
}

/// What each controller tells the others about once a second.
#[derive(Clone, Debug, Default, PartialEq, Encode, Decode)]
pub struct Status {
    /// The lease of the sender's process; none: it has none now. What a process said that is no
    /// more may come late, and must not count.
    pub lease_id: Option<u64>,
    /// The sender's cache is this new.
    pub revision: u64,
    /// Milliseconds since the state service last answered the sender.
    pub without_store_ms: u64,
    /// Whether workers reach the sender.
    pub receives_heartbeats: bool,
    /// The plan of changes that the sender obeys, by its revision; 0: none.
    pub plan: u64,
    /// Changes a second that the sender made lately, in thousandths, and how many wait.
    pub used_milli: u64,
    pub waiting: u64,
    /// The shards that the sender holds, with their tokens. A controller that lost the state
    /// service learns from it that a shard of its own has another holder.
    pub shards: Vec<(String, u64)>,
    /// The machines of the sender's shards.
    pub machines: Vec<MachineHeartbeat>,
    /// More about those that changed since they were last told of, and about some of the others,
    /// since a message may be lost.
    pub views: Vec<MachineView>,
    /// From the leader: machines that are to be emptied and returned.
    pub draining: Vec<String>,
}

/// What changes all the time, or must never be old.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct MachineHeartbeat {
    pub machine_id: String,
    /// Milliseconds since the worker was heard.
    pub silent_ms: u64,
    pub agent_epoch: u64,
    /// It speaks, but nothing proves that it hears.
    pub doubtful: bool,
    pub warned: bool,
    pub quarantined: bool,
    pub draining: bool,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, Encode, Decode)]
pub struct MachineView {
    pub machine_id: String,
    /// Where its worker takes commands directly.
    pub address: String,
    pub machine_type: String,
    pub zone: String,
    pub spot: bool,
    /// The images in its cache, and their megabytes.
    pub images: Vec<(String, u64)>,
}

/// No frame is larger.
pub const LARGEST_FRAME: usize = 4 << 20;

#[cfg(test)]
mod tests;
