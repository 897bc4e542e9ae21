//! Sockets are a budget that the platform sets. Who gets how many is decided here, so that the
//! system never has to refuse one: first what leases hang on, then workers' heartbeats, then commands
//! sent to workers, then users.

pub mod connection_acceptor;

use std::collections::HashMap;
use std::hash::Hash;

use crate::types::Millis;

/// Of the platform's limit, the part that is used at the most.
const USED: f64 = 0.88;
/// For the state service, the cloud and the process itself, and for each other controller.
const OWN: usize = 24;
const PER_MEMBER: usize = 4;
/// Part of the limit for commands sent to workers directly.
const DIRECT: f64 = 0.08;
const LEAST_DIRECT: usize = 4;

/// How the platform's limit is divided.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Budget {
    /// Connections that other controllers may open to us.
    pub peers: usize,
    /// Orders to workers under way at a time.
    pub direct: usize,
    /// Connections of workers, users and probes.
    pub server: usize,
}

impl Budget {
    pub fn new(sockets: usize, members: usize) -> Self {
        let used = (sockets as f64 * USED) as usize;
        let direct = ((sockets as f64 * DIRECT) as usize).max(LEAST_DIRECT);
        let core = OWN + PER_MEMBER * members;
        Self {
            peers: 2 * members + 2,
            direct,
            // A process that has next to none still answers some.
            server: used.saturating_sub(core + direct).max(8),
        }
    }
}

/// What a connection to our server is for, by its latest request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum ConnectionClass {
    /// Nothing was asked yet.
    New,
    Probe,
    Heartbeat,
    User,
}

impl ConnectionClass {
    pub fn of(path: &str) -> Self {
        match path {
            "/v1/report" => ConnectionClass::Heartbeat,
            "/ready" => ConnectionClass::Probe,
            _ => ConnectionClass::User,
        }
    }
}

/// Parts of the server's connections: those that have asked nothing yet, and users'.
const MOST_NEW: f64 = 0.3;
const MOST_USERS: f64 = 0.4;
/// From these parts on, answers to users and to workers end their connection; and idle ones of
/// users are closed soon.
const CLOSE_USERS: f64 = 0.65;
const CLOSE_HEARTBEATS: f64 = 0.75;
const HASTE: f64 = 0.85;

/// What connections have to know of all others.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ConnectionPressure {
    /// Users are told to come back.
    pub users_full: bool,
    pub close_users: bool,
    pub close_heartbeats: bool,
}

impl ConnectionPressure {
    /// Whether a connection ends with the answer that it gets.
    pub fn closes(self, class: ConnectionClass) -> bool {
        match class {
            ConnectionClass::Heartbeat => self.close_heartbeats,
            ConnectionClass::User => self.close_users,
            ConnectionClass::New | ConnectionClass::Probe => false,
        }
    }
}

#[derive(Clone, Copy, Debug)]
struct Open {
    class: ConnectionClass,
    /// A request is being worked on.
    asked: bool,
    since: Millis,
}

/// How long a connection may be idle.
#[derive(Clone, Copy, Debug)]
pub struct IdleTimeouts {
    /// Until its first request is there in full.
    pub new: Millis,
    pub user: Millis,
    pub heartbeat: Millis,
}

impl IdleTimeouts {
    /// Workers report so often, give or take a quarter.
    pub fn for_heartbeats_every(heartbeat: Millis) -> Self {
        Self {
            new: Millis(5_000),
            user: Millis(30_000),
            heartbeat: Millis(4 * heartbeat.0 + 5_000),
        }
    }
}

/// The connections of our server.
#[derive(Debug)]
pub struct Ledger<K> {
    most: usize,
    idle_timeouts: IdleTimeouts,
    open: HashMap<K, Open>,
    new: usize,
    users: usize,
}

impl<K: Copy + Eq + Hash> Ledger<K> {
    pub fn new(most: usize, idle_timeouts: IdleTimeouts) -> Self {
        Self {
            most,
            idle_timeouts,
            open: HashMap::new(),
            new: 0,
            users: 0,
        }
    }

    fn part(&self, part: f64) -> usize {
        ((self.most as f64 * part) as usize).max(2)
    }

    /// Whether one more is taken.
    pub fn admits(&self) -> bool {
        self.open.len() < self.most && self.new < self.part(MOST_NEW)
    }

    pub fn opened(&mut self, key: K, now: Millis) {
        let (class, asked) = (ConnectionClass::New, false);
        let since = now;
        self.open.insert(
            key,
            Open {
                class,
                asked,
                since,
            },
        );
        self.new += 1;
    }

    fn count(&mut self, class: ConnectionClass) -> Option<&mut usize> {
        match class {
            ConnectionClass::New => Some(&mut self.new),
            ConnectionClass::User => Some(&mut self.users),
            ConnectionClass::Probe | ConnectionClass::Heartbeat => None,
        }
    }

    pub fn asked(&mut self, key: K, class: ConnectionClass, now: Millis) {
        let Some(open) = self.open.get_mut(&key) else {
            return;
        };
        let was = std::mem::replace(&mut open.class, class);
        (open.asked, open.since) = (true, now);
        if let Some(count) = self.count(was) {
            *count -= 1;
        }
        if let Some(count) = self.count(class) {
            *count += 1;
        }
    }

    pub fn answered(&mut self, key: K, now: Millis) {
        if let Some(open) = self.open.get_mut(&key) {
            (open.asked, open.since) = (false, now);
        }
    }

    pub fn closed(&mut self, key: K) {
        if let Some(open) = self.open.remove(&key)
            && let Some(count) = self.count(open.class)
        {
            *count -= 1;
        }
    }

    pub fn pressure(&self) -> ConnectionPressure {
        ConnectionPressure {
            users_full: self.users > self.part(MOST_USERS),
            close_users: self.open.len() >= self.part(CLOSE_USERS),
            close_heartbeats: self.open.len() >= self.part(CLOSE_HEARTBEATS),
        }
    }

    /// Connections that have been idle for too long.
    pub fn idle(&self, now: Millis) -> Vec<K> {
        let haste = self.open.len() >= self.part(HASTE);
        let hurry = |idle_timeouts: Millis| {
            if haste {
                Millis(idle_timeouts.0 / 5)
            } else {
                idle_timeouts
            }
        };
        let limit = |open: &Open| match open.class {
            // Work on a request is bounded already; a peer that does not read the answer is not.
            _ if open.asked => self.idle_timeouts.user,
            ConnectionClass::New => hurry(self.idle_timeouts.new),
            ConnectionClass::User => hurry(self.idle_timeouts.user),
            ConnectionClass::Probe | ConnectionClass::Heartbeat => self.idle_timeouts.heartbeat,
        };
        let over = self
            .open
            .iter()
            .filter(|(_, open)| now.since(open.since) > limit(open));
        over.map(|(key, _)| *key).collect()
    }

    pub fn len(&self) -> usize {
        self.open.len()
    }

    pub fn is_empty(&self) -> bool {
        self.open.is_empty()
    }
}

#[cfg(test)]
mod tests;
