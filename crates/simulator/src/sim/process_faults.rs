//! Injected faults of processes and machines: crashes, power loss, hangs and lost connectivity.

use std::sync::Arc;

use jaspertiller::settings::OperatorSettings;
use jaspertiller::types::{MachineId, Millis};

use super::World;
use super::message::ScheduledMessage;
use crate::machines::Machine;

impl World {
    /// Stops a controller's process at `at` and starts a new one `back_after` milliseconds later.
    pub fn crash(&mut self, controller: usize, at: u64, back_after: u64) {
        // The start replaces any process that runs at that time, such as one that another crash has restarted.
        self.post(at, ScheduledMessage::Stop { controller });
        self.post(at + back_after, ScheduledMessage::Start { controller });
    }

    /// Changes the operator's settings for all controllers that start after this call.
    pub fn change_operator_settings(&mut self, change: fn(&mut OperatorSettings)) {
        for settings in &mut self.settings {
            change(&mut Arc::make_mut(settings).operator);
        }
    }

    /// Identity of the machine with this index among the machines that have not stopped.
    fn running_machine_id(&self, index: usize) -> Option<MachineId> {
        let mut running = self
            .machines
            .by_id
            .iter()
            .filter(|(_, machine)| machine.stopped_at.is_none());
        running.nth(index).map(|(machine_id, _)| machine_id.clone())
    }

    fn running_machine_mut(&mut self, index: usize) -> Option<&mut Machine> {
        let machine_id = self.running_machine_id(index)?;
        self.machines.by_id.get_mut(&machine_id)
    }

    /// Stops a machine permanently. `index` counts the machines that have not stopped.
    pub fn kill_worker(&mut self, index: usize) {
        if let Some(machine_id) = self.running_machine_id(index) {
            self.machines.kill(&machine_id, Millis(self.now));
        }
    }

    /// Stops every machine of a zone permanently.
    pub fn power_off_zone(&mut self, zone: &str) {
        let machines = self.machines.by_id.iter();
        let in_zone = machines.filter(|(_, machine)| machine.zone.as_str() == zone);
        let in_zone: Vec<MachineId> = in_zone.map(|(machine_id, _)| machine_id.clone()).collect();
        for machine_id in in_zone {
            self.machines.kill(&machine_id, Millis(self.now));
        }
    }

    /// Runs until `from`, then cuts these machines off from every controller until `until`.
    pub fn cut_workers(&mut self, indices: &[usize], from: u64, until: u64) {
        self.run_until(from);
        for index in indices {
            if let Some(machine) = self.running_machine_mut(*index) {
                machine.unreachable_until = Millis(until);
            }
        }
    }

    /// Suspends a machine until `until`, when it resumes.
    pub fn hang_worker(&mut self, index: usize, until: u64) {
        if let Some(machine) = self.running_machine_mut(index) {
            machine.hung_until = Millis(until);
        }
    }

    /// Drops responses and commands to a machine until `until`, while its heartbeats still arrive.
    pub fn drop_commands_to_worker(&mut self, index: usize, until: u64) {
        if let Some(machine) = self.running_machine_mut(index) {
            machine.commands_lost_until = Millis(until);
        }
    }

    /// Ends the interception and delivers the intercepted heartbeats to one controller, whatever the state of their
    /// machines. Nothing waits for the responses.
    pub fn release_heartbeats(&mut self, controller: usize) {
        self.network.intercepted_machines.clear();
        for mut heartbeat in std::mem::take(&mut self.network.intercepted_heartbeats) {
            heartbeat.controller = controller;
            self.post(
                self.now + 3,
                ScheduledMessage::DuplicateHeartbeat(heartbeat),
            );
        }
    }

    /// Reboots a machine at once, which ends its tasks. With `reset_agent` its agent also loses its counters.
    pub fn reboot_worker(&mut self, index: usize, reset_agent: bool) {
        if let Some(machine_id) = self.running_machine_id(index) {
            self.machines
                .reboot(&machine_id, reset_agent, Millis(self.now));
            self.copy_commands_of_restarted_machine(&machine_id);
        }
    }

    /// Makes every task that starts on a machine from now on fail.
    pub fn break_worker(&mut self, index: usize) {
        if let Some(machine) = self.running_machine_mut(index) {
            machine.faulty = true;
        }
    }
}
