//! The messages between controllers, sent as `bitcode` frames over TCP ([`link`]). A lost message causes
//! delay but never violates safety, since the key-value store arbitrates.
//!
//! `bitcode` encodes fields and variants by position, so their order here is the wire format: new ones
//! must be appended, with a new [`VERSION`].

pub mod link;

use bitcode::{Decode, Encode};

/// The version of the message format. A connection is served only if both ends use the same version.
pub const VERSION: u32 = 6;

/// A message from one controller to another.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub enum Message {
    /// The first frame of each connection.
    Hello {
        /// The sender's [`VERSION`].
        version: u32,
        /// The sender's controller ID.
        label: String,
    },
    /// To all controllers, once a second.
    Status(Status),
    /// To the owners of their jobs: these tasks were released from machines of the sender's shards, or
    /// finished there.
    TasksDeparted(Vec<TaskDeparture>),
    /// To all controllers: a task of this job failed on that machine.
    TaskFailed {
        /// The ID of the task's job.
        job: String,
        /// The machine that the task failed on.
        machine_id: String,
    },
    /// To the leader: this job does not fit the sender's shards.
    Unplaced {
        /// The ID of the job.
        job: String,
    },
    /// From the leader: the receiver's shards have the resources for this job, or can free them by
    /// preemption.
    Place {
        /// The ID of the job.
        job: String,
        /// The machine to preempt tasks on; `None` if no preemption is needed.
        preempt: Option<String>,
    },
    /// From the leader: the receiver must preempt tasks on that machine in favor of one task of this job,
    /// and reserve the freed resources. The leader places the job's gang across the shards of several
    /// holders.
    Preempt {
        /// The ID of the job.
        job: String,
        /// The machine to preempt tasks on.
        machine_id: String,
    },
}

/// A task that was released from its machine, or finished there.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct TaskDeparture {
    /// The ID of the task's job.
    pub job: String,
    /// The task's index in the job.
    pub index: u32,
    /// The attempt that ended.
    pub attempt: u64,
    /// The token of the machine's shard under which the departure was observed.
    pub token: u64,
    /// Whether the task succeeded; otherwise it must be placed again.
    pub done: bool,
}

/// The state that each controller sends to all others about once a second.
#[derive(Clone, Debug, Default, PartialEq, Encode, Decode)]
pub struct Status {
    /// The lease of the sender's process; `None` if it has none now. A message of a process that has ended
    /// may arrive late and must be ignored.
    pub lease_id: Option<u64>,
    /// The key-value store's revision up to which the sender's cache is complete.
    pub revision: u64,
    /// Milliseconds since the key-value store last answered the sender.
    pub without_store_ms: u64,
    /// Whether heartbeats of workers reach the sender.
    pub receives_heartbeats: bool,
    /// The revision of the admission plan that the sender follows; 0 if none.
    pub plan_revision: u64,
    /// The sender's recent rate of record changes, in thousandths of a change per second.
    pub change_rate_milli: u64,
    /// The number of record changes that are queued at the sender.
    pub pending_changes: u64,
    /// The shards that the sender holds, with their tokens. They tell a controller that lost the
    /// key-value store that another controller has acquired one of its shards.
    pub shards: Vec<(String, u64)>,
    /// The frequently changing state of each machine of the sender's shards.
    pub machines: Vec<MachineCondition>,
    /// Descriptions of the machines that changed since their last description, and of some of the others,
    /// since a message may be lost.
    pub descriptions: Vec<MachineDescription>,
    /// From the leader: the machines to drain and scale in.
    pub draining: Vec<String>,
}

/// The part of a machine's state that changes frequently, or must never be outdated.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct MachineCondition {
    /// The machine's name, unique in the cluster.
    pub machine_id: String,
    /// Milliseconds since any controller last received evidence of the worker's liveness.
    pub since_contact_ms: u64,
    /// The worker's agent epoch.
    pub agent_epoch: u64,
    /// Nothing confirms that commands reach the machine and that its heartbeats arrive.
    pub unconfirmed: bool,
    /// The cloud has announced that it will reclaim the machine.
    pub termination_announced: bool,
    /// Tasks fail on the machine because of the machine itself.
    pub quarantined: bool,
    /// The leader wants to scale it in.
    pub draining: bool,
}

/// The part of a machine's state that rarely changes.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Encode, Decode)]
pub struct MachineDescription {
    /// The machine's name, unique in the cluster.
    pub machine_id: String,
    /// Where its worker takes direct commands; empty if it takes none.
    pub address: String,
    /// The machine type that it was rented as.
    pub machine_type: String,
    /// The zone that it runs in.
    pub zone: String,
    /// A spot instance: the cloud may reclaim it at short notice.
    pub spot: bool,
    /// The images in the machine's cache, with their sizes in megabytes.
    pub images: Vec<(String, u64)>,
}

/// The largest frame that is accepted, in bytes; a peer that announces a larger one is not trusted.
pub const MAX_FRAME_BYTES: usize = 4 << 20;

#[cfg(test)]
mod tests;
