//! Team guarantees and limits.
//!
//! A team's limit is divided into per-shard allocations. The holder of a shard places within the
//! shard's allocation, on condition that the allocation record has not changed. The leader
//! allocates so that the team's total usage never exceeds the limit, even with placements that the
//! leader has not observed yet.
//!
//! - [`allocation`]: the records of what is allocated to each shard,
//! - [`mod@allocate`]: how the leader divides a limit among the shards,
//! - [`hierarchical`]: the active tree of nested quotas,
//! - [`reclaim`]: which tasks to stop so that work within its entitlement finds capacity.
//!
//! This module itself compares usage with a team's limit and guarantee.

mod allocate;
mod allocation;
pub mod hierarchical;
pub mod reclaim;

pub use allocate::{
    ShardAllocation, ShardOwnership, allocate, covers, raised_allocation, unallocated,
    within_allocation, worst_case_within_limit,
};
pub use allocation::{
    ALLOCATION_KEY_PREFIX, AllocationRecord, QuotaAllocation, QuotaAllocations, StoredAllocations,
    allocation_key,
};

use crate::settings::TeamSettings;
use crate::types::Resources;

/// Absolute tolerance of comparisons, in CPUs or GPUs. The rounding errors of sums of decimal
/// amounts are far below it, and no task requests as little.
const TOLERANCE: f64 = 1e-6;

/// Whether an amount is within a limit; a limit of 0 means that there is none.
fn within_amount(amount: f64, limit: f64) -> bool {
    limit <= 0.0 || amount <= limit + TOLERANCE
}

/// What a team with this usage may still use before it reaches its limit: infinite for resources
/// without a limit, among them memory, and negative where the usage exceeds the limit.
pub fn headroom(usage: Resources, team: &TeamSettings) -> Resources {
    let remaining = |limit: f64, used: f64| {
        if limit > 0.0 {
            limit - used
        } else {
            f64::INFINITY
        }
    };
    Resources {
        cpus: remaining(team.cpus_max, usage.cpus),
        gpus: remaining(team.gpus_max, usage.gpus),
        memory_gb: f64::INFINITY,
    }
}

/// Whether a team with this usage is within its limit. A team without a limit always is.
pub fn within_limit(usage: Resources, team: &TeamSettings) -> bool {
    within_amount(usage.cpus, team.cpus_max) && within_amount(usage.gpus, team.gpus_max)
}

/// Whether a team with this usage is within its guarantee. A team without a guarantee never is; a
/// resource that is not guaranteed to a team with a guarantee does not count.
pub fn within_guarantee(usage: Resources, team: &TeamSettings) -> bool {
    (team.cpus > 0.0 || team.gpus > 0.0)
        && within_amount(usage.cpus, team.cpus)
        && within_amount(usage.gpus, team.gpus)
}

#[cfg(test)]
mod tests;
