//! The client of the keepers against keepers that refuse, are cut off, stay silent or are gone.

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
use rstest::rstest;
use std::{future::pending, net::SocketAddr, time::Duration};
use tokio::net::TcpListener;

/// How a fake keeper behaves.
#[derive(Clone, Copy, Debug)]
enum FakeKeeper {
    /// Leads.
    Good,
    /// Knows no leader.
    CutOff,
    /// Can't tell what became of a command.
    Unsure,
    /// Takes requests and never answers.
    Hanging,
    /// Takes connections and never reads.
    Silent,
    /// Refuses connections.
    Gone,
}

impl KeeperService for FakeKeeper {
    async fn feed(&self, after: u64, _: Duration) -> Result<FeedPage, KeeperError> {
        let (position, current) = match self {
            FakeKeeper::Good => (after + 10, true),
            FakeKeeper::Hanging => pending().await,
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
            FakeKeeper::Good => Ok(reply()),
            FakeKeeper::Hanging => pending().await,
            FakeKeeper::Unsure => Err(KeeperError::Unknown),
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

/// What keeps a fake keeper's address in its state.
enum Running {
    Served(#[allow(dead_code)] KeeperServer),
    Silent(#[allow(dead_code)] TcpListener),
    Gone,
}

async fn start(keeper: FakeKeeper) -> (SocketAddr, Running) {
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    if let FakeKeeper::Silent | FakeKeeper::Gone = keeper {
        let listener = TcpListener::bind(any).await.unwrap();
        let addr = listener.local_addr().unwrap();
        return match keeper {
            FakeKeeper::Silent => (addr, Running::Silent(listener)),
            _ => (addr, Running::Gone),
        };
    }
    let server = KeeperServer::bind(any, keeper).await.unwrap();
    (server.local_addr(), Running::Served(server))
}

fn reply() -> ContractReply {
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
#[case::cut_off(FakeKeeper::CutOff)]
#[case::unsure(FakeKeeper::Unsure)]
#[case::hanging(FakeKeeper::Hanging)]
#[case::silent(FakeKeeper::Silent)]
#[case::gone(FakeKeeper::Gone)]
#[tokio::test]
async fn requests_leave_a_keeper_that_fails(#[case] first: FakeKeeper) {
    let (first, _first) = start(first).await;
    let (second, _second) = start(FakeKeeper::Good).await;
    let client = KeeperClient::open(vec![first, second]);
    let page = client.feed(3, Duration::from_millis(50)).await.unwrap();
    assert_eq!((page.position, page.current), (13, true));
    let client = KeeperClient::open(vec![first, second]);
    let put = client.put_contract(customer(), String::new()).await;
    assert_eq!(put, Ok(reply()));
    let newest = client.newest_page(3).await.unwrap();
    assert_eq!(newest.position, 13);
}

#[rstest]
#[case::none_can_be_reached(FakeKeeper::Gone, KeeperError::Unreachable)]
#[case::one_may_have_run_it(FakeKeeper::Unsure, KeeperError::Unknown)]
#[case::one_was_silent(FakeKeeper::Silent, KeeperError::Unknown)]
#[tokio::test]
async fn a_command_without_an_answer_ends_with_the_most_careful_error(
    #[case] first: FakeKeeper,
    #[case] error: KeeperError,
) {
    let (first, _first) = start(first).await;
    let (second, _second) = start(FakeKeeper::Gone).await;
    let client = KeeperClient::open(vec![first, second]);
    let put = client.put_contract(customer(), String::new()).await;
    assert_eq!(put, Err(error));
}

#[tokio::test]
async fn a_faulty_contract_is_refused_at_once() {
    let (addr, _server) = start(FakeKeeper::Good).await;
    let client = KeeperClient::open(vec![addr]);
    let put = client.put_contract(customer(), "bad".to_owned()).await;
    assert_eq!(put, Err(KeeperError::Invalid("bad".to_owned())));
}

#[tokio::test]
async fn without_a_leader_the_best_page_is_still_given() {
    let (first, _first) = start(FakeKeeper::Gone).await;
    let (second, _second) = start(FakeKeeper::CutOff).await;
    let client = KeeperClient::open(vec![first, second]);
    let page = client.feed(3, Duration::from_millis(50)).await.unwrap();
    assert_eq!((page.position, page.current), (3, false));
}
