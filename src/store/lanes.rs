//! Priority lanes: the queues of calls that wait for the rate limits, one for each class. Free of I/O: the store
//! actor and the simulator both ask [`Lanes::next`] which call goes next.

use std::collections::VecDeque;

use admission_control::floors::Floors;

use super::CallClass;
use super::budget::{AdaptiveShare, Allowance};
use crate::settings::StoreLimits;
use crate::types::Millis;

/// Part of the write rate that is guaranteed to the classes by their weights; the rest goes by urgency.
const GUARANTEED_WRITES: f64 = 0.9;
/// A user's call that has been queued for this long is refused: its user is asked to retry while the answer
/// can still reach them.
const MAX_USER_WAIT: Millis = Millis(1_500);

/// A call that is queued, or was.
#[derive(Debug)]
pub struct QueuedCall<T> {
    /// The call, as its owner passed it.
    pub payload: T,
    /// Its lane.
    pub class: CallClass,
    /// Puts and deletes.
    pub writes: f64,
    /// When its owner asked for it; stays when the call is queued again.
    pub enqueued_at: Millis,
}

/// What the owner of the lanes does next.
#[derive(Debug)]
pub enum NextCall<T> {
    /// Make this call now.
    Start(QueuedCall<T>),
    /// Tell this call's owner that it is refused: it was queued for too long.
    Refuse(T),
    /// Make no call before this time has passed.
    Wait(Millis),
    /// Nothing is queued.
    Nothing,
}

/// The queues of all classes, and the rate limits that they share.
pub struct Lanes<T> {
    requests: AdaptiveShare,
    writes: Allowance,
    queues: [VecDeque<QueuedCall<T>>; CallClass::ALL.len()],
    floors: Floors<CallClass>,
}

impl<T> Lanes<T> {
    /// Empty lanes within `limits`, which `controllers` share.
    pub fn new(limits: &StoreLimits, controllers: usize, now: Millis) -> Self {
        Self {
            requests: AdaptiveShare::new(limits.rps, controllers, now),
            writes: Allowance::new(
                admission_control::plan::base_share(limits.write_rps, controllers),
                now,
            ),
            queues: Default::default(),
            floors: Floors::weighted(GUARANTEED_WRITES, CallClass::weight),
        }
    }

    /// Queues a call behind those of its class.
    pub fn push(&mut self, class: CallClass, writes: f64, what: T, asked: Millis) {
        self.queue(class).push_back(QueuedCall {
            payload: what,
            class,
            writes,
            enqueued_at: asked,
        });
    }

    /// Sets the write rate that the admission plan assigns to this controller, in writes a second.
    pub fn set_write_rate(&mut self, writes: f64, now: Millis) {
        self.writes.allow(writes, now);
    }

    /// The store rejected the call because its limit is exceeded: it was not executed, and is queued again before
    /// all others of its class.
    pub fn requeue_rate_limited(&mut self, call: QueuedCall<T>, now: Millis) {
        if call.writes > 0.0 {
            self.writes.on_rejection(now);
        } else {
            self.requests.on_rejection(now);
        }
        self.queue(call.class).push_front(call);
    }

    /// What to do next; to be called until it says [`NextCall::Wait`] or [`NextCall::Nothing`].
    pub fn next(&mut self, now: Millis) -> NextCall<T> {
        self.requests.increase(now);
        self.writes.increase(now);
        if let Some(expired) = self.pop_expired(now) {
            return NextCall::Refuse(expired);
        }
        let Some(class) = self.next_class() else {
            return NextCall::Nothing;
        };
        let Some(call) = self.queue(class).pop_front() else {
            return NextCall::Nothing;
        };
        let wait = self.requests.bucket.time_until_available(1.0, now);
        let wait = wait.max(self.writes.bucket.time_until_available(call.writes, now));
        // A lease that is renewed too late costs more than a rejected call.
        if wait.0 > 0 && class != CallClass::Leases {
            self.queue(class).push_front(call);
            return NextCall::Wait(wait);
        }
        self.charge(&call);
        NextCall::Start(call)
    }

    fn queue(&mut self, class: CallClass) -> &mut VecDeque<QueuedCall<T>> {
        &mut self.queues[class as usize]
    }

    /// Takes the call's tokens, and charges its class in favour of the waiting ones.
    fn charge(&mut self, call: &QueuedCall<T>) {
        self.requests.bucket.take(1.0);
        self.writes.bucket.take(call.writes);
        if call.writes > 0.0 && call.class != CallClass::Leases {
            let mut waiting = self.waiting_writers();
            if !waiting.contains(&call.class) {
                waiting.push(call.class);
            }
            self.floors.record_served(&call.class, call.writes, waiting);
        }
    }

    /// Takes a user's call that has been queued for too long.
    fn pop_expired(&mut self, now: Millis) -> Option<T> {
        let users = CallClass::ALL
            .into_iter()
            .filter(|class| class.is_for_user());
        for class in users {
            let queue = self.queue(class);
            let expired = queue
                .front()
                .is_some_and(|first| now.since(first.enqueued_at) > MAX_USER_WAIT);
            if expired {
                return queue.pop_front().map(|call| call.payload);
            }
        }
        None
    }

    /// The classes with calls that wait to write, the most urgent first.
    fn waiting_writers(&self) -> Vec<CallClass> {
        let waits =
            |class: &CallClass| class.weight() > 0.0 && !self.queues[*class as usize].is_empty();
        CallClass::ALL.into_iter().filter(waits).collect()
    }

    /// Leases first, then read barriers, then the writers by their guaranteed parts.
    fn next_class(&self) -> Option<CallClass> {
        let first = [CallClass::Leases, CallClass::ReadBarriers]
            .into_iter()
            .find(|class| !self.queues[*class as usize].is_empty());
        first.or_else(|| {
            let waiting = self.waiting_writers().into_iter();
            self.floors.next(waiting.map(|class| (class, class)))
        })
    }
}

#[cfg(test)]
mod tests;
