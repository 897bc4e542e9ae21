//! Open sockets, which the platform limits: how many each use gets, and which connections of the server are closed
//! when there are too many.
//!
//! The order of importance is: what leases depend on (store and peers), heartbeats of workers, commands sent to
//! workers, users. The limit is enforced here, so that the system never refuses a socket, which would affect all of
//! them.

mod budget;
pub mod connection_acceptor;
mod connection_table;

pub use budget::Budget;
pub use connection_table::{ConnectionClass, ConnectionPressure, ConnectionTable, IdleTimeouts};

#[cfg(test)]
mod tests;
