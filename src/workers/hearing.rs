//! Whether a worker hears us. That it speaks proves nothing of that.
//!
//! Reports may arrive from a machine that no answer and no order reaches, and a copy of a report may
//! arrive long after the machine is gone. So hearing is proved by effect: an answer to what we sent
//! it, a start that a later report shows, or a session that outlives a lease. Until then a machine
//! gets no new work, is no room, and what it says counts as no sign of life.

use crate::types::{Millis, Session};

/// One lost answer is no reason to doubt.
const MISSES: u8 = 2;

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Hearing {
    proved: bool,
    /// When it became doubtful, and in which session.
    since: Millis,
    session: Session,
    /// Answers in a row that carried starts of which the next report showed none.
    misses: u8,
    /// When a report newer than all before came last.
    spoke: Millis,
}

/// What a report that is newer than all before says of hearing.
#[derive(Clone, Copy, Debug)]
pub struct Said {
    pub session: Session,
    /// Nothing was known of the machine, or it had been silent for longer than a lost report or two
    /// explain: this may be a copy of what it sent before it went.
    pub unexpected: bool,
    /// Its session ended although we answered it just before.
    pub broken: bool,
    /// Of the starts in the answer to its last report, whether any is shown; none: there were none.
    pub obeyed: Option<bool>,
}

impl Hearing {
    pub fn proved(&self) -> bool {
        self.proved
    }

    /// It answered what we sent it.
    pub fn prove(&mut self) {
        self.proved = true;
        self.misses = 0;
    }

    /// It answers what we send, and can't report: its lease runs out, as if it heard nothing.
    pub fn mute(&mut self, now: Millis) {
        self.proved = false;
        self.spoke = now;
    }

    /// Its holder says so.
    pub fn told(&mut self, proved: bool, now: Millis) {
        self.proved = proved;
        self.spoke = now;
    }

    fn doubt(&mut self, session: Session, now: Millis) {
        if self.proved || self.since == Millis(0) || session != self.session {
            (self.since, self.session) = (now, session);
        }
        self.proved = false;
        self.misses = 0;
    }

    /// Takes in a report. `lease` is longer than any worker's session lasts without an answer.
    pub fn reported(&mut self, said: Said, lease: Millis, now: Millis) {
        self.spoke = now;
        if said.unexpected || said.broken {
            return self.doubt(said.session, now);
        }
        match said.obeyed {
            Some(true) => self.prove(),
            Some(false) => {
                self.misses += 1;
                if self.misses >= MISSES {
                    self.doubt(said.session, now);
                }
            }
            None => {}
        }
        if !self.proved {
            if said.session != self.session {
                (self.since, self.session) = (now, said.session);
            } else if now.since(self.since) > lease {
                // Somebody's answers have reached it, or its session would be over.
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
mod tests {
    use super::*;

    const LEASE: Millis = Millis(26_000);

    #[test]
    fn hearing_is_proved_by_effect_only() {
        let plain = Said {
            session: Session(1),
            unexpected: false,
            broken: false,
            obeyed: None,
        };
        let unexpected = Said {
            unexpected: true,
            ..plain
        };
        let obeyed = |yes| Said {
            obeyed: Some(yes),
            ..plain
        };
        let broken = Said {
            session: Session(2),
            broken: true,
            ..plain
        };
        let again = |session| Said {
            session: Session(session),
            ..plain
        };
        // Seconds at which something is reported, none: it answers what we sent; proved after each.
        type Step = (u64, Option<Said>, bool);
        let cases: [(&str, Vec<Step>); 7] = [
            (
                "one that is new is asked first",
                vec![(1, Some(unexpected), false), (1, None, true)],
            ),
            (
                "reports alone prove nothing",
                vec![
                    (1, Some(unexpected), false),
                    (5, Some(plain), false),
                    (9, Some(plain), false),
                ],
            ),
            (
                "a session that outlives a lease does",
                vec![(1, Some(unexpected), false), (28, Some(plain), true)],
            ),
            (
                "one that is over in between does not",
                vec![
                    (1, Some(unexpected), false),
                    (26, Some(again(2)), false),
                    (29, Some(again(2)), false),
                ],
            ),
            (
                "a start that is shown does",
                vec![(1, Some(unexpected), false), (3, Some(obeyed(true)), true)],
            ),
            (
                "one lost answer is no doubt, two in a row are",
                vec![
                    (1, None, true),
                    (2, Some(obeyed(false)), true),
                    (3, Some(obeyed(true)), true),
                    (4, Some(obeyed(false)), true),
                    (5, Some(obeyed(false)), false),
                ],
            ),
            (
                "a session that ends though it was answered is",
                vec![(1, None, true), (20, Some(broken), false), (21, None, true)],
            ),
        ];
        for (name, steps) in cases {
            let mut hearing = Hearing::default();
            for (index, (at, said, proved)) in steps.into_iter().enumerate() {
                let now = Millis(at * 1_000);
                match said {
                    Some(said) => hearing.reported(said, LEASE, now),
                    None => hearing.prove(),
                }
                assert_eq!(hearing.proved(), proved, "{name}, step {index}");
            }
        }
    }
}
