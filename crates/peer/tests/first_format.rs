//! Messages to keepers as the build 248d2bd wrote them. The bytes are what its own client and server sent
//! over loopback, by a test in its crate `peer` that printed the frames of one call of each kind:
//! `cargo test -p agatehill-peer --test fixture -- --nocapture`.

use agatehill_decide::{
    config_history::{AcceptedConfig, ConfigCommand, ConfigReply},
    host_directory::{
        DirectoryAnswer, DirectoryPosition, DirectoryQuery, HostRecord, ServerRecord,
    },
    name::{Incarnation, KeeperName, RegionName, ServiceName, ZoneName},
    quarantine::CrashReport,
    replica::ReplicaEnvelope,
};
use agatehill_peer::{
    fleet::{
        CommandError, FleetLink, FleetServer, FleetService, KeeperExchange, KeeperExchangeReply,
        KeeperRecord, SharedHosts, SyncReply, SyncRequest,
    },
    link::LinkError,
};
use agatehill_process::budget::ListenerBudget;
use rstest::rstest;
use std::{
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::Duration,
};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
};

const SYNC_REQUEST: &str = "0001cb84dedc03000000000000000000000000000000009fc1e8beaf99c5cdf10101000001000a010008ec408780f9c0c1c48203050476657374096865726e696e672d3101077465636872656703692d373e0006630b02bc05";
const SYNC_REPLY: &str = "000000010107027b7d630c01000a010008ec408780f9c0c1c48203050476657374096865726e696e672d3101077465636872656703692d373e0003002c010931302e312e302e31320476657374096865726e696e672d31";
const SHARE_REQUEST: &str = "0001d0a4e6dc03000000000000000000000000000000008bdaa0f08b8690dbec0101000101000a010008ec408780f9c0c1c48203050476657374096865726e696e672d3101077465636872656703692d373e00";
const SHARE_REPLY: &str = "000001";
const EXCHANGE_REQUEST: &str = "0001fea2e8dc0300000000000000000000000000000000e6ac89e392cfba855d010002010931302e312e302e31320476657374096865726e696e672d31052c";
const EXCHANGE_REPLY: &str = "000002020931302e312e302e31320476657374096865726e696e672d310931302e322e302e31300476657374096865726e696e672d3101000a010008ec408780f9c0c1c48203050476657374096865726e696e672d3101077465636872656703692d373e0000";
const CALL_TIMEOUT: Duration = Duration::from_secs(5);

fn record() -> HostRecord {
    HostRecord {
        gate: "10.1.0.8:8300".parse().unwrap(),
        run: Incarnation(1_700_000_000_000_007),
        sequence: 5,
        region: RegionName::try_from("vest").unwrap(),
        zone: ZoneName::try_from("herning-1").unwrap(),
        server: Some(ServerRecord {
            service: ServiceName::try_from("techreg").unwrap(),
            id: "i-7".to_owned(),
            slots: 62,
        }),
        left: None,
    }
}

fn keeper(name: &str) -> KeeperRecord {
    KeeperRecord {
        name: KeeperName::try_from(name).unwrap(),
        region: RegionName::try_from("vest").unwrap(),
        zone: ZoneName::try_from("herning-1").unwrap(),
    }
}

fn sync_request() -> SyncRequest {
    SyncRequest {
        record: Some(record()),
        config_after: 6,
        hosts: Some(DirectoryQuery {
            position: DirectoryPosition {
                run: 99,
                change: 11,
            },
            digest: 0,
        }),
        keeper_run: 99,
        reports_after: 2,
        keepers_digest: 0,
        wait_ms: 700,
    }
}

fn sync_reply() -> SyncReply {
    SyncReply {
        is_current: true,
        config: Some(AcceptedConfig {
            version: 7,
            text: Arc::from("{}"),
        }),
        keeper_run: 99,
        hosts: Some(DirectoryAnswer {
            position: DirectoryPosition {
                run: 99,
                change: 12,
            },
            records: vec![record()],
            skipped: 0,
        }),
        reports_at: 3,
        crash_reports: Vec::new(),
        reports_digest: 44,
        keepers: vec![keeper("10.1.0.12")],
    }
}

fn exchange() -> KeeperExchange {
    KeeperExchange {
        sender: keeper("10.1.0.12"),
        keepers_digest: 0,
        hosts: DirectoryQuery {
            position: DirectoryPosition::default(),
            digest: 5,
        },
        reports_digest: 44,
    }
}

fn exchange_reply() -> KeeperExchangeReply {
    KeeperExchangeReply {
        keepers: vec![keeper("10.1.0.12"), keeper("10.2.0.10")],
        hosts: DirectoryAnswer {
            position: DirectoryPosition::default(),
            records: vec![record()],
            skipped: 0,
        },
        crash_reports: Vec::new(),
    }
}

/// What a keeper has received.
#[derive(Debug, PartialEq)]
enum Received {
    Sync(SyncRequest),
    Share(SharedHosts),
    Exchange(KeeperExchange),
}

#[derive(Clone, Default)]
struct TestKeeper(Arc<Mutex<Vec<Received>>>);

impl TestKeeper {
    fn push(&self, received: Received) {
        self.0.lock().unwrap().push(received);
    }
}

impl FleetService for TestKeeper {
    async fn sync(&self, request: SyncRequest) -> SyncReply {
        self.push(Received::Sync(request));
        sync_reply()
    }

    async fn share_hosts(&self, hosts: SharedHosts) {
        self.push(Received::Share(hosts));
    }

    async fn share_crash_reports(&self, _: Vec<CrashReport>) {}

    async fn exchange_keepers(&self, exchange: KeeperExchange) -> KeeperExchangeReply {
        self.push(Received::Exchange(exchange));
        exchange_reply()
    }

    async fn run_command(&self, _: ConfigCommand) -> Result<ConfigReply, CommandError> {
        Err(CommandError::NotLeader)
    }

    async fn deliver(&self, _: Vec<ReplicaEnvelope>) {}
}

async fn start_keeper() -> (TestKeeper, FleetServer) {
    let keeper = TestKeeper::default();
    let addr = "127.0.0.1:0".parse().unwrap();
    let server = FleetServer::bind(addr, keeper.clone(), ListenerBudget::unlimited())
        .await
        .unwrap();
    (keeper, server)
}

async fn read_frame(stream: &mut TcpStream) -> Option<Vec<u8>> {
    let len = stream.read_u32().await.ok()?;
    let mut buf = vec![0; usize::try_from(len).unwrap()];
    stream.read_exact(&mut buf).await.ok()?;
    Some(buf)
}

async fn write_frame(stream: &mut TcpStream, frame: &[u8]) {
    stream.write_u32(frame.len() as u32).await.unwrap();
    stream.write_all(frame).await.unwrap();
}

/// Sends one frame on a new connection; returns the reply, `None` if the connection ends.
async fn send_frame(addr: SocketAddr, frame: &[u8]) -> Option<Vec<u8>> {
    let mut stream = TcpStream::connect(addr).await.unwrap();
    write_frame(&mut stream, frame).await;
    let reply = tokio::time::timeout(CALL_TIMEOUT, read_frame(&mut stream));
    reply.await.expect("the connection does not stay silent")
}

#[rstest]
#[case::sync(SYNC_REQUEST, SYNC_REPLY, Received::Sync(sync_request()))]
#[case::share(SHARE_REQUEST, SHARE_REPLY, Received::Share(SharedHosts {
    records: vec![record()],
    is_relayed: false,
}))]
#[case::exchange(EXCHANGE_REQUEST, EXCHANGE_REPLY, Received::Exchange(exchange()))]
#[tokio::test]
async fn a_keeper_reads_and_writes_the_first_format(
    #[case] request: &str,
    #[case] reply: &str,
    #[case] expected: Received,
) {
    let (keeper, server) = start_keeper().await;
    let request = hex::decode(request).unwrap();
    let received = send_frame(server.local_addr(), &request).await.unwrap();
    assert_eq!(hex::encode(received), reply);
    assert_eq!(*keeper.0.lock().unwrap(), [expected]);
}

/// A keeper of the first format: ends the connection on any other request than `request`, but for the
/// deadline and the trace, and replies with `reply`.
async fn serve_first_format(listener: TcpListener, request: Vec<u8>, reply: Vec<u8>) {
    loop {
        let (mut stream, _) = listener.accept().await.unwrap();
        let Some(frame) = read_frame(&mut stream).await else {
            continue;
        };
        // The message follows the context, whose length varies.
        let message = &request[request.len() - message_bytes(&request)..];
        if frame.ends_with(message) {
            write_frame(&mut stream, &reply).await;
            // Until the other end has read the reply.
            let _ = read_frame(&mut stream).await;
        }
    }
}

/// Returns the length of the message in a request of the fixtures: all after its request id, which is 0.
fn message_bytes(request: &[u8]) -> usize {
    let kinds: [&[u8]; 3] = [&[0, 0, 1, 0, 10], &[0, 1, 1, 0, 10], &[0, 2, 1, 9]];
    let starts = kinds.iter().filter_map(|kind| {
        let mut windows = request.windows(kind.len());
        windows.position(|window| window == *kind)
    });
    request.len() - 1 - starts.max().unwrap()
}

async fn first_format_link(request: &str, reply: &str) -> FleetLink {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap();
    let (request, reply) = (hex::decode(request).unwrap(), hex::decode(reply).unwrap());
    tokio::spawn(serve_first_format(listener, request, reply));
    FleetLink::open(addr)
}

#[tokio::test]
async fn a_caller_tries_the_first_format_when_a_keeper_ends_the_connection() {
    let link = first_format_link(SYNC_REQUEST, SYNC_REPLY).await;
    let sync = || {
        link.call(CALL_TIMEOUT, |client, ctx| async move {
            client.sync(ctx, sync_request()).await
        })
    };
    assert_eq!(sync().await, Err(LinkError::NoResponse));
    assert_eq!(sync().await, Ok(sync_reply()));

    let link = first_format_link(EXCHANGE_REQUEST, EXCHANGE_REPLY).await;
    let exchange = || {
        link.call(CALL_TIMEOUT, |client, ctx| async move {
            client.exchange_keepers(ctx, exchange()).await
        })
    };
    assert_eq!(exchange().await, Err(LinkError::NoResponse));
    assert_eq!(exchange().await, Ok(exchange_reply()));
}

#[rstest]
#[case::empty(vec![])]
#[case::unknown_request(vec![0, 1, 0, 0, 0, 0, 0, 9])]
#[case::cut(hex::decode(&SYNC_REQUEST[..SYNC_REQUEST.len() - 2]).unwrap())]
#[case::bytes_after_the_message(hex::decode(format!("{SYNC_REQUEST}00")).unwrap())]
#[case::noise(vec![0xff; 300])]
#[tokio::test]
async fn an_unreadable_message_ends_its_connection_only(#[case] frame: Vec<u8>) {
    let (keeper, server) = start_keeper().await;
    let addr = server.local_addr();
    assert_eq!(send_frame(addr, &frame).await, None);
    assert!(keeper.0.lock().unwrap().is_empty());
    let link = FleetLink::open(addr);
    let reply = link.call(CALL_TIMEOUT, |client, ctx| async move {
        client.sync(ctx, sync_request()).await
    });
    assert_eq!(reply.await, Ok(sync_reply()));
}
