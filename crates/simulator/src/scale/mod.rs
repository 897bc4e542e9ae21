//! The scale run: real controller processes under load. Workers, users, cloud and key-value store are simulated
//! in this process and reached through sockets on loopback.
//!
//! `settings` holds the size of the run, `limits` checks whether this machine can host it, `load` generates the
//! jobs, `run` drives them with `users` and `faults`, and `sampling` takes the measurements that `measure` defines.

mod faults;
mod limits;
mod load;
mod measure;
mod run;
mod sampling;
mod settings;
mod users;

pub use limits::{Limit, check_limits};
pub use measure::{Event, JobCounts, Outcome, ProcessSample, Second};
pub use run::{Progress, run};
pub use settings::ScaleSettings;
