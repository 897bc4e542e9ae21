//! Why a job is not placed yet, and which changes in the cluster may make it placeable.

use std::collections::BTreeSet;

use crate::types::{JobId, MachineId, Millis, Team};

/// A check that can reject a task. The queue keeps the checks that rejected a job, so that an event
/// wakes the job only if it may make one of these pass.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Check {
    /// The job does not allow the machine's type, its zone, or spot machines, or does not fit on the
    /// machine even when the machine is empty.
    Machine,
    /// Too little of the machine's capacity is available.
    Resources,
    /// The job requires a single zone or a spread over zones, and the machine's zone violates that.
    Zones,
    /// The team's quota limit is used up.
    TeamQuota,
    /// The shard's allocation of the team's quota is used up.
    ShardQuota,
    /// Tasks of an earlier attempt are not yet proven to have left their machines.
    EarlierAttempt,
}

/// What a job waits for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WaitReason {
    /// Its turn: it is active, and other jobs go first.
    Turn,
    /// The end of its backoff.
    Backoff {
        /// When the job becomes active again.
        until: Millis,
    },
    /// A change in the cluster: each machine was rejected by one of these checks.
    Rejected {
        /// The checks that rejected the job in its last cycle.
        checks: BTreeSet<Check>,
    },
    /// The store: a decision about the job is being written, or its outcome is unknown.
    Writing,
    /// Tasks of an earlier attempt that have to leave their machines first.
    EarlierAttempt,
}

/// A change in the cluster that may help a parked job.
#[derive(Clone, Debug, PartialEq)]
pub enum ClusterEvent {
    /// A machine joined, or became schedulable.
    MachineSchedulable(MachineId),
    /// Resources were released on a machine.
    ResourcesReleased(MachineId),
    /// A task of this job left its machine.
    TaskLeft(JobId),
    /// The team uses less of its quota.
    TeamUsageReduced(Team),
    /// The teams' quotas were allocated to shards anew.
    QuotaReallocated,
    /// Another quota tree became active.
    QuotaTreeReplaced,
    /// The quota tree entitles the team to more than before.
    EntitlementRaised(Team),
}
