//! Responses of the contract API, and how its client chooses a keeper.

use agatehill_decide::{
    contract_history::{AcceptedRevision, ContractReply, text_digest},
    name::CustomerName,
};
use agatehill_operator::{
    client::{ClientError, ContractClient},
    contracts::{
        CONTRACT_BYTES_MAX, ContractReport, ContractService, PutError, RevisionReport,
        contract_routes, parse_contract,
    },
};
use agatehill_process::{budget::ListenerBudget, serve::HttpServer};
use agatehill_tests::raw_server::{spawn_resetting_server, spawn_server_with_status};
use bytes::Bytes;
use gotham::router::build_simple_router;
use http::{Request, Response};
use http_body_util::{BodyExt, Full};
use hyper_util::{client::legacy::Client, rt::TokioExecutor};
use rstest::rstest;
use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpListener,
};

/// Time from the start of a response to its reset.
const RESET_DELAY: Duration = Duration::from_millis(20);
const TEXT: &str = "customer = \"dansk\"\nrevision = 4\ncalls_per_second = 10\n\
    calls_in_flight = 5\nretries_per_request = 2\nremember_hours = 48\n";

/// A keeper whose proposals all have the same outcome.
#[derive(Clone)]
struct FakeKeeper {
    outcome: Result<ContractReply, PutError>,
    is_current: bool,
    proposed: Arc<AtomicUsize>,
    budget: ListenerBudget,
}

impl FakeKeeper {
    fn new(outcome: Result<ContractReply, PutError>) -> FakeKeeper {
        FakeKeeper {
            outcome,
            is_current: true,
            proposed: Arc::default(),
            budget: ListenerBudget::unlimited(),
        }
    }
}

fn accepted(revision: u64) -> AcceptedRevision {
    AcceptedRevision {
        revision,
        position: 70 + revision,
        digest: text_digest(TEXT),
    }
}

impl ContractService for FakeKeeper {
    async fn put(&self, customer: CustomerName, text: String) -> Result<ContractReply, PutError> {
        parse_contract(&customer, &text).map_err(PutError::Invalid)?;
        self.proposed.fetch_add(1, Ordering::Relaxed);
        self.outcome.clone()
    }

    fn budget(&self) -> &ListenerBudget {
        &self.budget
    }

    fn is_current(&self) -> bool {
        self.is_current
    }

    fn get(&self, customer: &CustomerName) -> Option<ContractReport> {
        (customer.as_str() == "dansk").then(|| ContractReport {
            customer: customer.clone(),
            latest: accepted(4).into(),
            text: TEXT.into(),
        })
    }

    fn list(&self) -> Vec<ContractReport> {
        let customer = CustomerName::try_from("dansk").unwrap();
        self.get(&customer).into_iter().collect()
    }

    fn revisions(&self, customer: &CustomerName) -> Option<Vec<RevisionReport>> {
        self.get(customer).map(|report| vec![report.latest])
    }
}

async fn serve(keeper: FakeKeeper) -> HttpServer {
    let router = build_simple_router(|route| contract_routes(route, keeper));
    let addr = SocketAddr::from(([127, 0, 0, 1], 0));
    HttpServer::bind(addr, router).await.unwrap()
}

async fn send(server: &HttpServer, method: &str, path: &str, body: Vec<u8>) -> Response<Bytes> {
    let client = Client::builder(TokioExecutor::new()).build_http::<Full<Bytes>>();
    let request = Request::builder()
        .method(method)
        .uri(format!("http://{}{path}", server.local_addr()))
        .body(body.into())
        .unwrap();
    let (parts, body) = client.request(request).await.unwrap().into_parts();
    Response::from_parts(parts, body.collect().await.unwrap().to_bytes())
}

#[rstest]
#[case::accepted(Ok(ContractReply::Accepted(accepted(4))), 200, "\"revision\":4")]
#[case::other_bytes(Ok(ContractReply::Conflict(accepted(4))), 409, "\"position\":74")]
#[case::gap(Ok(ContractReply::Gap { current: 2 }), 409, "the next revision of customer \\\"dansk\\\" is 3")]
#[case::no_leader(Err(PutError::NoLeader), 503, "nothing was changed")]
#[case::unknown(Err(PutError::OutcomeUnknown), 503, "send the same bytes again")]
#[tokio::test]
async fn response_to_a_put_follows_its_outcome(
    #[case] outcome: Result<ContractReply, PutError>,
    #[case] status: u16,
    #[case] part: &str,
) {
    let server = serve(FakeKeeper::new(outcome)).await;
    let response = send(&server, "PUT", "/contracts/dansk", TEXT.into()).await;
    let body = String::from_utf8(response.body().to_vec()).unwrap();
    assert_eq!(response.status(), status, "{body}");
    assert!(body.contains(part), "{body}");
    let is_problem = response.headers()["content-type"] == "application/problem+json";
    assert_eq!(is_problem, status != 200);
    assert_eq!(
        response.headers().contains_key("retry-after"),
        status == 503
    );
}

#[rstest]
#[case::other_customer("/contracts/sutravan", TEXT.into(), 400)]
#[case::bad_name("/contracts/dan%20sk", TEXT.into(), 400)]
#[case::empty("/contracts/dansk", Vec::new(), 400)]
#[case::not_toml("/contracts/dansk", b"customer = ".to_vec(), 400)]
#[case::not_utf8("/contracts/dansk", vec![0xff, 0xfe], 400)]
#[case::unknown_key("/contracts/dansk", format!("colour = 1\n{TEXT}").into(), 400)]
#[case::too_large("/contracts/dansk", vec![b'#'; CONTRACT_BYTES_MAX + 1], 413)]
#[case::no_customer("/contracts", TEXT.into(), 405)]
#[tokio::test]
async fn an_invalid_put_proposes_nothing(
    #[case] path: &str,
    #[case] body: Vec<u8>,
    #[case] status: u16,
) {
    let keeper = FakeKeeper::new(Ok(ContractReply::Accepted(accepted(4))));
    let server = serve(keeper.clone()).await;
    let response = send(&server, "PUT", path, body).await;
    assert_eq!(response.status(), status, "{:?}", response.body());
    assert_eq!(keeper.proposed.load(Ordering::Relaxed), 0);
}

#[rstest]
#[case::get("/contracts/dansk", true, 200)]
#[case::list("/contracts", true, 200)]
#[case::log("/contracts/dansk/log", true, 200)]
#[case::unknown("/contracts/sutravan", true, 404)]
#[case::unknown_log("/contracts/sutravan/log", true, 404)]
#[case::get_while_disconnected("/contracts/dansk", false, 503)]
#[case::list_while_disconnected("/contracts", false, 503)]
#[case::log_while_disconnected("/contracts/dansk/log", false, 503)]
#[tokio::test]
async fn only_a_current_keeper_returns_contracts(
    #[case] path: &str,
    #[case] is_current: bool,
    #[case] status: u16,
) {
    let mut keeper = FakeKeeper::new(Err(PutError::OutcomeUnknown));
    keeper.is_current = is_current;
    let server = serve(keeper).await;
    let response = send(&server, "GET", path, Vec::new()).await;
    assert_eq!(response.status(), status, "{:?}", response.body());
}

#[tokio::test]
async fn client_tries_keepers_until_one_gives_a_final_response() {
    let disconnected = serve(FakeKeeper::new(Err(PutError::NoLeader))).await;
    let leader = serve(FakeKeeper::new(Ok(ContractReply::Accepted(accepted(4))))).await;
    let stopped = {
        let server = serve(FakeKeeper::new(Err(PutError::OutcomeUnknown))).await;
        let addr = server.local_addr();
        server.stop().await;
        addr
    };
    let client = ContractClient::new(vec![
        stopped,
        disconnected.local_addr(),
        leader.local_addr(),
    ]);
    assert_eq!(client.put(TEXT).await.unwrap(), accepted(4).into());
    let alone = ContractClient::new(vec![stopped]);
    let failed = alone.put(TEXT).await;
    assert!(
        matches!(failed, Err(ClientError::Unavailable(_))),
        "{failed:?}"
    );
}

/// An operator's tool kept all that a faulty process sent, for as long as it waited for the end.
#[rstest]
#[case::head("HTTP/1.1 200 OK\r\nx-a: ", 64 << 10)]
#[case::body("HTTP/1.1 200 OK\r\n\r\n", 64 << 20)]
#[tokio::test(flavor = "multi_thread")]
async fn a_response_without_an_end_is_read_up_to_its_limit(
    #[case] start: &'static str,
    #[case] bytes_max: usize,
) {
    /// Bytes that the two ends of a connection buffer, at most.
    const SOCKET_BYTES: usize = 16 << 20;
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap();
    let sending = tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.unwrap();
        let _ = stream.read(&mut [0; 1024]).await;
        let mut sent = stream.write_all(start.as_bytes()).await;
        let mut bytes = 0;
        while sent.is_ok() && bytes <= 4 * bytes_max + SOCKET_BYTES {
            sent = stream.write_all(&[b'a'; 64 * 1024]).await;
            bytes += 64 * 1024;
        }
        bytes
    });
    let fetched = ContractClient::new(Vec::new()).fetch_dump(addr).await;
    assert!(
        matches!(fetched, Err(ClientError::Unavailable(_))),
        "{fetched:?}"
    );
    let bytes = sending.await.unwrap();
    assert!(bytes <= bytes_max + SOCKET_BYTES, "{bytes} bytes");
}

/// MIXED: neither an answer with the status 000 nor the part of one that had arrived before a reset is an answer of a keeper.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_dump_without_a_status_or_an_end_is_no_answer() {
    let head = "HTTP/1.1 200 OK\r\n\r\n{\"keeper\": 1}";
    let resetting = spawn_resetting_server(head, 0, RESET_DELAY);
    let without_status = spawn_server_with_status("000");
    for addr in [resetting, without_status] {
        let client = ContractClient::new(vec![addr]);
        let fetched = client.fetch_dump(addr).await;
        assert!(
            matches!(fetched, Err(ClientError::Unavailable(_))),
            "{fetched:?}"
        );
    }
}
