//! The response to a heartbeat: commands from the holder of the machine's shard, else a redirect.

use crate::controller::Controller;
use crate::lease::Tenure;
use crate::queue::ClusterEvent;
use crate::types::{MachineId, Millis, ShardId, WorkerToken};
use crate::workers::direct_channel::{PiggybackedStarts, starts};
use crate::workers::reachability::HeartbeatObservation;
use crate::workers::wire::{Heartbeat, HeartbeatResponse, WorkerCommand};
use crate::workers::{Machine, shard_of};

/// If an agent epoch ends within this fraction of the lease after a response of this controller,
/// the worker did not receive that response.
const LOST_RESPONSE_LEASE_FRACTION: f64 = 0.75;
/// Factor by which a worker's clock may be slower than this controller's when an agent epoch that
/// outlives a lease is taken as proof that responses arrive.
const EPOCH_END_CLOCK_FACTOR: f64 = 1.05;
/// Seconds by which a worker's timers may fire late when they end an agent epoch.
const EPOCH_END_MARGIN_S: f64 = 2.0;

/// How a heartbeat changed this controller's view of the machine.
enum HeartbeatOutcome {
    /// The heartbeat was sent before one that has been applied already.
    Outdated,
    /// The heartbeat replaced the previous state of the machine.
    Applied {
        /// Whether the machine could take new tasks under this controller's token before.
        was_schedulable: bool,
    },
}

impl Controller {
    /// Applies a heartbeat, and returns the response to it.
    pub(in crate::controller) fn answer_heartbeat(
        &mut self,
        heartbeat: Heartbeat,
    ) -> HeartbeatResponse {
        let shards_per_zone = self.settings.operator.shards_per_zone;
        let shard = shard_of(&heartbeat.machine_id, &heartbeat.zone, shards_per_zone);
        let Some(tenure) = self.tenure_of(&shard) else {
            return self.response_for_unheld_shard(&shard, heartbeat.worker_token);
        };
        let worker_token = self.worker_token(tenure.token);
        if heartbeat.worker_token > worker_token {
            // Another controller holds this shard under a higher token, of which this controller
            // has not learned yet.
            return HeartbeatResponse::Redirect(None);
        }
        if !self.may_answer_heartbeats() {
            return HeartbeatResponse::RetryLater;
        }
        // A holder that has not yet read all earlier placements in the shard sends no commands: it
        // might restart a task that has left the machine since.
        let knows_placements = self.knows_all_placements(&shard);
        let commands = match self.record_heartbeat(shard, tenure, &heartbeat) {
            HeartbeatOutcome::Applied { was_schedulable } if knows_placements => {
                self.commands_for_response(&heartbeat.machine_id, tenure, was_schedulable)
            }
            HeartbeatOutcome::Applied { .. } | HeartbeatOutcome::Outdated => Vec::new(),
        };
        HeartbeatResponse::Commands {
            worker_token,
            commands,
        }
    }

    /// The response to a worker whose shard this controller does not hold.
    fn response_for_unheld_shard(
        &self,
        shard: &ShardId,
        worker_token: WorkerToken,
    ) -> HeartbeatResponse {
        if let Some(renewed) = self.renew_for_partitioned_holder(shard, worker_token) {
            return renewed;
        }
        match self.membership.leases.shards.get(shard) {
            Some(holder) => HeartbeatResponse::Redirect(Some(holder.controller.clone())),
            None => HeartbeatResponse::RetryLater,
        }
    }

    /// Records a heartbeat, and probes the machine immediately if nothing confirms that commands
    /// reach it.
    fn record_heartbeat(
        &mut self,
        shard: ShardId,
        tenure: Tenure,
        heartbeat: &Heartbeat,
    ) -> HeartbeatOutcome {
        let (now, silence) = (self.now, self.heartbeat_timeout());
        let lease_s = self.settings.deployment.workers.lease_s;
        let lost_response_window = Millis::from_secs(lease_s * LOST_RESPONSE_LEASE_FRACTION);
        let lease = Millis::from_secs(lease_s * EPOCH_END_CLOCK_FACTOR + EPOCH_END_MARGIN_S);
        let dropped_channels = &mut self.contact.dropped_channels;
        let machine = self
            .machines
            .entry(heartbeat.machine_id.clone())
            .or_insert_with(|| {
                let machine = Machine::new(
                    heartbeat.machine_id.clone(),
                    heartbeat.machine_type.clone(),
                    heartbeat.zone.clone(),
                    heartbeat.spot,
                    shard,
                    self.me.clone(),
                );
                dropped_channels.restore(machine)
            });
        // The response may renew the worker's lease whatever the age of the heartbeat.
        let previous_answer = machine.last_answer.replace((tenure.acquired, now));
        if !machine.is_newer(heartbeat.agent_epoch, heartbeat.heartbeat_sequence) {
            if heartbeat.worker_token < machine.worker_token {
                // A late copy, or a worker whose counters were reset; its reply to a probe shows which.
                self.probe(&heartbeat.machine_id);
            }
            return HeartbeatOutcome::Outdated;
        }
        let was_schedulable = machine.is_schedulable_in(tenure, now, silence);
        let answered_recently = previous_answer.is_some_and(|(under, at)| {
            under == tenure.acquired && now.since(at) < lost_response_window
        });
        let observation = HeartbeatObservation {
            agent_epoch: heartbeat.agent_epoch,
            after_silence: now.since(machine.last_contact) > silence,
            epoch_ended_early: heartbeat.agent_epoch > machine.agent_epoch && answered_recently,
            starts_shown: machine.shows_piggybacked_start(heartbeat),
        };
        machine
            .reachability
            .observe_heartbeat(observation, lease, now);
        machine.last_heartbeat = now;
        machine.apply_heartbeat(heartbeat, now, &self.me);
        machine.confirm_token(tenure, now);
        if !machine.reachability.is_confirmed() {
            self.probe(&heartbeat.machine_id);
        }
        HeartbeatOutcome::Applied { was_schedulable }
    }

    /// The commands that the response to a newer heartbeat carries.
    fn commands_for_response(
        &mut self,
        machine_id: &MachineId,
        tenure: Tenure,
        was_schedulable: bool,
    ) -> Vec<WorkerCommand> {
        let (now, silence) = (self.now, self.heartbeat_timeout());
        let worker_token = self.worker_token(tenure.token);
        let Some(machine) = self.machines.get_mut(machine_id) else {
            return Vec::new();
        };
        if machine.worker_token.fencing_token() < tenure.acquired {
            // The worker's first heartbeat to this controller: the worker reads the token from the
            // response and immediately reports again.
            return Vec::new();
        }
        machine.direct.piggybacked.starts.clear();
        if machine.is_schedulable(now, silence) && !was_schedulable {
            self.wake_parked_jobs(ClusterEvent::MachineSchedulable(machine_id.clone()));
        }
        let commands = self.reconcile_machine(machine_id, tenure);
        if let Some(machine) = self.machines.get_mut(machine_id) {
            machine.direct.piggybacked = PiggybackedStarts {
                starts: starts(&commands).collect(),
                worker_token,
                agent_epoch: machine.agent_epoch,
            };
        }
        commands
    }
}
