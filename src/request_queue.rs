//! Requests that wait for the controller: what is asked for leases first, and nothing that its
//! asker has given up.

use std::collections::VecDeque;

use crate::types::Millis;

/// What a request is, the most important first.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestKind {
    /// A health check: its asker waits a second.
    Probe,
    /// A worker's heartbeat: 4 s.
    Heartbeat,
    /// A user: 5 s, and at a poll 2.
    User,
}

const KINDS: usize = 3;

/// A request that is worked on later than this comes too late for its asker.
fn idle_timeouts(kind: RequestKind) -> Millis {
    match kind {
        RequestKind::Probe => Millis(900),
        RequestKind::Heartbeat => Millis(3_500),
        RequestKind::User => Millis(4_000),
    }
}

/// Once the oldest has waited so long, there is more than can be done, and the newest have the
/// most time left.
const LATE: Millis = Millis(1_000);
/// After so many heartbeats a user's turn comes.
const HEARTBEATS_PER_USER: u32 = 4;

/// Requests by kind, each since when.
pub struct RequestQueue<T> {
    waiting: [VecDeque<(Millis, T)>; KINDS],
    /// The most of a kind.
    most: usize,
    heartbeats: u32,
}

impl<T> RequestQueue<T> {
    pub fn new(most: usize) -> Self {
        Self {
            waiting: Default::default(),
            most,
            heartbeats: 0,
        }
    }

    /// Takes a request; gives one back if too many wait.
    pub fn push(&mut self, kind: RequestKind, request: T, now: Millis) -> Option<T> {
        let waiting = &mut self.waiting[kind as usize];
        waiting.push_back((now, request));
        let over = waiting.len() > self.most;
        if over {
            waiting.pop_front().map(|(_, old)| old)
        } else {
            None
        }
    }

    pub fn is_empty(&self) -> bool {
        self.waiting.iter().all(VecDeque::is_empty)
    }

    /// The request whose turn it is; `gone` are those that came too late, to be let go.
    pub fn pop(&mut self, now: Millis, gone: &mut Vec<T>) -> Option<T> {
        for kind in [
            RequestKind::Probe,
            RequestKind::Heartbeat,
            RequestKind::User,
        ] {
            let waiting = &mut self.waiting[kind as usize];
            while let Some((at, _)) = waiting.front()
                && now.since(*at) > idle_timeouts(kind)
            {
                gone.extend(waiting.pop_front().map(|(_, old)| old));
            }
        }
        let users_turn = self.heartbeats >= HEARTBEATS_PER_USER;
        let order = if users_turn {
            [
                RequestKind::Probe,
                RequestKind::User,
                RequestKind::Heartbeat,
            ]
        } else {
            [
                RequestKind::Probe,
                RequestKind::Heartbeat,
                RequestKind::User,
            ]
        };
        for kind in order {
            let waiting = &mut self.waiting[kind as usize];
            let late = waiting.front().is_some_and(|(at, _)| now.since(*at) > LATE);
            let next = if late {
                waiting.pop_back()
            } else {
                waiting.pop_front()
            };
            let Some((_, request)) = next else { continue };
            match kind {
                RequestKind::Heartbeat => self.heartbeats += 1,
                RequestKind::User => self.heartbeats = 0,
                RequestKind::Probe => {}
            }
            return Some(request);
        }
        None
    }
}

#[cfg(test)]
mod tests;
