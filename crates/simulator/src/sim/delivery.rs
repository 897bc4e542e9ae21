//! Delivery of scheduled messages to controllers, the store, workers and users.

use std::time::Instant;

use jaspertiller::controller::{Controller, Event};
use jaspertiller::types::Millis;
use rand::Rng;

use super::message::{ProcessId, ScheduledMessage};
use super::store_calls::store_lanes;
use super::{World, metering};
use crate::meter::Direction;

/// Interval of a controller's ticks in milliseconds.
const TICK_INTERVAL: u64 = 100;

impl World {
    /// Delivers one message at the current virtual time.
    pub(super) fn deliver(&mut self, message: ScheduledMessage) {
        match message {
            ScheduledMessage::Step => self.step(),
            ScheduledMessage::Stop { controller } => {
                self.controllers[controller] = None;
                self.stopped_at[controller] = self.now;
            }
            ScheduledMessage::Start { controller } => self.start_controller(controller),
            ScheduledMessage::Tick(process) => self.tick(process),
            ScheduledMessage::ControllerEvent { process, event } => {
                if self.is_current(process) {
                    self.handle(process.controller, *event);
                }
            }
            ScheduledMessage::StoreCall {
                sender,
                call,
                reply,
            } => self.receive_store_call(sender, call, reply),
            ScheduledMessage::LateWrite(transaction) => self.apply_late_write(transaction),
            ScheduledMessage::LateAnswer { written, revision } => {
                self.count_late_answer(&written, revision);
            }
            ScheduledMessage::BudgetCheck(process) => {
                if self.is_current(process) {
                    self.send_store_calls(process.controller);
                }
            }
            ScheduledMessage::DirectCommands(direct) => self.receive_direct_commands(direct),
            ScheduledMessage::CommandCopy(commands) => {
                self.deliver_command_copy(&commands);
            }
            ScheduledMessage::Heartbeat(heartbeat) => self.receive_heartbeat(heartbeat),
            ScheduledMessage::DuplicateHeartbeat(heartbeat) => {
                self.receive_duplicate_heartbeat(heartbeat);
            }
            ScheduledMessage::HeartbeatResponse {
                heartbeat,
                response,
            } => {
                let now = Millis(self.now);
                self.machines.receive_response(&heartbeat, response, now);
            }
            ScheduledMessage::Submit { job_index } => self.send_submission(job_index),
            ScheduledMessage::Poll(job) => self.send_poll(job),
            ScheduledMessage::Abort(job) => self.send_abort(job),
        }
    }

    /// Starts a new process of a controller, with empty store lanes and a newly drawn seed.
    fn start_controller(&mut self, controller: usize) {
        self.epochs[controller] += 1;
        self.store_lanes[controller] = store_lanes(&self.settings[controller], self.now);
        self.next_budget_check[controller] = 0;
        let seed = self.rng.random();
        let settings = self.settings[controller].clone();
        self.controllers[controller] = Some(Controller::new(settings, seed));
        let process = self.process(controller);
        self.post(self.now + 1, ScheduledMessage::Tick(process));
        self.copy_commands_of_restarted_controller(controller);
    }

    fn tick(&mut self, process: ProcessId) {
        if self.is_current(process) && self.controllers[process.controller].is_some() {
            self.handle(process.controller, Event::Tick);
            self.post(self.now + TICK_INTERVAL, ScheduledMessage::Tick(process));
        }
    }

    /// Lets a controller handle an event, and executes the resulting effects. Does nothing if the controller is not
    /// running.
    pub(super) fn handle(&mut self, index: usize, event: Event) {
        let now = Millis(self.now);
        let Some(controller) = &mut self.controllers[index] else {
            return;
        };
        let _span = tracing::info_span!("at", now = now.0, node = index).entered();
        let kind = self.meter.as_mut().map(|meter| {
            let (kind, bytes) = metering::describe_event(&event);
            meter.nodes[index].message(Direction::Received, kind, bytes);
            kind
        });
        let started_at = Instant::now();
        let effects = controller.handle(event, now);
        if let (Some(kind), Some(meter)) = (kind, &mut self.meter) {
            meter.nodes[index].handled(kind, started_at.elapsed());
            for effect in &effects {
                metering::record_sent(&mut meter.nodes[index], effect);
            }
        }
        for effect in effects {
            self.execute_effect(index, effect);
        }
    }
}
