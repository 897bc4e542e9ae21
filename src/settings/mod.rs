//! The settings of a controller, parsed into validated types: the platform's file (JSON) and the operator's file
//! (INI). Also the summary of the effective settings.
//!
//! This module parses and validates each file by itself. [`crate::settings_loader`] reads all files of a controller,
//! including the quota tree, and checks them against each other.

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
