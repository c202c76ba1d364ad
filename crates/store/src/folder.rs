//! The data folder as a whole: its owner, and the lock against use by two processes.

use crate::{
    StoreError,
    file::private_options,
    record_file::{RecordFile, read_record, replace_record},
};
use agatehill_decide::name::KeeperName;
use serde::{Deserialize, Serialize};
use std::{
    fs::{self, File, TryLockError},
    path::{Path, PathBuf},
};

/// Owner of a data folder and number of its claim groups, stored in the file `owner`.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
struct FolderRecord {
    name: KeeperName,
    claim_groups: u16,
}

/// A data folder, locked for this process.
#[derive(Debug)]
pub struct DataFolder {
    path: PathBuf,
    /// Holds the lock on the folder while it is open.
    _lock: File,
}

impl DataFolder {
    /// Opens and locks the folder at `path` for the keeper `name`, whose claims are distributed
    /// over `claim_groups` groups. Creates the folder if it does not exist.
    ///
    /// # Errors
    ///
    /// The folder belongs to another keeper, has another number of claim groups, is in use, or
    /// can't be read or written.
    pub fn open(
        path: &Path,
        name: &KeeperName,
        claim_groups: u16,
    ) -> Result<DataFolder, StoreError> {
        fs::create_dir_all(path).map_err(StoreError::io(path))?;
        let lock = lock_folder(path)?;
        let file = path.join("owner");
        let expected = FolderRecord {
            name: name.clone(),
            claim_groups,
        };
        match read_record::<FolderRecord>(&file)? {
            Some(stored) => check_owner(path, &stored, &expected)?,
            None => replace_record(&file, &expected)?,
        }
        Ok(DataFolder {
            path: path.to_owned(),
            _lock: lock,
        })
    }

    /// Returns the file that holds the backend servers that have left their hosts.
    pub fn leave_file(&self) -> RecordFile {
        RecordFile::new(self.path.join("leaves"))
    }

    /// Returns the file that holds the strikes against requests that crash servers.
    pub fn strike_file(&self) -> RecordFile {
        RecordFile::new(self.path.join("strikes"))
    }

    /// Returns the path of the folder of `group`.
    pub fn group_path(&self, group: u16) -> PathBuf {
        self.path.join(format!("group-{group}"))
    }
}

fn check_owner(
    path: &Path,
    stored: &FolderRecord,
    expected: &FolderRecord,
) -> Result<(), StoreError> {
    let path = path.to_owned();
    if stored.name != expected.name {
        let owner = stored.name.to_string();
        return Err(StoreError::WrongOwner { path, owner });
    }
    if stored.claim_groups != expected.claim_groups {
        return Err(StoreError::GroupCountMismatch {
            path,
            stored: stored.claim_groups,
            configured: expected.claim_groups,
        });
    }
    Ok(())
}

fn lock_folder(path: &Path) -> Result<File, StoreError> {
    let file = path.join("lock");
    let mut options = private_options();
    options.create(true).write(true).truncate(true);
    let lock = options.open(&file).map_err(StoreError::io(&file))?;
    match lock.try_lock() {
        Ok(()) => Ok(lock),
        Err(TryLockError::WouldBlock) => Err(StoreError::Locked {
            path: path.to_owned(),
        }),
        Err(TryLockError::Error(cause)) => Err(StoreError::Io { path: file, cause }),
    }
}
