//! In which directions messages between a worker and its controller arrive.
//!
//! Outbound are the controller's commands and answers, inbound are the worker's heartbeats. Heartbeats
//! prove nothing of the outbound direction: they may arrive from a machine that no answer and no command
//! reaches, and a delayed copy may arrive long after the machine was deleted. Therefore the outbound
//! direction is confirmed by its effects: a response to a direct request, a start that a later heartbeat
//! shows, or an agent epoch that outlives a lease. Until then the machine gets no new tasks, does not count as
//! capacity, and its heartbeats are no evidence of liveness.

use crate::types::{AgentEpoch, Millis};

/// Consecutive lost answers after which the outbound direction is unconfirmed; a single lost answer is
/// common.
const MAX_LOST_ANSWERS: u8 = 2;

/// Which directions are known to work.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum Contact {
    /// Heartbeats may arrive, but nothing proves that commands do.
    #[default]
    Unconfirmed,
    /// Commands arrive and are answered, but heartbeats don't arrive, so the worker's lease expires.
    HeartbeatsLost,
    /// Commands arrive, and there is no evidence that heartbeats are lost.
    Confirmed,
}

/// The directions in which messages to and from a worker are known to arrive, and the evidence for that.
/// The default is unconfirmed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Reachability {
    contact: Contact,
    /// When the last unconfirmed period began.
    unconfirmed_since: Millis,
    /// The agent epoch in which that period began.
    unconfirmed_epoch: AgentEpoch,
    /// Consecutive answers that carried starts of which the next heartbeat showed none.
    lost_answers: u8,
    /// When the worker, or the holder of its shard, last sent a message newer than all before.
    last_message: Millis,
}

/// What a heartbeat that is newer than all before tells about the outbound direction.
#[derive(Clone, Copy, Debug)]
pub struct HeartbeatObservation {
    /// The agent epoch in which the heartbeat was sent.
    pub agent_epoch: AgentEpoch,
    /// The machine was unknown, or silent for longer than one or two lost heartbeats explain: the
    /// heartbeat may be a delayed copy from before the machine failed.
    pub after_silence: bool,
    /// The worker's agent epoch ended although this controller had answered it just before.
    pub epoch_ended_early: bool,
    /// Whether the heartbeat shows any of the starts in the answer to the previous one; `None` if that
    /// carried none.
    pub starts_shown: Option<bool>,
}

impl Reachability {
    /// Whether commands are known to arrive, and heartbeats are not known to be lost.
    #[must_use]
    pub fn is_confirmed(&self) -> bool {
        self.contact == Contact::Confirmed
    }

    /// Records that the worker responded to a request of this controller.
    pub fn confirm(&mut self) {
        self.contact = Contact::Confirmed;
        self.lost_answers = 0;
    }

    /// Records that the worker responds to requests while its heartbeats are lost: its lease expires, as
    /// if no command arrived.
    pub fn mark_heartbeats_lost(&mut self, now: Millis) {
        self.contact = Contact::HeartbeatsLost;
        self.last_message = now;
    }

    /// Applies the state that the holder of the machine's shard reports.
    pub fn set_by_holder(&mut self, confirmed: bool, now: Millis) {
        self.contact = if confirmed {
            Contact::Confirmed
        } else {
            Contact::Unconfirmed
        };
        self.last_message = now;
    }

    fn mark_unconfirmed(&mut self, agent_epoch: AgentEpoch, now: Millis) {
        if self.is_confirmed()
            || self.unconfirmed_since == Millis(0)
            || agent_epoch != self.unconfirmed_epoch
        {
            self.begin_unconfirmed_period(agent_epoch, now);
        }
        self.contact = Contact::Unconfirmed;
        self.lost_answers = 0;
    }

    fn begin_unconfirmed_period(&mut self, agent_epoch: AgentEpoch, now: Millis) {
        self.unconfirmed_since = now;
        self.unconfirmed_epoch = agent_epoch;
    }

    /// Applies a heartbeat. `lease` must be longer than an agent epoch of any worker lasts without an
    /// answer.
    pub fn observe_heartbeat(
        &mut self,
        observation: HeartbeatObservation,
        lease: Millis,
        now: Millis,
    ) {
        let agent_epoch = observation.agent_epoch;
        self.last_message = now;
        if observation.after_silence || observation.epoch_ended_early {
            return self.mark_unconfirmed(agent_epoch, now);
        }
        match observation.starts_shown {
            Some(true) => self.confirm(),
            Some(false) => {
                self.lost_answers += 1;
                if self.lost_answers >= MAX_LOST_ANSWERS {
                    self.mark_unconfirmed(agent_epoch, now);
                }
            }
            None => {}
        }
        if !self.is_confirmed() {
            self.confirm_by_epoch_length(agent_epoch, lease, now);
        }
    }

    /// Confirms a contact whose agent epoch has outlived a lease: answers renewed it, so some arrive.
    fn confirm_by_epoch_length(&mut self, agent_epoch: AgentEpoch, lease: Millis, now: Millis) {
        self.contact = Contact::Unconfirmed;
        if agent_epoch != self.unconfirmed_epoch {
            self.begin_unconfirmed_period(agent_epoch, now);
        } else if now.since(self.unconfirmed_since) > lease {
            self.confirm();
        }
    }

    /// Whether a message from the machine or the holder of its shard arrived within `silence`, while
    /// nothing confirms that commands reach the machine and heartbeats arrive.
    #[must_use]
    pub fn is_live_but_unconfirmed(&self, now: Millis, silence: Millis) -> bool {
        !self.is_confirmed() && now.since(self.last_message) <= silence
    }
}

#[cfg(test)]
mod tests;
