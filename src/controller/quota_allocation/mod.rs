//! Per-shard allocation of the teams' limits.
//!
//! A team's limit applies to the whole cluster, but every controller places tasks independently.
//! The leader therefore allocates a part of each limit to each shard, and the holder of a shard
//! places only within the shard's allocation. Every placement is conditioned on the version of the
//! allocation record that it was checked against, so a changed allocation invalidates it.
//!
//! [`Quota`] owns the state, which the submodules use together with the job cache and the leases:
//! - `admission`: whether a placement is within the allocations, and the conditions it is written
//!   under,
//! - `reallocation`: the leader's periodic rewrite of the allocations,
//! - `fencing`: transactions of unknown outcome, which must be fenced off before their resources
//!   count as available again.

mod admission;
mod fencing;
mod reallocation;

use rustc_hash::FxHashMap as HashMap;

use self::fencing::UnresolvedAllocation;
use super::Controller;
use super::hierarchical_quota::{ReclaimState, TreePublication};
use crate::jobs::cache::Job;
use crate::quota::QuotaAllocations;
use crate::quota::hierarchical::HierarchicalQuota;
use crate::settings::{Settings, TeamSettings};
use crate::store::WriteGate;
use crate::types::{JobId, Millis, ShardId};

/// The teams' limits: their allocation to shards, and the tree of nested quotas.
pub(super) struct Quota {
    /// The allocation records of all shards, as the store has them.
    pub(super) allocations: QuotaAllocations,
    /// The tree of nested quotas, and the flat limits that apply without one.
    pub(super) hierarchy: HierarchicalQuota,
    /// Progress of writing this controller's tree file to the store.
    pub(super) tree_publication: TreePublication,
    /// State of reclaiming borrowed capacity under a tree.
    pub(super) reclaim: ReclaimState,
    /// When usage was last checked against the limits of the tree.
    pub(super) excess_checked_at: Millis,
    /// Number of transactions in flight that write allocation records.
    pub(super) allocations_in_flight: u32,
    /// Reallocations of unknown outcome that may still be applied.
    pub(super) unresolved_allocations: Vec<UnresolvedAllocation>,
    /// When the leader may rewrite allocations again.
    reallocation: WriteGate,
    /// When the leader last rewrote allocations.
    allocated_at: Millis,
    /// When transactions of unknown outcome were last fenced off.
    fenced_off_at: Millis,
    /// Jobs with a transaction of unknown outcome, and the shard whose allocation record that
    /// transaction is conditioned on.
    to_fence_off: HashMap<JobId, ShardId>,
}

impl Quota {
    /// The state of a controller that has read nothing from the store yet.
    pub(super) fn new(settings: &Settings) -> Self {
        Self {
            allocations: QuotaAllocations::default(),
            hierarchy: HierarchicalQuota::new(
                &settings.deployment.teams,
                settings.quota_tree.as_ref(),
                settings.deployment.state.value_kb,
            ),
            tree_publication: TreePublication::default(),
            reclaim: ReclaimState::default(),
            excess_checked_at: Millis(0),
            allocations_in_flight: 0,
            unresolved_allocations: Vec::new(),
            reallocation: WriteGate::default(),
            allocated_at: Millis(0),
            fenced_off_at: Millis(0),
            to_fence_off: HashMap::default(),
        }
    }

    /// The limits that apply to a job: its team's own, and those of the nodes above it in the tree.
    pub(super) fn limits(&self, job: &Job) -> &[TeamSettings] {
        self.hierarchy.limits(&job.spec.team)
    }
}

impl Controller {
    /// The limits that apply to a job: its team's own, and those of the nodes above it in the tree.
    pub(super) fn limits(&self, job: &Job) -> &[TeamSettings] {
        self.quota.limits(job)
    }
}

#[cfg(test)]
mod tests;
