//! Detects which program a settings file belongs to.

use crate::SettingsError;
use std::{fs, path::Path};

/// The program that a settings file belongs to.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum SettingsKind {
    /// `agatehill-daemon`.
    Daemon,
    /// `agatehill-keeper`.
    Keeper,
}

impl SettingsKind {
    /// Detects the program from the keys of the file at `path`.
    ///
    /// # Errors
    ///
    /// The file can't be read. One that is not TOML counts as a daemon's; [`load`](crate::load)
    /// reports the syntax error.
    pub fn detect(path: &Path) -> Result<SettingsKind, SettingsError> {
        let text = fs::read_to_string(path).map_err(|e| SettingsError::unreadable(path, e))?;
        let table: toml::Table = toml::from_str(&text).unwrap_or_default();
        let is_keeper = table.contains_key("data_dir") || table.contains_key("keeper");
        if is_keeper {
            Ok(SettingsKind::Keeper)
        } else {
            Ok(SettingsKind::Daemon)
        }
    }
}
