//! A controller that receives no heartbeats releases its shards until it can reach workers again.

use crate::controller::{Controller, Effect};
use crate::types::Millis;
use crate::workers::Machine;

/// Time between inspections of a worker by a controller that receives no heartbeats.
const INSPECTION_INTERVAL: Millis = Millis(2_000);
/// Added to the heartbeat timeout before the absence of all heartbeats counts, since a single
/// machine may be silent for unrelated reasons and releasing shards is expensive.
const NO_HEARTBEATS_MARGIN: Millis = Millis(2_000);
/// With fewer machines that should report than this, their silence is no evidence about this
/// controller.
const MIN_EXPECTED_MACHINES: usize = 2;
/// A machine is expected to report if a controller has received a sign of life from it within this
/// many times the limit: a machine that was silent long before the others has failed by itself.
const EXPECTED_CONTACT_FACTOR: u64 = 4;

impl Controller {
    /// Releases this controller's shards if it receives no heartbeats, and then inspects a worker
    /// at intervals until one answers.
    pub(in crate::controller) fn check_worker_contact(&mut self) {
        if self.contact.receives_heartbeats {
            self.release_shards_without_contact();
        } else {
            self.inspect_one_worker();
        }
    }

    /// Inspects the worker with the most recent sign of life, to find out whether it can be
    /// reached.
    fn inspect_one_worker(&mut self) {
        if self.now.since(self.contact.last_inspection) < INSPECTION_INTERVAL {
            return;
        }
        self.contact.last_inspection = self.now;
        let target = self
            .machines
            .values()
            .filter(|machine| !self.autoscaler.fleet.deleted.contains(&machine.machine_id))
            .max_by_key(|machine| machine.last_contact)
            .and_then(|machine| Some((machine.machine_id.clone(), machine.address?)));
        if let Some((machine_id, address)) = target {
            self.effects.push(Effect::Inspect {
                machine_id,
                address,
            });
        }
    }

    /// Releases this controller's shards if no heartbeats arrive here while another controller may
    /// receive them.
    fn release_shards_without_contact(&mut self) {
        let limit = self.heartbeat_timeout() + NO_HEARTBEATS_MARGIN;
        let expected = self
            .machines
            .values()
            .filter(|machine| self.expects_heartbeat(machine, limit))
            .count();
        if expected >= MIN_EXPECTED_MACHINES
            && self.now.since(self.contact.last_heartbeat) > limit
            && !self.no_controller_receives_heartbeats()
        {
            tracing::info!(expected, "no heartbeats received, releasing shards");
            self.contact.begin_shard_release(self.now);
        }
    }

    /// Whether a machine has reported to this controller, should still report to it, and sent a
    /// sign of life until recently.
    fn expects_heartbeat(&self, machine: &Machine, limit: Millis) -> bool {
        let moved_at = self.membership.shard_moved_at.get(&machine.shard);
        machine.last_answer.is_some()
            && !self.autoscaler.fleet.deleted.contains(&machine.machine_id)
            && self.token_for(&machine.shard).is_some()
            && moved_at.is_none_or(|at| self.now.since(*at) > limit)
            && self.now.since(machine.last_contact).0 < EXPECTED_CONTACT_FACTOR * limit.0
    }

    /// Whether every other controller has reported recently that it receives no heartbeats either.
    /// Then the workers are unable to report, and no other holder could manage the shards better.
    /// False without other controllers.
    fn no_controller_receives_heartbeats(&self) -> bool {
        let members = &self.settings.members;
        let receives_none = |label| {
            self.recent_status(label)
                .is_some_and(|peer| !peer.receives_heartbeats)
        };
        !members.is_empty() && members.iter().all(|member| receives_none(&member.label))
    }

    /// Handles the outcome of the inspection of a worker.
    pub(in crate::controller) fn on_inspected(&mut self, answered: bool) {
        if answered && !self.contact.receives_heartbeats {
            tracing::info!("worker answered inspection, may hold shards again");
            self.contact.restore(self.now);
        }
    }
}
