//! This controller's lease in the key-value store, its controller record, and the leadership.
//!
//! [`Membership`] owns this controller's view of all leases. Each tick, and each answer of the
//! store, takes the next step that is missing: end the lease of the previous process, obtain a
//! lease, register, take the leadership if it is vacant, and, as the leader, assign the shards.

mod shard_assignment;
mod token_raise;

use rustc_hash::FxHashMap as HashMap;

use super::{CallPurpose, Controller};
use crate::lease::{
    self, ControllerRecord, LEADER_KEY, LeaderRecord, LeaseChange, Leases, OwnLease, Tenure,
};
use crate::store::{CallClass, StoreCall, StoreResponse, Transaction, WriteGate};
use crate::types::{ControllerId, FencingToken, LeaseId, Millis, Revision, ShardId};

/// A lease is renewed this many times per lease duration, so that some renewals may fail.
const RENEWALS_PER_LEASE: u64 = 4;
/// After a failed renewal, the next is due this much earlier than a whole renewal interval later.
const FAILED_RENEWAL_ADVANCE: Millis = Millis(300);

/// The leases as this controller knows them: its own, the leader's and the shards'.
#[derive(Debug, Default)]
pub(super) struct Membership {
    /// The records of controllers, the leader and the shards.
    pub(super) leases: Leases,
    /// Whether the lease of the previous process with this controller's label has ended.
    pub(super) old_lease_ended: bool,
    /// When this controller last became the leader.
    pub(super) leading_since: Millis,
    /// When each shard last changed its holder, as observed by this controller.
    pub(super) shard_moved_at: HashMap<ShardId, Millis>,
    /// When each step may be taken again, if not now.
    steps: HashMap<MembershipStep, WriteGate>,
}

/// A step of membership that is one call to the store; at most one call of each is in flight, and one that was
/// refused is repeated only when the cache shows why.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum MembershipStep {
    /// Ends the lease of the previous process with this controller's label.
    EndOldLease,
    /// Renews this controller's lease.
    Renew,
    /// Writes this controller's record.
    Register,
    /// Takes the leadership.
    Lead,
    /// Assigns shards to controllers, as the leader.
    AssignShards,
    /// Raises the token of a shard that this controller holds.
    RaiseToken,
}

impl Membership {
    /// Whether a step may be taken now by a controller whose cache has reached revision `applied`.
    fn may_begin(&self, step: MembershipStep, applied: Revision, now: Millis) -> bool {
        let gate = self.steps.get(&step);
        gate.is_none_or(|gate| gate.is_open(applied, now))
    }

    /// Marks a step as in flight. Returns false if it must not be taken yet.
    fn begin(&mut self, step: MembershipStep, applied: Revision, now: Millis) -> bool {
        let may_begin = self.may_begin(step, applied, now);
        if may_begin {
            self.steps.entry(step).or_default().begin(now);
        }
        may_begin
    }

    /// Marks a step as answered.
    fn finish(&mut self, step: MembershipStep, response: &StoreResponse) {
        self.steps.entry(step).or_default().end(response);
    }

    /// Records this controller's lease, which is valid until `duration` after the call that granted
    /// or renewed it was sent.
    fn record_lease(&mut self, lease_id: LeaseId, sent_at: Millis, duration: Millis) {
        self.leases.renewal_base = sent_at;
        let expires_at = sent_at + duration;
        self.leases.own = OwnLease::Held {
            lease_id,
            expires_at,
        };
    }
}

impl Controller {
    /// Takes the next step towards being a registered controller with a lease, or maintains that
    /// state.
    pub(super) fn renew_membership(&mut self) {
        if !self.store_sync.synced {
            return self.continue_snapshot_read();
        }
        if !self.membership.old_lease_ended {
            return self.end_old_lease();
        }
        match self.membership.leases.own {
            OwnLease::None => self.request_lease(),
            OwnLease::Requested => {}
            OwnLease::Held { lease_id, .. } => {
                self.renew_lease(lease_id);
                if self.is_registered(lease_id) {
                    self.maintain_leadership();
                } else {
                    self.register(lease_id);
                }
            }
        }
    }

    /// Ends the lease under which this controller's record was written before a restart: the
    /// process that held it has ended. The fencing tokens of that lease are not used again, since
    /// commands under them may still be in flight.
    fn end_old_lease(&mut self) {
        let record = self.membership.leases.controllers.get(&self.me);
        let Some(lease_id) = record.map(|(record, _)| record.lease_id) else {
            self.membership.old_lease_ended = true;
            return;
        };
        if self.begin_step(MembershipStep::EndOldLease) {
            let call = StoreCall::Revoke(lease_id);
            self.call_store(CallClass::Leases, call, CallPurpose::EndOldLease);
        }
    }

    /// Whether a step of membership may be taken now.
    fn may_begin_step(&self, step: MembershipStep) -> bool {
        let applied = self.store_sync.applied;
        self.membership.may_begin(step, applied, self.now)
    }

    /// Marks a step of membership as in flight. Returns false if it must not be taken yet.
    fn begin_step(&mut self, step: MembershipStep) -> bool {
        let applied = self.store_sync.applied;
        self.membership.begin(step, applied, self.now)
    }

    fn request_lease(&mut self) {
        self.membership.leases.own = OwnLease::Requested;
        let ttl_ms = self.settings.operator.lease.0;
        let purpose = CallPurpose::GrantLease { sent_at: self.now };
        self.call_store(CallClass::Leases, StoreCall::Grant { ttl_ms }, purpose);
    }

    /// Renews this controller's lease if a renewal is due.
    fn renew_lease(&mut self, lease_id: LeaseId) {
        let interval = Millis(self.settings.operator.lease.0 / RENEWALS_PER_LEASE);
        let due = self.membership.leases.renewal_base + interval;
        if self.now >= due && self.begin_step(MembershipStep::Renew) {
            let sent_at = self.now;
            let purpose = CallPurpose::RenewLease { lease_id, sent_at };
            self.call_store(CallClass::Leases, StoreCall::Renew(lease_id), purpose);
        }
    }

    /// Whether this controller's record is written under this lease and is up to date.
    fn is_registered(&self, lease_id: LeaseId) -> bool {
        let own = self.membership.leases.controllers.get(&self.me);
        own.is_some_and(|(record, _)| {
            record.lease_id == lease_id
                && record.receives_heartbeats == self.contact.receives_heartbeats
        })
    }

    /// Writes this controller's record under this lease.
    fn register(&mut self, lease_id: LeaseId) {
        if !self.begin_step(MembershipStep::Register) {
            return;
        }
        let key = lease::controller_key(&self.me);
        let own = self.membership.leases.controllers.get(&self.me);
        let version = own.map_or(Revision(0), |(_, version)| *version);
        let record = ControllerRecord {
            lease_id,
            zone: self.settings.zone.clone(),
            receives_heartbeats: self.contact.receives_heartbeats,
        };
        let mut txn = Transaction::default();
        txn.require(key.clone(), version);
        txn.put_leased(key, &record, lease_id);
        let purpose = CallPurpose::Register { lease_id };
        self.transact(CallClass::Leases, txn, purpose);
    }

    /// Takes the leadership if it is vacant, and assigns the shards if this controller leads.
    fn maintain_leadership(&mut self) {
        let Some(lease_id) = self.membership.leases.lease_id() else {
            return;
        };
        if self.membership.leases.leader.is_none() && self.begin_step(MembershipStep::Lead) {
            let record = LeaderRecord {
                leader: self.me.clone(),
                lease_id,
            };
            let mut txn = Transaction::default();
            txn.require(LEADER_KEY.into(), Revision(0));
            txn.put_leased(LEADER_KEY.into(), &record, lease_id);
            let purpose = CallPurpose::ClaimLeadership { lease_id };
            self.transact(CallClass::Leases, txn, purpose);
        }
        if let Some(version) = self.leading() {
            self.assign_shards(version);
        }
    }

    /// Handles the answer to a request for a lease, sent at `sent_at`.
    pub(super) fn on_lease_granted(&mut self, sent_at: Millis, response: StoreResponse) {
        match response {
            StoreResponse::Granted(lease_id) => {
                let lease = self.settings.operator.lease;
                self.membership.record_lease(lease_id, sent_at, lease);
            }
            _ => self.membership.leases.own = OwnLease::None,
        }
    }

    /// Handles the answer to a renewal of a lease, sent at `sent_at`.
    pub(super) fn on_lease_renewed(
        &mut self,
        lease_id: LeaseId,
        sent_at: Millis,
        response: &StoreResponse,
    ) {
        self.membership.finish(MembershipStep::Renew, response);
        if self.membership.leases.lease_id() != Some(lease_id) {
            // This controller has given that lease up since.
            return;
        }
        match response {
            StoreResponse::Renewed => {
                let lease = self.settings.operator.lease;
                self.membership.record_lease(lease_id, sent_at, lease);
            }
            StoreResponse::LeaseExpired => {
                tracing::info!("lease expired");
                self.membership.leases.drop_own_lease(&self.me);
            }
            // The lease is kept: this may be an outage of the store, in which leases do not expire.
            _ => self.membership.leases.renewal_base = self.now - FAILED_RENEWAL_ADVANCE,
        }
    }

    /// Handles the answer to ending the lease of the previous process.
    pub(super) fn on_old_lease_ended(&mut self, response: &StoreResponse) {
        self.membership
            .finish(MembershipStep::EndOldLease, response);
        if matches!(response, StoreResponse::Revoked) {
            self.membership.old_lease_ended = true;
        }
    }

    /// Handles the answer to writing this controller's record.
    pub(super) fn on_registered(&mut self, lease_id: LeaseId, response: &StoreResponse) {
        self.membership.finish(MembershipStep::Register, response);
        self.lose_lease_if_ended(lease_id, response);
    }

    /// Handles the answer to taking the leadership.
    pub(super) fn on_leadership_written(&mut self, lease_id: LeaseId, response: &StoreResponse) {
        self.membership.finish(MembershipStep::Lead, response);
        self.lose_lease_if_ended(lease_id, response);
    }

    /// Records the loss of this controller's lease if the answer to a write under it shows that it has
    /// ended.
    fn lose_lease_if_ended(&mut self, lease_id: LeaseId, response: &StoreResponse) {
        let is_current = self.membership.leases.lease_id() == Some(lease_id);
        if is_current && matches!(response, StoreResponse::LeaseExpired) {
            self.membership.leases.drop_own_lease(&self.me);
        }
    }

    /// Handles a change of the leader, of a controller's record or of a shard's holder.
    pub(super) fn on_lease_change(&mut self, change: LeaseChange) {
        match change {
            LeaseChange::Leader => self.on_leader_change(),
            LeaseChange::Controller(_) => {
                if self.store_sync.synced && self.leading().is_some() {
                    self.update_all_queue_entries();
                }
            }
            LeaseChange::Shard(shard) => self.on_shard_change(shard),
            LeaseChange::Token(shard) => self.on_token_raised(&shard),
        }
    }

    /// Starts the leader's work if this controller leads now, and retries the jobs that waited.
    fn on_leader_change(&mut self) {
        if let Some(version) = self.leading() {
            tracing::info!(revision = version.0, "leadership acquired");
            self.membership.leading_since = self.now;
            self.start_leading();
        } else if let Some(leader) = self.leader() {
            tracing::info!(%leader, "leader elected");
        }
        self.scheduler.forwarded.clear();
        // Jobs that waited for the previous leader are tried again.
        self.scheduler.queue.wake(self.now, |_, _| true);
        if self.store_sync.synced {
            self.update_all_queue_entries();
        }
    }

    /// Records when the shard changed its holder.
    fn on_shard_change(&mut self, shard: ShardId) {
        self.membership
            .shard_moved_at
            .insert(shard.clone(), self.now);
        if let Some(token) = self.token_for(&shard) {
            let applied = self.store_sync.applied.0;
            tracing::info!(%shard, token = token.0, applied, "shard acquired");
        }
    }

    /// Whether this controller may place tasks in its shards now: its lease has enough time left,
    /// and its cache shows the quotas and placements as of one revision.
    pub(super) fn may_place(&self) -> bool {
        let stop_before = self.settings.operator.stop_before;
        match self.membership.leases.own {
            OwnLease::Held { expires_at, .. } => {
                self.store_sync.is_consistent() && self.now + stop_before < expires_at
            }
            _ => false,
        }
    }

    /// The fencing token of a shard that this controller holds.
    pub(super) fn token_for(&self, shard: &ShardId) -> Option<FencingToken> {
        self.membership.leases.held_token(shard, &self.me)
    }

    /// The fencing tokens under which this controller has held a shard since it acquired it.
    pub(super) fn tenure_of(&self, shard: &ShardId) -> Option<Tenure> {
        self.membership.leases.held_tenure(shard, &self.me)
    }

    /// The revision at which this controller took the leadership, if it believes that it leads.
    pub(super) fn leading(&self) -> Option<Revision> {
        self.membership.leases.leadership_revision(&self.me)
    }

    /// The leader, as far as this controller knows.
    pub(super) fn leader(&self) -> Option<&ControllerId> {
        let leader = self.membership.leases.leader.as_ref();
        leader.map(|(leader, _)| leader)
    }
}

#[cfg(test)]
mod tests;
