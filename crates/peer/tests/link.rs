//! Links to processes whose connections go silent, break or can't be opened.

use agatehill_decide::{
    claim::{ClaimCommand, ClaimReply},
    contract_history::ContractReply,
    name::CustomerName,
    replica::ReplicaEnvelope,
};
use agatehill_peer::{
    keeper::{FeedPage, KeeperError, KeeperServer, KeeperService},
    keeper_client::KeeperLink,
    link::LinkError,
};
use agatehill_process::budget::ListenerBudget;
use agatehill_tests::tcp_proxy::{StallDirection, StallingProxy};
use futures_util::future::join_all;
use rstest::rstest;
use socket2::{Domain, Socket, Type};
use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};
use tokio::{
    net::TcpStream,
    time::{sleep, timeout},
};

/// Time limit of a call.
const LIMIT: Duration = Duration::from_millis(300);
/// Time after which a caller stops waiting, before the call's limit.
const CALLER_PATIENCE: Duration = Duration::from_millis(250);
/// Pause between two calls of one caller.
const PAUSE: Duration = Duration::from_millis(100);
/// Time within which a call must be answered after the connection went silent: one call's limit, and the next call.
const ANSWERED_WITHIN: Duration = Duration::from_secs(1);
/// Time that a busy machine may add.
const DELAY: Duration = Duration::from_millis(300);

/// A keeper that replies to each feed at once.
#[derive(Clone, Copy, Debug)]
struct ReadyKeeper;

impl KeeperService for ReadyKeeper {
    async fn feed(&self, after: u64, _: Duration) -> Result<FeedPage, KeeperError> {
        Ok(FeedPage {
            position: after,
            current: true,
            contracts: Vec::new(),
        })
    }

    async fn put_contract(&self, _: CustomerName, _: String) -> Result<ContractReply, KeeperError> {
        Err(KeeperError::Unknown)
    }

    async fn claim(&self, _: ClaimCommand) -> Result<ClaimReply, KeeperError> {
        Err(KeeperError::Unknown)
    }

    async fn propose(&self, _: u16, _: Vec<u8>) -> Result<Vec<u8>, KeeperError> {
        Err(KeeperError::Unknown)
    }

    async fn deliver(&self, _: Vec<ReplicaEnvelope>) {}
}

async fn call(link: &KeeperLink) -> Result<u64, LinkError> {
    let reply = link.call(
        LIMIT,
        |client, ctx| async move { client.feed(ctx, 7, 0).await },
    );
    Ok(reply.await?.unwrap().position)
}

async fn start() -> (KeeperServer, StallingProxy, KeeperLink) {
    let server = KeeperServer::bind(
        ([127, 0, 0, 1], 0).into(),
        ReadyKeeper,
        ListenerBudget::unlimited(),
    );
    let server = server.await.unwrap();
    let proxy = StallingProxy::bind(server.local_addr()).await;
    let link = KeeperLink::open(proxy.local_addr());
    assert_eq!(call(&link).await, Ok(7));
    (server, proxy, link)
}

/// CONFIG: a link went on over a silent connection for as long as its callers stopped waiting before the link's own limit.
#[rstest]
#[case::requests_lost(StallDirection::Both)]
#[case::responses_lost(StallDirection::Responses)]
#[tokio::test]
async fn a_silent_connection_is_replaced_though_callers_stop_waiting_first(
    #[case] direction: StallDirection,
) {
    let (_server, proxy, link) = start().await;
    proxy.stall_open(direction);
    let start = Instant::now();
    while !matches!(timeout(CALLER_PATIENCE, call(&link)).await, Ok(Ok(7))) {
        assert!(start.elapsed() < ANSWERED_WITHIN, "{:?}", link.report());
        sleep(PAUSE).await;
    }
    assert_eq!((proxy.accepted(), link.report().unanswered), (2, 0));
}

/// A call that is dropped without ever having been waited for longer than a moment is no reason to keep the connection.
#[tokio::test]
async fn a_caller_that_leaves_at_once_doesnt_hide_a_silent_connection() {
    let (_server, proxy, link) = start().await;
    proxy.stall_open(StallDirection::Both);
    assert!(
        timeout(Duration::from_millis(10), call(&link))
            .await
            .is_err()
    );
    sleep(LIMIT + DELAY).await;
    assert_eq!(call(&link).await, Ok(7));
}

/// The first call after a keeper had closed an idle connection, or had started again, was lost and changed the format.
#[tokio::test]
async fn a_connection_that_ended_while_idle_loses_no_call() {
    let (server, _proxy, _) = start().await;
    let addr = server.local_addr();
    let link = KeeperLink::open(addr);
    assert_eq!(call(&link).await, Ok(7));
    drop(server);
    sleep(PAUSE).await;
    let _server = KeeperServer::bind(addr, ReadyKeeper, ListenerBudget::unlimited())
        .await
        .unwrap();
    assert_eq!(call(&link).await, Ok(7));
    assert_eq!(link.report().connections, 2);
}

/// Returns an address where connections are neither accepted nor refused, and what holds it.
async fn unanswered_addr() -> (SocketAddr, Socket, Vec<TcpStream>) {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    socket.bind(&any.into()).unwrap();
    socket.listen(0).unwrap();
    let addr = socket.local_addr().unwrap().as_socket().unwrap();
    let mut queued = Vec::new();
    // Connections that nobody accepts fill the queue.
    while let Ok(Ok(stream)) = timeout(DELAY, TcpStream::connect(addr)).await {
        queued.push(stream);
    }
    (addr, socket, queued)
}

/// Calls waited for each other's connection setup, one after the other.
#[tokio::test]
async fn calls_end_in_time_while_no_connection_can_be_opened() {
    let (addr, _socket, _queued) = unanswered_addr().await;
    let link = KeeperLink::open(addr);
    let start = Instant::now();
    let results = join_all((0..10).map(|_| call(&link))).await;
    assert_eq!(results, [Err(LinkError::Unreachable); 10]);
    assert!(start.elapsed() < LIMIT + DELAY, "{:?}", start.elapsed());
    assert_eq!(link.report().connections, 1);
}
