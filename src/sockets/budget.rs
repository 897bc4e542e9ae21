//! How the platform's limit of open sockets is divided.

/// Fraction of the limit that is used; the rest is a margin, so that the system never refuses a socket.
const USED_FRACTION: f64 = 0.88;
/// Sockets for calls to the store and the cloud, and for the process itself.
pub(super) const OWN_SOCKETS: usize = 24;
/// Sockets kept free for each other controller.
const SOCKETS_PER_MEMBER: usize = 4;
/// Fraction of the limit for commands that are sent to workers directly.
const DIRECT_FRACTION: f64 = 0.08;
/// Least number of direct commands in flight, however small the limit.
const MIN_DIRECT: usize = 4;
/// Least number of connections to the server: a process that has next to no sockets still serves some requests.
const MIN_SERVER: usize = 8;

/// The parts of the platform's limit of open sockets.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Budget {
    /// Connections that other controllers may open to this one.
    pub peers: usize,
    /// Direct commands to workers in flight.
    pub direct: usize,
    /// Connections of workers, users and health checks to the server.
    pub server: usize,
}

impl Budget {
    /// Divides `sockets` for a controller that has `members` others beside it.
    #[must_use]
    pub fn new(sockets: usize, members: usize) -> Self {
        let used = (sockets as f64 * USED_FRACTION) as usize;
        let direct = ((sockets as f64 * DIRECT_FRACTION) as usize).max(MIN_DIRECT);
        let core = OWN_SOCKETS + SOCKETS_PER_MEMBER * members;
        Self {
            peers: 2 * members + 2,
            direct,
            server: used.saturating_sub(core + direct).max(MIN_SERVER),
        }
    }
}
