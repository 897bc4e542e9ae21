//! The client of the store, a consensus-backed key-value service that holds all state that must outlive a controller:
//! the calls and responses, and the actor that makes the calls within the rate limits.
//!
//! The daemon owns the only [`Store`]. [`lanes`] and [`budget`] are without I/O, so that the simulator runs the same
//! code. Only `wire` knows the JSON of the protocol.

pub mod budget;
mod call;
mod client;
mod exchange;
pub mod lanes;
mod transaction;
mod wire;
mod write_gate;

pub use call::{CallClass, Entry, StoreCall, StoreResponse, Update};
pub use client::{Store, StoreReply};
pub use transaction::{Mutation, Transaction};
pub use write_gate::WriteGate;
