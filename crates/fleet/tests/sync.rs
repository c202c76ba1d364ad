//! What a daemon fetches from keepers: each record once, however often it changes the keeper or tells
//! keepers about itself.

use agatehill_backend::quarantine::{CrashReportQueue, QuarantineMonitor, QuarantineOptions};
use agatehill_decide::{
    config_history::{ConfigCommand, ConfigReply},
    host_directory::{HostDirectory, HostRecord, ServerRecord},
    name::{DaemonName, Incarnation, RegionName, ServiceName, ZoneName},
    quarantine::CrashReport,
    replica::ReplicaEnvelope,
};
use agatehill_fleet::{
    keeper_map::keeper_name,
    sync::{FleetSync, SyncOptions},
};
use agatehill_peer::fleet::{
    CommandError, FleetServer, FleetService, KeeperExchange, KeeperExchangeReply, KeeperRecord,
    SharedHosts, SyncReply, SyncRequest,
};
use agatehill_process::{budget::ListenerBudget, clock::MonoClock};
use std::{
    net::{IpAddr, SocketAddr, TcpListener},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    time::Duration,
};

/// Hosts that the keepers know.
const HOSTS: u8 = 200;
const KEEPERS: [[u8; 4]; 3] = [[127, 9, 0, 1], [127, 9, 0, 2], [127, 9, 0, 3]];
/// Longest wait for a condition.
const WAIT_TIMEOUT: Duration = Duration::from_secs(10);

fn region() -> RegionName {
    RegionName::try_from("vest").unwrap()
}

fn zone() -> ZoneName {
    ZoneName::try_from("herning-1").unwrap()
}

fn server() -> ServerRecord {
    ServerRecord {
        service: ServiceName::try_from("gasdata").unwrap(),
        id: "i-1".to_owned(),
        slots: 11,
    }
}

fn record(host: u8, sequence: u64) -> HostRecord {
    HostRecord {
        gate: ([10, 0, 0, host], 8300).into(),
        run: Incarnation(1),
        sequence,
        region: region(),
        zone: zone(),
        server: Some(server()),
        left: None,
    }
}

/// A keeper whose directory and contact with the leader the test selects; clones share it.
#[derive(Clone)]
struct TestKeeper {
    host: IpAddr,
    directory: Arc<Mutex<HostDirectory>>,
    is_current: Arc<AtomicBool>,
    /// Host records that it has sent.
    sent: Arc<AtomicUsize>,
    /// Replies that it has sent.
    replies: Arc<AtomicUsize>,
}

impl TestKeeper {
    fn new(host: IpAddr) -> TestKeeper {
        let mut directory = HostDirectory::default();
        (0..HOSTS).for_each(|host| assert!(directory.merge(record(host, 1))));
        TestKeeper {
            host,
            directory: Arc::new(Mutex::new(directory)),
            is_current: Arc::new(AtomicBool::new(true)),
            sent: Arc::default(),
            replies: Arc::default(),
        }
    }

    fn own_record(&self) -> KeeperRecord {
        KeeperRecord {
            name: keeper_name(self.host),
            region: region(),
            zone: zone(),
        }
    }

    fn run(&self) -> u64 {
        let IpAddr::V4(host) = self.host else {
            panic!("the test uses IPv4");
        };
        u64::from(host.octets()[3])
    }

    fn has_new(&self, request: &SyncRequest) -> bool {
        let changes = self.directory.lock().unwrap().change_count();
        let is_behind = request.hosts.as_ref().is_none_or(|query| {
            query.position.run != self.run() || query.position.change < changes
        });
        is_behind || !self.is_current.load(Ordering::SeqCst)
    }
}

impl FleetService for TestKeeper {
    async fn sync(&self, request: SyncRequest) -> SyncReply {
        if let Some(record) = request.record.clone() {
            self.directory.lock().unwrap().merge(record);
        }
        let mut waits = request.wait_ms / 10;
        while waits > 0 && !self.has_new(&request) {
            tokio::time::sleep(Duration::from_millis(10)).await;
            waits -= 1;
        }
        let directory = self.directory.lock().unwrap();
        let hosts = request
            .hosts
            .map(|query| directory.answer(&query, self.run()));
        let count = hosts.as_ref().map_or(0, |answer| answer.records.len());
        self.sent.fetch_add(count, Ordering::SeqCst);
        self.replies.fetch_add(1, Ordering::SeqCst);
        SyncReply {
            is_current: self.is_current.load(Ordering::SeqCst),
            config: None,
            keeper_run: self.run(),
            hosts,
            reports_at: 0,
            crash_reports: Vec::new(),
            reports_digest: 0,
            keepers: vec![self.own_record()],
        }
    }

    async fn share_hosts(&self, _: SharedHosts) {}

    async fn share_crash_reports(&self, _: Vec<CrashReport>) {}

    async fn exchange_keepers(&self, exchange: KeeperExchange) -> KeeperExchangeReply {
        KeeperExchangeReply {
            keepers: Vec::new(),
            hosts: self
                .directory
                .lock()
                .unwrap()
                .answer(&exchange.hosts, self.run()),
            crash_reports: Vec::new(),
        }
    }

    async fn run_command(&self, _: ConfigCommand) -> Result<ConfigReply, CommandError> {
        Err(CommandError::NotLeader)
    }

    async fn deliver(&self, _: Vec<ReplicaEnvelope>) {}
}

async fn eventually(what: &str, condition: impl Fn() -> bool) {
    let wait = async {
        while !condition() {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    };
    let waited = tokio::time::timeout(WAIT_TIMEOUT, wait).await;
    assert!(waited.is_ok(), "{what}: not within {WAIT_TIMEOUT:?}");
}

fn free_port() -> u16 {
    let listener = TcpListener::bind(("127.9.0.1", 0)).unwrap();
    listener.local_addr().unwrap().port()
}

fn spawn_daemon(port: u16) -> FleetSync {
    let quarantine = QuarantineMonitor::spawn(
        DaemonName::try_from("daemon").unwrap(),
        Incarnation(1),
        MonoClock::open(),
        QuarantineOptions::FLEET,
        CrashReportQueue::default(),
    );
    FleetSync::spawn(SyncOptions {
        leave_copies: 1,
        seeds: KEEPERS.map(IpAddr::from).into(),
        port,
        gate_addr: ([10, 0, 1, 1], 8300).into(),
        region: region(),
        zone: zone(),
        quarantine,
    })
}

#[tokio::test(flavor = "multi_thread")]
async fn daemon_fetches_each_record_once() {
    let port = free_port();
    let keepers = KEEPERS.map(|host| TestKeeper::new(host.into()));
    let mut listeners = Vec::new();
    for keeper in &keepers {
        let addr = SocketAddr::new(keeper.host, port);
        listeners.push(
            FleetServer::bind(addr, keeper.clone(), ListenerBudget::unlimited())
                .await
                .unwrap(),
        );
    }
    let sent = || -> usize { keepers.iter().map(|k| k.sent.load(Ordering::SeqCst)).sum() };
    let replies = || -> usize {
        keepers
            .iter()
            .map(|k| k.replies.load(Ordering::SeqCst))
            .sum()
    };
    let sync = spawn_daemon(port);
    let has_all = || sync.records().len() > usize::from(HOSTS);
    eventually("the daemon knows all hosts", has_all).await;
    let first = sent();
    assert!(first <= usize::from(HOSTS) + 1, "{first}");

    // Elections: keeper after keeper loses contact, so that all are polled at once.
    for round in 0..6 {
        let lost = &keepers[round % keepers.len()];
        lost.is_current.store(false, Ordering::SeqCst);
        let before = replies();
        eventually("the daemon goes on", || replies() > before + 4).await;
        lost.is_current.store(true, Ordering::SeqCst);
    }
    // The server on this host comes and goes.
    for round in 0..10 {
        let server = (round % 2 == 0).then(server);
        sync.set_server(server, None);
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    let later = sent() - first;
    // Its own record, as often as it has changed, from each of the keepers.
    assert!(
        later <= 11 * keepers.len(),
        "{later} records after the first {first}"
    );

    // Changes elsewhere still arrive, also while no keeper is in contact with a leader.
    for (sequence, has_leader) in [(2, true), (3, false)] {
        for keeper in &keepers {
            keeper.is_current.store(has_leader, Ordering::SeqCst);
        }
        // Until the daemon polls as it does then.
        let before = replies();
        eventually("the daemon goes on", || {
            replies() > before + 2 * keepers.len()
        })
        .await;
        for keeper in &keepers {
            let mut directory = keeper.directory.lock().unwrap();
            directory.merge(record(7, sequence));
        }
        let has_change = || {
            let records = sync.records();
            let mut changed = records.iter().filter(|r| r.gate == record(7, 1).gate);
            changed.any(|record| record.sequence == sequence)
        };
        eventually("the daemon learns of the change", has_change).await;
    }
    drop(listeners);
}
