//! A holder raises the token of its shard by rewriting the shard's record, so that workers refuse copies of the
//! starts that they carried out under the earlier token, and can be told to forget these attempts.

use super::super::{CallPurpose, Controller};
use super::MembershipStep;
use crate::lease::{self, ShardRecord, Tenure};
use crate::store::{CallClass, StoreResponse, Transaction};
use crate::types::{LeaseId, MachineId, Revision, ShardId};
use crate::workers::Machine;

impl Controller {
    /// Raises the token of one shard, if that is due for any that this controller holds. Tokens are raised one at a
    /// time, so that the shards' workers do not all report the change at once.
    pub(in crate::controller) fn raise_token_if_due(&mut self) {
        let step = MembershipStep::RaiseToken;
        let Some(lease_id) = self.membership.leases.lease_id() else {
            return;
        };
        // Not in partition mode: the store can't be reached, and its end gives up the shards.
        if !self.may_place() || self.partition.mode.is_on() || !self.may_begin_step(step) {
            return;
        }
        let Some((shard, tenure)) = self.shard_with_due_token() else {
            return;
        };
        self.begin_step(step);
        let txn = self.token_raise(&shard, tenure, lease_id);
        let purpose = CallPurpose::RaiseToken { lease_id };
        self.transact(CallClass::Leases, txn, purpose);
    }

    /// The shard whose token has the most direct starts to one worker, if that is enough to raise it.
    fn shard_with_due_token(&self) -> Option<(ShardId, Tenure)> {
        let limit = self.settings.operator.starts_per_token as usize;
        let due = self.machines.values().filter_map(|machine| {
            let tenure = self.tenure_of(&machine.shard)?;
            let starts = self.starts_to_fence(machine, tenure);
            (starts >= limit).then_some((starts, machine, tenure))
        });
        let (_, machine, tenure) = due.max_by_key(|(starts, ..)| *starts)?;
        Some((machine.shard.clone(), tenure))
    }

    /// How many starts to a machine only a higher token fences; all that are possible if the worker may carry them
    /// out because it has lost its memory of them.
    fn starts_to_fence(&self, machine: &Machine, tenure: Tenure) -> usize {
        let worker_token = self.worker_token(tenure.token);
        if machine.direct.is_exposed_under(worker_token) {
            return usize::MAX;
        }
        machine.direct.unfenced_under(worker_token)
    }

    /// The transaction that rewrites the record of a shard, whose new version is the new token. A transaction that is
    /// applied late finds that the token has changed, or that the lease has ended.
    fn token_raise(&self, shard: &ShardId, tenure: Tenure, lease_id: LeaseId) -> Transaction {
        let key = lease::shard_key(shard);
        let record = ShardRecord {
            holder: self.me.clone(),
            lease_id,
            acquired: Some(tenure.acquired),
        };
        let mut txn = Transaction::default();
        txn.require(key.clone(), Revision(tenure.token.0));
        txn.put_leased(key, &record, lease_id);
        txn
    }

    /// Handles the answer to raising a token; the shard's record arrives with it or with the watch.
    pub(in crate::controller) fn on_token_raise_answered(
        &mut self,
        lease_id: LeaseId,
        response: &StoreResponse,
    ) {
        self.membership.finish(MembershipStep::RaiseToken, response);
        self.lose_lease_if_ended(lease_id, response);
    }

    /// Handles a raised token of a shard.
    pub(in crate::controller) fn on_token_raised(&mut self, shard: &ShardId) {
        if let Some(tenure) = self.tenure_of(shard) {
            let (token, acquired) = (tenure.token.0, tenure.acquired.0);
            tracing::info!(%shard, token, acquired, "shard token raised");
            self.contact.start_counts.tokens_raised += 1;
            self.show_raised_token(shard);
        }
    }

    /// Shows a raised token at once to the workers that have lost their memory of starts; it reaches the others with
    /// the next answer or command.
    fn show_raised_token(&mut self, shard: &ShardId) {
        let exposed: Vec<MachineId> = self
            .machines
            .values()
            .filter(|machine| machine.shard == *shard && machine.direct.is_exposed())
            .map(|machine| machine.machine_id.clone())
            .collect();
        for machine_id in exposed {
            self.probe(&machine_id);
        }
    }
}

#[cfg(test)]
mod tests;
