//! Allocation of the open sockets that the platform allows: how many sockets each use gets, and which connections of
//! the HTTP server are closed when there are too many.
//!
//! The priority is, from high to low: what leases depend on (store and peers), heartbeats of workers, direct commands
//! to workers, users. The limit is enforced here so that the operating system never refuses a socket, which would
//! affect all of these uses alike.

mod budget;
pub mod connection_acceptor;
mod connection_table;

pub use budget::SocketBudget;
pub use connection_table::{ConnectionClass, ConnectionPressure, ConnectionTable, IdleTimeouts};

#[cfg(test)]
mod tests;
