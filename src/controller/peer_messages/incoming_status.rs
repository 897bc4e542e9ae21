//! Applies the status of another controller to this controller's state.

use super::PeerStatus;
use crate::admission::shared::AdmissionReport;
use crate::controller::Controller;
use crate::peers::{MachineCondition, MachineDescription, Status};
use crate::queue::ClusterEvent;
use crate::types::{
    AgentEpoch, ControllerId, FencingToken, LeaseId, MachineId, Millis, Revision, ShardId, Zone,
};
use crate::workers::{CachedImage, Machine, shard_of};
use admission_control::plan::Demand;

impl Controller {
    /// Applies the status of another controller, unless it comes from a process that has ended.
    pub(super) fn on_peer_status(&mut self, from: ControllerId, status: Status) {
        if self.sender_has_ended(&status) {
            tracing::debug!(%from, "status from ended controller process ignored");
            return;
        }
        self.record_peer_status(&from, &status);
        self.apply_shard_tokens(&from, status.shards);
        for description in status.descriptions {
            self.apply_machine_description(&from, description);
        }
        let mut schedulable = Vec::new();
        for condition in status.machines {
            schedulable.extend(self.apply_machine_condition(&from, &condition));
        }
        if self.leader() == Some(&from) {
            self.autoscaler.drains = status.draining.into_iter().map(MachineId::from).collect();
            self.autoscaler.drains_received_at = self.now;
        }
        for machine_id in schedulable {
            self.wake_parked_jobs(ClusterEvent::MachineSchedulable(machine_id));
        }
    }

    /// Whether the sender's lease has ended because its process has ended. A controller that lost
    /// the key-value store has also lost its lease, but continues to run.
    fn sender_has_ended(&self, status: &Status) -> bool {
        let lease_ended = status
            .lease_id
            .is_some_and(|lease_id| self.membership.leases.has_ended(LeaseId(lease_id)));
        let lost_store = Millis(status.without_store_ms) > self.settings.operator.lease;
        lease_ended && !lost_store
    }

    /// Stores the parts of a status that are read later.
    fn record_peer_status(&mut self, from: &ControllerId, status: &Status) {
        let peer = PeerStatus {
            received_at: self.now,
            revision: Revision(status.revision),
            without_store: Millis(status.without_store_ms),
            receives_heartbeats: status.receives_heartbeats,
        };
        self.peers.statuses.insert(from.clone(), peer);
        let report = AdmissionReport {
            plan_version: Revision(status.plan_revision),
            demand: Demand {
                used: status.change_rate_milli as f64 / 1e3,
                waiting: status.pending_changes as f64,
            },
        };
        self.commits.admission.reports.insert(from.clone(), report);
    }

    /// Applies the tokens of the shards that another controller holds. If a token is higher than
    /// the one known here, the sender is the shard's new holder.
    fn apply_shard_tokens(&mut self, holder: &ControllerId, shards: Vec<(String, u64)>) {
        for (shard, token) in shards {
            let Some(shard) = ShardId::parse(&shard) else {
                continue;
            };
            let token = FencingToken(token);
            if self.membership.leases.supersede(&shard, holder, token) {
                tracing::info!(%shard, %holder, token = token.0, "shard has a newer holder");
                self.membership.shard_moved_at.insert(shard, self.now);
            }
        }
    }

    /// Applies a peer's description of a machine, unless this controller holds the machine's shard.
    fn apply_machine_description(&mut self, from: &ControllerId, description: MachineDescription) {
        let now = self.now;
        let shards_per_zone = self.settings.operator.shards_per_zone;
        let machine_id = MachineId::from(description.machine_id);
        let dropped_channels = &mut self.contact.dropped_channels;
        let machine = self.machines.entry(machine_id.clone()).or_insert_with(|| {
            let zone = Zone::from(description.zone);
            let shard = shard_of(&machine_id, &zone, shards_per_zone);
            let machine_type = description.machine_type.into();
            let machine = Machine::new(
                machine_id,
                machine_type,
                zone,
                description.spot,
                shard,
                from.clone(),
            );
            dropped_channels.restore(machine)
        });
        let token = self.membership.leases.held_token(&machine.shard, &self.me);
        if token.is_some() {
            return;
        }
        machine.address = description.address.parse().ok().or(machine.address);
        let cached = |(image, mb): (String, u64)| {
            let gb = mb as f64 / 1e3;
            (image.into(), CachedImage { last_used: now, gb })
        };
        machine.images = description.images.into_iter().map(cached).collect();
        self.scheduler
            .candidates
            .changed_machines
            .push(machine.machine_id.clone());
    }

    /// Applies the frequently changing part of a machine's state, unless this controller holds the
    /// machine's shard. Returns the machine if that makes it schedulable.
    fn apply_machine_condition(
        &mut self,
        from: &ControllerId,
        condition: &MachineCondition,
    ) -> Option<MachineId> {
        let (now, silence) = (self.now, self.heartbeat_timeout());
        let machine_id = MachineId::from(condition.machine_id.as_str());
        let contact_at = now - Millis(condition.since_contact_ms);
        let Some(machine) = self.machines.get_mut(&machine_id) else {
            // A machine that is unknown here will be described soon. Until then it must not be
            // mistaken for one that has never sent a heartbeat to its holder.
            self.contact
                .relayed_heartbeats
                .insert(machine_id, contact_at);
            return None;
        };
        let token = self.membership.leases.held_token(&machine.shard, &self.me);
        if token.is_some() {
            return None;
        }
        let was_schedulable = machine.is_schedulable(now, silence);
        machine.last_contact = machine.last_contact.max(contact_at);
        machine.last_contact_by = from.clone();
        let agent_epoch = AgentEpoch(condition.agent_epoch);
        if agent_epoch != machine.agent_epoch {
            // The known sequence number belongs to another agent epoch.
            machine.agent_epoch = agent_epoch;
            machine.heartbeat_sequence = 0;
        }
        machine
            .reachability
            .set_by_holder(!condition.unconfirmed, now);
        machine.termination_announced = condition.termination_announced;
        if machine.quarantined && !condition.quarantined {
            // The holder lifted the quarantine: the jobs were at fault, not the machine.
            self.autoscaler.drains.remove(&machine_id);
        }
        if condition.quarantined && !machine.quarantined {
            self.scheduler.crash_loops.forget_machine(&machine_id, now);
        }
        machine.quarantined = condition.quarantined;
        machine.draining = condition.draining;
        let became_schedulable = !was_schedulable && machine.is_schedulable(now, silence);
        became_schedulable.then_some(machine_id)
    }
}
