//! Identity of a data folder.

use crate::{
    StoreError,
    group::{read_whole, replace_file},
};
use agatehill_decide::name::{Incarnation, KeeperName};
use serde::{Deserialize, Serialize};
use std::{
    fs::{self, File, TryLockError},
    path::{Path, PathBuf},
};

/// What a data folder is, as its file `identity` says.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
struct IdentityRecord {
    name: KeeperName,
    incarnation: Incarnation,
}

/// A data folder that this process alone uses.
#[derive(Debug)]
pub struct StoreIdentity {
    path: PathBuf,
    incarnation: Incarnation,
    /// Holds the lock on the folder.
    _lock: File,
}

impl StoreIdentity {
    /// Opens the folder at `path` for the keeper `name`; a new one gets the incarnation `fresh`.
    ///
    /// # Errors
    ///
    /// The folder is another keeper's, is in use or can't be read or written.
    pub fn open(
        path: &Path,
        name: &KeeperName,
        fresh: Incarnation,
    ) -> Result<StoreIdentity, StoreError> {
        fs::create_dir_all(path).map_err(StoreError::io(path))?;
        let lock = lock_folder(path)?;
        let file = path.join("identity");
        let record = match read_whole::<IdentityRecord>(&file)? {
            Some(record) => record,
            None => {
                let record = IdentityRecord {
                    name: name.clone(),
                    incarnation: fresh,
                };
                replace_file(&file, &record)?;
                record
            }
        };
        if record.name != *name {
            return Err(StoreError::Foreign {
                path: path.to_owned(),
                owner: record.name.to_string(),
            });
        }
        Ok(StoreIdentity {
            path: path.to_owned(),
            incarnation: record.incarnation,
            _lock: lock,
        })
    }

    /// Returns the incarnation of the folder.
    pub fn incarnation(&self) -> Incarnation {
        self.incarnation
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
