//! How long machines have been silent, judged by the controller that receives their heartbeats.

use crate::controller::Controller;
use crate::controller::peer_messages::PeerStatus;
use crate::types::{ControllerId, MachineId, Millis, ShardId, Zone};

/// Machines that have been silent for this many heartbeat timeouts are no evidence of the network's
/// state: they failed some time ago.
const RECENT_SILENCE_FACTOR: u64 = 8;
/// A zone's network counts as working only if at least this many other machines report.
const MIN_REPORTING_MACHINES: usize = 2;

/// How long a machine has been silent, and how long its shard has had the same holder.
pub(in crate::controller) struct MachineSilence {
    /// Time since any controller last received a sign of life from it.
    pub since_contact: Millis,
    /// Time since its shard last changed its holder.
    pub held_for: Millis,
}

impl MachineSilence {
    /// Whether the worker's lease has expired, whichever controller it reported to before.
    pub(crate) fn outlasts(&self, lease: Millis) -> bool {
        self.since_contact.min(self.held_for) > lease
    }
}

impl Controller {
    /// The last status of another controller, if it arrived recently.
    pub(in crate::controller) fn recent_status(
        &self,
        controller: &ControllerId,
    ) -> Option<&PeerStatus> {
        self.peers.recent_status(controller, self.now)
    }

    /// When any controller last received a sign of life from a machine, as far as this controller
    /// knows; 0 if never.
    pub(in crate::controller) fn last_contact(&self, machine_id: &MachineId) -> Millis {
        let known = self
            .machines
            .get(machine_id)
            .map(|machine| machine.last_contact);
        let latest = known.or_else(|| self.contact.relayed_heartbeats.get(machine_id).copied());
        latest.unwrap_or_default()
    }

    /// How long a machine has been silent, as its shard's holder sees it; only the holder receives
    /// its heartbeats. `None` if the shard has no holder, or if the holder receives no heartbeats
    /// at all and so cannot tell.
    pub(in crate::controller) fn silence_of(
        &self,
        machine_id: &MachineId,
        shard: &ShardId,
    ) -> Option<MachineSilence> {
        let holder = self.membership.leases.shards.get(shard)?;
        if !self.holder_receives_heartbeats(&holder.controller) {
            return None;
        }
        let moved_at = self.membership.shard_moved_at.get(shard);
        Some(MachineSilence {
            since_contact: self.now.since(self.last_contact(machine_id)),
            held_for: moved_at.map_or(self.now, |at| self.now.since(*at)),
        })
    }

    /// Whether heartbeats arrive at the holder of a shard, by its last status.
    fn holder_receives_heartbeats(&self, holder: &ControllerId) -> bool {
        if *holder == self.me {
            return self.contact.is_current(self.now, self.heartbeat_timeout());
        }
        self.recent_status(holder)
            .is_some_and(|peer| peer.receives_heartbeats)
    }

    /// Whether most other machines of the zone report. Then the network to the zone works, and the
    /// cause of this machine's silence is the machine itself.
    pub(in crate::controller) fn most_of_zone_reports(
        &self,
        machine_id: &MachineId,
        zone: &Zone,
    ) -> bool {
        let limit = self.heartbeat_timeout();
        let others: Vec<Millis> = self
            .machines
            .values()
            .filter(|machine| {
                machine.zone == *zone
                    && machine.machine_id != *machine_id
                    && !self.autoscaler.fleet.deleted.contains(&machine.machine_id)
            })
            .map(|machine| self.now.since(machine.last_contact))
            .filter(|silent_for| silent_for.0 < RECENT_SILENCE_FACTOR * limit.0)
            .collect();
        let reporting = others
            .iter()
            .filter(|silent_for| **silent_for <= limit)
            .count();
        reporting >= MIN_REPORTING_MACHINES && reporting * 3 >= others.len() * 2
    }
}
