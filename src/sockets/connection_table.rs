//! The table of the HTTP server's connections: the class of each connection, how long it has been idle, and how many
//! there are. Without I/O; the [acceptor](super::connection_acceptor) owns the only table.

use std::collections::HashMap;
use std::hash::Hash;

use crate::types::Millis;

/// The class of a connection to the HTTP server, by its latest request.
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
    /// Returns the class of a request by its path. All unknown paths count as requests of users.
    #[must_use]
    pub fn of(path: &str) -> Self {
        match path {
            "/v1/report" => ConnectionClass::Heartbeat,
            "/ready" => ConnectionClass::Probe,
            _ => ConnectionClass::User,
        }
    }
}

/// Largest fraction of the connection limit for connections without a request yet: half-open connections must not keep
/// workers out.
const MAX_NEW_FRACTION: f64 = 0.3;
/// Largest fraction of the connection limit for users; the rest is for workers.
const MAX_USER_FRACTION: f64 = 0.4;
/// Fraction of the connection limit from which on a response to a user closes its connection.
const CLOSE_USERS_FRACTION: f64 = 0.65;
/// Fraction of the connection limit from which on a response to a worker closes its connection, too.
const CLOSE_HEARTBEATS_FRACTION: f64 = 0.75;
/// Fraction of the connection limit from which on the idle timeouts of new connections and users are shortened.
const SHORT_IDLE_FRACTION: f64 = 0.85;
/// Divisor of an idle timeout that is shortened.
const SHORT_IDLE_DIVISOR: u64 = 5;
/// Minimum number of connections that a fraction of the limit amounts to, however small the limit.
const MIN_FRACTION_CONNECTIONS: usize = 2;

/// How full the connection table is, as each connection needs to know it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ConnectionPressure {
    /// Users have too many connections; their requests are answered with a request to retry later.
    pub users_full: bool,
    /// Responses to users close their connection.
    pub close_users: bool,
    /// Responses to workers close their connection.
    pub close_heartbeats: bool,
}

impl ConnectionPressure {
    /// Whether the response to a request of this class closes its connection.
    #[must_use]
    pub fn closes(self, class: ConnectionClass) -> bool {
        match class {
            ConnectionClass::Heartbeat => self.close_heartbeats,
            ConnectionClass::User => self.close_users,
            ConnectionClass::New | ConnectionClass::Probe => false,
        }
    }
}

/// How long a connection may be idle, by its class.
#[derive(Clone, Copy, Debug)]
pub struct IdleTimeouts {
    /// Time from opening to the first complete request head.
    pub new: Millis,
    /// Time between two requests of a user; also the limit for a request in progress, of any class.
    pub user: Millis,
    /// Time between two heartbeats or health checks.
    pub heartbeat: Millis,
}

impl IdleTimeouts {
    /// Creates timeouts for workers that send a heartbeat at this interval. A worker may lose its connection after it
    /// misses three heartbeats in a row.
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
    /// Whether a request is being handled.
    busy: bool,
    /// Time of the latest event: the connection was opened, a request arrived, or its response was ready.
    active_at: Millis,
}

/// The open connections of the HTTP server, which `K` identifies.
#[derive(Debug)]
pub struct ConnectionTable<K> {
    max_connections: usize,
    idle_timeouts: IdleTimeouts,
    connections: HashMap<K, Connection>,
    new_count: usize,
    user_count: usize,
}

impl<K: Copy + Eq + Hash> ConnectionTable<K> {
    /// Creates an empty table. The limits are fractions of `max_connections`.
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

    /// Whether one more connection may be accepted.
    #[must_use]
    pub fn admits(&self) -> bool {
        self.connections.len() < self.max_connections
            && self.new_count < self.connections_in(MAX_NEW_FRACTION)
    }

    /// Adds a connection; to be called only if [`ConnectionTable::admits`] another one.
    pub fn opened(&mut self, key: K, now: Millis) {
        let connection = Connection {
            class: ConnectionClass::New,
            busy: false,
            active_at: now,
        };
        self.connections.insert(key, connection);
        self.new_count += 1;
    }

    /// Records that a request arrived on a connection; ignored for an unknown connection.
    pub fn request_started(&mut self, key: K, class: ConnectionClass, now: Millis) {
        let Some(connection) = self.connections.get_mut(&key) else {
            return;
        };
        let previous = std::mem::replace(&mut connection.class, class);
        connection.busy = true;
        connection.active_at = now;
        if let Some(count) = self.count_mut(previous) {
            *count -= 1;
        }
        if let Some(count) = self.count_mut(class) {
            *count += 1;
        }
    }

    /// Records that the response to a request is ready; ignored for an unknown connection.
    pub fn request_finished(&mut self, key: K, now: Millis) {
        if let Some(connection) = self.connections.get_mut(&key) {
            connection.busy = false;
            connection.active_at = now;
        }
    }

    /// Removes a connection; ignored for an unknown one.
    pub fn closed(&mut self, key: K) {
        if let Some(connection) = self.connections.remove(&key)
            && let Some(count) = self.count_mut(connection.class)
        {
            *count -= 1;
        }
    }

    /// Returns which limits the connections have reached.
    #[must_use]
    pub fn pressure(&self) -> ConnectionPressure {
        ConnectionPressure {
            users_full: self.user_count > self.connections_in(MAX_USER_FRACTION),
            close_users: self.len() >= self.connections_in(CLOSE_USERS_FRACTION),
            close_heartbeats: self.len() >= self.connections_in(CLOSE_HEARTBEATS_FRACTION),
        }
    }

    /// Returns the connections that have exceeded their idle timeout.
    #[must_use]
    pub fn idle(&self, now: Millis) -> Vec<K> {
        let shorten = self.len() >= self.connections_in(SHORT_IDLE_FRACTION);
        let is_idle = |connection: &Connection| {
            now.since(connection.active_at) > self.idle_timeout(connection, shorten)
        };
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

    fn idle_timeout(&self, connection: &Connection, shorten: bool) -> Millis {
        let maybe_shortened = |timeout: Millis| {
            if shorten {
                Millis(timeout.0 / SHORT_IDLE_DIVISOR)
            } else {
                timeout
            }
        };
        match connection.class {
            // The handling of a request has a timeout of its own, but a client that does not read its response has not.
            _ if connection.busy => self.idle_timeouts.user,
            ConnectionClass::New => maybe_shortened(self.idle_timeouts.new),
            ConnectionClass::User => maybe_shortened(self.idle_timeouts.user),
            ConnectionClass::Probe | ConnectionClass::Heartbeat => self.idle_timeouts.heartbeat,
        }
    }

    fn connections_in(&self, fraction: f64) -> usize {
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
