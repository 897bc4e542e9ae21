//! Requests that wait for the controller, by kind and age. A pure data structure: the daemon pushes what it receives
//! and pops when it has nothing more urgent to do.
//!
//! Heartbeats go before users, since leases depend on them, but users still get a share; a request whose requester
//! has timed out is not handled.

use std::collections::VecDeque;

use crate::types::Millis;

/// What a request is, the most important first.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestKind {
    /// A health check.
    Probe,
    /// A worker's heartbeat.
    Heartbeat,
    /// A request of a user.
    User,
}

impl RequestKind {
    /// Number of kinds.
    const COUNT: usize = 3;

    /// After this time in the queue a response would come too late. Health checks wait 1 s, workers 4 s, and users
    /// 5 s (2 s at a poll).
    fn max_wait(self) -> Millis {
        match self {
            RequestKind::Probe => Millis(900),
            RequestKind::Heartbeat => Millis(3_500),
            RequestKind::User => Millis(4_000),
        }
    }
}

/// The usual order.
const HEARTBEATS_FIRST: [RequestKind; RequestKind::COUNT] = [
    RequestKind::Probe,
    RequestKind::Heartbeat,
    RequestKind::User,
];
/// The order after `HEARTBEATS_PER_USER` heartbeats.
const USERS_FIRST: [RequestKind; RequestKind::COUNT] = [
    RequestKind::Probe,
    RequestKind::User,
    RequestKind::Heartbeat,
];

/// Once the oldest request of a kind has waited this long, there are more than can be handled: the newest goes first
/// then, since it has the most time left.
const OVERLOAD_WAIT: Millis = Millis(1_000);
/// A user's request goes first after this many heartbeats.
const HEARTBEATS_PER_USER: u32 = 4;

/// A request, and when it was queued.
struct Queued<T> {
    since: Millis,
    request: T,
}

/// Requests by kind.
pub struct RequestQueue<T> {
    queues: [VecDeque<Queued<T>>; RequestKind::COUNT],
    max_per_kind: usize,
    heartbeats_since_user: u32,
}

impl<T> RequestQueue<T> {
    /// An empty queue for at most `max_per_kind` requests of each kind.
    #[must_use]
    pub fn new(max_per_kind: usize) -> Self {
        Self {
            queues: std::array::from_fn(|_| VecDeque::new()),
            max_per_kind,
            heartbeats_since_user: 0,
        }
    }

    /// Adds a request; if there are too many of its kind, returns the oldest.
    pub fn push(&mut self, kind: RequestKind, request: T, now: Millis) -> Option<T> {
        let queue = &mut self.queues[kind as usize];
        queue.push_back(Queued {
            since: now,
            request,
        });
        if queue.len() > self.max_per_kind {
            queue.pop_front().map(|oldest| oldest.request)
        } else {
            None
        }
    }

    /// Whether no request waits.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.queues.iter().all(VecDeque::is_empty)
    }

    /// The request whose turn it is. Those that waited too long are moved to `expired`.
    pub fn pop(&mut self, now: Millis, expired: &mut Vec<T>) -> Option<T> {
        self.expire(now, expired);
        let order = if self.heartbeats_since_user >= HEARTBEATS_PER_USER {
            USERS_FIRST
        } else {
            HEARTBEATS_FIRST
        };
        let (kind, request) = order
            .into_iter()
            .find_map(|kind| self.pop_kind(kind, now).map(|request| (kind, request)))?;
        match kind {
            RequestKind::Heartbeat => self.heartbeats_since_user += 1,
            RequestKind::User => self.heartbeats_since_user = 0,
            RequestKind::Probe => {}
        }
        Some(request)
    }

    fn expire(&mut self, now: Millis, expired: &mut Vec<T>) {
        for kind in HEARTBEATS_FIRST {
            let queue = &mut self.queues[kind as usize];
            while let Some(oldest) = queue.front()
                && now.since(oldest.since) > kind.max_wait()
            {
                expired.extend(queue.pop_front().map(|oldest| oldest.request));
            }
        }
    }

    fn pop_kind(&mut self, kind: RequestKind, now: Millis) -> Option<T> {
        let queue = &mut self.queues[kind as usize];
        let overloaded = queue
            .front()
            .is_some_and(|oldest| now.since(oldest.since) > OVERLOAD_WAIT);
        let next = if overloaded {
            queue.pop_back()
        } else {
            queue.pop_front()
        };
        next.map(|queued| queued.request)
    }
}

#[cfg(test)]
mod tests;
