//! Errors of the data folder.

use std::{fmt, io, path::PathBuf};

/// Why the data folder can't be used.
#[derive(Debug)]
pub enum StoreError {
    /// A file operation failed.
    Io {
        /// The file or folder.
        path: PathBuf,
        /// The error of the operating system.
        cause: io::Error,
    },
    /// Synced data has changed or is missing.
    Damaged {
        /// The file.
        path: PathBuf,
        /// Offset of the damage in the file, in bytes.
        offset: u64,
    },
    /// The folder belongs to another keeper.
    WrongOwner {
        /// The folder.
        path: PathBuf,
        /// Name of the owner.
        owner: String,
    },
    /// The claims in the folder are distributed over another number of groups.
    GroupCountMismatch {
        /// The folder.
        path: PathBuf,
        /// The number in the folder.
        stored: u16,
        /// The number in the settings.
        configured: u16,
    },
    /// Another process uses the folder.
    Locked {
        /// The folder.
        path: PathBuf,
    },
}

impl StoreError {
    pub(crate) fn io(path: impl Into<PathBuf>) -> impl FnOnce(io::Error) -> StoreError {
        let path = path.into();
        move |cause| StoreError::Io { path, cause }
    }
}

impl fmt::Display for StoreError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            StoreError::Io { path, cause } => write!(f, "{}: {cause}", path.display()),
            StoreError::Damaged { path, offset } => write!(
                f,
                "{}: damaged at byte {offset}; remove the data folder to start as a keeper that \
                 has lost its disk",
                path.display()
            ),
            StoreError::WrongOwner { path, owner } => {
                write!(f, "{} belongs to keeper \"{owner}\"", path.display())
            }
            StoreError::GroupCountMismatch {
                path,
                stored,
                configured,
            } => write!(
                f,
                "{} holds claims in {stored} groups, but the settings say {configured}; existing \
                 claims would not be found",
                path.display()
            ),
            StoreError::Locked { path } => {
                write!(f, "{} is in use by another process", path.display())
            }
        }
    }
}

impl std::error::Error for StoreError {}
