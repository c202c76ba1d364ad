//! The data folder under crashes, damage and full disks.

use agatehill_decide::{
    name::{Incarnation, KeeperName},
    replica::{
        EntryPayload, GroupConfig, HardState, LogEntry, PersistBatch, RecoveredState,
        ReplicaSnapshot, SnapshotMeta,
    },
};
use agatehill_store::{DataFolder, GroupStore, LogFile, OpenedGroup, StoreError};
use rstest::rstest;
use std::{fs, io, path::Path};
use tempfile::TempDir;

const RECORD_BYTES: usize = 700;

fn entry(index: u64) -> LogEntry {
    let byte = index as u8 | 0x80;
    LogEntry {
        index,
        term: 1,
        payload: EntryPayload::Command(vec![byte; RECORD_BYTES].into()),
    }
}

fn batch(entries: impl IntoIterator<Item = u64>) -> PersistBatch {
    PersistBatch {
        entries: entries.into_iter().map(entry).collect(),
        ..PersistBatch::default()
    }
}

fn snapshot(index: u64) -> ReplicaSnapshot {
    let meta = SnapshotMeta {
        index,
        term: 1,
        config: GroupConfig::default(),
    };
    ReplicaSnapshot {
        meta,
        data: vec![7; 100].into(),
    }
}

/// Writes `count` entries with a sync after each; returns the length of the log after each.
fn write_entries(folder: &Path, count: u64) -> Vec<usize> {
    let mut store = open_group(folder).unwrap().store;
    let mut ends = Vec::new();
    for index in 1..=count {
        store.persist(&batch([index])).unwrap();
        ends.push(fs::metadata(folder.join("log")).unwrap().len() as usize);
    }
    ends
}

fn open_group(folder: &Path) -> Result<OpenedGroup, StoreError> {
    GroupStore::open(folder, Incarnation(1))
}

fn open(folder: &Path) -> Result<RecoveredState, StoreError> {
    open_group(folder).map(|opened| opened.recovered)
}

fn indexes(recovered: &RecoveredState) -> Vec<u64> {
    recovered.entries.iter().map(|e| e.index).collect()
}

#[test]
fn torn_last_record_is_truncated_at_any_length() {
    let dir = TempDir::new().unwrap();
    let ends = write_entries(dir.path(), 3);
    let log = fs::read(dir.path().join("log")).unwrap();
    for len in ends[1]..ends[2] {
        fs::write(dir.path().join("log"), &log[..len]).unwrap();
        let recovered = open(dir.path()).unwrap();
        assert_eq!(indexes(&recovered), [1, 2], "log truncated to {len} bytes");
        let actual = fs::metadata(dir.path().join("log")).unwrap().len();
        assert_eq!(actual as usize, ends[1], "torn bytes remain in the log");
    }
}

#[rstest]
#[case::all_sectors(0, usize::MAX)]
#[case::first_sector(0, 1_024)]
#[case::last_sector(1_024, usize::MAX)]
fn last_record_with_unwritten_sectors_is_truncated(#[case] from: usize, #[case] to: usize) {
    let dir = TempDir::new().unwrap();
    let ends = write_entries(dir.path(), 2);
    let mut log = fs::read(dir.path().join("log")).unwrap();
    let range = from.max(ends[0])..to.min(ends[1]);
    log[range].fill(0);
    fs::write(dir.path().join("log"), &log).unwrap();
    assert_eq!(indexes(&open(dir.path()).unwrap()), [1]);
}

#[test]
fn flipped_bit_in_any_synced_byte_is_detected() {
    let dir = TempDir::new().unwrap();
    write_entries(dir.path(), 3);
    let log = fs::read(dir.path().join("log")).unwrap();
    for at in 0..log.len() {
        let mut bad = log.clone();
        bad[at] ^= 1 << (at % 8);
        fs::write(dir.path().join("log"), &bad).unwrap();
        let opened = open(dir.path());
        assert!(
            matches!(opened, Err(StoreError::Damaged { .. })),
            "byte {at}: {opened:?}"
        );
    }
}

#[test]
fn zeroed_sectors_before_the_last_synced_record_are_detected() {
    let dir = TempDir::new().unwrap();
    let ends = write_entries(dir.path(), 4);
    let log = fs::read(dir.path().join("log")).unwrap();
    for start in (0..ends[2] - 512).step_by(512) {
        let mut bad = log.clone();
        bad[start..start + 512].fill(0);
        fs::write(dir.path().join("log"), &bad).unwrap();
        let opened = open(dir.path());
        assert!(
            matches!(opened, Err(StoreError::Damaged { .. })),
            "bytes from {start}: {opened:?}"
        );
    }
}

#[derive(Clone, Copy, Debug)]
enum CrashPoint {
    None,
    /// The new snapshot was partly or completely written, but not renamed.
    BeforeRename,
    /// The snapshot was replaced, the log was not.
    BeforeLog,
}

#[rstest]
#[case::none(CrashPoint::None, 3, &[4])]
#[case::before_rename(CrashPoint::BeforeRename, 0, &[1, 2, 3, 4])]
#[case::before_log(CrashPoint::BeforeLog, 3, &[4])]
fn snapshot_replacement_is_atomic(
    #[case] crash: CrashPoint,
    #[case] index: u64,
    #[case] entries: &[u64],
) {
    let dir = TempDir::new().unwrap();
    write_entries(dir.path(), 4);
    let old = fs::read(dir.path().join("log")).unwrap();
    let mut store = open_group(dir.path()).unwrap().store;
    let hard_state = HardState {
        term: 1,
        ..HardState::default()
    };
    store
        .replace_with_snapshot(&snapshot(3), &hard_state, &[entry(4)])
        .unwrap();
    drop(store);
    let path = dir.path().join("snapshot");
    match crash {
        CrashPoint::None => {}
        CrashPoint::BeforeRename => {
            let original = fs::read(&path).unwrap();
            fs::remove_file(&path).unwrap();
            fs::write(dir.path().join("snapshot.new"), &original[..50]).unwrap();
            fs::write(dir.path().join("log"), &old).unwrap();
        }
        CrashPoint::BeforeLog => fs::write(dir.path().join("log"), &old).unwrap(),
    }
    let recovered = open(dir.path()).unwrap();
    assert_eq!(
        recovered.snapshot.as_ref().map_or(0, |s| s.meta.index),
        index
    );
    assert_eq!(indexes(&recovered), entries);
}

#[test]
fn snapshot_damage_is_detected_at_every_byte() {
    let dir = TempDir::new().unwrap();
    let mut store = open_group(dir.path()).unwrap().store;
    store
        .replace_with_snapshot(&snapshot(3), &HardState::default(), &[])
        .unwrap();
    let path = dir.path().join("snapshot");
    let original = fs::read(&path).unwrap();
    for at in 0..original.len() {
        let mut bad = original.clone();
        bad[at] ^= 0x10;
        fs::write(&path, &bad).unwrap();
        let flipped = open(dir.path());
        assert!(flipped.is_err(), "flipped bit in byte {at}");
        fs::write(&path, &original[..at]).unwrap();
        assert!(open(dir.path()).is_err(), "truncated to {at} bytes");
    }
}

/// A file in memory on a disk of limited capacity, whose syncs can fail.
#[derive(Default)]
struct LimitedFile {
    data: Vec<u8>,
    capacity: usize,
    sync_fails: bool,
}

impl LogFile for &mut LimitedFile {
    fn append(&mut self, buf: &[u8]) -> io::Result<()> {
        let fits = buf.len().min(self.capacity - self.data.len());
        self.data.extend_from_slice(&buf[..fits]);
        if fits < buf.len() {
            return Err(io::ErrorKind::StorageFull.into());
        }
        Ok(())
    }

    fn sync(&mut self) -> io::Result<()> {
        if self.sync_fails {
            return Err(io::ErrorKind::StorageFull.into());
        }
        Ok(())
    }

    fn truncate(&mut self, len: u64) -> io::Result<()> {
        self.data.truncate(len as usize);
        Ok(())
    }
}

#[rstest]
#[case::append_fails_at_once(0, false)]
#[case::append_fails_halfway(RECORD_BYTES + 200, false)]
#[case::sync_fails(100_000, true)]
fn full_disk_fails_every_sync_and_keeps_synced_records(
    #[case] free_bytes: usize,
    #[case] sync_fails: bool,
) {
    let dir = TempDir::new().unwrap();
    let mut file = LimitedFile {
        capacity: 100_000,
        ..LimitedFile::default()
    };
    let mut store = GroupStore::with_file(dir.path(), &mut file, 0);
    store.append(&batch([1]));
    store.sync().unwrap();
    drop(store);
    let original = file.data.clone();
    file.capacity = original.len() + free_bytes;
    file.sync_fails = sync_fails;
    let mut store = GroupStore::with_file(dir.path(), &mut file, original.len() as u64);
    store.append(&batch([2, 3]));
    assert!(store.sync().is_err());
    assert!(
        store.sync().is_err(),
        "a retry on a full disk must fail too"
    );
    drop(store);
    assert_eq!(file.data, original, "synced bytes changed");
    file.capacity = 100_000;
    file.sync_fails = false;
    let mut store = GroupStore::with_file(dir.path(), &mut file, original.len() as u64);
    store.append(&batch([2, 3]));
    store.sync().unwrap();
    drop(store);
    fs::write(dir.path().join("log"), &file.data).unwrap();
    assert_eq!(indexes(&open(dir.path()).unwrap()), [1, 2, 3]);
}

#[rstest]
#[case::log("log", true)]
#[case::snapshot("snapshot", true)]
#[case::incarnation("incarnation", false)]
fn missing_file_is_damage_or_gets_a_new_incarnation(#[case] name: &str, #[case] damaged: bool) {
    let dir = TempDir::new().unwrap();
    let mut store = open_group(dir.path()).unwrap().store;
    store
        .replace_with_snapshot(&snapshot(3), &HardState::default(), &[])
        .unwrap();
    drop(store);
    fs::remove_file(dir.path().join(name)).unwrap();
    let opened = GroupStore::open(dir.path(), Incarnation(2));
    match opened {
        Err(StoreError::Damaged { .. }) => assert!(damaged),
        opened => assert_eq!(opened.unwrap().incarnation, Incarnation(2)),
    }
}

#[test]
fn data_folder_keeps_its_incarnations_owner_and_lock() {
    let dir = TempDir::new().unwrap();
    let name = |text| KeeperName::try_from(text).unwrap();
    let open = |keeper, groups| DataFolder::open(dir.path(), &name(keeper), groups);
    let folder = open("keeper-1", 4).unwrap();
    let second = open("keeper-1", 4);
    assert!(
        matches!(second, Err(StoreError::Locked { .. })),
        "{second:?}"
    );
    for fresh in [5, 6] {
        let group = GroupStore::open(&folder.group_path(0), Incarnation(fresh)).unwrap();
        assert_eq!(group.incarnation, Incarnation(5));
    }
    drop(folder);
    let other_count = open("keeper-1", 3);
    assert!(
        matches!(other_count, Err(StoreError::GroupCountMismatch { .. })),
        "{other_count:?}"
    );
    let other_owner = open("keeper-2", 4);
    assert!(
        matches!(other_owner, Err(StoreError::WrongOwner { .. })),
        "{other_owner:?}"
    );
}
