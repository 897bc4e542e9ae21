//! Partition mode of this controller, and the health of zones as the leader sees it.
//!
//! Passes leases, peers and machines to the decisions in [`crate::zones`], and carries out what
//! they decide.

use std::collections::BTreeMap;

use super::Controller;
use crate::jobs::JobKind;
use crate::lease::OwnLease;
use crate::types::{ControllerId, FencingToken, MachineId, ShardId, WorkerToken, Zone};
use crate::workers::wire::HeartbeatResponse;
use crate::zones::partition_mode::{PartitionConditions, PartitionMode, may_renew_worker_lease};
use crate::zones::zone_health::{
    EvictionCost, SuspectedMachine, ZoneHealthTracker, ZoneObservation,
};

/// This controller's own partition mode, and the health of all zones as the leader observes it.
#[derive(Debug, Default)]
pub(super) struct PartitionState {
    /// Whether this controller keeps its workers' leases while it is cut off from the store.
    pub(super) mode: PartitionMode,
    /// The health of all zones; only the leader's is used.
    pub(super) zone_health: ZoneHealthTracker,
}

impl Controller {
    /// The token that workers get for a fencing token that this controller holds; marked while this
    /// controller is in partition mode.
    pub(super) fn worker_token(&self, token: FencingToken) -> WorkerToken {
        if self.partition.mode.is_on() {
            WorkerToken::partitioned(token)
        } else {
            WorkerToken::connected(token)
        }
    }

    /// Enters partition mode once this controller is cut off from the store together with its
    /// machines.
    pub(super) fn check_partition_mode(&mut self) {
        let lease_expired = matches!(
            self.membership.leases.own,
            OwnLease::Held { expires_at, .. } if expires_at < self.now
        );
        let conditions = PartitionConditions {
            lease_expired: lease_expired && self.store_sync.synced,
            outage: lease_expired && self.all_peers_lost_store(),
            holds_shards: self.holds_shards(),
        };
        if self.partition.mode.update(conditions, self.now) {
            tracing::info!("partition mode entered");
            // All workers must see the marked token before this controller might crash: after a
            // crash other controllers may renew only the leases of workers that have seen it.
            self.announce_tokens();
        }
    }

    /// Whether this controller holds any shard.
    fn holds_shards(&self) -> bool {
        let mut holders = self.membership.leases.shards.values();
        holders.any(|holder| holder.controller == self.me)
    }

    /// Leaves partition mode, to be called when the store answers again. The shards are released:
    /// under a token that is marked as partitioned, a worker's silence is no evidence that its
    /// lease has expired.
    pub(super) fn leave_partition_mode(&mut self) {
        if let Some(duration) = self.partition.mode.leave(self.now) {
            tracing::info!(kept_s = duration.secs(), "partition mode left");
            self.membership.old_lease_ended = false;
            self.membership.leases.drop_own_lease(&self.me);
        }
    }

    /// The response to a worker whose holder is in partition mode and that reported here instead:
    /// it renews the worker's lease and carries no commands. `None` if this controller must not
    /// renew it.
    pub(super) fn renew_for_partitioned_holder(
        &self,
        shard: &ShardId,
        worker_token: WorkerToken,
    ) -> Option<HeartbeatResponse> {
        let cut_off = !self.store_sync.synced || self.partition.mode.is_on();
        let holder_in_contact = self
            .membership
            .leases
            .shards
            .get(shard)
            .is_some_and(|holder| self.recent_status(&holder.controller).is_some());
        let renews = self.may_answer_heartbeats()
            && may_renew_worker_lease(worker_token, cut_off, holder_in_contact);
        renews.then(|| HeartbeatResponse::Commands {
            worker_token,
            commands: Vec::new(),
        })
    }

    /// Updates the health of each zone by the leader's observation of its machines, completed by
    /// whether the zone's controllers are silent.
    pub(super) fn observe_zones(&mut self, zones: BTreeMap<Zone, ZoneObservation>) {
        for (zone, mut observation) in zones {
            observation.controllers_silent = self.controllers_are_silent(&zone);
            let health = self
                .partition
                .zone_health
                .observe(&zone, observation, self.now);
            if let Some(health) = health {
                let (machines, silent) = (observation.machines, observation.silent);
                tracing::info!(%zone, ?health, machines, silent, "zone health changed");
            }
        }
    }

    /// Whether a zone has controllers and none of them has an unexpired lease.
    fn controllers_are_silent(&self, zone: &Zone) -> bool {
        let peers = self.settings.members.iter().map(|m| (&m.label, &m.zone));
        let mut labels = peers
            .chain([(&self.me, &self.settings.zone)])
            .filter(|(_, member_zone)| *member_zone == zone)
            .map(|(label, _)| label)
            .peekable();
        let has_lease =
            |label: &ControllerId| self.membership.leases.controllers.contains_key(label);
        labels.peek().is_some() && !labels.any(has_lease)
    }

    /// A machine that is presumed lost, with the cost of the most valuable task on it.
    pub(super) fn suspected_machine(
        &self,
        machine_id: &MachineId,
        zone: &Zone,
    ) -> SuspectedMachine {
        let eviction_cost = self
            .jobs
            .tasks_on(machine_id)
            .filter_map(|(id, _)| Some(self.jobs.get(id)?.spec.kind))
            .map(|kind| match kind {
                JobKind::Array => EvictionCost::Arrays,
                JobKind::Gang => EvictionCost::Gangs,
                JobKind::Service => EvictionCost::Replicas,
            })
            .max()
            .unwrap_or(EvictionCost::Idle);
        SuspectedMachine {
            machine_id: machine_id.clone(),
            zone: zone.clone(),
            eviction_cost,
        }
    }
}

#[cfg(test)]
mod tests;
