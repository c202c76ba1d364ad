//! The contract API: what each request and each outcome is answered with.

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
use agatehill_process::serve::HttpServer;
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
};

const TEXT: &str = "customer = \"dansk\"\nrevision = 4\ncalls_per_second = 10\n\
    calls_in_flight = 5\nretries_per_request = 2\nremember_hours = 48\n";

/// Keepers that answer every put alike.
#[derive(Clone)]
struct FakeKeepers {
    outcome: Result<ContractReply, PutError>,
    current: bool,
    proposed: Arc<AtomicUsize>,
}

impl FakeKeepers {
    fn new(outcome: Result<ContractReply, PutError>) -> FakeKeepers {
        FakeKeepers {
            outcome,
            current: true,
            proposed: Arc::default(),
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

impl ContractService for FakeKeepers {
    async fn put(&self, customer: CustomerName, text: String) -> Result<ContractReply, PutError> {
        parse_contract(&customer, &text).map_err(PutError::Invalid)?;
        self.proposed.fetch_add(1, Ordering::Relaxed);
        self.outcome.clone()
    }

    fn is_current(&self) -> bool {
        self.current
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

async fn serve(keepers: FakeKeepers) -> HttpServer {
    let router = build_simple_router(|route| contract_routes(route, keepers));
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
async fn each_outcome_of_a_put_has_its_answer(
    #[case] outcome: Result<ContractReply, PutError>,
    #[case] status: u16,
    #[case] part: &str,
) {
    let server = serve(FakeKeepers::new(outcome)).await;
    let answer = send(&server, "PUT", "/contracts/dansk", TEXT.into()).await;
    let body = String::from_utf8(answer.body().to_vec()).unwrap();
    assert_eq!(answer.status(), status, "{body}");
    assert!(body.contains(part), "{body}");
    let problem = answer.headers()["content-type"] == "application/problem+json";
    assert_eq!(problem, status != 200);
    assert_eq!(answer.headers().contains_key("retry-after"), status == 503);
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
async fn a_faulty_put_changes_nothing(
    #[case] path: &str,
    #[case] body: Vec<u8>,
    #[case] status: u16,
) {
    let keepers = FakeKeepers::new(Ok(ContractReply::Accepted(accepted(4))));
    let server = serve(keepers.clone()).await;
    let answer = send(&server, "PUT", path, body).await;
    assert_eq!(answer.status(), status, "{:?}", answer.body());
    assert_eq!(keepers.proposed.load(Ordering::Relaxed), 0);
}

#[rstest]
#[case::get("/contracts/dansk", true, 200)]
#[case::list("/contracts", true, 200)]
#[case::log("/contracts/dansk/log", true, 200)]
#[case::unknown("/contracts/sutravan", true, 404)]
#[case::unknown_log("/contracts/sutravan/log", true, 404)]
#[case::get_while_cut_off("/contracts/dansk", false, 503)]
#[case::list_while_cut_off("/contracts", false, 503)]
#[case::log_while_cut_off("/contracts/dansk/log", false, 503)]
#[tokio::test]
async fn contracts_are_shown_only_by_keepers_that_are_current(
    #[case] path: &str,
    #[case] current: bool,
    #[case] status: u16,
) {
    let mut keepers = FakeKeepers::new(Err(PutError::OutcomeUnknown));
    keepers.current = current;
    let server = serve(keepers).await;
    let answer = send(&server, "GET", path, Vec::new()).await;
    assert_eq!(answer.status(), status, "{:?}", answer.body());
}

#[tokio::test]
async fn the_client_goes_on_to_a_keeper_with_a_final_answer() {
    let cut_off = serve(FakeKeepers::new(Err(PutError::NoLeader))).await;
    let leading = serve(FakeKeepers::new(Ok(ContractReply::Accepted(accepted(4))))).await;
    let gone = {
        let server = serve(FakeKeepers::new(Err(PutError::OutcomeUnknown))).await;
        let addr = server.local_addr();
        server.stop().await;
        addr
    };
    let client = ContractClient::new(vec![gone, cut_off.local_addr(), leading.local_addr()]);
    assert_eq!(client.put(TEXT).await.unwrap(), accepted(4).into());
    let alone = ContractClient::new(vec![gone]);
    let failed = alone.put(TEXT).await;
    assert!(
        matches!(failed, Err(ClientError::Unavailable(_))),
        "{failed:?}"
    );
}
