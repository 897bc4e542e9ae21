//! Fencing off transactions of unknown outcome.
//!
//! A transaction whose response is lost may still be applied later. Until that is ruled out, the
//! resources that it uses must not be assigned to other work. Each such transaction is conditioned
//! on the version of a shard's allocation record, so rewriting that record rules it out: the
//! transaction either was applied before the rewrite, and its effect is known, or it fails.

use std::collections::BTreeMap;

use super::super::Controller;
use super::super::calls::CallPurpose;
use super::super::store_sync::PendingRead;
use super::Quota;
use crate::jobs::cache::{CommitState, TaskChange};
use crate::quota::allocation_key;
use crate::store::{CallClass, StoreResponse, Transaction};
use crate::types::{JobId, Millis, Revision, ShardId};

/// Minimum time between attempts to fence off transactions of unknown outcome. A store that does
/// not respond must not get a rewrite on every tick.
const FENCE_OFF_INTERVAL: Millis = Millis(500);

/// A reallocation of unknown outcome: it can be applied only while the allocation record of
/// `shard` still has `version`.
#[derive(Debug)]
pub(in crate::controller) struct UnresolvedAllocation {
    shard: ShardId,
    version: Revision,
}

impl Quota {
    /// Drops the reallocations that can no longer take effect because the record that they are
    /// conditioned on has changed.
    fn forget_resolved_allocations(&mut self) {
        let allocations = &self.allocations;
        self.unresolved_allocations
            .retain(|unresolved| allocations.version(&unresolved.shard) <= unresolved.version);
    }

    /// Whether some transaction of unknown outcome has to be fenced off.
    fn has_unresolved_transactions(&self) -> bool {
        !self.to_fence_off.is_empty() || !self.unresolved_allocations.is_empty()
    }

    /// Takes the jobs to fence off, and returns the shards whose allocation records have to be
    /// rewritten, each with the jobs that wait for the rewrite.
    fn take_shards_to_rewrite(&mut self) -> BTreeMap<ShardId, Vec<JobId>> {
        let mut shards: BTreeMap<ShardId, Vec<JobId>> = BTreeMap::new();
        for (job, shard) in std::mem::take(&mut self.to_fence_off) {
            shards.entry(shard).or_default().push(job);
        }
        // A write in flight changes the records as well, so these are rewritten only without one.
        if self.allocations_in_flight == 0 {
            for unresolved in &self.unresolved_allocations {
                shards.entry(unresolved.shard.clone()).or_default();
            }
        }
        shards
    }

    /// A transaction that rewrites a shard's allocation record unchanged, which gives the record a
    /// new version.
    fn rewrite_transaction(&self, shard: &ShardId) -> Transaction {
        let mut txn = Transaction::default();
        txn.require(allocation_key(shard), self.allocations.version(shard));
        txn.put(allocation_key(shard), &self.allocations.record(shard));
        txn
    }

    /// Handles the response to a reallocation that was conditioned on this version of a shard's
    /// record. After an unknown outcome nothing is reallocated or raised until the reallocation is
    /// fenced off, because the new allocations would not take it into account.
    fn on_allocated(&mut self, (shard, version): (ShardId, Revision), response: &StoreResponse) {
        self.reallocation.end(response);
        if matches!(response, StoreResponse::Unknown) {
            self.unresolved_allocations
                .push(UnresolvedAllocation { shard, version });
        }
    }
}

impl Controller {
    /// Marks a job's transaction, whose outcome is unknown, for fencing off. Returns false if there
    /// is nothing to fence off: only placements under a limit are conditioned on an allocation.
    ///
    /// `changes` are those of the transaction. The job may have other changes by now, in shards
    /// that the transaction is not conditioned on.
    pub(in crate::controller) fn mark_for_fencing_off(
        &mut self,
        id: &JobId,
        changes: &[(u32, TaskChange)],
    ) -> bool {
        let job = self.jobs.get(id);
        let limited = job.is_some_and(|job| !self.limits(job).is_empty());
        let shard = changes.iter().find_map(|(_, change)| match change {
            TaskChange::Place(placement) => Some(placement.shard.clone()),
            _ => None,
        });
        let Some(shard) = shard.filter(|_| limited) else {
            return false;
        };
        self.quota.to_fence_off.insert(id.clone(), shard);
        true
    }

    /// Handles the response to a reallocation that was conditioned on the shard and the record
    /// version in `expected_version`.
    pub(in crate::controller) fn on_allocated(
        &mut self,
        expected_version: (ShardId, Revision),
        response: StoreResponse,
    ) {
        self.quota.on_allocated(expected_version, &response);
    }

    /// Fences off the transactions of unknown outcome, at most once per [`FENCE_OFF_INTERVAL`].
    pub(in crate::controller) fn resolve_unknown_transactions(&mut self) {
        self.quota.forget_resolved_allocations();
        if !self.quota.has_unresolved_transactions()
            || self.now.since(self.quota.fenced_off_at) < FENCE_OFF_INTERVAL
        {
            return;
        }
        self.quota.fenced_off_at = self.now;
        for (shard, jobs) in self.quota.take_shards_to_rewrite() {
            let txn = self.quota.rewrite_transaction(&shard);
            let purpose = CallPurpose::FenceOff { jobs, shard };
            self.transact(CallClass::Coordination, txn, purpose);
        }
    }

    /// Handles the response to the rewrite of a shard's allocation record, which `jobs` wait for.
    /// After any response but a commit or a conflict the rewrite is repeated.
    pub(in crate::controller) fn on_fenced_off(
        &mut self,
        jobs: Vec<JobId>,
        shard: ShardId,
        response: StoreResponse,
    ) {
        for id in jobs {
            match response {
                // In both cases the record has a new version: the transaction of unknown outcome
                // was applied before the record changed, or never will be.
                StoreResponse::Committed(revision) | StoreResponse::Conflict(revision) => {
                    if let Some(job) = self.jobs.get_mut(&id) {
                        job.commit_state = CommitState::Resolving(Some(revision));
                    }
                    self.resolve_at_revision(id, revision);
                }
                _ => {
                    self.quota.to_fence_off.insert(id, shard.clone());
                }
            }
        }
    }

    /// Resolves a job's transaction of unknown outcome as soon as all events up to `revision` are
    /// applied to the cache.
    pub(in crate::controller) fn resolve_at_revision(&mut self, job: JobId, revision: Revision) {
        self.resume_at_revision(revision, self.now, PendingRead::ResolveTransaction { job });
        self.resume_ready_reads();
    }
}
