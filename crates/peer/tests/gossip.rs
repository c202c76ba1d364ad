//! Gossip and control messages over loopback sockets.

use agatehill_decide::{
    member::{MemberSeed, MemberServer, MemberStatus},
    name::{DaemonName, Incarnation, RegionName, ServiceName, ZoneName},
    route::ServerState,
};
use agatehill_peer::gossip::{GossipHandle, GossipSettings, PeerSnapshot};
use agatehill_process::budget::ListenerBudget;
use std::{net::SocketAddr, time::Duration};
use tokio::net::{TcpStream, UdpSocket};

/// Time limit for a condition to become true on a busy machine.
const WAIT_LIMIT: Duration = Duration::from_secs(60);

async fn start(number: usize, zone: &str, seeds: &[&GossipHandle]) -> GossipHandle {
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    let seed = |handle: &&GossipHandle| MemberSeed {
        gossip: handle.gossip_addr(),
        control: handle.control_addr(),
    };
    let settings = GossipSettings {
        name: DaemonName::try_from(format!("daemon-{number}")).unwrap(),
        zone: ZoneName::try_from(zone).unwrap(),
        region: RegionName::try_from("vest").unwrap(),
        incarnation: Incarnation(1),
        gossip: any,
        control: any,
        forward: SocketAddr::from(([127, 0, 0, 1], 9_000)),
        seeds: seeds.iter().map(seed).collect(),
        contracts: tokio::sync::watch::channel(std::sync::Arc::default()).1,
    };
    let handle = GossipHandle::bind(settings, ListenerBudget::unlimited())
        .await
        .unwrap();
    handle
        .announce_servers(vec![server(ServerState::Serving)])
        .await;
    handle
}

fn server(state: ServerState) -> MemberServer {
    MemberServer {
        service: ServiceName::try_from("techreg").unwrap(),
        backend: SocketAddr::from(([127, 0, 0, 1], 9_001)),
        slots: 50,
        state,
    }
}

async fn wait(handle: &GossipHandle, what: &str, done: impl Fn(&PeerSnapshot) -> bool) {
    let mut view = handle.subscribe();
    let waited = tokio::time::timeout(WAIT_LIMIT, view.wait_for(|view| done(view))).await;
    let is_done = waited.is_ok();
    assert!(is_done, "{what}: {:?}", handle.subscribe().borrow());
}

fn serving(view: &PeerSnapshot) -> usize {
    let alive = view
        .members
        .iter()
        .filter(|member| member.status == MemberStatus::Alive);
    let servers = alive.flat_map(|member| &member.record.servers);
    servers
        .filter(|server| server.state == ServerState::Serving)
        .count()
}

fn zone_servers(view: &PeerSnapshot) -> Vec<(&str, u32)> {
    let zones = view.zones.iter().filter(|zone| !zone.is_stale);
    let servers = zones.map(|zone| {
        let servers = zone.rows.iter().map(|row| row.servers).sum();
        (zone.zone.as_str(), servers)
    });
    servers.collect()
}

#[tokio::test(flavor = "multi_thread")]
async fn daemons_discover_their_zone_and_other_zones() {
    let first = start(0, "herning-1", &[]).await;
    let second = start(1, "herning-1", &[&first]).await;
    let third = start(2, "herning-1", &[&first]).await;
    let other = start(3, "esbjerg-2", &[&first]).await;
    for handle in [&first, &second, &third] {
        wait(handle, "members", |view| serving(view) == 2).await;
        wait(handle, "zones", |view| {
            zone_servers(view) == [("esbjerg-2", 1)]
        })
        .await;
    }
    wait(&other, "zones", |view| {
        zone_servers(view) == [("herning-1", 3)]
    })
    .await;
    assert_eq!(serving(&other.subscribe().borrow()), 0);

    second
        .announce_servers(vec![server(ServerState::Leaving)])
        .await;
    wait(&first, "a leaving server", |view| serving(view) == 1).await;
    wait(&other, "a leaving server", |view| {
        zone_servers(view) == [("herning-1", 2)]
    })
    .await;
    second.leave().await;
    wait(&first, "a member that left", |view| view.members.len() == 1).await;
    drop(third);
    wait(&first, "a member that died", |view| view.members.is_empty()).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn malformed_input_is_dropped() {
    let first = start(0, "herning-1", &[]).await;
    let socket = UdpSocket::bind("127.0.0.1:0").await.unwrap();
    for datagram in [&[][..], &[0xff; 1], &[0; 1_200], &[0xff; 4_000]] {
        socket.send_to(datagram, first.gossip_addr()).await.unwrap();
    }
    let stream = TcpStream::connect(first.control_addr()).await.unwrap();
    stream.writable().await.unwrap();
    stream.try_write(&[0xff; 64]).unwrap();
    let second = start(1, "herning-1", &[&first]).await;
    wait(&second, "members", |view| serving(view) == 1).await;
    wait(&first, "members", |view| serving(view) == 1).await;
}
