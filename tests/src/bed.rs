//! An installation of a test: keepers, daemons and stand-in backend servers on loopback.

use crate::{
    client::{TestClient, eventually},
    process::ProcessGuard,
};
use std::{
    fmt::Write,
    fs,
    net::{Ipv4Addr, SocketAddr, TcpListener, UdpSocket},
    path::PathBuf,
    sync::atomic::{AtomicU16, Ordering},
    time::Duration,
};
use tempfile::TempDir;

/// Time for an installation to settle, on a busy machine.
pub const SETTLE_TIMEOUT: Duration = Duration::from_secs(30);

/// First port that a test process hands out.
const FIRST_PORT: u16 = 10_000;

/// A contract of customer `dansk` with one idempotent operation of class critical.
pub const CERTIFICATE_CONTRACT: &str = r#"
customer = "dansk"
revision = 1
calls_per_second = 4000
calls_in_flight = 1200
retries_per_request = 2
remember_hours = 48

[[operation]]
service = "techreg"
method = "GET"
path = "/certificates/{id}"
class = "critical"
idempotent = true
deadline_ms = 10000
"#;

/// Where a process of the test stands.
#[derive(Clone, Copy, Debug)]
pub struct TestZone {
    /// The region.
    pub region: &'static str,
    /// The availability zone.
    pub zone: &'static str,
}

/// The one zone of small tests.
pub const ZONE: TestZone = TestZone {
    region: "vest",
    zone: "herning-1",
};

/// A keeper's settings, kept so that it can be started again.
#[derive(Clone, Debug)]
pub struct KeeperSpec {
    /// Its name.
    pub name: String,
    /// Where it stands.
    pub zone: TestZone,
    /// Its peer address.
    pub peer: SocketAddr,
    /// Its settings file.
    pub settings: PathBuf,
    /// Its data folder.
    pub data_dir: PathBuf,
}

/// A daemon's settings, kept so that it can be started again.
#[derive(Clone, Debug)]
pub struct DaemonSpec {
    /// Its name.
    pub name: String,
    /// Its settings file.
    pub settings: PathBuf,
    /// Its gossip address.
    pub gossip: SocketAddr,
    /// Its control address.
    pub control: SocketAddr,
}

/// The folder of a test and the addresses of its keepers and seeds.
#[derive(Debug)]
pub struct TestBed {
    dir: TempDir,
    /// The client of the test.
    pub client: TestClient,
    /// The keepers, started or not.
    pub keepers: Vec<KeeperSpec>,
    /// The daemons, started or not.
    pub daemons: Vec<DaemonSpec>,
}

impl TestBed {
    /// Opens an installation whose keepers stand in `zones`; none is started yet.
    pub fn open(zones: &[TestZone]) -> TestBed {
        let dir = TempDir::new().expect("a folder for the test");
        let mut bed = TestBed {
            dir,
            client: TestClient::default(),
            keepers: Vec::new(),
            daemons: Vec::new(),
        };
        bed.keepers = zones
            .iter()
            .enumerate()
            .map(|(idx, zone)| bed.keeper_spec(idx, *zone))
            .collect();
        for idx in 0..bed.keepers.len() {
            fs::write(&bed.keepers[idx].settings, bed.keeper_settings(idx)).expect("settings");
        }
        bed
    }

    /// Starts all keepers.
    pub fn start_keepers(&self) -> Vec<ProcessGuard> {
        let mut guards: Vec<_> = (0..self.keepers.len())
            .map(|idx| self.launch_keeper(idx))
            .collect();
        guards.iter_mut().for_each(ProcessGuard::wait_ready);
        guards
    }

    /// Starts keeper `idx`.
    pub fn start_keeper(&self, idx: usize) -> ProcessGuard {
        let mut guard = self.launch_keeper(idx);
        guard.wait_ready();
        guard
    }

    /// Writes the settings of a new daemon in `zone`; the first daemon of all is the seed.
    pub fn add_daemon(&mut self, zone: TestZone) -> DaemonSpec {
        let name = format!("daemon-{}", self.daemons.len());
        let spec = DaemonSpec {
            settings: self.path(&format!("{name}.toml")),
            name,
            gossip: free_udp(),
            control: free_tcp(),
        };
        let mut text = format!(
            "name = \"{}\"\nregion = \"{}\"\navailability_zone = \"{}\"\nkeepers = [",
            spec.name, zone.region, zone.zone
        );
        for keeper in &self.keepers {
            write!(text, "\"{}\", ", keeper.peer).expect("strings take all text");
        }
        text.push_str("]\n");
        write!(
            text,
            "[listen]\ncaller = \"127.0.0.1:0\"\nforward = \"127.0.0.1:0\"\n\
             announce = \"127.0.0.1:0\"\noperator = \"127.0.0.1:0\"\n\
             gossip = \"{}\"\ncontrol = \"{}\"\n",
            spec.gossip, spec.control
        )
        .expect("strings take all text");
        for seed in self.daemons.iter().take(2) {
            write!(
                text,
                "[[seed]]\ngossip = \"{}\"\ncontrol = \"{}\"\n",
                seed.gossip, seed.control
            )
            .expect("strings take all text");
        }
        fs::write(&spec.settings, text).expect("settings");
        self.daemons.push(spec.clone());
        spec
    }

    /// Starts a daemon.
    pub fn start_daemon(&self, spec: &DaemonSpec) -> ProcessGuard {
        ProcessGuard::start_ready(
            "agatehill-daemon",
            &["serve".as_ref(), spec.settings.as_os_str()],
        )
    }

    /// Starts a stand-in backend server of `service` beside `daemon`.
    pub fn start_backend(
        &self,
        daemon: &ProcessGuard,
        service: &str,
        more: &[&str],
    ) -> ProcessGuard {
        let announce = daemon.addr("announce").to_string();
        let caller = daemon.addr("caller").to_string();
        let mut args = vec!["backend", "--service", service, "--announce", &announce];
        args.extend(["--daemon", &caller]);
        args.extend(more);
        ProcessGuard::start_ready("agatehill-load", &args)
    }

    /// Puts the contract `text` of `customer` in force at the keeper with operator address `addr`.
    pub async fn put_contract(&self, addr: SocketAddr, customer: &str, text: &str) {
        let path = format!("/contracts/{customer}");
        eventually("a keeper accepts the contract", SETTLE_TIMEOUT, || async {
            let answer = self
                .client
                .send("PUT", addr, &path, &[], text.to_owned())
                .await;
            answer.is_some_and(|answer| answer.status.is_success())
        })
        .await;
    }

    /// Waits until a GET of `path` at `daemon` is answered with 200 for `customer`.
    pub async fn wait_served(&self, daemon: &ProcessGuard, customer: &str, path: &str) {
        let addr = daemon.addr("caller");
        eventually("the path is served", SETTLE_TIMEOUT, || async {
            let headers = [("agatehill-customer", customer)];
            let answer = self.client.send("GET", addr, path, &headers, "").await;
            answer.is_some_and(|answer| answer.status.is_success())
        })
        .await;
    }

    /// Returns a path in the test's folder.
    pub fn path(&self, name: &str) -> PathBuf {
        self.dir.path().join(name)
    }

    fn launch_keeper(&self, idx: usize) -> ProcessGuard {
        let settings = &self.keepers[idx].settings;
        ProcessGuard::start(
            "agatehill-keeper",
            &["serve".as_ref(), settings.as_os_str()],
        )
    }

    fn keeper_spec(&self, idx: usize, zone: TestZone) -> KeeperSpec {
        let name = format!("keeper-{idx}");
        KeeperSpec {
            zone,
            peer: free_tcp(),
            settings: self.path(&format!("{name}.toml")),
            data_dir: self.path(&name),
            name,
        }
    }

    fn keeper_settings(&self, idx: usize) -> String {
        let own = &self.keepers[idx];
        let mut text = format!(
            "name = \"{}\"\nregion = \"{}\"\navailability_zone = \"{}\"\n\
             data_dir = \"{}\"\nclaim_groups = 2\n\
             [listen]\noperator = \"127.0.0.1:0\"\npeer = \"{}\"\n",
            own.name,
            own.zone.region,
            own.zone.zone,
            own.data_dir.display(),
            own.peer
        );
        for keeper in &self.keepers {
            write!(
                text,
                "[[keeper]]\nname = \"{}\"\nregion = \"{}\"\navailability_zone = \"{}\"\n\
                 peer = \"{}\"\nvoter = true\n",
                keeper.name, keeper.zone.region, keeper.zone.zone, keeper.peer
            )
            .expect("strings take all text");
        }
        text
    }
}

/// Returns a TCP address on loopback that no other test process uses.
pub fn free_tcp() -> SocketAddr {
    free_addr(|addr| TcpListener::bind(addr).is_ok())
}

/// Returns a UDP address on loopback that no other test process uses.
pub fn free_udp() -> SocketAddr {
    free_addr(|addr| UdpSocket::bind(addr).is_ok())
}

/// Returns an address of this test process's own loopback IP for which `is_free` holds.
///
/// A port on 127.0.0.1 that is free now may be taken by anybody's outgoing connection before the
/// process under test binds it; nobody connects from an IP that is made of this process's id.
fn free_addr(is_free: impl Fn(SocketAddr) -> bool) -> SocketAddr {
    static NEXT_PORT: AtomicU16 = AtomicU16::new(FIRST_PORT);
    let [_, high, mid, low] = std::process::id().to_be_bytes();
    let ip = Ipv4Addr::new(127, 128 | high, mid, low);
    loop {
        let port = NEXT_PORT.fetch_add(1, Ordering::Relaxed);
        let addr = SocketAddr::from((ip, port));
        if is_free(addr) {
            return addr;
        }
    }
}
