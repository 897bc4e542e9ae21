//! Stand-ins for what surrounds the daemon: a state service, a cloud, machines with their workers,
//! and users; and the protocol's rules, checked on all that happens. Nothing here does I/O or reads
//! a clock: `sim` drives it in virtual time round whole controllers.

pub mod cloud;
pub mod config;
pub mod machines;
pub mod rules;
pub mod sim;
pub mod state;
