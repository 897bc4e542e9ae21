//! The table of the server's connections: what each is for, how long it has been idle, and how many there are.
//! Free of I/O; the [acceptor](super::connection_acceptor) owns the one table.

use std::collections::HashMap;
use std::hash::Hash;

use crate::types::Millis;

/// What a connection to the server is for, by its latest request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum ConnectionClass {
    /// No request has arrived yet.
    New,
    /// Health checks.
    Probe,
    /// Heartbeats of a worker.
    Heartbeat,
    /// Requests of users.
    User,
}

impl ConnectionClass {
    /// The class of a request for this path.
    #[must_use]
    pub fn of(path: &str) -> Self {
        match path {
            "/v1/report" => ConnectionClass::Heartbeat,
            "/ready" => ConnectionClass::Probe,
            _ => ConnectionClass::User,
        }
    }
}

/// Largest fraction of the connections that may have sent no request yet: half-open ones must not keep workers out.
const MAX_NEW_FRACTION: f64 = 0.3;
/// Largest fraction of the connections for users: the others are for workers.
const MAX_USER_FRACTION: f64 = 0.4;
/// From this fraction of the connections on, a response to a user closes its connection.
const CLOSE_USERS_FRACTION: f64 = 0.65;
/// From this fraction on, a response to a worker closes its connection, too.
const CLOSE_HEARTBEATS_FRACTION: f64 = 0.75;
/// From this fraction on, idle connections are closed earlier.
const SHORT_IDLE_FRACTION: f64 = 0.85;
/// Idle timeouts are divided by this when they are shortened.
const SHORT_IDLE_DIVISOR: u64 = 5;
/// Each fraction is of at least this many connections.
const MIN_FRACTION_CONNECTIONS: usize = 2;

/// What each connection needs to know of all the others.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ConnectionPressure {
    /// Users are asked to retry later.
    pub users_full: bool,
    /// Responses to users close their connection.
    pub close_users: bool,
    /// Responses to workers close their connection.
    pub close_heartbeats: bool,
}

impl ConnectionPressure {
    /// Whether a connection is closed with the response that it gets.
    #[must_use]
    pub fn closes(self, class: ConnectionClass) -> bool {
        match class {
            ConnectionClass::Heartbeat => self.close_heartbeats,
            ConnectionClass::User => self.close_users,
            ConnectionClass::New | ConnectionClass::Probe => false,
        }
    }
}

/// How long a connection may be idle, by what it is for.
#[derive(Clone, Copy, Debug)]
pub struct IdleTimeouts {
    /// Until the first request is complete.
    pub new: Millis,
    /// Between two requests of a user.
    pub user: Millis,
    /// Between two heartbeats or health checks.
    pub heartbeat: Millis,
}

impl IdleTimeouts {
    /// Timeouts for workers that send a heartbeat at this interval: one that misses three in a row may lose its
    /// connection.
    #[must_use]
    pub fn for_heartbeats_every(interval: Millis) -> Self {
        Self {
            new: Millis(5_000),
            user: Millis(30_000),
            heartbeat: Millis(4 * interval.0 + 5_000),
        }
    }
}

/// An open connection.
#[derive(Clone, Copy, Debug)]
struct Connection {
    class: ConnectionClass,
    /// Whether a request is being worked on.
    busy: bool,
    /// When the connection was opened, or its latest request or response was there.
    since: Millis,
}

/// The connections of the server.
#[derive(Debug)]
pub struct ConnectionTable<K> {
    max_connections: usize,
    idle_timeouts: IdleTimeouts,
    connections: HashMap<K, Connection>,
    new_count: usize,
    user_count: usize,
}

impl<K: Copy + Eq + Hash> ConnectionTable<K> {
    /// A table without connections.
    #[must_use]
    pub fn new(max_connections: usize, idle_timeouts: IdleTimeouts) -> Self {
        Self {
            max_connections,
            idle_timeouts,
            connections: HashMap::new(),
            new_count: 0,
            user_count: 0,
        }
    }

    /// Whether one more connection is accepted.
    #[must_use]
    pub fn admits(&self) -> bool {
        self.connections.len() < self.max_connections
            && self.new_count < self.fraction(MAX_NEW_FRACTION)
    }

    /// Adds a connection.
    pub fn opened(&mut self, key: K, now: Millis) {
        let connection = Connection {
            class: ConnectionClass::New,
            busy: false,
            since: now,
        };
        self.connections.insert(key, connection);
        self.new_count += 1;
    }

    /// A request has arrived on a connection.
    pub fn request_started(&mut self, key: K, class: ConnectionClass, now: Millis) {
        let Some(connection) = self.connections.get_mut(&key) else {
            return;
        };
        let previous = std::mem::replace(&mut connection.class, class);
        connection.busy = true;
        connection.since = now;
        if let Some(count) = self.count_mut(previous) {
            *count -= 1;
        }
        if let Some(count) = self.count_mut(class) {
            *count += 1;
        }
    }

    /// The response to a request is ready.
    pub fn request_finished(&mut self, key: K, now: Millis) {
        if let Some(connection) = self.connections.get_mut(&key) {
            connection.busy = false;
            connection.since = now;
        }
    }

    /// Removes a connection.
    pub fn closed(&mut self, key: K) {
        if let Some(connection) = self.connections.remove(&key)
            && let Some(count) = self.count_mut(connection.class)
        {
            *count -= 1;
        }
    }

    /// How full the table is.
    #[must_use]
    pub fn pressure(&self) -> ConnectionPressure {
        ConnectionPressure {
            users_full: self.user_count > self.fraction(MAX_USER_FRACTION),
            close_users: self.len() >= self.fraction(CLOSE_USERS_FRACTION),
            close_heartbeats: self.len() >= self.fraction(CLOSE_HEARTBEATS_FRACTION),
        }
    }

    /// Connections that have been idle for too long.
    #[must_use]
    pub fn idle(&self, now: Millis) -> Vec<K> {
        let full = self.len() >= self.fraction(SHORT_IDLE_FRACTION);
        let is_idle =
            |connection: &Connection| now.since(connection.since) > self.timeout(connection, full);
        self.connections
            .iter()
            .filter(|(_, connection)| is_idle(connection))
            .map(|(key, _)| *key)
            .collect()
    }

    /// Number of connections.
    #[must_use]
    pub fn len(&self) -> usize {
        self.connections.len()
    }

    /// Whether there is no connection.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.connections.is_empty()
    }

    fn timeout(&self, connection: &Connection, full: bool) -> Millis {
        let shortened = |timeout: Millis| {
            if full {
                Millis(timeout.0 / SHORT_IDLE_DIVISOR)
            } else {
                timeout
            }
        };
        match connection.class {
            // Work on a request is bounded by itself, but a client that does not read the response is not.
            _ if connection.busy => self.idle_timeouts.user,
            ConnectionClass::New => shortened(self.idle_timeouts.new),
            ConnectionClass::User => shortened(self.idle_timeouts.user),
            ConnectionClass::Probe | ConnectionClass::Heartbeat => self.idle_timeouts.heartbeat,
        }
    }

    fn fraction(&self, fraction: f64) -> usize {
        ((self.max_connections as f64 * fraction) as usize).max(MIN_FRACTION_CONNECTIONS)
    }

    fn count_mut(&mut self, class: ConnectionClass) -> Option<&mut usize> {
        match class {
            ConnectionClass::New => Some(&mut self.new_count),
            ConnectionClass::User => Some(&mut self.user_count),
            ConnectionClass::Probe | ConnectionClass::Heartbeat => None,
        }
    }
}
