//! Whether a worker hears us. That it speaks proves nothing of that.
//!
//! Reports may arrive from a machine that no answer and no order reaches, and a copy of a heartbeat may
//! arrive long after the machine is gone. So hearing is proved by effect: an answer to what we sent
//! it, a start that a later report shows, or an agent epoch that outlives a lease. Until then a machine
//! gets no new work, is no room, and what it says counts as no sign of life.

use crate::types::{AgentEpoch, Millis};

/// One lost answer is no reason to doubt.
const MISSES: u8 = 2;

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Reachability {
    proved: bool,
    /// When it became doubtful, and in which agent epoch.
    since: Millis,
    agent_epoch: AgentEpoch,
    /// Answers in a row that carried starts of which the next heartbeat showed none.
    misses: u8,
    /// When a heartbeat newer than all before came last.
    spoke: Millis,
}

/// What a heartbeat that is newer than all before says of hearing.
#[derive(Clone, Copy, Debug)]
pub struct HeartbeatObservation {
    pub agent_epoch: AgentEpoch,
    /// Nothing was known of the machine, or it had been silent for longer than a lost report or two
    /// explain: this may be a copy of what it sent before it went.
    pub unexpected: bool,
    /// Its agent epoch ended although we answered it just before.
    pub broken: bool,
    /// Of the starts in the answer to its last heartbeat, whether any is shown; none: there were none.
    pub obeyed: Option<bool>,
}

impl Reachability {
    pub fn proved(&self) -> bool {
        self.proved
    }

    /// It answered what we sent it.
    pub fn prove(&mut self) {
        self.proved = true;
        self.misses = 0;
    }

    /// It answers what we send, and can't report: its lease runs out, as if it heard nothing.
    pub fn unable_to_report(&mut self, now: Millis) {
        self.proved = false;
        self.spoke = now;
    }

    /// Its holder says so.
    pub fn told(&mut self, proved: bool, now: Millis) {
        self.proved = proved;
        self.spoke = now;
    }

    fn doubt(&mut self, agent_epoch: AgentEpoch, now: Millis) {
        if self.proved || self.since == Millis(0) || agent_epoch != self.agent_epoch {
            (self.since, self.agent_epoch) = (now, agent_epoch);
        }
        self.proved = false;
        self.misses = 0;
    }

    /// Takes in a heartbeat. `lease` is longer than any worker's agent epoch lasts without an answer.
    pub fn reported(&mut self, said: HeartbeatObservation, lease: Millis, now: Millis) {
        self.spoke = now;
        if said.unexpected || said.broken {
            return self.doubt(said.agent_epoch, now);
        }
        match said.obeyed {
            Some(true) => self.prove(),
            Some(false) => {
                self.misses += 1;
                if self.misses >= MISSES {
                    self.doubt(said.agent_epoch, now);
                }
            }
            None => {}
        }
        if !self.proved {
            if said.agent_epoch != self.agent_epoch {
                (self.since, self.agent_epoch) = (now, said.agent_epoch);
            } else if now.since(self.since) > lease {
                // Somebody's answers have reached it, or its agent epoch would be over.
                self.prove();
            }
        }
    }

    /// Whether it speaks, though nothing proves that it hears.
    pub fn doubtful(&self, now: Millis, silence: Millis) -> bool {
        !self.proved && now.since(self.spoke) <= silence
    }
}

#[cfg(test)]
mod tests;
