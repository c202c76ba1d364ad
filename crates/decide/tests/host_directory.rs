//! Host directory: the newest record of a host wins in any order of arrival.

use agatehill_decide::{
    host_directory::{HostDirectory, HostRecord},
    name::{Incarnation, RegionName, ZoneName},
    server_tracker::ServerIdentity,
};
use rstest::rstest;

fn record(host: u8, run: u64, sequence: u64) -> HostRecord {
    HostRecord {
        gate: ([10, 0, 0, host], 80).into(),
        run: Incarnation(run),
        sequence,
        region: RegionName::try_from("vest").unwrap(),
        zone: ZoneName::try_from("herning-1").unwrap(),
        server: None,
        left: None,
    }
}

#[rstest]
#[case::newer(record(1, 5, 2), true)]
#[case::same(record(1, 5, 1), false)]
#[case::older(record(1, 5, 0), false)]
#[case::newer_run(record(1, 6, 0), true)]
#[case::earlier_run(record(1, 4, 9), false)]
#[case::other_host(record(2, 1, 0), true)]
fn merges_only_newer_records(#[case] next: HostRecord, #[case] is_merged: bool) {
    let mut directory = HostDirectory::default();
    directory.merge(record(1, 5, 1));
    assert_eq!(directory.merge(next), is_merged);
}

#[test]
fn changed_after_returns_later_changes() {
    let mut directory = HostDirectory::default();
    directory.merge(record(1, 1, 0));
    let before = directory.change_count();
    directory.merge(record(2, 1, 0));
    directory.merge(record(1, 1, 1));
    assert_eq!(directory.changed_after(0).len(), 2);
    assert_eq!(directory.changed_after(before).len(), 2);
    assert!(directory.changed_after(directory.change_count()).is_empty());
}

#[test]
fn digest_is_independent_of_order() {
    let records = [record(1, 1, 0), record(2, 1, 3), record(1, 1, 4)];
    let mut first = HostDirectory::default();
    let mut second = HostDirectory::default();
    for record in &records {
        first.merge(record.clone());
    }
    for record in records.iter().rev() {
        second.merge(record.clone());
    }
    assert_eq!(first.digest(), second.digest());
    second.merge(record(3, 1, 0));
    assert_ne!(first.digest(), second.digest());
}

/// A daemon that has started again doesn't know yet which server had left.
#[test]
fn a_new_run_keeps_the_server_that_has_left() {
    let left = |id: &str| {
        Some(ServerIdentity {
            id: id.to_owned(),
            started_ms: 1,
        })
    };
    let with_left = |run, sequence, id| HostRecord {
        left: left(id),
        ..record(1, run, sequence)
    };
    let mut directory = HostDirectory::default();
    directory.merge(with_left(5, 1, "i-1"));
    directory.merge(record(1, 6, 0));
    let held =
        |directory: &HostDirectory| directory.get(record(1, 0, 0).gate).unwrap().left.clone();
    assert_eq!(held(&directory), left("i-1"));
    directory.merge(with_left(6, 1, "i-2"));
    assert_eq!(held(&directory), left("i-2"));
}

/// Guards against a leave that is forgotten where the record of a daemon's next run arrives before it.
#[test]
fn an_older_record_completes_a_newer_one_with_the_server_that_has_left() {
    let left = Some(ServerIdentity {
        id: "i-1".to_owned(),
        started_ms: 1,
    });
    let before = HostRecord {
        left: left.clone(),
        ..record(1, 5, 1)
    };
    let mut first = HostDirectory::default();
    let mut second = HostDirectory::default();
    assert!(first.merge(before.clone()));
    assert!(first.merge(record(1, 6, 0)));
    assert!(second.merge(record(1, 6, 0)));
    assert_ne!(first.digest(), second.digest());
    assert!(second.merge(before.clone()));
    assert!(!second.merge(before));
    let held = second.get(record(1, 0, 0).gate).unwrap();
    assert_eq!((held.run, &held.left), (Incarnation(6), &left));
    assert_eq!(first.digest(), second.digest());
}
