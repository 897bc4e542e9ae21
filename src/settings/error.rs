//! Errors in settings files.

use std::path::Path;

use hierarchical_quota::TreeError;

/// An error in a settings file: which file, which field, and why.
///
/// The reason includes the text of the underlying error; there is no separate source, since operators read this line
/// as it is.
#[derive(Debug, thiserror::Error)]
#[error("{file}: {field}: {reason}")]
pub struct SettingsError {
    /// The file, as the caller named it.
    pub file: String,
    /// The field, as written in the file, such as `deployment.state.rps` or `[queue] flush_s`; `file` for the file as a
    /// whole.
    pub field: String,
    /// What is wrong with the field.
    pub reason: String,
}

impl From<TreeError> for SettingsError {
    fn from(error: TreeError) -> Self {
        settings_error(&error.file, &error.field, error.reason)
    }
}

/// Creates the error for a field of a file.
pub fn settings_error(file: &str, field: &str, reason: impl ToString) -> SettingsError {
    SettingsError {
        file: file.into(),
        field: field.into(),
        reason: reason.to_string(),
    }
}

/// Reads the text of a settings file.
///
/// # Errors
/// The file can't be read, or is not UTF-8.
pub fn read_file(path: &Path) -> Result<String, SettingsError> {
    let unreadable = |error| settings_error(&path.display().to_string(), "file", error);
    std::fs::read_to_string(path).map_err(unreadable)
}
