//! In which directions messages between a worker and its controller arrive.
//!
//! Outbound are our commands and answers, inbound the worker's heartbeats. Heartbeats prove nothing
//! of the outbound direction: they may arrive from a machine that no answer and no command reaches,
//! and a delayed copy of one may arrive long after the machine was deleted. So the outbound direction is
//! confirmed by effect: an answer to what we sent, a start that a later heartbeat shows, or an agent
//! epoch that outlives a lease. Until then a machine gets no new tasks, does not count as capacity,
//! and its heartbeats are no sign of life.

use crate::types::{AgentEpoch, Millis};

/// Answers in a row that must have been lost before the machine is in doubt: a single one is
/// common.
const MAX_LOST_ANSWERS: u8 = 2;

/// Which directions are known to work.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum Contact {
    /// Heartbeats may arrive, but nothing proves that commands do.
    #[default]
    Unconfirmed,
    /// Commands arrive and are answered, but heartbeats don't arrive: the lease expires.
    HeartbeatsLost,
    /// Commands arrive, and there is no evidence that heartbeats are lost.
    Confirmed,
}

/// What is known of the contact with a worker, and what decides when that changes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Reachability {
    contact: Contact,
    /// When the contact was last in doubt first.
    unconfirmed_since: Millis,
    /// The agent epoch in which it was.
    unconfirmed_epoch: AgentEpoch,
    /// Answers in a row that carried starts of which the next heartbeat showed none.
    lost_answers: u8,
    /// When the worker, or its holder, last sent what was newer than all before.
    last_message: Millis,
}

/// What a heartbeat that is newer than all before says of the outbound direction.
#[derive(Clone, Copy, Debug)]
pub struct HeartbeatObservation {
    /// The agent epoch that the heartbeat is of.
    pub agent_epoch: AgentEpoch,
    /// Nothing was known of the machine, or it had been silent for longer than a lost heartbeat or
    /// two explain: this may be a copy of what it sent before it failed.
    pub after_silence: bool,
    /// Its agent epoch ended although we answered it just before.
    pub epoch_ended_early: bool,
    /// Whether any of the starts in the answer to its last heartbeat is shown; `None` if there were
    /// none.
    pub starts_shown: Option<bool>,
}

impl Reachability {
    /// Whether commands are known to arrive, and heartbeats are not known to be lost.
    #[must_use]
    pub fn is_confirmed(&self) -> bool {
        self.contact == Contact::Confirmed
    }

    /// The worker answered what we sent it.
    pub fn confirm(&mut self) {
        self.contact = Contact::Confirmed;
        self.lost_answers = 0;
    }

    /// The worker answers what we send, and its heartbeats are lost: its lease expires, as if no
    /// command arrived.
    pub fn mark_heartbeats_lost(&mut self, now: Millis) {
        self.contact = Contact::HeartbeatsLost;
        self.last_message = now;
    }

    /// Applies what the holder of the machine's shard reports.
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
            self.begin_doubt(agent_epoch, now);
        }
        self.contact = Contact::Unconfirmed;
        self.lost_answers = 0;
    }

    fn begin_doubt(&mut self, agent_epoch: AgentEpoch, now: Millis) {
        self.unconfirmed_since = now;
        self.unconfirmed_epoch = agent_epoch;
    }

    /// Applies a heartbeat. `lease` is longer than any worker's agent epoch lasts without an answer.
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

    /// An agent epoch that outlives a lease was renewed by answers, so some arrive.
    fn confirm_by_epoch_length(&mut self, agent_epoch: AgentEpoch, lease: Millis, now: Millis) {
        self.contact = Contact::Unconfirmed;
        if agent_epoch != self.unconfirmed_epoch {
            self.begin_doubt(agent_epoch, now);
        } else if now.since(self.unconfirmed_since) > lease {
            self.confirm();
        }
    }

    /// Whether the machine sent something within `silence`, though nothing confirms the contact.
    #[must_use]
    pub fn is_live_but_unconfirmed(&self, now: Millis, silence: Millis) -> bool {
        !self.is_confirmed() && now.since(self.last_message) <= silence
    }
}

#[cfg(test)]
mod tests;
