//! Admission of placements against the shards' allocations.

use super::super::Controller;
use crate::jobs::cache::Job;
use crate::quota::{self, QuotaAllocation, ShardAllocation, ShardOwnership, allocation_key};
use crate::settings::TeamSettings;
use crate::store::Transaction;
use crate::types::ShardId;

impl Controller {
    /// Whether the cache contains all placements that were made in a shard before its current
    /// holder acquired it.
    pub(in crate::controller) fn knows_all_placements(&self, shard: &ShardId) -> bool {
        let acquired = self
            .membership
            .leases
            .shards
            .get(shard)
            .map_or(0, |holder| holder.tenure.acquired.0);
        self.store_sync.applied.0 >= acquired
    }

    /// The shards in which the next task of a job would exceed the allocation of its team, or of a
    /// node above the team in the quota tree. A shard may be listed more than once.
    ///
    /// With `raise_for`, the number of tasks to place, the leader may also place beyond an
    /// allocation: it raises the allocation in the same transaction, as long as the limit permits
    /// that many tasks.
    pub(in crate::controller) fn shards_without_quota(
        &self,
        job: &Job,
        raise_for: Option<u32>,
    ) -> Vec<ShardId> {
        let mut full_shards: Vec<ShardId> = Vec::new();
        for team in self.limits(job) {
            if raise_for.is_some_and(|tasks| self.may_raise_for(team, job, tasks)) {
                continue;
            }
            let fits = |shard: &ShardId| {
                let used = self
                    .jobs
                    .usage_in_shard(&team.name, shard)
                    .plus(job.spec.resources);
                let allocated = self.quota.allocations.allocation(shard, &team.name);
                // The leader places in another controller's shard only by raising its allocation.
                let held_here = self.membership.leases.held_token(shard, &self.me).is_some();
                let usable = (held_here || raise_for.is_none()) && self.knows_all_placements(shard);
                usable && quota::within_allocation(used, allocated, team)
            };
            let shards = self.membership.leases.shards.keys();
            full_shards.extend(shards.filter(|shard| !fits(shard)).cloned());
        }
        full_shards
    }

    /// Whether this controller may raise a team's allocations by the resources of `tasks` tasks of
    /// a job.
    fn may_raise_for(&self, team: &TeamSettings, job: &Job, tasks: u32) -> bool {
        let resources = job.spec.resources.times(f64::from(tasks));
        self.may_raise_allocations()
            && quota::covers(
                quota::unallocated(team, &self.planned_allocations(team)),
                resources,
            )
    }

    /// Whether this controller is the leader and its cache contains everything that raising an
    /// allocation depends on: all placements made before any allocation last changed. No change of
    /// an allocation may be in flight or of unknown outcome, because its effect is not known.
    pub(super) fn may_raise_allocations(&self) -> bool {
        self.leading().is_some()
            && self.quota.allocations_in_flight == 0
            && self.quota.unresolved_allocations.is_empty()
            && self.store_sync.synced
            && self.store_sync.applied >= self.store_sync.snapshot_end
            && self.store_sync.applied >= self.quota.allocations.newest_version()
            // All placements conditioned on an earlier tree are known, and no more can be applied.
            && self.quota.hierarchy.newest_head_is_active()
            && self.store_sync.applied >= self.quota.hierarchy.active_version()
            && self.membership.leases.shards.keys().all(|shard| self.knows_all_placements(shard))
    }

    /// All shards in which a team may use resources: those with an allocation record, those that are
    /// leased, and those with tasks of the team.
    pub(super) fn shards_of_team(&self, team: &TeamSettings) -> Vec<ShardId> {
        let mut shards: Vec<ShardId> = self.quota.allocations.shards.keys().cloned().collect();
        shards.extend(self.membership.leases.shards.keys().cloned());
        shards.extend(self.jobs.shards_of(&team.name).cloned());
        shards.sort();
        shards.dedup();
        shards
    }

    /// A team's allocation and usage in one shard.
    pub(super) fn current_allocation(
        &self,
        team: &TeamSettings,
        shard: &ShardId,
    ) -> ShardAllocation {
        ShardAllocation {
            allocated: self.quota.allocations.allocation(shard, &team.name),
            used: QuotaAllocation::of(self.jobs.usage_in_shard(&team.name, shard)),
            leased: self.membership.leases.shards.contains_key(shard),
        }
    }

    /// A team's allocations in all shards, raised as the reservations that are not written yet
    /// require.
    fn planned_allocations(&self, team: &TeamSettings) -> Vec<ShardAllocation> {
        let planned = |shard: ShardId| {
            let current = self.current_allocation(team, &shard);
            let reserved = self.jobs.reserved_in_shard(&team.name, &shard);
            let used = self.jobs.usage_in_shard(&team.name, &shard).minus(reserved);
            let ownership = self.ownership(&shard);
            let allocated = quota::raised_allocation(current.allocated, used, reserved, ownership);
            ShardAllocation {
                allocated,
                ..current
            }
        };
        self.shards_of_team(team).into_iter().map(planned).collect()
    }

    /// A shard is local if this controller holds it and knows all placements there.
    fn ownership(&self, shard: &ShardId) -> ShardOwnership {
        if self.membership.leases.held_token(shard, &self.me).is_some()
            && self.knows_all_placements(shard)
        {
            ShardOwnership::Local
        } else {
            ShardOwnership::Remote
        }
    }

    /// Adds to a placement's transaction the conditions and changes that the quota requires: the
    /// version of each shard's allocation record and, where the leader places beyond an allocation,
    /// the raised record. `placed` contains the number of tasks for each shard.
    ///
    /// Returns false if the allocations have changed since the tasks were reserved, so that the
    /// tasks no longer fit. The transaction must not be sent then.
    #[must_use]
    pub(in crate::controller) fn require_allocations(
        &self,
        job: &Job,
        txn: &mut Transaction,
        placed: &[(ShardId, u32)],
    ) -> bool {
        if self.limits(job).is_empty() {
            return true;
        }
        placed
            .iter()
            .all(|(shard, tasks)| self.require_allocation(job, txn, shard, *tasks))
    }

    /// [`Self::require_allocations`] for the tasks of one shard.
    fn require_allocation(
        &self,
        job: &Job,
        txn: &mut Transaction,
        shard: &ShardId,
        tasks: u32,
    ) -> bool {
        let ownership = self.ownership(shard);
        txn.require(allocation_key(shard), self.quota.allocations.version(shard));
        let mut raised_record = None;
        for team in self.limits(job) {
            // The tasks are reserved, so `used` includes them.
            let used = self.jobs.usage_in_shard(&team.name, shard);
            let allocated = self.quota.allocations.allocation(shard, &team.name);
            if ownership == ShardOwnership::Local && quota::within_allocation(used, allocated, team)
            {
                continue;
            }
            if !self.may_raise_allocations()
                || !quota::worst_case_within_limit(team, &self.planned_allocations(team))
            {
                return false;
            }
            let resources = job.spec.resources.times(f64::from(tasks));
            let used_before = used.minus(resources);
            let record = raised_record.get_or_insert_with(|| self.quota.allocations.record(shard));
            let raised = quota::raised_allocation(allocated, used_before, resources, ownership);
            record.insert(team.name.clone(), raised);
        }
        if let Some(record) = raised_record {
            txn.put(allocation_key(shard), &record);
        }
        true
    }

    /// Adds the version of the active quota tree to a transaction's conditions. The limits that
    /// the transaction was checked against are those of this tree.
    pub(in crate::controller) fn require_tree(&self, txn: &mut Transaction) {
        let version = self.quota.hierarchy.active_version();
        txn.require(quota::hierarchical::TREE_HEAD_KEY.into(), version);
    }
}
