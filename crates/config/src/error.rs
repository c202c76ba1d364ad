//! Errors of loading settings.

use agatehill_decide::document::DocumentError;
use std::{
    fmt, io,
    path::{Path, PathBuf},
};

/// A settings file that can't be read or is invalid.
#[derive(Debug)]
pub struct SettingsError {
    file: PathBuf,
    cause: SettingsCause,
}

#[derive(Debug)]
enum SettingsCause {
    Unreadable(io::Error),
    Invalid(DocumentError),
}

impl SettingsError {
    pub(crate) fn unreadable(file: &Path, error: io::Error) -> SettingsError {
        SettingsError {
            file: file.to_owned(),
            cause: SettingsCause::Unreadable(error),
        }
    }

    pub(crate) fn invalid(file: &Path, error: DocumentError) -> SettingsError {
        SettingsError {
            file: file.to_owned(),
            cause: SettingsCause::Invalid(error),
        }
    }

    /// Returns the path of the invalid key, or `None` if the file can't be read.
    pub fn key(&self) -> Option<&str> {
        match &self.cause {
            SettingsCause::Unreadable(_) => None,
            SettingsCause::Invalid(error) => Some(&error.fault.key),
        }
    }
}

impl fmt::Display for SettingsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let file = self.file.display();
        match &self.cause {
            SettingsCause::Unreadable(error) => write!(f, "cannot read \"{file}\": {error}"),
            SettingsCause::Invalid(error) => write!(f, "settings \"{file}\": {error}"),
        }
    }
}

impl std::error::Error for SettingsError {}
