//! Failover of the keeper client when keepers are isolated, unresponsive or refuse connections.

use agatehill_decide::{
    claim::{ClaimCommand, ClaimReply},
    contract_history::{AcceptedRevision, ContractReply},
    name::CustomerName,
    replica::ReplicaEnvelope,
};
use agatehill_peer::{
    keeper::{FeedPage, KeeperError, KeeperServer, KeeperService},
    keeper_client::KeeperClient,
};
use agatehill_process::budget::ListenerBudget;
use rstest::rstest;
use std::{future::pending, net::SocketAddr, time::Duration};
use tokio::net::{TcpListener, TcpSocket};

/// Behaviour of a fake keeper.
#[derive(Clone, Copy, Debug)]
enum FakeKeeper {
    /// Is the leader.
    Leader,
    /// Has no contact with a leader.
    Isolated,
    /// Replies that the outcome of a command is unknown.
    OutcomeUnknown,
    /// Reads requests but never replies.
    NeverReplies,
    /// Accepts connections but never reads.
    NeverReads,
    /// Refuses connections.
    Refusing,
}

impl KeeperService for FakeKeeper {
    async fn feed(&self, after: u64, _: Duration) -> Result<FeedPage, KeeperError> {
        let (position, current) = match self {
            FakeKeeper::Leader => (after + 10, true),
            FakeKeeper::NeverReplies => pending().await,
            _ => (after, false),
        };
        Ok(FeedPage {
            position,
            current,
            contracts: Vec::new(),
        })
    }

    async fn put_contract(
        &self,
        _: CustomerName,
        text: String,
    ) -> Result<ContractReply, KeeperError> {
        match self {
            _ if text == "bad" => Err(KeeperError::Invalid(text)),
            FakeKeeper::Leader => Ok(accepted()),
            FakeKeeper::NeverReplies => pending().await,
            FakeKeeper::OutcomeUnknown => Err(KeeperError::Unknown),
            _ => Err(KeeperError::NotLeader { leader: None }),
        }
    }

    async fn claim(&self, _: ClaimCommand) -> Result<ClaimReply, KeeperError> {
        Err(KeeperError::Unknown)
    }

    async fn propose(&self, _: u16, _: Vec<u8>) -> Result<Vec<u8>, KeeperError> {
        Err(KeeperError::Unknown)
    }

    async fn deliver(&self, _: Vec<ReplicaEnvelope>) {}
}

/// Holds the listener of a fake keeper for as long as the test needs it.
enum RunningKeeper {
    Served(#[allow(dead_code)] KeeperServer),
    NeverReads(#[allow(dead_code)] TcpListener),
    /// A socket that is bound and does not listen, so that no other process gets its port.
    Refusing(#[allow(dead_code)] TcpSocket),
}

async fn start(keeper: FakeKeeper) -> (SocketAddr, RunningKeeper) {
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    if let FakeKeeper::NeverReads = keeper {
        let listener = TcpListener::bind(any).await.unwrap();
        let addr = listener.local_addr().unwrap();
        return (addr, RunningKeeper::NeverReads(listener));
    }
    if let FakeKeeper::Refusing = keeper {
        let socket = TcpSocket::new_v4().unwrap();
        socket.bind(any).unwrap();
        let addr = socket.local_addr().unwrap();
        return (addr, RunningKeeper::Refusing(socket));
    }
    let server = KeeperServer::bind(any, keeper, ListenerBudget::unlimited())
        .await
        .unwrap();
    (server.local_addr(), RunningKeeper::Served(server))
}

fn accepted() -> ContractReply {
    ContractReply::Accepted(AcceptedRevision {
        revision: 1,
        position: 9,
        digest: [7; 32],
    })
}

fn customer() -> CustomerName {
    CustomerName::try_from("dansk").unwrap()
}

#[rstest]
#[case::isolated(FakeKeeper::Isolated)]
#[case::outcome_unknown(FakeKeeper::OutcomeUnknown)]
#[case::never_replies(FakeKeeper::NeverReplies)]
#[case::never_reads(FakeKeeper::NeverReads)]
#[case::refusing(FakeKeeper::Refusing)]
#[tokio::test]
async fn requests_fail_over_to_the_next_keeper(#[case] first: FakeKeeper) {
    let (first, _first) = start(first).await;
    let (second, _second) = start(FakeKeeper::Leader).await;
    let client = KeeperClient::open(vec![first, second]);
    let page = client.feed(3, Duration::from_millis(50)).await.unwrap();
    assert_eq!((page.position, page.current), (13, true));
    let client = KeeperClient::open(vec![first, second]);
    let put = client.put_contract(customer(), String::new()).await;
    assert_eq!(put, Ok(accepted()));
    let newest = client.newest_page(3).await.unwrap();
    assert_eq!(newest.position, 13);
}

#[rstest]
#[case::none_reachable(FakeKeeper::Refusing, KeeperError::Unreachable)]
#[case::one_outcome_unknown(FakeKeeper::OutcomeUnknown, KeeperError::Unknown)]
#[case::one_timed_out(FakeKeeper::NeverReads, KeeperError::Unknown)]
#[tokio::test]
async fn an_unanswered_command_is_unknown_if_any_attempt_may_have_arrived(
    #[case] first: FakeKeeper,
    #[case] error: KeeperError,
) {
    let (first, _first) = start(first).await;
    let (second, _second) = start(FakeKeeper::Refusing).await;
    let client = KeeperClient::open(vec![first, second]);
    let put = client.put_contract(customer(), String::new()).await;
    assert_eq!(put, Err(error));
}

#[tokio::test]
async fn an_invalid_contract_is_not_retried() {
    let (addr, _server) = start(FakeKeeper::Leader).await;
    let client = KeeperClient::open(vec![addr]);
    let put = client.put_contract(customer(), "bad".to_owned()).await;
    assert_eq!(put, Err(KeeperError::Invalid("bad".to_owned())));
}

#[tokio::test]
async fn feed_returns_the_latest_page_without_a_leader() {
    let (first, _first) = start(FakeKeeper::Refusing).await;
    let (second, _second) = start(FakeKeeper::Isolated).await;
    let client = KeeperClient::open(vec![first, second]);
    let page = client.feed(3, Duration::from_millis(50)).await.unwrap();
    assert_eq!((page.position, page.current), (3, false));
}
