//! A connection between two daemons that goes silent: it is replaced, and the sender learns what
//! has become of the attempt.

use agatehill_backend::attempt_tracker::AttemptTracker;
use agatehill_decide::{
    attempt_status::AttemptId, name::ChainId, outcome::CallOutcome, priority::CallPriority,
};
use agatehill_peer::{
    body::CallBody,
    forward::{ASK_HEADER, ForwardHead, ForwardReport, REPORT_HEADER, answer_value, asked_attempt},
    forward_client::{ForwardClient, ForwardFailure},
};
use agatehill_process::{clock::MonoClock, health::AssertNewHandler, serve::HttpServer};
use agatehill_tests::relay::{RelayLoss, TcpRelay};
use gotham::{
    handler::HandlerFuture,
    state::{FromState, State},
};
use http::{HeaderMap, Request, Response};
use rstest::rstest;
use std::{
    pin::Pin,
    sync::{
        Arc,
        atomic::{AtomicU32, Ordering},
    },
    time::Duration,
};

/// Far beyond what a late answer takes to be given up; only ends a test that hangs.
const GIVE_UP: Duration = Duration::from_secs(30);

/// A gate with a real attempt tracker that runs each attempt for a set time.
#[derive(Clone)]
struct FakeGate {
    tracker: AttemptTracker,
    runs: Arc<AtomicU32>,
    run_time: Duration,
}

impl FakeGate {
    fn open(run_time: Duration) -> FakeGate {
        FakeGate {
            tracker: AttemptTracker::open(MonoClock::open()),
            runs: Arc::default(),
            run_time,
        }
    }

    async fn handle(self, state: State) -> gotham::handler::HandlerResult {
        let headers = HeaderMap::borrow_from(&state).clone();
        let mut response = Response::new(CallBody::empty().into_gotham());
        if let Ok(id) = asked_attempt(&headers) {
            response
                .headers_mut()
                .insert(ASK_HEADER, answer_value(self.tracker.query(id)));
            return Ok((state, response));
        }
        let head = ForwardHead::try_from(&headers).expect("a forwarded call");
        let _guard = self.tracker.begin(head.id);
        self.runs.fetch_add(1, Ordering::Relaxed);
        tokio::time::sleep(self.run_time).await;
        let report = ForwardReport::new(CallOutcome::Answered, None);
        response
            .headers_mut()
            .insert(REPORT_HEADER, (&report).into());
        Ok((state, response))
    }

    async fn bind(&self) -> HttpServer {
        let gate = self.clone();
        let handler = AssertNewHandler(move || {
            let gate = gate.clone();
            Ok(move |state| -> Pin<Box<HandlerFuture>> { Box::pin(gate.clone().handle(state)) })
        });
        let addr = "127.0.0.1:0".parse().expect("an address");
        HttpServer::bind(addr, handler).await.expect("a free port")
    }
}

fn head(id: u64) -> ForwardHead {
    ForwardHead {
        id: AttemptId(id),
        customer: "dansk".try_into().expect("a name"),
        request: "r-1".try_into().expect("a request id"),
        chain: ChainId(1),
        service: "techreg".try_into().expect("a name"),
        server: None,
        priority: CallPriority::HIGHEST,
        is_nested: false,
        deadline_ms: 10_000,
        retries: 0,
        attempt: 0,
        remember_hours: None,
    }
}

fn request() -> Request<CallBody> {
    let mut req = Request::new(CallBody::empty());
    *req.uri_mut() = "/certificates/7".parse().expect("a path");
    req
}

#[rstest]
#[case::call_is_lost(RelayLoss::Both, Err(ForwardFailure::NotSent), 1)]
#[case::answer_is_lost(RelayLoss::Answers, Err(ForwardFailure::Lost), 2)]
#[tokio::test(flavor = "multi_thread")]
async fn a_silent_connection_is_replaced(
    #[case] loss: RelayLoss,
    #[case] expected: Result<(), ForwardFailure>,
    #[case] runs: u32,
) {
    let gate = FakeGate::open(Duration::ZERO);
    let server = gate.bind().await;
    let relay = TcpRelay::bind(server.local_addr()).await;
    let client = ForwardClient::open();
    let addr = relay.local_addr();
    client
        .send(addr, &head(1), request())
        .await
        .expect("the connection works");

    relay.silence(loss);
    let sent = tokio::time::timeout(GIVE_UP, client.send(addr, &head(2), request())).await;
    let outcome = sent.expect("a silent connection is given up").map(drop);
    assert_eq!(outcome, expected);
    assert_eq!(gate.runs.load(Ordering::Relaxed), runs);
    client
        .send(addr, &head(3), request())
        .await
        .expect("a new connection works");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_slow_answer_is_waited_for() {
    let gate = FakeGate::open(Duration::from_millis(1_500));
    let server = gate.bind().await;
    let client = ForwardClient::open();
    let answer = client.send(server.local_addr(), &head(1), request()).await;
    assert!(answer.is_ok());
}
