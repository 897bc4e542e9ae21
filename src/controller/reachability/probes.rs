//! Probes: direct commands that carry only this controller's token. The worker's reply shows its
//! current state, and proves that commands arrive.

use crate::controller::Controller;
use crate::controller::heartbeats::SILENT_MACHINE_TTL;
use crate::types::{FencingToken, MachineId, Millis};
use crate::workers::wire::WorkerCommand;

/// Time between probes of a machine that is silent, or that may not receive commands.
const PROBE_INTERVAL: Millis = Millis(2_500);
/// Maximum number of silent machines that are probed in a sweep: most have failed, and each probe
/// holds a connection until it times out.
const MAX_SILENT_PROBES: usize = 32;

impl Controller {
    /// Probes silent machines of this controller's shards: they may still be running.
    pub(in crate::controller) fn probe_silent_machines(&mut self) {
        let (now, silence) = (self.now, self.heartbeat_timeout());
        let silent: Vec<MachineId> = self
            .machines
            .values()
            .filter(|machine| {
                let token_seen = self
                    .tenure_of(&machine.shard)
                    .is_some_and(|tenure| machine.has_joined(tenure));
                let silent_for = now.since(machine.last_contact);
                token_seen
                    && silent_for > silence
                    && silent_for < SILENT_MACHINE_TTL
                    && !machine.reachability.is_live_but_unconfirmed(now, silence)
                    && now.since(machine.direct.probed_at) >= PROBE_INTERVAL
            })
            .map(|machine| machine.machine_id.clone())
            .take(MAX_SILENT_PROBES)
            .collect();
        for machine_id in silent {
            self.probe(&machine_id);
        }
    }

    /// Sends this controller's token to the machines of its shards that have not seen it: until
    /// then they may continue to report to an earlier holder, which may not know that it lost the
    /// shard. Probes machines whose heartbeats arrive while nothing confirms that commands do.
    pub(in crate::controller) fn announce_tokens(&mut self) {
        let (now, silence) = (self.now, self.heartbeat_timeout());
        let targets: Vec<MachineId> = self
            .machines
            .values()
            .filter(|machine| {
                let Some(tenure) = self.tenure_of(&machine.shard) else {
                    return false;
                };
                // A raised token reaches the worker with the next answer or command.
                let token_unseen = machine.worker_token.fencing_token() < tenure.acquired
                    || self.partition.mode.is_on() && !machine.worker_token.is_partitioned();
                let probe_due = now.since(machine.direct.probed_at) >= PROBE_INTERVAL;
                token_unseen
                    || probe_due && machine.reachability.is_live_but_unconfirmed(now, silence)
            })
            .map(|machine| machine.machine_id.clone())
            .collect();
        for machine_id in targets {
            self.probe(&machine_id);
        }
    }

    /// Sends a machine of this controller's shards only the token; does nothing for other machines.
    pub(in crate::controller) fn probe(&mut self, machine_id: &MachineId) {
        let machine = self.machines.get(machine_id);
        if let Some(token) = machine.and_then(|machine| self.token_for(&machine.shard)) {
            self.send_direct(machine_id, token, Vec::new());
        }
    }

    /// Sends a machine commands that start nothing, unless an exchange is in progress, the machine
    /// is gone, or its address is unknown.
    pub(super) fn send_direct(
        &mut self,
        machine_id: &MachineId,
        token: FencingToken,
        commands: Vec<WorkerCommand>,
    ) {
        let worker_token = self.worker_token(token);
        let gone = self.autoscaler.fleet.deleted.contains(machine_id);
        let machine = self.machines.get_mut(machine_id);
        let Some(machine) = machine.filter(|machine| !machine.direct.is_in_flight() && !gone)
        else {
            return;
        };
        let Some(address) = machine.address else {
            return;
        };
        machine.direct.probed_at = self.now;
        self.begin_exchange(machine_id, address, worker_token, commands);
    }
}
