//! Execution of a controller's effects: calls, messages, commands and responses.

use jaspertiller::controller::{Effect, Event};
use jaspertiller::fleet::{CloudCall, CloudResponse};
use jaspertiller::jobs::api::Response;
use jaspertiller::peers::Message;
use jaspertiller::types::{ControllerId, MachineId, Millis, ReplyId};
use jaspertiller::workers::wire::HeartbeatResponse;
use rand::Rng;

use super::World;
use super::message::{DirectCommands, PendingReply, Reply, ScheduledMessage};
use crate::config::Config;

/// A controller gives up on direct commands after this many milliseconds.
pub(super) const DIRECT_TIMEOUT: u64 = 3_000;
/// Duration of a call to the cloud in milliseconds.
const CLOUD_CALL_DURATION: u64 = 80;
/// Duration of an inspection of a worker in milliseconds.
const INSPECTION_DURATION: u64 = 50;

impl World {
    /// Executes one effect of a controller.
    pub(super) fn execute_effect(&mut self, controller: usize, effect: Effect) {
        // Drawn for every effect, so that the kind of an effect does not change later draws.
        let delay = 2 + self.rng.random_range(0..6) + self.slow_link_delay();
        let now = Millis(self.now);
        match effect {
            Effect::Store { tag, class, call } => {
                let writes = call.writes();
                self.store_lanes[controller].push(class, writes, (tag, call), now);
                self.send_store_calls(controller);
            }
            Effect::SetWriteLimit { writes_per_s } => {
                self.store_lanes[controller].set_write_rate(writes_per_s, now);
                self.send_store_calls(controller);
            }
            Effect::Cloud { tag, call } => self.call_cloud(controller, tag, call),
            Effect::Peer { to, message } => self.send_to_peer(controller, &to, &message, delay),
            Effect::DirectCommands {
                machine_id,
                exchange,
                worker_token,
                agent_epoch,
                commands,
                ..
            } => {
                let direct = DirectCommands {
                    sender: self.process(controller),
                    machine_id,
                    exchange,
                    worker_token,
                    agent_epoch,
                    commands,
                    sent_at: self.now,
                    reply: Reply::Expected,
                };
                self.send_direct_commands(direct, delay);
            }
            Effect::Inspect { machine_id, .. } => self.inspect(controller, &machine_id),
            Effect::Worker { reply, answer } => {
                self.respond_to_worker(controller, reply, answer, delay);
            }
            Effect::User { reply, response } => self.respond_to_user(controller, reply, &response),
            Effect::Ready { .. } => {}
        }
    }

    /// Draws the injected extra latency of a message, in milliseconds.
    pub(super) fn slow_link_delay(&mut self) -> u64 {
        let delay_ms = self.network.slow_links.clone();
        delay_ms.map_or(0, |delay_ms| self.rng.random_range(delay_ms))
    }

    fn call_cloud(&mut self, controller: usize, tag: u64, call: CloudCall) {
        let answer = if self.is_cloud_down() {
            CloudResponse::Failed
        } else {
            let now = Millis(self.now);
            self.cloud
                .call(call, &mut self.machines, now, &mut self.rng)
        };
        let at = self.now + CLOUD_CALL_DURATION;
        self.send_to(
            controller,
            at,
            Event::Cloud {
                tag,
                response: answer,
            },
        );
    }

    fn send_to_peer(&mut self, sender: usize, to: &ControllerId, message: &Message, delay: u64) {
        let Some(target) = self.controller_index(to) else {
            return;
        };
        if self.are_peers_cut(sender, target) || self.controllers[target].is_none() {
            return;
        }
        let from = ControllerId::from(Config::label(sender));
        // Encoded and decoded, so that the receiver gets only what the wire format carries.
        let frame = bitcode::encode(message);
        if let Ok(message) = bitcode::decode::<Message>(&frame) {
            self.duplicate_to_peer(target, &from, &message);
            let event = Event::Peer { from, message };
            self.send_to(target, self.now + delay, event);
        }
    }

    fn controller_index(&self, label: &ControllerId) -> Option<usize> {
        (0..self.controllers.len()).find(|index| Config::label(*index) == label.as_str())
    }

    /// Schedules a duplicate of a message between controllers, if that fault is injected.
    fn duplicate_to_peer(&mut self, target: usize, from: &ControllerId, message: &Message) {
        let Some(copies) = self.network.peer_copies.clone() else {
            return;
        };
        if self.rng.random_bool(copies.share) {
            let at = self.now + self.rng.random_range(copies.delay_ms);
            let (from, message) = (from.clone(), message.clone());
            self.fault_counts.peer_copies += 1;
            self.send_to(target, at, Event::Peer { from, message });
        }
    }

    fn send_direct_commands(&mut self, mut direct: DirectCommands, delay: u64) {
        let controller = direct.sender.controller;
        if let Some(cut) = self.worker_cut(controller, &direct.machine_id) {
            self.time_out_direct_commands(&direct);
            if cut.hold {
                direct.reply = Reply::Abandoned;
                self.post(cut.until + 1, ScheduledMessage::DirectCommands(direct));
            }
            return;
        }
        let fault = self.network.held_commands.clone();
        let fault = fault.filter(|fault| self.rng.random_bool(fault.share));
        let extra_delay_ms = fault.map_or(0, |fault| self.rng.random_range(fault.delay_ms));
        // Drawn only if the fault is injected, so that other runs keep their draws.
        let late_reply_share = self.network.late_reply_share;
        let is_reply_late = late_reply_share > 0.0 && self.rng.random_bool(late_reply_share);
        self.fault_counts.late_replies += u64::from(is_reply_late);
        // The worker still executes commands whose sender times out.
        if is_reply_late || extra_delay_ms >= DIRECT_TIMEOUT {
            direct.reply = Reply::Abandoned;
            self.time_out_direct_commands(&direct);
        }
        let at = self.now + delay + extra_delay_ms;
        self.post(at, ScheduledMessage::DirectCommands(direct));
    }

    fn time_out_direct_commands(&mut self, direct: &DirectCommands) {
        let controller = direct.sender.controller;
        self.send_to(controller, self.now + DIRECT_TIMEOUT, direct.outcome(None));
    }

    fn inspect(&mut self, controller: usize, machine_id: &MachineId) {
        let answered = self.worker_cut(controller, machine_id).is_none()
            && self.machines.reachable(machine_id, Millis(self.now));
        let at = self.now + INSPECTION_DURATION;
        self.send_to(controller, at, Event::Inspected { answered });
    }

    fn respond_to_worker(
        &mut self,
        controller: usize,
        reply: ReplyId,
        response: HeartbeatResponse,
        delay: u64,
    ) {
        if let Some(PendingReply::Worker(heartbeat)) = self.pending_replies.remove(&reply)
            && self.worker_cut(controller, &heartbeat.machine_id).is_none()
        {
            let message = ScheduledMessage::HeartbeatResponse {
                heartbeat,
                response,
            };
            self.post(self.now + delay, message);
        }
    }

    fn respond_to_user(&mut self, controller: usize, reply: ReplyId, response: &Response) {
        if let Some(PendingReply::User(id)) = self.pending_replies.remove(&reply) {
            tracing::debug!(now = self.now, node = controller, job = %id, ?response, "response to user");
            self.receive_response(id, response);
        }
    }
}
