//! This controller's lease, leadership, the shards, and the watch that feeds the cache.

use crate::lease::Leases;
use rustc_hash::{FxHashMap as HashMap, FxHashSet as HashSet};
use std::collections::BTreeSet;

use super::candidates::Candidates;
use super::scheduler::new_queue;
use super::store_sync::PendingRead;
use super::{CallPurpose, Controller};
use crate::admission::shared::PLAN;
use crate::fleet::MACHINE_TYPES_KEY;
use crate::jobs::cache::{JobCache, RecordChange, Writing};
use crate::lease::{
    self, ControllerRecord, LEADER, LeaderRecord, LeaseChange, OwnLease, ShardRecord,
};
use crate::queue;
use crate::quota;
use crate::store::{CallClass, StoreCall, StoreResponse, Transaction, Update};
use crate::types::{FencingToken, JobId, MachineId, Millis, Revision, ShardId};

/// A watch waits this long for changes.
const WATCH_MS: u64 = 10_000;
/// Of the state service's requests, the part that all watches together may take. Changes that
/// come closer together are brought by one watch.
const WATCHES: f64 = 0.3;
/// A busy watch proves that the cache is new, several times a second. Whoever waited longer than
/// this for it asks for the revision.
const WATCH_PROVES: Millis = Millis(250);
const RETRY: Millis = Millis(300);
/// A proof tells a user how things were when they asked. For longer than a poll waits for its answer
/// it tells nothing: others may have told them what is newer meanwhile.
const PROOF_HOLDS: Millis = Millis(2_000);

/// What this controller knows of the leases: its own, the leader's and the shards'.
#[derive(Debug, Default)]
pub(super) struct Membership {
    pub(super) leases: Leases,
    /// The lease of the process that had our label before is over.
    pub(super) old_lease_ended: bool,
    /// Steps of membership whose call to the store is in flight.
    pub(super) in_flight: HashSet<&'static str>,
    pub(super) leading_since: Millis,
    /// When each shard last changed hands, as far as we saw.
    pub(super) shard_moved_at: HashMap<ShardId, Millis>,
}

impl Controller {
    pub(super) fn renew_membership(&mut self) {
        if !self.store_sync.synced {
            if !self.store_sync.list_open && self.now >= self.store_sync.watch_not_before {
                self.store_sync.list_open = true;
                self.store_sync.snapshot_start = None;
                self.call_store(
                    CallClass::Leases,
                    StoreCall::List { after: None },
                    CallPurpose::List,
                );
            }
            return;
        }
        if !self.membership.old_lease_ended {
            // Our record from before a restart: the process that held its lease is no more, so
            // the lease can end now. Its tokens are not used again: a command of the old process
            // may still be on its way.
            match self
                .membership
                .leases
                .controllers
                .get(&self.me)
                .map(|(record, _)| record.lease_id)
            {
                Some(lease_id) if self.membership.in_flight.insert("end") => {
                    self.call_store(
                        CallClass::Leases,
                        StoreCall::End(lease_id),
                        CallPurpose::EndOld,
                    );
                }
                Some(_) => {}
                None => self.membership.old_lease_ended = true,
            }
            return;
        }
        match self.membership.leases.own {
            OwnLease::None => {
                self.membership.leases.own = OwnLease::Asked;
                let life_ms = self.settings.operator.lease.0;
                let purpose = CallPurpose::Grant { sent: self.now };
                self.call_store(CallClass::Leases, StoreCall::Grant { life_ms }, purpose);
            }
            OwnLease::Asked => {}
            OwnLease::Held { lease_id, .. } => {
                let due =
                    self.membership.leases.renewed + Millis(self.settings.operator.lease.0 / 4);
                if self.now >= due && self.membership.in_flight.insert("renew") {
                    let purpose = CallPurpose::Renew { sent: self.now };
                    self.call_store(CallClass::Leases, StoreCall::Renew(lease_id), purpose);
                }
                let registered = self
                    .membership
                    .leases
                    .controllers
                    .get(&self.me)
                    .is_some_and(|(r, _)| {
                        r.lease_id == lease_id
                            && r.receives_heartbeats == self.contact.receives_heartbeats
                    });
                if registered {
                    self.maintain_leadership();
                } else {
                    self.register();
                }
            }
        }
    }

    fn register(&mut self) {
        let Some(lease_id) = self.membership.leases.lease_id() else {
            return;
        };
        if !self.membership.in_flight.insert("register") {
            return;
        }
        let key = lease::controller_key(&self.me);
        let version = self
            .membership
            .leases
            .controllers
            .get(&self.me)
            .map_or(Revision(0), |(_, v)| *v);
        let record = ControllerRecord {
            lease_id,
            zone: self.settings.zone.clone(),
            receives_heartbeats: self.contact.receives_heartbeats,
        };
        let mut txn = Transaction::default();
        txn.require(key.clone(), version);
        txn.put_leased(key, &record, lease_id);
        self.transact(CallClass::Leases, txn, CallPurpose::Register);
    }

    fn maintain_leadership(&mut self) {
        let Some(lease_id) = self.membership.leases.lease_id() else {
            return;
        };
        if self.membership.leases.leader.is_none() && self.membership.in_flight.insert("lead") {
            let record = LeaderRecord {
                leader: self.me.clone(),
                lease_id,
            };
            let mut txn = Transaction::default();
            txn.require(LEADER.into(), Revision(0));
            txn.put_leased(LEADER.into(), &record, lease_id);
            self.transact(CallClass::Leases, txn, CallPurpose::Lead);
        }
        if let Some(version) = self.leading() {
            self.assign_shards(version);
        }
    }

    fn assign_shards(&mut self, lead: Revision) {
        if self.membership.in_flight.contains("assign") {
            return;
        }
        let zones = &self.settings.deployment.zones;
        let parts = self.settings.operator.blocks_per_zone;
        let mut txn = Transaction::default();
        txn.require(LEADER.into(), lead);
        for (shard, controller) in
            lease::rightful(zones, parts, &self.membership.leases.controllers)
        {
            let present = self.membership.leases.shards.get(&shard);
            if present.is_some_and(|(holder, _)| *holder == controller) {
                continue;
            }
            if txn.changes.len() >= self.settings.deployment.state.txn_ops {
                break;
            }
            let Some((record, version)) = self.membership.leases.controllers.get(&controller)
            else {
                continue;
            };
            let known = present.map_or(Revision(0), |(_, token)| Revision(token.0));
            let key = lease::shard_key(&shard);
            txn.require(key.clone(), known);
            txn.require(lease::controller_key(&controller), *version);
            let lease_id = record.lease_id;
            let holder = controller;
            txn.put_leased(key, &ShardRecord { holder, lease_id }, lease_id);
        }
        if !txn.changes.is_empty() {
            self.membership.in_flight.insert("assign");
            self.transact(CallClass::Leases, txn, CallPurpose::Assign);
        }
    }

    pub(super) fn on_membership(&mut self, purpose: CallPurpose, answer: StoreResponse) {
        match purpose {
            CallPurpose::Grant { sent } => {
                self.membership.leases.own = match answer {
                    StoreResponse::Granted(lease_id) => {
                        self.membership.leases.renewed = sent;
                        let until = sent + self.settings.operator.lease;
                        OwnLease::Held { lease_id, until }
                    }
                    _ => OwnLease::None,
                };
            }
            CallPurpose::Renew { sent } => {
                self.membership.in_flight.remove("renew");
                match (answer, self.membership.leases.own) {
                    (StoreResponse::Renewed, OwnLease::Held { lease_id, .. }) => {
                        self.membership.leases.renewed = sent;
                        let until = sent + self.settings.operator.lease;
                        self.membership.leases.own = OwnLease::Held { lease_id, until };
                    }
                    (StoreResponse::NoLease, _) => {
                        tracing::info!("lease expired");
                        self.membership.leases.lose(&self.me);
                    }
                    // Perhaps an outage: the lease may well be there when it ends.
                    _ => self.membership.leases.renewed = self.now.max(RETRY) - RETRY,
                }
            }
            CallPurpose::EndOld => {
                self.membership.in_flight.remove("end");
                if matches!(answer, StoreResponse::Ended) {
                    self.membership.old_lease_ended = true;
                }
            }
            CallPurpose::Register => {
                self.membership.in_flight.remove("register");
                if matches!(answer, StoreResponse::NoLease) {
                    self.membership.leases.lose(&self.me);
                }
            }
            CallPurpose::Lead => {
                self.membership.in_flight.remove("lead");
                if matches!(answer, StoreResponse::NoLease) {
                    self.membership.leases.lose(&self.me);
                }
            }
            _ => {
                self.membership.in_flight.remove("assign");
            }
        }
    }

    /// Whether this controller may place tasks in its shards now.
    pub(super) fn may_place(&self) -> bool {
        let stop_before = self.settings.operator.stop_before;
        match self.membership.leases.own {
            OwnLease::Held { until, .. } => {
                // A list of several pages is no picture of one moment: quotas are known only
                // once the watch has passed its last page.
                let complete = self.store_sync.synced
                    && self.store_sync.applied >= self.store_sync.snapshot_end;
                complete && self.now + stop_before < until
            }
            _ => false,
        }
    }

    pub(super) fn on_list(&mut self, answer: StoreResponse) {
        match answer {
            StoreResponse::Page {
                entries,
                more,
                revision,
            } => {
                // Later pages may show newer records; the watch starts at the first page's
                // revision and brings what changed meanwhile, newest last.
                let start = *self.store_sync.snapshot_start.get_or_insert(revision);
                self.store_sync.snapshot_end = revision;
                let last = entries.last().map(|entry| entry.key.clone());
                for entry in entries {
                    self.apply(&entry.key, Some(entry.data.get()), entry.version);
                }
                if more && last.is_some() {
                    let call = StoreCall::List { after: last };
                    self.call_store(CallClass::Leases, call, CallPurpose::List);
                } else {
                    self.store_sync.list_open = false;
                    self.store_sync.synced = true;
                    self.store_sync.applied = self.store_sync.applied.max(start);
                    tracing::info!(revision = start.0, "cache synchronized");
                    self.autoscaler.arrivals_until = self.now;
                    self.autoscaler.arrivals_since = self.now;
                    self.autoscaler.arrivals.clear();
                    self.reconsider_all();
                    self.renew_membership();
                    self.poll_watch();
                }
            }
            _ => {
                self.store_sync.list_open = false;
                self.store_sync.watch_not_before = self.now + RETRY;
            }
        }
    }

    pub(super) fn poll_watch(&mut self) {
        if self.store_sync.synced
            && !self.store_sync.watch_open
            && self.now >= self.store_sync.watch_not_before
        {
            self.store_sync.watch_open = true;
            // Its answer shows all that was there when it was asked.
            let asked = std::mem::take(&mut self.store_sync.read_barrier.next);
            self.store_sync.read_barrier.watched.extend(asked);
            let call = StoreCall::Watch {
                from: self.store_sync.applied,
                wait_ms: WATCH_MS,
            };
            self.call_store(CallClass::Leases, call, CallPurpose::Watch);
        }
    }

    pub(super) fn on_watch(&mut self, answer: StoreResponse) {
        self.store_sync.watch_open = false;
        match answer {
            StoreResponse::Updates { updates, revision } => {
                let busy = !updates.is_empty();
                for update in updates {
                    match update {
                        Update::Put(entry) => {
                            self.apply(&entry.key, Some(entry.data.get()), entry.version);
                        }
                        Update::Dropped { key, version } => self.apply(&key, None, version),
                    }
                }
                self.store_sync.applied = self.store_sync.applied.max(revision);
                self.store_sync.watch_not_before = if busy {
                    self.now + self.watch_pause()
                } else {
                    self.now
                };
                for (asked, after) in std::mem::take(&mut self.store_sync.read_barrier.watched) {
                    self.once_applied(revision, asked, after);
                }
                self.proved();
                self.renew_membership();
                self.poll_watch();
            }
            StoreResponse::TooOld => {
                tracing::info!("watch compacted, resyncing");
                self.resync();
            }
            _ => self.store_sync.watch_not_before = self.now + RETRY,
        }
    }

    /// Between two busy watches.
    fn watch_pause(&self) -> Millis {
        let rate = self.settings.deployment.state.rps * WATCHES;
        let count = self.settings.controllers() as f64;
        Millis::from_secs((count / rate).min(1.0))
    }

    /// Forgets all records, to read them again.
    fn resync(&mut self) {
        self.store_sync.synced = false;
        self.store_sync.list_open = false;
        // What is reserved is forgotten too, so what is under way must come to nothing: with the
        // lease go the shards' tokens that it rests on.
        self.membership.old_lease_ended = false;
        self.membership.leases.lose(&self.me);
        self.jobs = JobCache::default();
        self.scheduler.candidates = Candidates::default();
        self.membership.leases.controllers.clear();
        self.membership.leases.shards.clear();
        self.membership.leases.leader = None;
        self.quota.allocations = quota::QuotaAllocations::default();
        self.quota.hierarchy.resync();
        self.jobs.regroup(self.quota.hierarchy.groups());
        self.scheduler.forwarded.clear();
        self.scheduler.stops.clear();
        self.scheduler.queue = new_queue(&self.settings.operator);
        self.store_sync.watch_not_before = self.now;
    }

    pub(super) fn apply(&mut self, key: &str, data: Option<&str>, version: Revision) {
        if let Some(shard) = key.strip_prefix(quota::SHARES) {
            if let Some(shard) = ShardId::parse(shard)
                && self.quota.allocations.apply(shard, data, version)
            {
                self.wake(queue::ClusterEvent::QuotaReallocated);
            }
            return;
        }
        if key.starts_with(quota::hierarchical::HEAD) {
            return self.apply_tree(key, data, version);
        }
        if key == PLAN {
            return self.commits.admission.apply(data, version);
        }
        if key == MACHINE_TYPES_KEY {
            self.autoscaler.stored_type_specs = data
                .and_then(|d| serde_json::from_str(d).ok())
                .unwrap_or_default();
            if self.autoscaler.type_specs.is_empty() {
                self.autoscaler
                    .type_specs
                    .clone_from(&self.autoscaler.stored_type_specs);
            }
            return;
        }
        if let Some(moved) = self.membership.leases.apply(&self.me, key, data, version) {
            self.on_moved(moved);
            return;
        }
        let touched = self.jobs.apply(key, data, version, self.now);
        self.on_touched(touched);
    }

    fn on_moved(&mut self, moved: LeaseChange) {
        match moved {
            LeaseChange::Leader => {
                if let Some(version) = self.leading() {
                    tracing::info!(revision = version.0, "leadership acquired");
                    self.membership.leading_since = self.now;
                    self.start_leading();
                } else if let Some(leader) = self.leader() {
                    tracing::info!(%leader, "leader elected");
                }
                self.scheduler.forwarded.clear();
                // Whoever waited for the old leader tries again.
                self.scheduler.queue.wake(self.now, |_, _| true);
                if self.store_sync.synced {
                    self.reconsider_all();
                }
            }
            LeaseChange::Controller(_) => {
                if self.store_sync.synced && self.leading().is_some() {
                    self.reconsider_all();
                }
            }
            LeaseChange::Shard(shard) => {
                self.membership
                    .shard_moved_at
                    .insert(shard.clone(), self.now);
                let holder = self.membership.leases.shards.get(&shard);
                if let Some((_, token)) = holder.filter(|(holder, _)| *holder == self.me) {
                    tracing::info!(%shard, token = token.0, "shard acquired");
                }
            }
        }
    }

    fn on_touched(&mut self, touched: RecordChange) {
        let Some(id) = touched.job else { return };
        self.drop_overtaken(&id);
        self.placed_elsewhere(&id, &touched.allocated);
        if self.store_sync.synced {
            self.consider(&id);
            if self.scheduler.forwarded_early.remove(&id).is_some() {
                self.accept_forwarded(&id);
            }
        }
        if let Some(job) = self.jobs.get(&id) {
            for machine_id in &touched.allocated {
                if let Some(machine) = self.machines.get_mut(machine_id) {
                    machine.expect_image(&job.spec.image, job.spec.image_gb, self.now);
                }
            }
        }
        let unwanted: BTreeSet<MachineId> = self
            .jobs
            .get(&id)
            .filter(|job| !job.active())
            .map(|job| {
                job.placements()
                    .map(|(_, p)| p.machine_id.clone())
                    .collect()
            })
            .unwrap_or_default();
        for machine_id in unwanted {
            self.push_commands(&machine_id);
        }
        // What another controller placed on machines of ours: a gang over several holders.
        let foreign = self
            .jobs
            .get(&id)
            .is_some_and(|job| job.writing == Writing::Idle);
        if foreign {
            for machine_id in touched.allocated {
                self.push_commands(&machine_id);
            }
        }
        if !touched.freed.is_empty() {
            self.wake(queue::ClusterEvent::TaskLeft(id));
            if let Some(team) = touched.team {
                self.wake(queue::ClusterEvent::TeamFreed(team));
            }
        }
        for machine_id in touched.freed {
            self.wake(queue::ClusterEvent::Freed(machine_id));
        }
    }

    /// Queues every job that this controller has to see to.
    pub(super) fn reconsider_all(&mut self) {
        let ids: Vec<JobId> = self.jobs.iter().map(|job| job.id.clone()).collect();
        for id in ids {
            self.consider(&id);
        }
    }

    /// Asks for a proof that the cache is as new as this moment: the next watch brings it, or a
    /// read of the revision if nothing changes.
    pub(super) fn once_fresh(&mut self, after: PendingRead) {
        self.store_sync.read_barrier.next.push((self.now, after));
        self.poll_watch();
        self.read_revision();
    }

    pub(super) fn read_revision(&mut self) {
        let read_barrier = &mut self.store_sync.read_barrier;
        let oldest = read_barrier.watched.first().or(read_barrier.next.first());
        let due = oldest.is_some_and(|(asked, _)| self.now.since(*asked) >= WATCH_PROVES);
        if read_barrier.reading || !due {
            return;
        }
        read_barrier.reading = true;
        read_barrier.current = std::mem::take(&mut read_barrier.watched);
        read_barrier.current.append(&mut read_barrier.next);
        self.call_store(
            CallClass::Proofs,
            StoreCall::ReadRevision,
            CallPurpose::Revision,
        );
    }

    pub(super) fn on_revision(&mut self, answer: StoreResponse) {
        self.store_sync.read_barrier.reading = false;
        let asked = std::mem::take(&mut self.store_sync.read_barrier.current);
        match answer {
            StoreResponse::Revision(revision) => {
                for (asked, after) in asked {
                    self.once_applied(revision, asked, after);
                }
                self.proved();
            }
            _ => {
                for (_, after) in asked {
                    self.not_proved(after);
                }
            }
        }
        self.read_revision();
    }

    /// Goes on with all that the cache is new enough for.
    pub(super) fn proved(&mut self) {
        if !self.store_sync.synced {
            return;
        }
        let applied = self.store_sync.applied;
        let waiting = std::mem::take(&mut self.store_sync.read_barrier.waiting);
        let (ready, waiting) = waiting
            .into_iter()
            .partition(|(needed, ..)| *needed <= applied);
        self.store_sync.read_barrier.waiting = waiting;
        for (_, asked, after) in ready {
            if self.came_too_late(asked, &after) {
                self.not_proved(after);
            } else {
                self.go_on(after);
            }
        }
    }

    /// Goes on once the cache is this new.
    pub(super) fn once_applied(&mut self, revision: Revision, asked: Millis, after: PendingRead) {
        self.store_sync
            .read_barrier
            .waiting
            .push((revision, asked, after));
    }

    /// Whether a user's question was asked so long ago that its proof tells of the past.
    fn came_too_late(&self, asked: Millis, after: &PendingRead) -> bool {
        let of_user = matches!(
            after,
            PendingRead::State { .. } | PendingRead::Refuse { .. } | PendingRead::Abort { .. }
        );
        of_user && self.now.since(asked) > PROOF_HOLDS
    }

    /// What a user asked was proved to be known at a revision that the cache has not reached since.
    pub(super) fn expire_pending_reads(&mut self) {
        let waiting = std::mem::take(&mut self.store_sync.read_barrier.waiting);
        for (revision, asked, after) in waiting {
            if self.came_too_late(asked, &after) {
                self.not_proved(after);
            } else {
                self.once_applied(revision, asked, after);
            }
        }
    }

    /// Whether nobody else reaches the state service either, as far as they say.
    pub(super) fn outage_is_common(&self) -> bool {
        let alone = self.without_store();
        self.settings.members.iter().all(|member| {
            self.peers.statuses.get(&member.label).is_some_and(|peer| {
                let age = self.now.since(peer.heard);
                age.0 <= 3_000 && peer.without_store.0 + age.0 + 2_500 >= alone.0
            })
        })
    }

    pub(super) fn ready(&self) -> bool {
        let lost = self.without_store().0 > 3_500;
        self.store_sync.synced
            && !self.autoscaler.type_specs.is_empty()
            && (!lost || self.outage_is_common())
    }

    /// Whether reports may be answered. A controller that lost the state service goes on: nothing
    /// is told of its machines' tasks before it is seen, and whoever holds its shards now shows
    /// the machines a higher token.
    pub(super) fn may_answer(&self) -> bool {
        let keep = self.settings.operator.keep;
        self.without_store() < keep || self.outage_is_common()
    }

    /// The token under which a machine's worker is answered.
    pub(super) fn token_for(&self, shard: &crate::types::ShardId) -> Option<FencingToken> {
        self.membership.leases.holds(shard, &self.me)
    }
}

#[cfg(test)]
mod tests;
