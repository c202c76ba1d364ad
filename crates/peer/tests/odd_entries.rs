//! Lists in messages with one odd entry, as a daemon of another build may have written it.

use agatehill_decide::{
    host_directory::{
        ANSWER_RECORDS_MAX, DirectoryAnswer, DirectoryPosition, HostRecord, ServerRecord,
    },
    name::{Incarnation, KeeperName, RegionName, ServiceName, ZoneName},
    server_tracker::ServerIdentity,
};
use agatehill_peer::fleet::{
    KeeperExchangeReply, KeeperRecord, SharedHosts, SyncReply, SyncRequest,
};
use rstest::rstest;

/// Name in the odd entry, and what stands in its place in the bytes.
const NAME: &str = "oddname";
const ODD_NAME: &str = "odd\0ame";

fn record(host: u8, service: &str) -> HostRecord {
    HostRecord {
        gate: ([10, 0, 0, host], 8300).into(),
        run: Incarnation(1),
        sequence: 1,
        region: RegionName::try_from("vest").unwrap(),
        zone: ZoneName::try_from("herning-1").unwrap(),
        server: Some(ServerRecord {
            service: ServiceName::try_from(service).unwrap(),
            id: "i-1".to_owned(),
            slots: 4,
        }),
        left: None,
    }
}

fn keeper(name: &str, zone: &str) -> KeeperRecord {
    KeeperRecord {
        name: KeeperName::try_from(name).unwrap(),
        region: RegionName::try_from("vest").unwrap(),
        zone: ZoneName::try_from(zone).unwrap(),
    }
}

/// A record whose service has an odd name in the bytes.
fn odd_name() -> HostRecord {
    record(2, NAME)
}

fn odd_run() -> HostRecord {
    HostRecord {
        run: Incarnation(u64::MAX),
        ..record(2, "techreg")
    }
}

fn odd_sequence() -> HostRecord {
    HostRecord {
        sequence: u64::MAX,
        ..record(2, "techreg")
    }
}

fn answer(odd: HostRecord) -> DirectoryAnswer {
    DirectoryAnswer {
        position: DirectoryPosition { run: 7, change: 3 },
        records: vec![record(1, "techreg"), odd, record(3, "techreg")],
        skipped: 0,
    }
}

/// Writes `message` and reads it with [`ODD_NAME`] in place of [`NAME`].
fn read_odd<T: serde::Serialize + serde::de::DeserializeOwned>(message: &T) -> T {
    let mut bytes = postcard::to_stdvec(message).unwrap();
    let windows = bytes.windows(NAME.len());
    let starts: Vec<_> = windows
        .enumerate()
        .filter(|(_, window)| *window == NAME.as_bytes())
        .map(|(start, _)| start)
        .collect();
    for start in starts {
        bytes[start..start + NAME.len()].copy_from_slice(ODD_NAME.as_bytes());
    }
    postcard::from_bytes(&bytes).expect("one odd entry does not make a message unreadable")
}

fn hosts(records: &[HostRecord]) -> Vec<u16> {
    let last_octet = |record: &HostRecord| match record.gate.ip() {
        std::net::IpAddr::V4(ip) => u16::from(ip.octets()[3]),
        std::net::IpAddr::V6(_) => panic!("the test uses IPv4"),
    };
    records.iter().map(last_octet).collect()
}

/// CONFIG: configuration and directory come in one reply, so one odd host kept daemons from following changes.
#[rstest]
#[case::name(odd_name())]
#[case::run(odd_run())]
#[case::sequence(odd_sequence())]
fn an_odd_host_does_not_make_a_sync_reply_unreadable(#[case] odd: HostRecord) {
    let reply = SyncReply {
        is_current: true,
        config: None,
        keeper_run: 7,
        hosts: Some(answer(odd)),
        reports_at: 0,
        crash_reports: Vec::new(),
        reports_digest: 0,
        keepers: vec![keeper("10.0.1.1", "herning-1"), keeper("10.0.1.2", NAME)],
    };
    let read = read_odd(&reply);
    let hosts_read = read.hosts.unwrap();
    assert_eq!(hosts(&hosts_read.records), [1, 3]);
    assert_eq!(hosts_read.skipped, 1);
    assert_eq!(read.keepers, [keeper("10.0.1.1", "herning-1")]);
}

#[rstest]
#[case::name(odd_name())]
#[case::run(odd_run())]
#[case::sequence(odd_sequence())]
fn an_odd_host_does_not_make_messages_of_keepers_unreadable(#[case] odd: HostRecord) {
    let reply = KeeperExchangeReply {
        keepers: vec![keeper("10.0.1.1", "herning-1"), keeper("10.0.1.2", NAME)],
        hosts: answer(odd.clone()),
        crash_reports: Vec::new(),
    };
    let read = read_odd(&reply);
    assert_eq!(hosts(&read.hosts.records), [1, 3]);
    assert_eq!(read.keepers.len(), 1);
    let shared = SharedHosts {
        records: answer(odd).records,
        is_relayed: true,
    };
    let read = read_odd(&shared);
    assert_eq!(hosts(&read.records), [1, 3]);
    assert!(read.is_relayed);
}

/// The rest of a host's record holds: the host can't take back a start that an earlier build has told of it.
#[test]
fn an_odd_start_of_a_server_that_has_left_is_dropped_alone() {
    let left = ServerIdentity {
        id: "i-odd".to_owned(),
        started_ms: u64::MAX,
    };
    let odd = HostRecord {
        left: Some(left),
        ..record(2, "techreg")
    };
    let read = read_odd(&answer(odd));
    assert_eq!(hosts(&read.records), [1, 2, 3]);
    assert_eq!(read.records[1].left, None);
}

/// Otherwise a daemon that starts would take a part of the directory for all of it.
#[test]
fn a_full_answer_stays_full_without_its_odd_record() {
    let mut answer = answer(odd_run());
    answer
        .records
        .resize(ANSWER_RECORDS_MAX, record(4, "techreg"));
    let read = read_odd(&answer);
    assert_eq!(read.records.len(), ANSWER_RECORDS_MAX - 1);
    assert!(read.is_full());
}

/// A daemon whose own record can't be used still follows changes.
#[rstest]
#[case::name(odd_name())]
#[case::run(odd_run())]
fn an_odd_record_of_a_daemon_does_not_make_its_question_unreadable(#[case] odd: HostRecord) {
    let request = SyncRequest {
        record: Some(odd),
        config_after: 6,
        hosts: None,
        keeper_run: 0,
        reports_after: 0,
        keepers_digest: 0,
        wait_ms: 700,
    };
    let read = read_odd(&request);
    assert_eq!((read.record, read.config_after), (None, 6));
}
