//! The scale run: real controller processes under load, with the workers, users, cloud and key-value store of
//! this process, over sockets on loopback.
//!
//! `settings` says what is played, `limits` whether this machine can play it, `load` makes the jobs, `run`
//! plays them with `users` and `faults`, and `sampling` takes the measurements of `measure`.

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
