//! Messages between controllers: a status once a second, forwarded jobs, requests to preempt.
//!
//! [`Peers`] owns the last statuses of the other controllers and what was last sent to them.
//! `incoming_status` applies the status of another controller, `outgoing_status` builds the status
//! of this controller.

mod incoming_status;
mod outgoing_status;

use rustc_hash::FxHashMap as HashMap;

use super::preemption::PreemptionScope;
use super::{Controller, Effect};
use crate::peers::Message;
use crate::types::{ControllerId, JobId, MachineId, Millis, Revision};

/// How long the status of another controller is valid: one arrives every second, and two in a row
/// may be lost.
const PEER_STATUS_TTL: Millis = Millis(3_000);

/// The content of another controller's last status.
#[derive(Debug)]
pub(super) struct PeerStatus {
    /// When the status arrived.
    pub(super) received_at: Millis,
    /// The store revision that the sender's cache had reached.
    pub(super) revision: Revision,
    /// Time since the key-value store last answered the sender, when it sent the status.
    pub(super) without_store: Millis,
    /// Whether workers' heartbeats reach the sender.
    pub(super) receives_heartbeats: bool,
}

/// The other controllers, as known from their messages.
#[derive(Debug, Default)]
pub(super) struct Peers {
    /// The last status of each controller, however old.
    pub(super) statuses: HashMap<ControllerId, PeerStatus>,
    /// When this controller last sent its status.
    status_sent_at: Millis,
    /// The hash of each machine's description as it was last sent to the other controllers.
    sent_description_hashes: HashMap<MachineId, u64>,
}

impl Peers {
    /// The last status of another controller, if it is recent enough to rely on.
    pub(super) fn recent_status(
        &self,
        controller: &ControllerId,
        now: Millis,
    ) -> Option<&PeerStatus> {
        let status = self.statuses.get(controller);
        status.filter(|status| now.since(status.received_at) <= PEER_STATUS_TTL)
    }
}

impl Controller {
    /// Handles a message of another controller.
    pub(super) fn on_peer_message(&mut self, from: ControllerId, message: Message) {
        match message {
            Message::Hello { .. } => {}
            Message::Unplaced { job } => self.on_unplaced(&job.into()),
            Message::Place { job, preempt } => {
                let job = JobId::from(job);
                if let Some(machine_id) = preempt {
                    self.scheduler
                        .preemption_requests
                        .insert(job.clone(), machine_id.into());
                }
                self.accept_forwarded(&job);
            }
            Message::Preempt { job, machine_id } => {
                let job = JobId::from(job);
                if self.preempt(&job, PreemptionScope::On(machine_id.into())) {
                    self.expect_reclaimed_capacity(&job);
                }
            }
            Message::TasksDeparted(departures) => self.on_tasks_departed(departures),
            Message::TaskFailed { job, machine_id } => {
                self.record_task_failure(&job.into(), &machine_id.into());
            }
            Message::Status(status) => self.on_peer_status(from, status),
        }
    }

    /// Handles a job that another controller cannot place; only the leader takes it. A job that is
    /// queued here already keeps its position: it must not be tried sooner than its backoff allows.
    fn on_unplaced(&mut self, job: &JobId) {
        if self.leading().is_some() && !self.scheduler.queue.contains(job) {
            self.accept_forwarded(job);
        }
    }

    /// Queues a job that was forwarded to this controller. If the message arrived before the watch
    /// delivered the job's record, the job is queued as soon as the record arrives.
    pub(super) fn accept_forwarded(&mut self, id: &JobId) {
        let Some(job) = self.jobs.get(id) else {
            self.scheduler.forwarded_early.insert(id.clone(), self.now);
            return;
        };
        if job.is_active() && job.waiting_tasks() > 0 {
            let key = self.queue_key(job);
            self.scheduler.forwarded.insert(id.clone());
            self.scheduler.queue.activate(id, key);
        }
    }

    /// Sends a message to every other controller.
    fn send_to_all(&mut self, message: &Message) {
        for member in &self.settings.members {
            let (to, message) = (member.label.clone(), message.clone());
            self.effects.push(Effect::Peer { to, message });
        }
    }
}
