//! Shares of the teams' limits: who may place how much in a shard, and how the leader deals.

use crate::quota::QuotaAllocations;
use crate::quota::hierarchical::{HierarchicalQuota, TreeStatus};
use crate::settings::Settings;
use rustc_hash::FxHashMap as HashMap;
use std::collections::BTreeMap;

use super::store_sync::PendingRead;
use super::{CallPurpose, Controller};
use crate::jobs::cache::{Job, TaskChange, Writing};
use crate::quota::{self, QuotaAllocation, ShardAllocation, share_key};
use crate::settings::TeamSettings;
use crate::store::{CallClass, StoreResponse, Transaction};
use crate::types::{JobId, Millis, Resources, Revision, ShardId};

const ALLOCATION_INTERVAL: Millis = Millis(4_000);
const FENCE_OFF_INTERVAL: Millis = Millis(500);

/// Teams' limits: what is allocated of them to each shard, and the tree of nested quotas.
pub(super) struct Quota {
    pub(super) allocations: QuotaAllocations,
    pub(super) hierarchy: HierarchicalQuota,
    pub(super) tree_offered_at: Millis,
    pub(super) tree_status: TreeStatus,
    pub(super) tree_write_in_flight: bool,
    /// When usage beyond a lowered limit was last looked for.
    pub(super) excess_checked_at: Millis,
    /// With a tree: each team's first job that waits.
    pub(super) head_of_line_jobs: Vec<JobId>,
    /// When resources may be reclaimed for a job again.
    pub(super) reclaim_not_before: HashMap<JobId, Millis>,
    /// Transactions in flight that write allocations.
    pub(super) allocations_in_flight: u32,
    /// Allocations of unknown outcome that may still be applied: a shard of each, and the version
    /// of its record that the transaction is conditioned on.
    pub(super) unresolved_allocations: Vec<(ShardId, Revision)>,
    pub(super) allocated_at: Millis,
    pub(super) fenced_off_at: Millis,
    /// Jobs with a transaction of unknown outcome, which has to be fenced off before its resources
    /// are available again.
    pub(super) to_fence_off: HashMap<JobId, ShardId>,
}

impl Quota {
    pub(super) fn new(settings: &Settings) -> Self {
        Self {
            allocations: QuotaAllocations::default(),
            hierarchy: HierarchicalQuota::new(
                &settings.deployment.teams,
                settings.tree.as_ref(),
                settings.deployment.state.value_kb,
            ),
            tree_offered_at: Millis(0),
            tree_status: TreeStatus::None,
            tree_write_in_flight: false,
            excess_checked_at: Millis(0),
            head_of_line_jobs: Vec::new(),
            reclaim_not_before: HashMap::default(),
            allocations_in_flight: 0,
            unresolved_allocations: Vec::new(),
            allocated_at: Millis(0),
            fenced_off_at: Millis(0),
            to_fence_off: HashMap::default(),
        }
    }
}

impl Controller {
    /// Whatever caps a job's team: its own limit, and those of the nodes above it in the tree.
    pub(super) fn limits(&self, job: &Job) -> &[TeamSettings] {
        self.quota.hierarchy.limits(&job.spec.team)
    }

    /// Whether the cache shows all that was placed in a shard before we came to hold it.
    pub(super) fn complete(&self, shard: &ShardId) -> bool {
        let token = self
            .membership
            .leases
            .shards
            .get(shard)
            .map_or(0, |(_, t)| t.0);
        self.store_sync.applied.0 >= token
    }

    /// The shards in which the next task of a job would exceed the share of its team, or of a node
    /// above it. With `raise`,
    /// the leader adds to a share what it places, as long as the limit has room for `tasks`.
    pub(super) fn full_shards(&self, job: &Job, raise: Option<u32>) -> Vec<ShardId> {
        let mut full: Vec<ShardId> = Vec::new();
        for team in self.limits(job) {
            let raises = raise.is_some_and(|tasks| {
                let resources = job.spec.resources.times(f64::from(tasks));
                self.may_raise()
                    && quota::covers(
                        quota::unallocated(team, &self.planned_allocations(team)),
                        resources,
                    )
            });
            if raises {
                continue;
            }
            let fits = |shard: &ShardId| {
                let used = self
                    .jobs
                    .used_in(&team.name, shard)
                    .plus(job.spec.resources);
                let share = self.quota.allocations.share(shard, &team.name);
                // What is placed in another's shard has to be added to its share.
                let ours = self.membership.leases.holds(shard, &self.me).is_some();
                let keeps = (ours || raise.is_none()) && self.complete(shard);
                keeps && quota::within_share(used, share, team)
            };
            let shards = self.membership.leases.shards.keys();
            full.extend(shards.filter(|shard| !fits(shard)).cloned());
        }
        full
    }

    /// Whether the leader knows all that shares rest on: everything placed before any share last
    /// changed, and no change of a share is under way.
    fn may_raise(&self) -> bool {
        self.leading().is_some()
            && self.quota.allocations_in_flight == 0
            && self.quota.unresolved_allocations.is_empty()
            && self.store_sync.synced
            && self.store_sync.applied >= self.store_sync.snapshot_end
            && self.store_sync.applied >= self.quota.allocations.newest()
            // Whatever was placed by an earlier tree is known, and nothing can be any more.
            && self.quota.hierarchy.settled()
            && self.store_sync.applied >= self.quota.hierarchy.version()
            && self.membership.leases.shards.keys().all(|shard| self.complete(shard))
    }

    fn all_shards(&self, team: &TeamSettings) -> Vec<ShardId> {
        let mut shards: Vec<ShardId> = self.quota.allocations.shards.keys().cloned().collect();
        shards.extend(self.membership.leases.shards.keys().cloned());
        shards.extend(self.jobs.shards_of(&team.name).cloned());
        shards.sort();
        shards.dedup();
        shards
    }

    fn shard_allocations(&self, team: &TeamSettings) -> Vec<ShardAllocation> {
        let dealt = |shard: ShardId| ShardAllocation {
            share: self.quota.allocations.share(&shard, &team.name),
            used: QuotaAllocation::of(self.jobs.used_in(&team.name, &shard)),
            live: self.membership.leases.shards.contains_key(&shard),
        };
        self.all_shards(team).into_iter().map(dealt).collect()
    }

    /// The same with the shares as they will be raised for what is reserved in others' shards.
    fn planned_allocations(&self, team: &TeamSettings) -> Vec<ShardAllocation> {
        let raised = |shard: ShardId, dealt: ShardAllocation| {
            let resources = self.jobs.reserved_in(&team.name, &shard);
            let used = self.jobs.used_in(&team.name, &shard).minus(resources);
            let own = self.own(&shard);
            let share = quota::raised(dealt.share, used, resources, own);
            ShardAllocation { share, ..dealt }
        };
        let shards = self.all_shards(team).into_iter();
        let dealt = shards.zip(self.shard_allocations(team));
        dealt.map(|(shard, dealt)| raised(shard, dealt)).collect()
    }

    /// Whether we hold a shard and know all that is placed there.
    fn own(&self, shard: &ShardId) -> bool {
        self.membership.leases.holds(shard, &self.me).is_some() && self.complete(shard)
    }

    /// The leader deals the teams' limits out anew where shares are far off.
    pub(super) fn reallocate_quota(&mut self) {
        if self.now.since(self.quota.allocated_at) < ALLOCATION_INTERVAL
            || !self.may_place()
            || !self.may_raise()
        {
            return;
        }
        let least = self.autoscaler.type_specs.iter().map(|f| f.resources).fold(
            Resources::default(),
            |least, resources| Resources {
                cpus: least.cpus.max(resources.cpus),
                gpus: least.gpus.max(resources.gpus),
                memory_gb: 0.0,
            },
        );
        let mut records = BTreeMap::new();
        for team in self.quota.hierarchy.limited() {
            let shards = self.all_shards(&team);
            let shares = quota::allocate(&team, least, &self.shard_allocations(&team));
            for (shard, share) in shards.into_iter().zip(shares) {
                if share != self.quota.allocations.share(&shard, &team.name) {
                    records
                        .entry(shard.clone())
                        .or_insert_with(|| self.quota.allocations.record(&shard))
                        .insert(team.name.clone(), share);
                }
            }
        }
        let Some(lead) = self.leading().filter(|_| !records.is_empty()) else {
            return;
        };
        let Some(first) = records.keys().next().cloned() else {
            return;
        };
        let rests_on = (first.clone(), self.quota.allocations.version(&first));
        self.quota.allocated_at = self.now;
        let mut txn = Transaction::default();
        txn.require(crate::lease::LEADER.into(), lead);
        // Dealt by another tree, the shares might exceed the limits of the one in force.
        self.require_tree(&mut txn);
        for (shard, record) in records {
            if txn.changes.len() >= self.settings.deployment.state.txn_ops {
                break;
            }
            txn.require(share_key(&shard), self.quota.allocations.version(&shard));
            txn.put(share_key(&shard), &record);
        }
        self.transact(CallClass::Duties, txn, CallPurpose::Deal { rests_on });
    }

    /// Adds to a placement's transaction what it rests on: the share of each shard. Where the
    /// leader places beyond a share, the share rises by as much. False: the shares have changed
    /// since the tasks were reserved, and have no room for them.
    pub(super) fn require_shares(
        &self,
        job: &Job,
        txn: &mut Transaction,
        placed: &[(ShardId, u32)],
    ) -> bool {
        let limits = self.limits(job);
        if limits.is_empty() {
            return true;
        }
        for (shard, tasks) in placed {
            let own = self.own(shard);
            txn.require(share_key(shard), self.quota.allocations.version(shard));
            let mut record = None;
            for team in limits {
                // What is reserved counts as used already.
                let used = self.jobs.used_in(&team.name, shard);
                let share = self.quota.allocations.share(shard, &team.name);
                if own && quota::within_share(used, share, team) {
                    continue;
                }
                if !self.may_raise() || !quota::keeps_limit(team, &self.planned_allocations(team)) {
                    return false;
                }
                let resources = job.spec.resources.times(f64::from(*tasks));
                let record = record.get_or_insert_with(|| self.quota.allocations.record(shard));
                let raised = quota::raised(share, used.minus(resources), resources, own);
                record.insert(team.name.clone(), raised);
            }
            if let Some(record) = record {
                txn.put(share_key(shard), &record);
            }
        }
        true
    }

    /// A transaction that placed tasks went unanswered and may be applied late. Its room is not
    /// free before a change of the share that it rests on rules that out.
    /// `changes` are those of the transaction: others of the job may have been noted since, in shards
    /// that it does not rest on.
    pub(super) fn fence_off_later(&mut self, id: &JobId, changes: &[(u32, TaskChange)]) -> bool {
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

    /// A deal went unanswered and may be carried out late, after others that were reckoned without
    /// it. Nothing is dealt or raised before a change of a share that it rests on rules that out.
    pub(super) fn on_allocated(&mut self, rests_on: (ShardId, Revision), answer: StoreResponse) {
        if matches!(answer, StoreResponse::Unknown) {
            self.quota.unresolved_allocations.push(rests_on);
        }
    }

    fn forget_resolved_allocations(&mut self) {
        let shares = &self.quota.allocations;
        self.quota
            .unresolved_allocations
            .retain(|(shard, version)| shares.version(shard) <= *version);
    }

    pub(super) fn resolve_unknown_transactions(&mut self) {
        self.forget_resolved_allocations();
        let none =
            self.quota.to_fence_off.is_empty() && self.quota.unresolved_allocations.is_empty();
        if none || self.now.since(self.quota.fenced_off_at) < FENCE_OFF_INTERVAL {
            return;
        }
        self.quota.fenced_off_at = self.now;
        let mut shards: BTreeMap<ShardId, Vec<JobId>> = BTreeMap::new();
        for (job, shard) in std::mem::take(&mut self.quota.to_fence_off) {
            shards.entry(shard).or_default().push(job);
        }
        if self.quota.allocations_in_flight == 0 {
            for (shard, _) in &self.quota.unresolved_allocations {
                shards.entry(shard.clone()).or_default();
            }
        }
        for (shard, jobs) in shards {
            let mut txn = Transaction::default();
            let record = self.quota.allocations.record(&shard);
            txn.require(share_key(&shard), self.quota.allocations.version(&shard));
            txn.put(share_key(&shard), &record);
            self.transact(
                CallClass::Duties,
                txn,
                CallPurpose::FenceOff { jobs, shard },
            );
        }
    }

    pub(super) fn on_fenced_off(
        &mut self,
        jobs: Vec<JobId>,
        shard: ShardId,
        answer: StoreResponse,
    ) {
        for id in jobs {
            match answer {
                // Either way the share has changed: the transaction was applied before that, or
                // never will be.
                StoreResponse::Committed(revision) | StoreResponse::Conflict(revision) => {
                    if let Some(job) = self.jobs.get_mut(&id) {
                        job.writing = Writing::Settling(Some(revision));
                    }
                    self.settle_at(id, revision);
                }
                _ => {
                    self.quota.to_fence_off.insert(id, shard.clone());
                }
            }
        }
    }

    pub(super) fn settle_at(&mut self, job: JobId, revision: Revision) {
        self.once_applied(revision, self.now, PendingRead::Settle { job });
        self.proved();
    }
}

#[cfg(test)]
mod tests;
