//! Why settings were refused.

use agatehill_decide::document::DocumentError;
use std::{
    fmt, io,
    path::{Path, PathBuf},
};

/// Settings that could not be read or were refused.
#[derive(Debug)]
pub struct SettingsError {
    file: PathBuf,
    cause: SettingsCause,
}

#[derive(Debug)]
enum SettingsCause {
    Unreadable(io::Error),
    Refused(DocumentError),
}

impl SettingsError {
    pub(crate) fn unreadable(file: &Path, error: io::Error) -> SettingsError {
        SettingsError {
            file: file.to_owned(),
            cause: SettingsCause::Unreadable(error),
        }
    }

    pub(crate) fn refused(file: &Path, error: DocumentError) -> SettingsError {
        SettingsError {
            file: file.to_owned(),
            cause: SettingsCause::Refused(error),
        }
    }

    /// Returns the path of the key at fault, if the file could be read.
    pub fn key(&self) -> Option<&str> {
        match &self.cause {
            SettingsCause::Unreadable(_) => None,
            SettingsCause::Refused(error) => Some(&error.fault.key),
        }
    }
}

impl fmt::Display for SettingsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let file = self.file.display();
        match &self.cause {
            SettingsCause::Unreadable(error) => write!(f, "cannot read \"{file}\": {error}"),
            SettingsCause::Refused(error) => write!(f, "settings \"{file}\": {error}"),
        }
    }
}

impl std::error::Error for SettingsError {}
