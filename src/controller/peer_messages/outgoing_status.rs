//! Our own status, sent to all other controllers once a second.

use std::hash::BuildHasher;

use rustc_hash::FxBuildHasher;

use super::Peers;
use crate::controller::Controller;
use crate::peers::{MachineHeartbeat, MachineView, Message, Status};
use crate::types::{MachineId, Millis};
use crate::workers::Machine;

/// Time between statuses.
const STATUS_INTERVAL: Millis = Millis(1_000);
/// Heartbeats that a peer reported of a machine are dropped if no peer described the machine within
/// this time.
const RELAYED_HEARTBEAT_TTL: Millis = Millis(120_000);
/// Each machine is described again once in this many statuses, whether it changed or not, since a
/// message may be lost.
const DESCRIPTION_ROUNDS: u64 = 8;
/// Machines that the leader wants drained remain so for this long after its last status.
const DRAIN_TTL: Millis = Millis(15_000);

impl Peers {
    /// Whether a machine is to be described in this round: it has changed since it was last
    /// described, or its turn has come.
    fn is_description_due(&mut self, machine: &Machine, round: u64) -> bool {
        // A sum, so that the order of the images makes no difference.
        let images = machine
            .images
            .keys()
            .map(|image| FxBuildHasher.hash_one(image))
            .fold(0u64, u64::wrapping_add);
        let hash = FxBuildHasher.hash_one((machine.address, images));
        let announced = self.announced.insert(machine.machine_id.clone(), hash);
        let turn = FxBuildHasher.hash_one(&machine.machine_id) % DESCRIPTION_ROUNDS;
        announced != Some(hash) || turn == round
    }
}

impl Controller {
    /// Sends the other controllers our status, once a second.
    pub(in crate::controller) fn broadcast_status(&mut self) {
        self.expire_drains();
        if self.now.since(self.peers.status_sent_at) < STATUS_INTERVAL {
            return;
        }
        self.peers.status_sent_at = self.now;
        let status = self.status();
        self.forget_unknown_machines();
        self.send_to_all(&Message::Status(status));
    }

    /// Clears the machines that the leader wants drained, after a long time without its status.
    fn expire_drains(&mut self) {
        if self.leading().is_none()
            && !self.autoscaler.drains.is_empty()
            && self.now.since(self.autoscaler.drains_heard_at) > DRAIN_TTL
        {
            self.autoscaler.drains.clear();
        }
    }

    /// Our status as of now.
    fn status(&mut self) -> Status {
        let report = self.commits.admission.reports.get(&self.me).copied();
        let report = report.unwrap_or_default();
        let leases = &self.membership.leases;
        let held = leases
            .shards
            .iter()
            .filter(|(_, (holder, _))| *holder == self.me);
        Status {
            lease_id: leases.lease_id().map(|lease_id| lease_id.0),
            plan: report.plan_version.0,
            used_milli: (report.demand.used * 1e3) as u64,
            waiting: report.demand.waiting as u64,
            revision: self.store_sync.applied.0,
            without_store_ms: self.without_store().0,
            receives_heartbeats: self.contact.is_current(self.now, self.heartbeat_timeout()),
            shards: held
                .map(|(shard, (_, token))| (shard.to_string(), token.0))
                .collect(),
            machines: self
                .reporting_machines()
                .map(|machine| self.machine_heartbeat(machine))
                .collect(),
            views: self.due_machine_views(),
            draining: self.machines_to_drain(),
        }
    }

    /// Machines of our shards whose worker has seen our token.
    fn reporting_machines(&self) -> impl Iterator<Item = &Machine> {
        self.machines
            .values()
            .filter(|machine| self.token_for(&machine.shard) == Some(machine.worker_token.token()))
    }

    /// The frequently changing part of a machine's state.
    fn machine_heartbeat(&self, machine: &Machine) -> MachineHeartbeat {
        MachineHeartbeat {
            machine_id: machine.machine_id.to_string(),
            silent_ms: self.now.since(machine.last_contact).0,
            agent_epoch: machine.agent_epoch.0,
            doubtful: !machine.reachability.is_confirmed(),
            warned: machine.termination_announced,
            quarantined: machine.quarantined,
            draining: self.autoscaler.drains.contains(&machine.machine_id),
        }
    }

    /// Descriptions of the machines that changed, and of those whose turn has come.
    fn due_machine_views(&mut self) -> Vec<MachineView> {
        let round = self.now.0 / STATUS_INTERVAL.0 % DESCRIPTION_ROUNDS;
        let leases = &self.membership.leases;
        let mut views = Vec::new();
        for machine in self.machines.values() {
            let token = leases.held_token(&machine.shard, &self.me);
            if token == Some(machine.worker_token.token())
                && self.peers.is_description_due(machine, round)
            {
                views.push(machine_view(machine));
            }
        }
        views
    }

    /// The machines that the leader wants drained; empty on any other controller.
    fn machines_to_drain(&self) -> Vec<String> {
        if self.leading().is_none() {
            return Vec::new();
        }
        let fleet = &self.autoscaler.fleet;
        // Tasks placed on a machine that is being deleted fail immediately, so its holder must not
        // place any there either.
        let gone = fleet.gone.iter();
        let gone = gone.filter(|machine_id| self.machines.contains_key(*machine_id));
        let leaving = fleet.deleting.union(&self.autoscaler.drains).chain(gone);
        leaving.map(MachineId::to_string).collect()
    }

    /// Drops relayed heartbeats of machines that are known now, or that were not described within
    /// [`RELAYED_HEARTBEAT_TTL`], and the descriptions of machines that are no longer known.
    fn forget_unknown_machines(&mut self) {
        let (known, now) = (&self.machines, self.now);
        self.contact.relayed_heartbeats.retain(|machine_id, heard| {
            !known.contains_key(machine_id) && now.since(*heard) < RELAYED_HEARTBEAT_TTL
        });
        self.peers
            .announced
            .retain(|machine_id, _| known.contains_key(machine_id));
    }
}

/// The description of a machine that peers get.
fn machine_view(machine: &Machine) -> MachineView {
    MachineView {
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
