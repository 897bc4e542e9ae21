//! Simulated environment of the daemon: a state service, a cloud, machines with their workers, and users. Every
//! event is checked against the protocol's rules.
//!
//! The models do no I/O and read no clock. `sim` drives them in virtual time with complete controllers in the same
//! process; `live` drives them over HTTP on loopback with real controller processes.

pub mod cloud;
pub mod config;
pub mod contention;
pub mod cuts;
pub mod live;
pub mod machines;
pub mod meter;
pub mod rules;
pub mod scale;
pub mod sim;
pub mod slopes;
pub mod state;
pub mod waits;
