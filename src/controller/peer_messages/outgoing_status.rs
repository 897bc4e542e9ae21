//! This controller's status, sent to all other controllers once a second.

use std::hash::BuildHasher;

use rustc_hash::FxBuildHasher;

use super::Peers;
use crate::controller::Controller;
use crate::peers::{MachineCondition, MachineDescription, Message, Status};
use crate::types::{MachineId, Millis};
use crate::workers::Machine;

/// Time between statuses.
const STATUS_INTERVAL: Millis = Millis(1_000);
/// Heartbeats that a peer reported of a machine are dropped if no peer described the machine within
/// this time.
const RELAYED_HEARTBEAT_TTL: Millis = Millis(120_000);
/// Each machine is described once in this many statuses even if it has not changed, since a message
/// may be lost.
const DESCRIPTION_ROUNDS: u64 = 8;
/// How long the leader's last list of machines to drain remains in effect.
const DRAIN_TTL: Millis = Millis(15_000);

impl Peers {
    /// Whether a machine is to be described in this round: it has changed since it was last
    /// described, or the round is the one in which it is repeated. Records the description as sent.
    fn is_description_due(&mut self, machine: &Machine, round: u64) -> bool {
        // A sum, so that the order of the images does not matter.
        let images = machine
            .images
            .keys()
            .map(|image| FxBuildHasher.hash_one(image))
            .fold(0u64, u64::wrapping_add);
        let hash = FxBuildHasher.hash_one((machine.address, images));
        let sent = self
            .sent_description_hashes
            .insert(machine.machine_id.clone(), hash);
        let repeat_round = FxBuildHasher.hash_one(&machine.machine_id) % DESCRIPTION_ROUNDS;
        sent != Some(hash) || repeat_round == round
    }
}

impl Controller {
    /// Sends this controller's status to all others, at most once a second.
    pub(in crate::controller) fn broadcast_status(&mut self) {
        self.expire_drains();
        if self.now.since(self.peers.status_sent_at) < STATUS_INTERVAL {
            return;
        }
        self.peers.status_sent_at = self.now;
        let status = self.build_status();
        self.forget_unknown_machines();
        self.send_to_all(&Message::Status(status));
    }

    /// Clears the machines that the leader wants drained if no status of a leader has arrived for
    /// [`DRAIN_TTL`].
    fn expire_drains(&mut self) {
        if self.leading().is_none()
            && !self.autoscaler.drains.is_empty()
            && self.now.since(self.autoscaler.drains_received_at) > DRAIN_TTL
        {
            self.autoscaler.drains.clear();
        }
    }

    /// This controller's status as of now. Records the machine descriptions in it as sent.
    fn build_status(&mut self) -> Status {
        let report = self.commits.admission.reports.get(&self.me).copied();
        let report = report.unwrap_or_default();
        let leases = &self.membership.leases;
        let held = leases
            .shards
            .iter()
            .filter(|(_, holder)| holder.controller == self.me);
        Status {
            lease_id: leases.lease_id().map(|lease_id| lease_id.0),
            plan_revision: report.plan_version.0,
            change_rate_milli: (report.demand.used * 1e3) as u64,
            pending_changes: report.demand.waiting as u64,
            revision: self.store_sync.applied.0,
            without_store_ms: self.without_store().0,
            receives_heartbeats: self.contact.is_current(self.now, self.heartbeat_timeout()),
            shards: held
                .map(|(shard, holder)| (shard.to_string(), holder.tenure.token.0))
                .collect(),
            machines: self
                .reporting_machines()
                .map(|machine| self.machine_condition(machine))
                .collect(),
            descriptions: self.due_descriptions(),
            draining: self.machines_to_drain(),
        }
    }

    /// Machines of this controller's shards whose worker has seen a token of this controller's tenure.
    fn reporting_machines(&self) -> impl Iterator<Item = &Machine> {
        self.machines.values().filter(|machine| {
            self.tenure_of(&machine.shard)
                .is_some_and(|tenure| machine.has_joined(tenure))
        })
    }

    /// The frequently changing part of a machine's state.
    fn machine_condition(&self, machine: &Machine) -> MachineCondition {
        MachineCondition {
            machine_id: machine.machine_id.to_string(),
            since_contact_ms: self.now.since(machine.last_contact).0,
            agent_epoch: machine.agent_epoch.0,
            unconfirmed: !machine.reachability.is_confirmed(),
            termination_announced: machine.termination_announced,
            quarantined: machine.quarantined,
            draining: self.autoscaler.drains.contains(&machine.machine_id),
        }
    }

    /// Descriptions of the machines that changed, and of those that are repeated in this round.
    fn due_descriptions(&mut self) -> Vec<MachineDescription> {
        let round = self.now.0 / STATUS_INTERVAL.0 % DESCRIPTION_ROUNDS;
        let leases = &self.membership.leases;
        let mut descriptions = Vec::new();
        for machine in self.machines.values() {
            let tenure = leases.held_tenure(&machine.shard, &self.me);
            if tenure.is_some_and(|tenure| machine.has_joined(tenure))
                && self.peers.is_description_due(machine, round)
            {
                descriptions.push(machine_description(machine));
            }
        }
        descriptions
    }

    /// The machines that the leader wants drained; empty on any other controller.
    fn machines_to_drain(&self) -> Vec<String> {
        if self.leading().is_none() {
            return Vec::new();
        }
        let fleet = &self.autoscaler.fleet;
        // Tasks placed on a machine that is gone fail immediately, so the holder of its shard must
        // not place any there either.
        let gone = fleet.deleted.iter();
        let gone = gone.filter(|machine_id| self.machines.contains_key(*machine_id));
        let leaving = fleet.deleting.union(&self.autoscaler.drains).chain(gone);
        leaving.map(MachineId::to_string).collect()
    }

    /// Drops relayed heartbeats of machines that are known now, or that no peer described within
    /// [`RELAYED_HEARTBEAT_TTL`], and hashes of sent descriptions of machines that are no longer
    /// known.
    fn forget_unknown_machines(&mut self) {
        let (known, now) = (&self.machines, self.now);
        self.contact
            .relayed_heartbeats
            .retain(|machine_id, received_at| {
                !known.contains_key(machine_id) && now.since(*received_at) < RELAYED_HEARTBEAT_TTL
            });
        self.peers
            .sent_description_hashes
            .retain(|machine_id, _| known.contains_key(machine_id));
    }
}

/// The description of a machine as sent to other controllers.
fn machine_description(machine: &Machine) -> MachineDescription {
    MachineDescription {
        machine_id: machine.machine_id.to_string(),
        address: machine
            .address
            .map(|address| address.to_string())
            .unwrap_or_default(),
        machine_type: machine.machine_type.as_str().into(),
        zone: machine.zone.as_str().into(),
        spot: machine.spot,
        images: machine
            .images
            .iter()
            .map(|(image, cached)| (image.as_str().into(), (cached.gb * 1e3) as u64))
            .collect(),
    }
}
