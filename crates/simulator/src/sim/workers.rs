//! Traffic between workers and controllers, and the periodic step that advances machines and leases.

use jaspertiller::controller::{CommandReply, Event};
use jaspertiller::types::{Millis, ReplyId};
use rand::Rng;

use super::World;
use super::command_copies::ExecutedCommands;
use super::effects::DIRECT_TIMEOUT;
use super::faults::Blocked;
use super::message::{DirectCommands, PendingReply, ScheduledMessage};
use crate::machines::OutgoingHeartbeat;
use crate::waits;

/// Interval in milliseconds of the steps that advance machines and leases.
const STEP_INTERVAL: u64 = 50;
/// Interval in milliseconds at which waiting jobs are compared with the free resources.
const WAITING_CHECK_INTERVAL: u64 = 1_000;
/// One-way latency of a message from a worker, in milliseconds.
const WORKER_MESSAGE_DELAY: u64 = 3;
/// Upper bound in milliseconds, exclusive, of the injected delay of a response to direct commands.
const MAX_RESPONSE_DELAY: u64 = 2_500;

impl World {
    /// Advances leases and machines to the current time, checks the protocol's invariants, and sends heartbeats.
    pub(super) fn step(&mut self) {
        let now = Millis(self.now);
        self.store.pass(now, self.is_store_down());
        let completed = self.machines.completed.len();
        let (started, heartbeats) = self.machines.step(now);
        self.rules.check(&started, &self.machines, now);
        if self.machines.completed.len() > completed {
            self.race_completions();
        }
        if now >= self.rules.calm && now.0 % WAITING_CHECK_INTERVAL < STEP_INTERVAL {
            let waiting = waits::runnable_jobs(&self.machines, &self.rules, now);
            self.rules.record_waiting_jobs(waiting, now);
        }
        for heartbeat in heartbeats {
            self.send_heartbeat(heartbeat);
        }
        self.post(self.now + STEP_INTERVAL, ScheduledMessage::Step);
    }

    /// Sends a heartbeat. If duplication is injected, a delayed duplicate is sent as well or instead.
    fn send_heartbeat(&mut self, heartbeat: OutgoingHeartbeat) {
        if let Some(copies) = self.network.heartbeat_copies.clone()
            && self.rng.random_bool(copies.share)
        {
            let at = self.now + self.rng.random_range(copies.delay_ms);
            let duplicate = ScheduledMessage::DuplicateHeartbeat(heartbeat.clone());
            self.post(at, duplicate);
            if self.rng.random_bool(copies.replace_share) {
                return;
            }
        }
        let at = self.now + WORKER_MESSAGE_DELAY + self.slow_link_delay();
        self.post(at, ScheduledMessage::Heartbeat(heartbeat));
    }

    /// Delivers a heartbeat to its controller, unless a fault intercepts, delays or drops it.
    pub(super) fn receive_heartbeat(&mut self, outgoing: OutgoingHeartbeat) {
        let machine_id = &outgoing.machine_id;
        if self.network.intercepted_machines.contains(machine_id) {
            return self.network.intercepted_heartbeats.push(outgoing);
        }
        let controller = outgoing.controller;
        let cut = self.worker_cut(controller, machine_id);
        if let Some(Blocked { until, hold: true }) = cut {
            return self.post(until + 1, ScheduledMessage::Heartbeat(outgoing));
        }
        let now = Millis(self.now);
        let machine = self.machines.by_id.get(machine_id);
        let is_lost = machine.is_some_and(|machine| machine.heartbeats_lost_until > now);
        if self.controllers[controller].is_none()
            || cut.is_some()
            || is_lost
            || !self.machines.can_send(machine_id, now)
        {
            return;
        }
        let heartbeat = outgoing.heartbeat.clone();
        let reply = self.expect_reply(PendingReply::Worker(outgoing));
        self.handle(controller, Event::Heartbeat { reply, heartbeat });
    }

    /// Delivers a duplicate heartbeat to its controller. Nothing waits for the response, and the machine may have
    /// been deleted.
    pub(super) fn receive_duplicate_heartbeat(&mut self, outgoing: OutgoingHeartbeat) {
        let (controller, heartbeat) = (outgoing.controller, outgoing.heartbeat);
        let machine = self.machines.by_id.get(&outgoing.machine_id);
        let is_from_old_epoch = machine.is_some_and(|m| m.agent_epoch > heartbeat.agent_epoch.0);
        self.fault_counts.copies_of_old_agent_epochs += u64::from(is_from_old_epoch);
        if self.worker_cut(controller, &outgoing.machine_id).is_none() {
            self.last_id += 1;
            let reply = ReplyId(self.last_id);
            self.handle(controller, Event::Heartbeat { reply, heartbeat });
        }
    }

    /// Delivers direct commands to a worker, which executes them if it is reachable.
    pub(super) fn receive_direct_commands(&mut self, direct: DirectCommands) {
        let machine = self.machines.by_id.get(&direct.machine_id);
        // A machine that rebooted after the commands were sent has lost their connection.
        if machine.is_some_and(|machine| machine.rebooted_at.0 > direct.sent_at) {
            if direct.reply.is_expected() {
                let event = direct.outcome(None);
                self.send_to(direct.sender.controller, self.now + 1, event);
            }
            return;
        }
        let now = Millis(self.now);
        let controller = direct.sender.controller;
        let is_reachable = self.machines.reachable(&direct.machine_id, now)
            && self
                .machines
                .is_reachable_from(&direct.machine_id, controller, now);
        if is_reachable {
            self.execute_direct_commands(direct);
        } else if direct.reply.is_expected() {
            let message = ScheduledMessage::ControllerEvent {
                process: direct.sender,
                event: Box::new(direct.outcome(None)),
            };
            self.post(self.now + DIRECT_TIMEOUT, message);
        }
    }

    fn execute_direct_commands(&mut self, mut direct: DirectCommands) {
        let now = Millis(self.now);
        let executed = ExecutedCommands::of(&direct);
        let commands = std::mem::take(&mut direct.commands);
        let has_commands = !commands.is_empty();
        let is_executed = self.machines.execute_direct(
            &direct.machine_id,
            direct.worker_token,
            direct.agent_epoch,
            commands,
            now,
        );
        let is_late = is_executed && has_commands && !direct.reply.is_expected();
        self.fault_counts.late_commands_executed += u64::from(is_late);
        if !direct.reply.is_expected() {
            return;
        }
        if is_executed && has_commands {
            self.record_executed_commands(executed);
        }
        let heartbeat = self.machines.heartbeat(&direct.machine_id);
        let answer = Some(CommandReply { heartbeat });
        // A delayed response may arrive after newer heartbeats.
        let fault = self.network.held_commands.clone();
        let fault = fault.filter(|fault| self.rng.random_bool(fault.share));
        let delay_ms = fault.map_or(0, |_| self.rng.random_range(0..MAX_RESPONSE_DELAY));
        let (process, event) = (direct.sender, Box::new(direct.outcome(answer)));
        let at = self.now + WORKER_MESSAGE_DELAY + delay_ms;
        self.post(at, ScheduledMessage::ControllerEvent { process, event });
    }
}
