//! Division of the platform's limit of open sockets among their uses.

/// Fraction of the limit that is used. The rest is a margin, so that the operating system never refuses a socket.
const USED_FRACTION: f64 = 0.88;
/// Sockets reserved for calls to the store and the cloud, and for the process itself.
pub(super) const RESERVED_SOCKETS: usize = 24;
/// Sockets reserved for each other controller.
const SOCKETS_PER_PEER: usize = 4;
/// Fraction of the limit that is for direct commands to workers.
const DIRECT_FRACTION: f64 = 0.08;
/// Minimum number of direct commands in flight, however small the limit.
const MIN_DIRECT_COMMANDS: usize = 4;
/// Minimum number of connections to the HTTP server, so that a process with very few sockets still serves some
/// requests.
const MIN_SERVER_CONNECTIONS: usize = 8;

/// The number of open sockets for each use, as parts of the platform's limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SocketBudget {
    /// Maximum number of connections from other controllers.
    pub peers: usize,
    /// Maximum number of direct commands to workers in flight.
    pub direct: usize,
    /// Maximum number of connections of workers, users and health checks to the HTTP server.
    pub server: usize,
}

impl SocketBudget {
    /// Divides a limit of `sockets` for a controller with `peers` other controllers. The minimums of direct commands
    /// and server connections may exceed a very small limit.
    #[must_use]
    pub fn new(sockets: usize, peers: usize) -> Self {
        let used = (sockets as f64 * USED_FRACTION) as usize;
        let direct = ((sockets as f64 * DIRECT_FRACTION) as usize).max(MIN_DIRECT_COMMANDS);
        let reserved = RESERVED_SOCKETS + SOCKETS_PER_PEER * peers;
        Self {
            peers: 2 * peers + 2,
            direct,
            server: used
                .saturating_sub(reserved + direct)
                .max(MIN_SERVER_CONNECTIONS),
        }
    }
}
