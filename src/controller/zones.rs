//! Zones in trouble, as the controller meets them.

use crate::zones::partition_mode::PartitionMode;
use crate::zones::zone_health::ZoneHealthTracker;
use std::collections::BTreeMap;

use super::Controller;
use crate::jobs::JobKind;
use crate::lease::OwnLease;
use crate::types::{FencingToken, MachineId, ShardId, WorkerToken, Zone};
use crate::workers::wire::HeartbeatResponse;
use crate::zones::partition_mode::{Circumstances, may_renew};
use crate::zones::zone_health::{EvictionCost, SuspectedMachine, ZoneObservation};

/// This controller's own partition mode, and the health of all zones as the leader sees it.
#[derive(Debug, Default)]
pub(super) struct Partition {
    pub(super) mode: PartitionMode,
    pub(super) zone_health: ZoneHealthTracker,
}

impl Controller {
    /// What workers are told of a token that we hold.
    pub(super) fn worker_token(&self, token: FencingToken) -> WorkerToken {
        if self.partition.mode.on() {
            WorkerToken::partitioned(token)
        } else {
            WorkerToken::of(token)
        }
    }

    /// Keeps our machines at work once we are cut off with them.
    pub(super) fn check_partition_mode(&mut self) {
        let over =
            matches!(self.membership.leases.own, OwnLease::Held { until, .. } if until < self.now);
        let seen = Circumstances {
            lease_over: over && self.store_sync.synced,
            outage: over && self.outage_is_common(),
            holds: self
                .membership
                .leases
                .shards
                .values()
                .any(|(h, _)| *h == self.me),
        };
        if self.partition.mode.begins(seen, self.now) {
            tracing::info!("partition mode entered");
            // Before we might crash: only marked machines may be renewed by others then.
            self.fence();
        }
    }

    /// The state service is there again. Our tokens are marked as keeping, under which silence
    /// proves nothing, so they are given up.
    pub(super) fn leave_partition_mode(&mut self) {
        if let Some(kept) = self.partition.mode.end(self.now) {
            tracing::info!(kept_s = kept.secs(), "partition mode left");
            self.membership.old_lease_ended = false;
            self.membership.leases.lose(&self.me);
        }
    }

    /// A worker whose holder keeps it came to us instead: its lease is renewed, and that is all.
    pub(super) fn renew_for_partitioned_holder(
        &self,
        shard: &ShardId,
        worker_token: WorkerToken,
    ) -> Option<HeartbeatResponse> {
        let cut_off = !self.store_sync.synced || self.partition.mode.on();
        let holder = self
            .membership
            .leases
            .shards
            .get(shard)
            .map(|(holder, _)| holder);
        let speaks = holder.is_some_and(|holder| self.recent_status(holder).is_some());
        let renews = self.may_answer() && may_renew(worker_token, cut_off, speaks);
        renews.then(|| HeartbeatResponse::Commands {
            worker_token,
            commands: Vec::new(),
        })
    }

    /// Takes in how each zone looks to the leader now.
    pub(super) fn observe_zones(&mut self, zones: BTreeMap<Zone, ZoneObservation>) {
        for (zone, mut seen) in zones {
            let members = self.settings.members.iter().map(|m| (&m.label, &m.zone));
            let all = members.chain([(&self.me, &self.settings.zone)]);
            let mut inside = all.filter(|(_, its)| **its == zone).peekable();
            seen.controllers_silent = inside.peek().is_some()
                && inside.all(|(label, _)| !self.membership.leases.controllers.contains_key(label));
            if let Some(health) = self.partition.zone_health.observe(&zone, seen, self.now) {
                let (machines, silent) = (seen.machines, seen.silent);
                tracing::info!(%zone, ?health, machines, silent, "zone health changed");
            }
        }
    }

    /// A machine that is thought lost, and what would be lost with it.
    pub(super) fn suspect(&self, machine_id: &MachineId, zone: &Zone) -> SuspectedMachine {
        let jobs = self.jobs.on_machine(machine_id);
        let worth = jobs.filter_map(|(id, _)| Some(self.jobs.get(id)?.spec.kind));
        let worth = worth.map(|kind| match kind {
            JobKind::Array => EvictionCost::Arrays,
            JobKind::Gang => EvictionCost::Gangs,
            JobKind::Service => EvictionCost::Replicas,
        });
        SuspectedMachine {
            machine_id: machine_id.clone(),
            zone: zone.clone(),
            worth: worth.max().unwrap_or(EvictionCost::Idle),
        }
    }
}

#[cfg(test)]
mod tests;
