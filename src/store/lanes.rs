//! Calls of the state service that wait for the budget, by class. Free of I/O: the actor that makes
//! the calls and the simulated region of the tests both ask it what goes next.

use std::collections::VecDeque;

use admission_control::floors::Floors;

use super::CallClass;
use super::budget::{Allowance, Share};
use crate::settings::State;
use crate::types::Millis;

/// Of all changes, the part that goes by the floors of their classes.
const FLOORS: f64 = 0.9;
/// A user's call that the budget kept waiting for this long is refused: its user is told to come
/// back.
const USERS_WAIT: Millis = Millis(1_500);

/// A call that waits, or waited.
#[derive(Debug)]
pub struct Waiting<T> {
    pub what: T,
    pub class: CallClass,
    /// Puts and deletes.
    pub writes: f64,
    pub asked: Millis,
}

/// What is to be done next.
#[derive(Debug)]
pub enum Next<T> {
    StoreCall(Waiting<T>),
    /// It waited for too long.
    Refuse(T),
    /// Nothing before so long.
    Wait(Millis),
    Nothing,
}

pub struct Lanes<T> {
    requests: Share,
    writes: Allowance,
    waiting: [VecDeque<Waiting<T>>; CallClass::ALL.len()],
    floors: Floors<CallClass>,
}

impl<T> Lanes<T> {
    pub fn new(limits: &State, controllers: usize, now: Millis) -> Self {
        Self {
            requests: Share::new(limits.rps, controllers, now),
            writes: Allowance::new(
                admission_control::plan::base(limits.write_rps, controllers),
                now,
            ),
            waiting: Default::default(),
            floors: Floors::weighted(FLOORS, CallClass::weight),
        }
    }

    pub fn push(&mut self, class: CallClass, writes: f64, what: T, asked: Millis) {
        let waiting = Waiting {
            what,
            class,
            writes,
            asked,
        };
        self.waiting[class as usize].push_back(waiting);
    }

    /// The changes a second that the plan allows us.
    pub fn allow(&mut self, writes: f64, now: Millis) {
        self.writes.allow(writes, now);
    }

    /// The state service said that its limit is exceeded: the call was not executed, and waits its
    /// turn once more.
    pub fn over_limit(&mut self, call: Waiting<T>, now: Millis) {
        if call.writes > 0.0 {
            self.writes.objection(now);
        } else {
            self.requests.objection(now);
        }
        self.waiting[call.class as usize].push_front(call);
    }

    pub fn next(&mut self, now: Millis) -> Next<T> {
        self.requests.grow(now);
        self.writes.grow(now);
        if let Some(late) = self.late(now) {
            return Next::Refuse(late);
        }
        let Some(class) = self.next_class() else {
            return Next::Nothing;
        };
        let Some(call) = self.waiting[class as usize].pop_front() else {
            return Next::Nothing;
        };
        let wait = self.requests.bucket.wait(1.0, now);
        let wait = wait.max(self.writes.bucket.wait(call.writes, now));
        if wait.0 > 0 && class != CallClass::Leases {
            self.waiting[class as usize].push_front(call);
            return Next::Wait(wait);
        }
        self.requests.bucket.take(1.0);
        self.writes.bucket.take(call.writes);
        if call.writes > 0.0 && class != CallClass::Leases {
            let mut asking = self.asking();
            if !asking.contains(&class) {
                asking.push(class);
            }
            self.floors.served(&class, call.writes, asking);
        }
        Next::StoreCall(call)
    }

    /// A user's call that the budget kept waiting for too long.
    fn late(&mut self, now: Millis) -> Option<T> {
        let users = CallClass::ALL.into_iter().filter(|class| class.of_users());
        for class in users {
            let waiting = &mut self.waiting[class as usize];
            if waiting
                .front()
                .is_some_and(|first| now.since(first.asked) > USERS_WAIT)
            {
                return waiting.pop_front().map(|call| call.what);
            }
        }
        None
    }

    /// The classes that wait to write.
    fn asking(&self) -> Vec<CallClass> {
        let waits =
            |class: &CallClass| class.weight() > 0.0 && !self.waiting[*class as usize].is_empty();
        CallClass::ALL.into_iter().filter(waits).collect()
    }

    /// Leases first, then proofs, then who writes, by floors.
    fn next_class(&self) -> Option<CallClass> {
        let first = [CallClass::Leases, CallClass::Proofs]
            .into_iter()
            .find(|class| !self.waiting[*class as usize].is_empty());
        first.or_else(|| self.floors.next(self.asking().into_iter().map(|c| (c, c))))
    }
}

#[cfg(test)]
mod tests;
