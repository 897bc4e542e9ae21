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
use crate::zones::partition_mode::{Circumstances, PartitionMode, may_renew};
use crate::zones::zone_health::{
    EvictionCost, SuspectedMachine, ZoneHealthTracker, ZoneObservation,
};

/// This controller's own partition mode, and the health of all zones as the leader observes it.
#[derive(Debug, Default)]
pub(super) struct Partition {
    /// Whether this controller keeps its workers' leases while it is cut off from the store.
    pub(super) mode: PartitionMode,
    /// The health of all zones; only the leader's is used.
    pub(super) zone_health: ZoneHealthTracker,
}

impl Controller {
    /// The token that workers see for a fencing token that we hold.
    pub(super) fn worker_token(&self, token: FencingToken) -> WorkerToken {
        if self.partition.mode.is_on() {
            WorkerToken::partitioned(token)
        } else {
            WorkerToken::of(token)
        }
    }

    /// Enters partition mode once this controller is cut off from the store together with its
    /// machines.
    pub(super) fn check_partition_mode(&mut self) {
        let lease_over =
            matches!(self.membership.leases.own, OwnLease::Held { until, .. } if until < self.now);
        let circumstances = Circumstances {
            lease_over: lease_over && self.store_sync.synced,
            outage: lease_over && self.outage_is_common(),
            holds_shards: self.holds_shards(),
        };
        if self.partition.mode.update(circumstances, self.now) {
            tracing::info!("partition mode entered");
            // All workers must see the marked token before this controller might crash: only
            // workers that have seen it may have their lease renewed by other controllers then.
            self.announce_tokens();
        }
    }

    /// Whether this controller holds any shard.
    fn holds_shards(&self) -> bool {
        let mut holders = self.membership.leases.shards.values();
        holders.any(|(holder, _)| *holder == self.me)
    }

    /// Leaves partition mode, since the store answers again. The shards are released: under a token
    /// that is marked as partitioned, a worker's silence is no evidence that its lease has expired.
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
            .is_some_and(|(holder, _)| self.recent_status(holder).is_some());
        let renews =
            self.may_answer_heartbeats() && may_renew(worker_token, cut_off, holder_in_contact);
        renews.then(|| HeartbeatResponse::Commands {
            worker_token,
            commands: Vec::new(),
        })
    }

    /// Records what the leader observes of each zone's machines, and whether any controller of the
    /// zone has a lease that has not expired.
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

    /// Whether a zone has controllers and none of them has a lease.
    fn controllers_are_silent(&self, zone: &Zone) -> bool {
        let members = self.settings.members.iter().map(|m| (&m.label, &m.zone));
        let mut labels = members
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
