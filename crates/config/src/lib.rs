//! Settings of the programs, written in TOML, and initialisation of their logs.

pub mod daemon;
pub mod keeper;
pub mod kind;
pub mod listen;
pub mod log;

mod error;

pub use self::{
    daemon::{CallLimits, DaemonListen, DaemonSettings, SeedAddress},
    error::SettingsError,
    keeper::{KeeperLimits, KeeperListen, KeeperPeer, KeeperSettings},
    kind::SettingsKind,
    log::LogSettings,
};
pub use agatehill_decide::document::DocumentFault as SettingsFault;

use agatehill_decide::document;
use serde::de::DeserializeOwned;
use std::{fs, path::Path};

/// Settings whose values may be invalid or contradict each other.
pub trait SettingsCheck {
    /// Checks the values.
    ///
    /// # Errors
    ///
    /// The first invalid value found.
    fn check(&self) -> Result<(), SettingsFault>;
}

/// Reads the settings file at `path` and checks its values.
///
/// # Errors
///
/// The file can't be read or is not TOML; a key is unknown or missing; a value is invalid.
pub fn load<T: DeserializeOwned + SettingsCheck>(path: &Path) -> Result<T, SettingsError> {
    let text = fs::read_to_string(path).map_err(|e| SettingsError::unreadable(path, e))?;
    document::parse(&text, T::check).map_err(|e| SettingsError::invalid(path, e))
}
