//! A file with a single record that is replaced as a whole.

use agatehill_decide::name::KeeperName;
use agatehill_store::{DataFolder, StoreError};
use std::fs;
use tempfile::TempDir;

#[test]
fn record_is_replaced_and_damage_is_an_error() {
    let dir = TempDir::new().unwrap();
    let name = KeeperName::try_from("keeper-1").unwrap();
    let folder = DataFolder::open(dir.path(), &name, 1).unwrap();
    let file = folder.strike_file();
    assert_eq!(file.read::<Vec<u32>>().unwrap(), None);
    for record in [vec![1, 2, 3], Vec::new(), vec![4]] {
        file.replace(&record).unwrap();
        assert_eq!(file.read::<Vec<u32>>().unwrap(), Some(record));
    }
    let path = dir.path().join("strikes");
    let mut bytes = fs::read(&path).unwrap();
    *bytes.last_mut().unwrap() ^= 1;
    fs::write(&path, bytes).unwrap();
    let read = file.read::<Vec<u32>>();
    assert!(matches!(read, Err(StoreError::Damaged { .. })), "{read:?}");
}
