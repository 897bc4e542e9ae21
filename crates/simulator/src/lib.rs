//! Stand-ins for what surrounds the daemon: a state service, a cloud, machines with their workers,
//! and users; and the protocol's rules, checked on all that happens. The models do no I/O and read
//! no clock: `sim` drives them in virtual time round whole controllers, `live` over HTTP on loopback
//! round real ones.

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
