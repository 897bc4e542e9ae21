//! The scale run: real controller processes, with hollow workers, users, a cloud and a state service of this
//! process over real sockets on loopback.

mod limits;
mod load;
mod measure;
mod run;
mod settings;

pub use limits::{Limit, check_limits};
pub use measure::{Outcome, ProcessSample, Second};
pub use run::{Progress, run};
pub use settings::ScaleSettings;
