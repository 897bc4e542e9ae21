//! Team guarantees and limits.
//!
//! A team's limit is allocated to the shards in parts. The holder of a shard places within the
//! shard's allocation, on condition that the allocation record has not changed. The leader
//! allocates so that the sum never exceeds the limit, whatever was placed that it has not seen
//! yet.
//!
//! - [`allocation`]: the records of what is allocated to each shard,
//! - [`mod@allocate`]: how the leader divides a limit among the shards,
//! - [`hierarchical`]: the tree of nested quotas that is active,
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

/// Tolerance of comparisons, in CPUs or GPUs. Sums of decimal amounts carry rounding errors far
/// below it, and no task asks for as little.
const TOLERANCE: f64 = 1e-6;

/// Whether an amount is within a limit, of which 0 means none.
fn within_amount(amount: f64, limit: f64) -> bool {
    limit <= 0.0 || amount <= limit + TOLERANCE
}

/// What a team that uses `resources` may still use before it reaches its limit. Infinite where it
/// has no limit, negative where it is beyond it.
pub fn headroom(resources: Resources, team: &TeamSettings) -> Resources {
    let headroom = |limit: f64, used: f64| {
        if limit > 0.0 {
            limit - used
        } else {
            f64::INFINITY
        }
    };
    Resources {
        cpus: headroom(team.cpus_max, resources.cpus),
        gpus: headroom(team.gpus_max, resources.gpus),
        memory_gb: f64::INFINITY,
    }
}

/// Whether a team that uses `resources` is within its limit.
pub fn within_limit(resources: Resources, team: &TeamSettings) -> bool {
    within_amount(resources.cpus, team.cpus_max) && within_amount(resources.gpus, team.gpus_max)
}

/// Whether a team that uses `resources` is within its guarantee. A team that is guaranteed nothing
/// never is.
pub fn within_guarantee(resources: Resources, team: &TeamSettings) -> bool {
    (team.cpus > 0.0 || team.gpus > 0.0)
        && within_amount(resources.cpus, team.cpus)
        && within_amount(resources.gpus, team.gpus)
}

#[cfg(test)]
mod tests;
