//! The leader's assignment of shards to controllers, written record by record with the conditions
//! that make an outdated decision fail.

use super::super::{CallPurpose, Controller};
use super::MembershipStep;
use crate::lease::{self, LEADER_KEY, ShardRecord};
use crate::store::{CallClass, StoreResponse, Transaction};
use crate::types::{ControllerId, LeaseId, Revision, ShardId};

/// A shard record to write: conditions and contents.
struct Assignment {
    shard: ShardId,
    /// The version of the shard's record, zero if it has none.
    shard_version: Revision,
    holder: ControllerId,
    /// The version of the new holder's own record.
    holder_version: Revision,
    /// The new holder's lease; the record ends with it.
    lease_id: LeaseId,
}

impl Assignment {
    /// Adds the conditions and the record to a transaction.
    fn write_to(self, txn: &mut Transaction) {
        let key = lease::shard_key(&self.shard);
        txn.require(key.clone(), self.shard_version);
        txn.require(lease::controller_key(&self.holder), self.holder_version);
        let record = ShardRecord {
            holder: self.holder,
            lease_id: self.lease_id,
            acquired: None,
        };
        txn.put_leased(key, &record, self.lease_id);
    }
}

impl Controller {
    /// Writes the records of shards whose holder differs from the desired one, as the leader since
    /// `leader_revision`. Shards that do not fit into the transaction are written with the next.
    pub(super) fn assign_shards(&mut self, leader_revision: Revision) {
        let step = MembershipStep::AssignShards;
        if !self.may_begin_step(step) {
            return;
        }
        let txn = self.assignment_transaction(leader_revision);
        if !txn.changes.is_empty() {
            self.begin_step(step);
            self.transact(CallClass::Leases, txn, CallPurpose::AssignShards);
        }
    }

    /// The transaction that writes as many changed shard records as the store accepts.
    fn assignment_transaction(&self, leader_revision: Revision) -> Transaction {
        let zones = &self.settings.deployment.zones;
        let shards_per_zone = self.settings.operator.shards_per_zone;
        let controllers = &self.membership.leases.controllers;
        let mut txn = Transaction::default();
        txn.require(LEADER_KEY.into(), leader_revision);
        for (shard, holder) in lease::desired_assignment(zones, shards_per_zone, controllers) {
            if txn.changes.len() >= self.settings.deployment.state.txn_ops {
                break;
            }
            if let Some(assignment) = self.assignment(shard, holder) {
                assignment.write_to(&mut txn);
            }
        }
        txn
    }

    /// The record that makes `holder` the holder of a shard; `None` if it is already.
    fn assignment(&self, shard: ShardId, holder: ControllerId) -> Option<Assignment> {
        let leases = &self.membership.leases;
        let current_record = leases.shards.get(&shard);
        if current_record.is_some_and(|current| current.controller == holder) {
            return None;
        }
        let (record, holder_version) = leases.controllers.get(&holder)?;
        Some(Assignment {
            shard_version: current_record
                .map_or(Revision(0), |current| Revision(current.tenure.token.0)),
            shard,
            holder,
            holder_version: *holder_version,
            lease_id: record.lease_id,
        })
    }

    /// Handles the answer to the assignment; the shard records arrive with it or with the watch.
    pub(in crate::controller) fn on_shards_assigned(&mut self, response: &StoreResponse) {
        self.membership
            .finish(MembershipStep::AssignShards, response);
    }
}
