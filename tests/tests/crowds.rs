//! Crowds of clients beyond the limits, at the listeners of a daemon and a keeper of the product's own: the process lives,
//! keeps to the memory and the connections of its settings, and still serves others. One crowd runs at a time.

use agatehill_tests::{
    bed::{TestBed, ZONE},
    client::TestClient,
    contract::{TestOperation, contract_text},
    crowd::{Crowd, CrowdScript},
    process::ProcessGuard,
    process_usage::{most_descriptors, peak_memory},
};
use rstest::rstest;
use std::{
    fs,
    io::Write,
    net::SocketAddr,
    path::Path,
    sync::LazyLock,
    time::{Duration, Instant},
};
use tokio::{sync::Mutex, task::spawn_blocking};

const OPERATIONS: [TestOperation; 2] = [
    TestOperation {
        request: "GET /certificates/{id}",
        service: "techreg",
        class: "critical",
        idempotent: true,
        deadline_ms: 9_000,
    },
    TestOperation {
        request: "POST /certificates/{id}",
        service: "techreg",
        class: "critical",
        idempotent: true,
        deadline_ms: 9_000,
    },
];
/// Limits in the settings: of memory, in MB, and of connections.
const CLIENT_MEMORY_MB: u64 = 8;
const CONNECTIONS_MAX: usize = 100;
/// Memory that a process may use beside what its clients hold, in KiB.
const BASE_KIB: u64 = 40 * 1024;
/// Descriptors that a process may have open beside those of callers.
const BASE_DESCRIPTORS: usize = 100;
/// Connections of a crowd.
const CONNECTIONS: usize = 800;
/// Time for which a crowd sends and opens connections again; then it keeps open what it has.
const SEND_FOR: Duration = Duration::from_secs(3);
/// Head of a request of a caller, up to the framing of its body.
const CALL: &str = "POST /call/techreg/certificates/7 HTTP/1.1\r\nhost: a.example\r\n\
    agatehill-customer: dansk\r\nidempotency-key: crowd\r\n";
/// Head of a contract, up to the framing of its body.
const CONTRACT: &str = "PUT /contracts/dansk HTTP/1.1\r\nhost: a.example\r\n";

/// Held by the test whose crowd is running.
static TURN: LazyLock<Mutex<()>> = LazyLock::new(Mutex::default);

/// A listener of a process.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Door {
    Callers,
    Daemons,
    Servers,
    DaemonOperators,
    KeeperOperators,
    KeeperPeers,
}

impl Door {
    /// Returns the process and the name of its address.
    fn of(self, daemon: &ProcessGuard, keeper: &ProcessGuard) -> (u32, SocketAddr) {
        match self {
            Door::Callers => (daemon.pid(), daemon.addr("caller")),
            Door::Daemons => (daemon.pid(), daemon.addr("forward")),
            Door::Servers => (daemon.pid(), daemon.addr("announce")),
            Door::DaemonOperators => (daemon.pid(), daemon.addr("operator")),
            Door::KeeperOperators => (keeper.pid(), keeper.addr("operator")),
            Door::KeeperPeers => (keeper.pid(), keeper.addr("peer")),
        }
    }
}

/// Adds limits to a settings file.
fn add_limits(settings: &Path) {
    let mut file = fs::File::options().append(true).open(settings).unwrap();
    let limits = format!(
        "[limits]\nconnections_max = {CONNECTIONS_MAX}\nclient_memory_mb = {CLIENT_MEMORY_MB}\n"
    );
    file.write_all(limits.as_bytes()).unwrap();
}

/// Sends with the crowd for [`SEND_FOR`]; returns it, and the most descriptors that the process had open meanwhile.
async fn run_crowd(pid: u32, addr: SocketAddr, script: CrowdScript) -> (Crowd, usize) {
    let end = Instant::now() + SEND_FOR;
    let counting = spawn_blocking(move || most_descriptors(pid, end));
    let crowd = spawn_blocking(move || {
        let mut crowd = Crowd::open(addr, script, CONNECTIONS);
        crowd.send_until(end);
        crowd
    });
    (crowd.await.unwrap(), counting.await.unwrap())
}

/// Guards against crowds that end a process by what they have begun to send, at the product's own listeners.
#[rstest]
#[case::endless_heads(Door::Callers, CrowdScript::endless_head())]
#[case::empty_lines(Door::Callers, CrowdScript::empty_lines())]
#[case::bodies(Door::Callers, CrowdScript::unfinished_body(CALL, 60_000))]
#[case::long_bodies(Door::Callers, CrowdScript::unfinished_body(CALL, 4 << 20))]
#[case::large_chunks(Door::Callers, CrowdScript::endless_chunks(CALL, 16 * 1024))]
#[case::small_chunks(Door::Callers, CrowdScript::endless_chunks(CALL, 1))]
#[case::bodies_over_h2c(Door::Callers, CrowdScript::http2_bodies())]
#[case::nothing_sent(Door::Callers, CrowdScript::silent())]
#[case::heads_of_daemons(Door::Daemons, CrowdScript::endless_head())]
#[case::heads_of_servers(Door::Servers, CrowdScript::endless_head())]
#[case::heads_of_operators(Door::DaemonOperators, CrowdScript::endless_head())]
#[case::contracts(Door::KeeperOperators, CrowdScript::unfinished_body(CONTRACT, 240_000))]
#[case::messages_to_a_keeper(Door::KeeperPeers, CrowdScript::unfinished_message(200_000))]
#[tokio::test(flavor = "multi_thread")]
async fn a_process_outlives_a_crowd(#[case] door: Door, #[case] script: CrowdScript) {
    let _turn = TURN.lock().await;
    let mut bed = TestBed::open(&[ZONE]);
    bed.keepers
        .iter()
        .for_each(|spec| add_limits(&spec.settings));
    let keepers = bed.start_keepers();
    let contract = contract_text("dansk", &OPERATIONS);
    bed.put_contract(keepers[0].addr("operator"), "dansk", &contract)
        .await;
    let spec = bed.add_daemon(ZONE);
    add_limits(&spec.settings);
    let daemon = bed.start_daemon(&spec);
    let _backend = bed.start_backend(&daemon, "techreg", &[]);
    let path = "/call/techreg/certificates/1";
    bed.wait_served(&daemon, "dansk", path).await;

    let (pid, addr) = door.of(&daemon, &keepers[0]);
    let (crowd, descriptors) = run_crowd(pid, addr, script).await;
    // On a connection of its own, like others who come.
    bed.client = TestClient::default();
    bed.wait_served(&daemon, "dansk", path).await;
    let peak = peak_memory(pid);
    let allowed = BASE_KIB + CLIENT_MEMORY_MB * 1_000_000 / 1024;
    let descriptors_max = CONNECTIONS_MAX + BASE_DESCRIPTORS;
    println!(
        "{door:?}: peak {peak} KiB of {allowed}, {descriptors} descriptors of {descriptors_max}"
    );
    assert!(
        peak <= allowed && descriptors <= descriptors_max,
        "peak {peak} KiB of {allowed}, {descriptors} descriptors of {descriptors_max}"
    );
    drop(crowd);
    bed.wait_served(&daemon, "dansk", path).await;
    bed.put_contract(keepers[0].addr("operator"), "dansk", &contract)
        .await;
}
