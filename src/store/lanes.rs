//! Priority lanes: the queues of calls that wait for the rate limits, one for each class. Without I/O: the store actor
//! and the simulator both ask [`Lanes::next`] which call to make next.

use std::collections::VecDeque;

use admission_control::floors::Floors;

use super::CallClass;
use super::budget::{AdaptiveRate, AssignedRate};
use crate::settings::StoreLimits;
use crate::types::Millis;

/// Fraction of the write rate that is guaranteed to the classes by their weights; the rest goes to the most urgent
/// class.
const GUARANTEED_WRITE_FRACTION: f64 = 0.9;
/// Time after which a queued call of a user is refused, so that the user is asked to retry while the response can still
/// reach them.
const MAX_USER_WAIT: Millis = Millis(1_500);

/// A call that is queued, or was taken from its queue.
#[derive(Debug)]
pub struct QueuedCall<T> {
    /// The call, as the caller passed it.
    pub payload: T,
    /// The class, which determines the lane.
    pub class: CallClass,
    /// Number of puts and deletes.
    pub writes: f64,
    /// When the caller sent the call; unchanged when the call is queued again.
    pub enqueued_at: Millis,
}

/// What the owner of the lanes is to do next.
#[derive(Debug)]
pub enum NextCall<T> {
    /// Make this call now.
    Start(QueuedCall<T>),
    /// Refuse this call, which was queued for too long: tell its caller that it was not executed.
    Refuse(T),
    /// Make no call before this time has passed.
    Wait(Millis),
    /// Nothing is queued.
    Nothing,
}

/// The queues of all classes, and the rate limits that they share.
pub struct Lanes<T> {
    requests: AdaptiveRate,
    writes: AssignedRate,
    queues: [VecDeque<QueuedCall<T>>; CallClass::ALL.len()],
    floors: Floors<CallClass>,
}

impl<T> Lanes<T> {
    /// Creates empty lanes. `controllers` is the number of controllers that share `limits`, this one included.
    pub fn new(limits: &StoreLimits, controllers: usize, now: Millis) -> Self {
        Self {
            requests: AdaptiveRate::new(limits.rps, controllers, now),
            writes: AssignedRate::new(
                admission_control::plan::base_share(limits.write_rps, controllers),
                now,
            ),
            queues: Default::default(),
            floors: Floors::weighted(GUARANTEED_WRITE_FRACTION, CallClass::weight),
        }
    }

    /// Queues a call behind the others of its class. `writes` is its number of puts and deletes.
    pub fn push(&mut self, class: CallClass, writes: f64, payload: T, enqueued_at: Millis) {
        self.queue(class).push_back(QueuedCall {
            payload,
            class,
            writes,
            enqueued_at,
        });
    }

    /// Sets the write rate that the admission plan assigns to this controller, in writes per second.
    pub fn set_write_rate(&mut self, rate: f64, now: Millis) {
        self.writes.assign(rate, now);
    }

    /// Reduces the rate and queues the call again, before all others of its class, after the store rejected the call
    /// because its rate limit is exceeded. Such a call was not executed.
    pub fn requeue_rate_limited(&mut self, call: QueuedCall<T>, now: Millis) {
        if call.writes > 0.0 {
            self.writes.on_rejection(now);
        } else {
            self.requests.on_rejection(now);
        }
        self.queue(call.class).push_front(call);
    }

    /// Returns what to do next. To be called until the result is [`NextCall::Wait`] or [`NextCall::Nothing`].
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
        // Lease calls are not delayed: a lease that is renewed too late costs more than a rejected call.
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

    /// Takes the tokens of a call, and charges its writes to its class in favor of the waiting classes.
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

    /// Removes a call of a user that has been queued for too long.
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

    /// Returns the classes that queue for the write rate and have waiting calls, the most urgent first.
    fn waiting_writers(&self) -> Vec<CallClass> {
        let waits =
            |class: &CallClass| class.weight() > 0.0 && !self.queues[*class as usize].is_empty();
        CallClass::ALL.into_iter().filter(waits).collect()
    }

    /// Returns the class to serve next: leases first, then read barriers, then the others by their guaranteed parts of
    /// the write rate.
    fn next_class(&self) -> Option<CallClass> {
        let unweighted = [CallClass::Leases, CallClass::ReadBarriers]
            .into_iter()
            .find(|class| !self.queues[*class as usize].is_empty());
        unweighted.or_else(|| {
            let waiting = self.waiting_writers().into_iter();
            self.floors.next(waiting.map(|class| (class, class)))
        })
    }
}

#[cfg(test)]
mod tests;
