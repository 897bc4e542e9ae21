//! Requests that wait for the controller, by kind and age. A pure data structure: the daemon pushes what it receives
//! and pops when it has nothing more urgent to do.
//!
//! Heartbeats are served before user requests, since leases depend on them, but user requests still get a share. A
//! request whose client has timed out is not handled.

use std::collections::VecDeque;

use crate::types::Millis;

/// The kinds of requests, the most important first.
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
    const COUNT: usize = 3;

    /// The longest time in the queue after which a response is still useful. Clients time out after 1 s for health
    /// checks, 4 s for heartbeats and 5 s for user requests (2 s for a poll).
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
/// The order after `HEARTBEATS_PER_USER_REQUEST` heartbeats without a user request.
const USERS_FIRST: [RequestKind; RequestKind::COUNT] = [
    RequestKind::Probe,
    RequestKind::User,
    RequestKind::Heartbeat,
];

/// Once the oldest request of a kind has waited this long, more arrive than can be handled. The newest is then served
/// first, since it has the most time left until its client's timeout.
const OVERLOAD_WAIT: Millis = Millis(1_000);
/// A user request is served after this many heartbeats.
const HEARTBEATS_PER_USER_REQUEST: u32 = 4;

/// A request and the time at which it was queued.
struct QueuedRequest<T> {
    queued_at: Millis,
    request: T,
}

/// The waiting requests, in one queue for each kind.
pub struct RequestQueue<T> {
    queues: [VecDeque<QueuedRequest<T>>; RequestKind::COUNT],
    max_per_kind: usize,
    heartbeats_since_user_request: u32,
}

impl<T> RequestQueue<T> {
    /// An empty queue for at most `max_per_kind` requests of each kind.
    #[must_use]
    pub fn new(max_per_kind: usize) -> Self {
        Self {
            queues: std::array::from_fn(|_| VecDeque::new()),
            max_per_kind,
            heartbeats_since_user_request: 0,
        }
    }

    /// Adds a request. If there are then too many of its kind, removes and returns the oldest.
    pub fn push(&mut self, kind: RequestKind, request: T, now: Millis) -> Option<T> {
        let queue = &mut self.queues[kind as usize];
        queue.push_back(QueuedRequest {
            queued_at: now,
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

    /// Takes the request to be served next. Requests that have waited too long are moved to `expired`.
    pub fn pop(&mut self, now: Millis, expired: &mut Vec<T>) -> Option<T> {
        self.expire(now, expired);
        let order = if self.heartbeats_since_user_request >= HEARTBEATS_PER_USER_REQUEST {
            USERS_FIRST
        } else {
            HEARTBEATS_FIRST
        };
        let (kind, request) = order
            .into_iter()
            .find_map(|kind| self.pop_kind(kind, now).map(|request| (kind, request)))?;
        match kind {
            RequestKind::Heartbeat => self.heartbeats_since_user_request += 1,
            RequestKind::User => self.heartbeats_since_user_request = 0,
            RequestKind::Probe => {}
        }
        Some(request)
    }

    fn expire(&mut self, now: Millis, expired: &mut Vec<T>) {
        for kind in HEARTBEATS_FIRST {
            let queue = &mut self.queues[kind as usize];
            while let Some(oldest) = queue.front()
                && now.since(oldest.queued_at) > kind.max_wait()
            {
                expired.extend(queue.pop_front().map(|oldest| oldest.request));
            }
        }
    }

    fn pop_kind(&mut self, kind: RequestKind, now: Millis) -> Option<T> {
        let queue = &mut self.queues[kind as usize];
        let overloaded = queue
            .front()
            .is_some_and(|oldest| now.since(oldest.queued_at) > OVERLOAD_WAIT);
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
