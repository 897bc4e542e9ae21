//! The stored allocations: what each team may use in each shard.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::types::{Resources, Revision, ShardId, Team};

/// Prefix of the keys of the shards' allocation records.
pub const ALLOCATION_KEY_PREFIX: &str = "jt/share/";

/// The key of a shard's allocation record.
pub fn allocation_key(shard: &ShardId) -> String {
    format!("{ALLOCATION_KEY_PREFIX}{shard}")
}

/// What a team may use in one shard. Amounts are meaningful only for resources that the team has
/// a limit on.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct QuotaAllocation {
    /// Number of CPUs.
    pub cpus: f64,
    /// Number of GPUs.
    pub gpus: f64,
}

impl QuotaAllocation {
    /// The CPUs and GPUs of `resources`; quotas do not cover memory.
    pub fn of(resources: Resources) -> Self {
        Self {
            cpus: resources.cpus,
            gpus: resources.gpus,
        }
    }

    pub(super) fn plus(self, other: QuotaAllocation) -> Self {
        Self {
            cpus: self.cpus + other.cpus,
            gpus: self.gpus + other.gpus,
        }
    }

    /// The larger amount for each kind of resource.
    pub(super) fn max(self, other: QuotaAllocation) -> Self {
        Self {
            cpus: self.cpus.max(other.cpus),
            gpus: self.gpus.max(other.gpus),
        }
    }
}

/// The content of a shard's record: the allocation of each team, and of each node of the quota
/// tree under its group name, that has a limit.
pub type AllocationRecord = BTreeMap<Team, QuotaAllocation>;

/// A shard's allocation record as it was read from the store.
#[derive(Clone, Debug, Default)]
pub struct StoredAllocations {
    /// The allocation of each team; empty if the record was deleted or is invalid.
    pub record: AllocationRecord,
    /// The version of the record, which transactions are conditioned on.
    pub version: Revision,
}

/// The allocation records of all shards, as the store has them.
#[derive(Debug, Default)]
pub struct QuotaAllocations {
    /// By shard; a shard without a record has nothing allocated.
    pub shards: BTreeMap<ShardId, StoredAllocations>,
}

impl QuotaAllocations {
    /// Applies a watch event: the new content of a shard's record, or `None` if it was deleted.
    /// Returns false if the version is not newer than the known one. An invalid record counts as
    /// empty: nothing is allocated.
    pub fn apply(&mut self, shard: ShardId, data: Option<&str>, version: Revision) -> bool {
        if self.version(&shard) >= version {
            return false;
        }
        let record = data.and_then(|text| serde_json::from_str(text).ok());
        let record = record.unwrap_or_default();
        self.shards
            .insert(shard, StoredAllocations { record, version });
        true
    }

    /// The version of a shard's record; 0 if there is none.
    pub fn version(&self, shard: &ShardId) -> Revision {
        self.shards
            .get(shard)
            .map(|stored| stored.version)
            .unwrap_or_default()
    }

    /// The allocation of a team in a shard; zero if the record does not contain the team.
    pub fn allocation(&self, shard: &ShardId, team: &Team) -> QuotaAllocation {
        let stored = self.shards.get(shard);
        let allocation = stored.and_then(|stored| stored.record.get(team));
        allocation.copied().unwrap_or_default()
    }

    /// A copy of a shard's record; empty if there is none.
    pub fn record(&self, shard: &ShardId) -> AllocationRecord {
        self.shards
            .get(shard)
            .map(|stored| stored.record.clone())
            .unwrap_or_default()
    }

    /// The highest version of any record; 0 if there are no records.
    pub fn newest_version(&self) -> Revision {
        self.shards
            .values()
            .map(|stored| stored.version)
            .max()
            .unwrap_or_default()
    }
}
