//! The gate: whether a submission is taken now, and when its user should come back.
//!
//! What can't be written within a moment is sent away at once. Who is sent away is told to come
//! back when, at the rate at which submissions are taken, those who were sent away before have
//! been, and not all at the same time.

use std::collections::BTreeMap;

use crate::floors::Floors;
use crate::slots::Slot;

/// Submissions that would wait longer than this are to come back.
const MOST_WAIT_S: f64 = 1.0;
/// Of the changes that are allowed, the part that submissions surely get.
const PART: f64 = 0.7;
/// Of what is taken while not all is, the part that goes by the floors of classes.
const FLOORS: f64 = 0.5;
/// A class behind its floor, or one that is urgent, is taken beyond the bound by so many.
const BEYOND: usize = 2;
/// A class that was sent away asks for so long.
const ASKS_S: f64 = 3.0;
/// Users are told to come back after 1 to so many seconds. They give up after 60, and what nobody
/// comes for is lost; an early answer costs little.
const LONGEST_S: f64 = 6.0;
/// The rates are looked at in steps of a second, each weighing so much.
const NEWEST: f64 = 0.3;

#[derive(Debug)]
pub struct Gate {
    floors: Floors<Slot>,
    /// Classes that were sent away lately, and when last.
    sent_away: BTreeMap<Slot, f64>,
    /// Since when the present step is, and what came of it.
    since_s: f64,
    taken: u32,
    refused: u32,
    /// By what was seen: submissions taken a second, and the pause that users are told.
    rate: f64,
    pause_s: f64,
}

impl Default for Gate {
    fn default() -> Self {
        Self {
            floors: Floors::equal(FLOORS),
            sent_away: BTreeMap::new(),
            since_s: 0.0,
            taken: 0,
            refused: 0,
            rate: 0.0,
            pause_s: 1.0,
        }
    }
}

impl Gate {
    /// `pending` submissions wait to be written already, of `allowed` changes a second; `luck` lies
    /// between 0 and 1. Refused: seconds until its user should come back.
    pub fn ask(
        &mut self,
        class: Slot,
        urgent: bool,
        pending: usize,
        allowed: f64,
        now_s: f64,
        luck: f64,
    ) -> Result<(), u32> {
        self.look(allowed, now_s);
        let bound = (allowed * PART * MOST_WAIT_S).ceil().max(1.0) as usize;
        self.sent_away.retain(|_, at| now_s - *at < ASKS_S);
        let mut asking: Vec<Slot> = self.sent_away.keys().copied().collect();
        if !asking.contains(&class) {
            asking.push(class);
        }
        let due = self.floors.is_due(&class);
        let most = bound + if due || urgent { BEYOND } else { 0 };
        if pending < most {
            self.floors.served(&class, 1.0, asking);
            self.taken += 1;
            return Ok(());
        }
        self.sent_away.insert(class, now_s);
        self.refused += 1;
        let pause = self.pause_s * (0.5 + luck);
        Err(pause.round().clamp(1.0, LONGEST_S) as u32)
    }

    /// Those who were sent away and will be back are about as many as are sent away in the pause
    /// that they are told; they are taken at the rate at which submissions are.
    fn look(&mut self, allowed: f64, now_s: f64) {
        let passed = now_s - self.since_s;
        if passed < 1.0 {
            return;
        }
        let (taken, refused) = (f64::from(self.taken), f64::from(self.refused));
        self.since_s = now_s;
        (self.taken, self.refused) = (0, 0);
        self.rate += (taken / passed - self.rate) * NEWEST;
        let away = refused / passed * self.pause_s;
        let pause = away / self.rate.max(allowed).max(0.1);
        self.pause_s += (pause.clamp(1.0, LONGEST_S) - self.pause_s) * NEWEST;
    }
}

#[cfg(test)]
mod tests;
