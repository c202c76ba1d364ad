//! Settings of the processes, written in TOML, and their logs.

pub mod daemon;
pub mod keeper;
pub mod kind;
pub mod listen;
pub mod log;

mod error;

pub use self::{
    daemon::{CallLimits, DaemonListen, DaemonSettings, SeedAddress},
    error::SettingsError,
    keeper::{KeeperListen, KeeperPeer, KeeperSettings},
    kind::SettingsKind,
    log::LogSettings,
};
pub use agatehill_decide::document::DocumentFault as SettingsFault;

use agatehill_decide::document;
use serde::de::DeserializeOwned;
use std::{fs, path::Path};

/// Settings that can contradict themselves.
pub trait SettingsCheck {
    /// Looks for values that contradict each other.
    ///
    /// # Errors
    ///
    /// The first contradiction found.
    fn check(&self) -> Result<(), SettingsFault>;
}

/// Reads settings of the kind `T` from the file at `path`.
///
/// # Errors
///
/// A file that can't be read, and unknown, missing or contradictory values.
pub fn load<T: DeserializeOwned + SettingsCheck>(path: &Path) -> Result<T, SettingsError> {
    let text = fs::read_to_string(path).map_err(|e| SettingsError::unreadable(path, e))?;
    document::parse(&text, T::check).map_err(|e| SettingsError::refused(path, e))
}
