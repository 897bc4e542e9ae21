//! Workers' heartbeats at the controller: which controller answers them, and what they prove.
//!
//! The modules here hold the logic; the state belongs to [`Machine`](crate::workers::Machine),
//! [`WorkerContact`](super::reachability::WorkerContact) and the job cache.
//!
//! * `answer`: the response to a heartbeat.
//! * `observation`: a machine's newest heartbeat compared with the job records.
//! * `direct_commands`: commands that do not wait for a heartbeat.
//! * `liveness`: how long machines have been silent, and which controller can judge that.
//! * `contact`: release of the shards of a controller that receives no heartbeats at all.
//! * `sweep`: the periodic pass over all machines.
//! * `replica_migration`: service replicas on machines that are being drained.

mod answer;
mod contact;
mod direct_commands;
mod liveness;
mod observation;
mod replica_migration;
mod sweep;

use super::{Controller, Effect};
use crate::types::{Millis, ReplyId};
use crate::workers::wire::Heartbeat;
pub(in crate::controller) use liveness::MachineSilence;

pub(super) use sweep::SILENT_MACHINE_TTL;

/// A worker that has been silent for this many heartbeat intervals gets no new tasks. The loss of
/// two heartbeats is common, and the third is due half an interval later.
const MISSED_HEARTBEAT_INTERVALS: f64 = 2.5;

impl Controller {
    /// The silence after which a worker gets no new tasks.
    pub(super) fn heartbeat_timeout(&self) -> Millis {
        let interval_s = self.settings.deployment.workers.heartbeat_interval_s;
        Millis::from_secs(interval_s * MISSED_HEARTBEAT_INTERVALS)
    }

    /// Handles a heartbeat that arrived over HTTP and queues its response.
    pub(super) fn on_heartbeat(&mut self, reply: ReplyId, heartbeat: Heartbeat) {
        self.contact.record_heartbeat(self.now);
        let answer = self.answer_heartbeat(heartbeat);
        self.effects.push(Effect::Worker { reply, answer });
    }
}

#[cfg(test)]
mod tests;
