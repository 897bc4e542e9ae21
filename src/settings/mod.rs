//! The settings of a controller, read into checked types: the platform's file (JSON), the operator's (INI), and
//! the summary of what is in force.
//!
//! This module reads and checks each file by itself. [`crate::settings_loader`] reads all files of a controller,
//! the quota tree among them, and checks them against each other.

mod error;
mod operator;
mod platform;
mod summary;

pub use error::{SettingsError, read_file, settings_error};
pub use operator::OperatorSettings;
pub use platform::{
    CloudLimits, Deployment, Endpoints, Member, Objective, ProcessLimits, Settings, StoreLimits,
    TeamSettings, WorkerTimings,
};

#[cfg(test)]
pub(crate) mod tests;
