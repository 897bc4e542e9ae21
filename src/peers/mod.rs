//! The messages between controllers: `bitcode` frames over TCP ([`link`]). A lost message costs time,
//! never safety: the key-value store arbitrates.
//!
//! `bitcode` writes fields and variants by position, so their order here is the wire format: new ones
//! go last, with a new [`VERSION`].

pub mod link;

use bitcode::{Decode, Encode};

/// The version of the messages here. A connection serves only if both ends have the same.
pub const VERSION: u32 = 6;

/// What one controller sends another.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub enum Message {
    /// The first frame of each connection.
    Hello {
        /// The sender's [`VERSION`].
        version: u32,
        /// Which controller it is.
        label: String,
    },
    /// To all, once a second.
    Status(Status),
    /// To the owners of their jobs: these tasks have left machines of the sender's shards.
    TasksDeparted(Vec<TaskDeparture>),
    /// To all: a task of this job failed on that machine.
    TaskFailed {
        /// The job.
        job: String,
        /// The machine that it failed on.
        machine_id: String,
    },
    /// To the leader: this job does not fit the sender's shards.
    Unplaced {
        /// The job.
        job: String,
    },
    /// From the leader: the receiver's shards have the resources for this job, or can free them by
    /// preemption.
    Place {
        /// The job.
        job: String,
        /// The machine to preempt tasks on, if that is needed.
        preempt: Option<String>,
    },
    /// From the leader: the receiver is to preempt tasks for one of this job on that machine, and to
    /// reserve the resources; the leader places the job's gang over the shards of several holders.
    Preempt {
        /// The job.
        job: String,
        /// The machine to preempt tasks on.
        machine_id: String,
    },
}

/// A task that has left its machine.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct TaskDeparture {
    /// Its job.
    pub job: String,
    /// Its index in the job.
    pub index: u32,
    /// The attempt that left.
    pub attempt: u64,
    /// The token of the machine's shard under which that was observed.
    pub token: u64,
    /// Whether it succeeded; else it is to be placed again.
    pub done: bool,
}

/// What each controller tells the others about once a second.
#[derive(Clone, Debug, Default, PartialEq, Encode, Decode)]
pub struct Status {
    /// The lease of the sender's process, if it has one now. A message of a process that has ended
    /// may come late, and must not count.
    pub lease_id: Option<u64>,
    /// The revision up to which the sender's cache is complete.
    pub revision: u64,
    /// Milliseconds since the key-value store last answered the sender.
    pub without_store_ms: u64,
    /// Whether workers reach the sender.
    pub receives_heartbeats: bool,
    /// The revision of the admission plan that the sender follows; 0 if none.
    pub plan_revision: u64,
    /// The sender's recent rate of changes, in thousandths of a change a second.
    pub change_rate_milli: u64,
    /// How many changes wait at the sender.
    pub pending_changes: u64,
    /// The shards that the sender holds, with their tokens. A controller that lost the
    /// key-value store learns from it that another controller has taken one of its shards.
    pub shards: Vec<(String, u64)>,
    /// What changes all the time, of each machine of the sender's shards.
    pub machines: Vec<MachineCondition>,
    /// Descriptions of those that changed since their last description, and of some of the others,
    /// since a message may be lost.
    pub descriptions: Vec<MachineDescription>,
    /// From the leader: machines that are to be drained and scaled in.
    pub draining: Vec<String>,
}

/// The part of a machine's state that changes all the time, or must never be outdated.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct MachineCondition {
    /// The machine's name.
    pub machine_id: String,
    /// Milliseconds since the last sign of life of its worker.
    pub since_contact_ms: u64,
    /// The worker's agent epoch.
    pub agent_epoch: u64,
    /// Nothing confirms that commands reach it.
    pub unconfirmed: bool,
    /// The cloud has announced that it will take the machine away.
    pub termination_announced: bool,
    /// Tasks fail there for reasons of the machine.
    pub quarantined: bool,
    /// The leader wants it scaled in.
    pub draining: bool,
}

/// The part of a machine's state that rarely changes.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Encode, Decode)]
pub struct MachineDescription {
    /// The machine's name.
    pub machine_id: String,
    /// Where its worker takes commands directly.
    pub address: String,
    /// Its type.
    pub machine_type: String,
    /// Its zone.
    pub zone: String,
    /// The cloud may take it away at short notice.
    pub spot: bool,
    /// The images in its cache, and their size in megabytes.
    pub images: Vec<(String, u64)>,
}

/// The largest frame that is read, in bytes: beyond it the other end is not trusted.
pub const LARGEST_FRAME: usize = 4 << 20;

#[cfg(test)]
mod tests;
