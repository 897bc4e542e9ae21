//! Errors of settings files.

use std::path::Path;

use hierarchical_quota::TreeError;

/// A settings file that can't be used: which file, which field, and why.
///
/// The reason includes the text of its cause; there is no separate source, since operators read this line as it is.
#[derive(Debug, thiserror::Error)]
#[error("{file}: {field}: {reason}")]
pub struct SettingsError {
    /// The file, as its path was given.
    pub file: String,
    /// The field, as it is written in the file, such as `deployment.state.rps` or `[queue] flush_s`.
    pub field: String,
    /// What is wrong with it.
    pub reason: String,
}

impl From<TreeError> for SettingsError {
    fn from(error: TreeError) -> Self {
        settings_error(&error.file, &error.field, error.reason)
    }
}

/// The error that a field of a file is wrong for a reason.
pub fn settings_error(file: &str, field: &str, reason: impl ToString) -> SettingsError {
    SettingsError {
        file: file.into(),
        field: field.into(),
        reason: reason.to_string(),
    }
}

/// The text of a settings file.
///
/// # Errors
/// The file can't be read, or is not UTF-8.
pub fn read_file(path: &Path) -> Result<String, SettingsError> {
    let unreadable = |error| settings_error(&path.display().to_string(), "file", error);
    std::fs::read_to_string(path).map_err(unreadable)
}
