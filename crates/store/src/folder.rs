//! The data folder as a whole: whose it is, and that one process alone uses it.

use crate::{
    StoreError,
    group::{read_whole, replace_file},
};
use agatehill_decide::name::KeeperName;
use std::{
    fs::{self, File, TryLockError},
    path::{Path, PathBuf},
};

/// A data folder that this process alone uses.
#[derive(Debug)]
pub struct DataFolder {
    path: PathBuf,
    /// Holds the lock on the folder.
    _lock: File,
}

impl DataFolder {
    /// Opens the folder at `path`, made if it is missing, for the keeper `name`.
    ///
    /// # Errors
    ///
    /// The folder is another keeper's, is in use or can't be read or written.
    pub fn open(path: &Path, name: &KeeperName) -> Result<DataFolder, StoreError> {
        fs::create_dir_all(path).map_err(StoreError::io(path))?;
        let lock = lock_folder(path)?;
        let file = path.join("owner");
        let owner = match read_whole::<KeeperName>(&file)? {
            Some(owner) => owner,
            None => {
                replace_file(&file, name)?;
                name.clone()
            }
        };
        if owner != *name {
            return Err(StoreError::Foreign {
                path: path.to_owned(),
                owner: owner.to_string(),
            });
        }
        Ok(DataFolder {
            path: path.to_owned(),
            _lock: lock,
        })
    }

    /// Returns the folder of the group `group`.
    pub fn group_path(&self, group: u16) -> PathBuf {
        self.path.join(format!("group-{group}"))
    }
}

fn lock_folder(path: &Path) -> Result<File, StoreError> {
    let file = path.join("lock");
    let lock = File::create(&file).map_err(StoreError::io(&file))?;
    match lock.try_lock() {
        Ok(()) => Ok(lock),
        Err(TryLockError::WouldBlock) => Err(StoreError::Locked {
            path: path.to_owned(),
        }),
        Err(TryLockError::Error(cause)) => Err(StoreError::Io { path: file, cause }),
    }
}
