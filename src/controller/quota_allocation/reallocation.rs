//! The leader's periodic reallocation of the teams' limits among the shards.

use std::collections::BTreeMap;

use super::super::{CallPurpose, Controller};
use crate::quota::{self, AllocationRecord, ShardAllocation, allocation_key};
use crate::store::{CallClass, Transaction};
use crate::types::{Millis, Resources, Revision, ShardId};

/// Minimum time between reallocations. Every reallocation invalidates the placements in flight in
/// the shards that it changes, so reallocations must be rare compared with placements.
const REALLOCATION_INTERVAL: Millis = Millis(4_000);

impl Controller {
    /// As the leader, rewrites the allocation records whose allocations are far from their targets,
    /// at most once per [`REALLOCATION_INTERVAL`].
    pub(in crate::controller) fn reallocate_quota(&mut self) {
        if self.now.since(self.quota.allocated_at) < REALLOCATION_INTERVAL
            || !self
                .quota
                .reallocation
                .is_open(self.store_sync.applied, self.now)
            || !self.may_place()
            || !self.may_raise_allocations()
        {
            return;
        }
        let records = self.changed_allocations();
        let Some(leader_version) = self.leading() else {
            return;
        };
        let Some(first) = records.keys().next().cloned() else {
            return;
        };
        let expected_version = (first.clone(), self.quota.allocations.version(&first));
        self.quota.allocated_at = self.now;
        self.quota.reallocation.begin(self.now);
        let txn = self.allocation_transaction(leader_version, records);
        self.transact(
            CallClass::Coordination,
            txn,
            CallPurpose::AllocateQuota { expected_version },
        );
    }

    /// The allocation records that have to change, with their new content.
    fn changed_allocations(&self) -> BTreeMap<ShardId, AllocationRecord> {
        let min_useful = self.largest_machine_type();
        let mut records = BTreeMap::new();
        for team in self.quota.hierarchy.all_limits() {
            let shards = self.shards_of_team(&team);
            let current: Vec<ShardAllocation> = shards
                .iter()
                .map(|shard| self.current_allocation(&team, shard))
                .collect();
            let allocations = quota::allocate(&team, min_useful, &current);
            for (shard, allocation) in shards.into_iter().zip(allocations) {
                if allocation != self.quota.allocations.allocation(&shard, &team.name) {
                    records
                        .entry(shard.clone())
                        .or_insert_with(|| self.quota.allocations.record(&shard))
                        .insert(team.name.clone(), allocation);
                }
            }
        }
        records
    }

    /// The largest number of CPUs and of GPUs of any machine type, which may belong to different
    /// types. A smaller allocation may not be enough for a single task.
    fn largest_machine_type(&self) -> Resources {
        self.autoscaler
            .type_specs
            .iter()
            .map(|type_spec| type_spec.resources)
            .fold(Resources::default(), |largest, resources| Resources {
                cpus: largest.cpus.max(resources.cpus),
                gpus: largest.gpus.max(resources.gpus),
                memory_gb: 0.0,
            })
    }

    /// A transaction that writes as many of the records as the store accepts at once; the others
    /// follow at the next reallocation.
    fn allocation_transaction(
        &self,
        leader_version: Revision,
        records: BTreeMap<ShardId, AllocationRecord>,
    ) -> Transaction {
        let mut txn = Transaction::default();
        txn.require(crate::lease::LEADER_KEY.into(), leader_version);
        // Allocations computed from another tree might exceed the limits of the active one.
        self.require_tree(&mut txn);
        for (shard, record) in records {
            if txn.changes.len() >= self.settings.deployment.state.txn_ops {
                break;
            }
            txn.require(
                allocation_key(&shard),
                self.quota.allocations.version(&shard),
            );
            txn.put(allocation_key(&shard), &record);
        }
        txn
    }
}
