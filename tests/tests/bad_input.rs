//! Invalid input at every interface gets the documented status and body and changes nothing.

use agatehill_tests::{
    bed::{SETTLE_TIMEOUT, TestBed, ZONE},
    client::{TestResponse, eventually},
    contract::{TestOperation, contract_text},
    process::{ProcessGuard, binary},
};
use std::{fs, net::SocketAddr, process::Command};

const OPERATIONS: [TestOperation; 2] = [
    TestOperation {
        request: "GET /certificates/{id}",
        service: "techreg",
        class: "critical",
        idempotent: true,
        deadline_ms: 5_000,
    },
    TestOperation {
        request: "POST /certificates",
        service: "techreg",
        class: "normal",
        idempotent: false,
        deadline_ms: 5_000,
    },
];

const GET: &str = "/call/techreg/certificates/7";
const POST: &str = "/call/techreg/certificates";
const CUSTOMER: (&str, &str) = ("agatehill-customer", "dansk");
const KEY: (&str, &str) = ("idempotency-key", "r-1");

/// Largest request body that the daemon of these tests accepts, in bytes.
const BODY_BYTES_MAX: usize = 4096;

/// Part of the response to a change whose outcome the keeper doesn't know, because its log took
/// too long.
const OUTCOME_UNKNOWN: &str = "send the same bytes again";
/// Largest number of sends of one change.
const SENDS_MAX: usize = 10;

/// A name of 65 characters; the maximum is 64.
const LONG_NAME: &str = "aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa";

/// An invalid request and the expected response.
struct InvalidRequest {
    method: &'static str,
    path: &'static str,
    headers: Vec<(&'static str, &'static str)>,
    body: Vec<u8>,
    status: u16,
    /// Slug of the problem type, or a part of the detail.
    reason: &'static str,
}

/// A keeper, a daemon and a backend server of `techreg`, with the contract in force.
struct TestChain {
    bed: TestBed,
    keepers: Vec<ProcessGuard>,
    daemon: ProcessGuard,
    backend: ProcessGuard,
}

impl TestChain {
    async fn open() -> TestChain {
        let mut bed = TestBed::open(&[ZONE]);
        let keepers = bed.start_keepers();
        let keeper = keepers[0].addr("operator");
        bed.put_contract(keeper, "dansk", &contract_text("dansk", &OPERATIONS))
            .await;
        let spec = bed.add_daemon(ZONE);
        let limits = format!("[limits]\nbody_bytes_max = {BODY_BYTES_MAX}\n");
        let settings = fs::read_to_string(&spec.settings).unwrap();
        fs::write(&spec.settings, settings + &limits).unwrap();
        let daemon = bed.start_daemon(&spec);
        let backend = bed.start_backend(&daemon, "techreg", &[]);
        bed.wait_served(&daemon, "dansk", GET).await;
        TestChain {
            bed,
            keepers,
            daemon,
            backend,
        }
    }

    /// Returns the number of requests that the backend server has started.
    async fn runs(&self) -> u64 {
        let request = self.bed.client.get(self.backend.addr("address"), "/_runs");
        request.await.unwrap().json()["started"].as_u64().unwrap()
    }

    /// Sends a change until the keeper knows its outcome, as operators do.
    async fn send_until_known(&self, addr: SocketAddr, case: &InvalidRequest) -> TestResponse {
        for _ in 0..SENDS_MAX {
            let response = self.send(addr, case).await;
            let is_unavailable = response.status.as_u16() == 503;
            if !is_unavailable || !String::from_utf8_lossy(&response.body).contains(OUTCOME_UNKNOWN)
            {
                return response;
            }
        }
        panic!(
            "{} {}: the outcome is still unknown after {SENDS_MAX} sends",
            case.method, case.path
        );
    }

    async fn send(&self, addr: SocketAddr, case: &InvalidRequest) -> TestResponse {
        let request = self.bed.client.send(
            case.method,
            addr,
            case.path,
            &case.headers,
            case.body.clone(),
        );
        request
            .await
            .unwrap_or_else(|| panic!("no response to {} {}", case.method, case.path))
    }
}

impl InvalidRequest {
    /// Returns the expected outcome; an attempt before a resend may have run.
    fn outcome(&self) -> &'static str {
        let is_resend = |header: &&(&str, &str)| header.0 == "agatehill-attempt";
        if self.headers.iter().any(|header| is_resend(&header)) {
            "unknown"
        } else {
            "not-run"
        }
    }
}

fn invalid(
    method: &'static str,
    path: &'static str,
    headers: &[(&'static str, &'static str)],
    status: u16,
    reason: &'static str,
) -> InvalidRequest {
    InvalidRequest {
        method,
        path,
        headers: headers.to_vec(),
        body: Vec::new(),
        status,
        reason,
    }
}

fn with_body(mut case: InvalidRequest, body: impl Into<Vec<u8>>) -> InvalidRequest {
    case.body = body.into();
    case
}

#[rustfmt::skip]
fn caller_cases() -> Vec<InvalidRequest> {
    let with = |header| [CUSTOMER, KEY, header];
    let large = vec![b'x'; BODY_BYTES_MAX + 1];
    vec![
        invalid("GET", GET, &[], 400, "customer-missing"),
        invalid("GET", GET, &[("agatehill-customer", "da nsk")], 400, "malformed"),
        invalid("GET", GET, &[("agatehill-customer", LONG_NAME)], 400, "malformed"),
        invalid("GET", GET, &[CUSTOMER, CUSTOMER], 400, "malformed"),
        invalid("GET", GET, &[("agatehill-customer", "nobody")], 403, "unknown-customer"),
        invalid("POST", POST, &[CUSTOMER], 400, "key-missing"),
        invalid("POST", POST, &[CUSTOMER, ("idempotency-key", "a b")], 400, "malformed"),
        invalid("POST", POST, &[CUSTOMER, ("idempotency-key", "")], 400, "malformed"),
        invalid("POST", POST, &[CUSTOMER, ("idempotency-key", LONG_NAME)], 400, "malformed"),
        invalid("POST", POST, &[CUSTOMER, KEY, KEY], 400, "malformed"),
        invalid("GET", GET, &with(("traceparent", "00-12-34-01")), 400, "malformed"),
        invalid("GET", GET, &with(("agatehill-attempt", "one")), 400, "malformed"),
        invalid("GET", GET, &with(("agatehill-attempt", "3")), 429, "attempts-spent"),
        invalid("GET", GET, &with(("agatehill-deadline-ms", "-1")), 400, "malformed"),
        invalid("GET", GET, &[CUSTOMER, ("agatehill-deadline-ms", "0")], 504, "deadline"),
        invalid("GET", "/call/nowhere/certificates/7", &[CUSTOMER], 404, "unknown-operation"),
        invalid("GET", "/call/techreg/technicians/7", &[CUSTOMER], 404, "unknown-operation"),
        invalid("DELETE", GET, &[CUSTOMER], 404, "unknown-operation"),
        invalid("GET", "/call/techreg", &[CUSTOMER], 400, "malformed"),
        invalid("GET", "/call//certificates/7", &[CUSTOMER], 400, "malformed"),
        with_body(invalid("POST", POST, &[CUSTOMER, KEY], 413, "body-too-large"), large),
    ]
}

#[tokio::test(flavor = "multi_thread")]
async fn invalid_calls_are_refused_and_do_not_run() {
    let chain = TestChain::open().await;
    let addr = chain.daemon.addr("caller");
    let before = chain.runs().await;
    for case in caller_cases() {
        let response = chain.send(addr, &case).await;
        let context = format!("{} {} {:?}", case.method, case.path, case.headers);
        assert_eq!(
            response.status.as_u16(),
            case.status,
            "{context}: {response:?}"
        );
        let outcome = case.outcome();
        assert_eq!(response.header("agatehill-outcome"), outcome, "{context}");
        assert_eq!(
            response.header("content-type"),
            "application/problem+json",
            "{context}"
        );
        let problem = response.json();
        let kind = format!("urn:agatehill:problem:{}", case.reason);
        assert_eq!(problem["type"], kind, "{context}");
        assert_eq!(problem["status"], case.status, "{context}");
        assert_eq!(problem["outcome"], outcome, "{context}");
        assert_ne!(problem["detail"], "", "{context}");
    }
    assert_eq!(chain.runs().await, before, "a refused call ran");
}

#[rustfmt::skip]
fn contract_cases() -> Vec<InvalidRequest> {
    let put = |status, reason, body: &str| {
        with_body(invalid("PUT", "/contracts/dansk", &[], status, reason), body)
    };
    let contract = contract_text("dansk", &OPERATIONS);
    let next = contract.replace("revision = 1", "revision = 2");
    vec![
        put(400, "line 3: ", &next.replace("calls_per_second = ", "calls_per_second ")),
        put(400, "key \"colour\": unknown field", &format!("colour = 1\n{next}")),
        put(400, "key \"customer\": missing field", &next.replace("customer = \"dansk\"", "")),
        put(400, "key \"operation[0].deadline_ms\"", &next.replacen("5000", "0", 1)),
        put(400, "\"sutravan\"", &next.replace("\"dansk\"", "\"sutravan\"")),
        put(409, "the next revision", &contract.replace("revision = 1", "revision = 3")),
        put(409, "with another text", &contract.replace("4000", "9000")),
        put(413, "at most", &"#".repeat((1 << 20) + 1)),
        with_body(invalid("PUT", "/contracts/dansk", &[], 400, "not UTF-8"), vec![0xff, 0xfe]),
        with_body(invalid("PUT", "/contracts/da%20nsk", &[], 400, "must be 1 to 64"), next.as_str()),
        invalid("GET", "/contracts/nobody", &[], 404, "\"nobody\""),
        invalid("GET", "/contracts/nobody/log", &[], 404, "\"nobody\""),
    ]
}

#[tokio::test(flavor = "multi_thread")]
async fn invalid_contracts_are_refused_and_change_nothing() {
    let chain = TestChain::open().await;
    let addr = chain.keepers[0].addr("operator");
    let list = || async { chain.bed.client.get(addr, "/contracts").await.unwrap().body };
    let before = list().await;
    for case in contract_cases() {
        let response = chain.send_until_known(addr, &case).await;
        let context = format!("{} {}: {}", case.method, case.path, case.reason);
        assert_eq!(
            response.status.as_u16(),
            case.status,
            "{context}: {response:?}"
        );
        assert_eq!(
            response.header("content-type"),
            "application/problem+json",
            "{context}"
        );
        let problem = response.json();
        assert_eq!(problem["status"], case.status, "{context}");
        let detail = problem["detail"].as_str().unwrap();
        assert!(detail.contains(case.reason), "{context}: {detail}");
        assert_eq!(list().await, before, "{context}");
    }
}

#[rustfmt::skip]
fn announcement_cases() -> Vec<InvalidRequest> {
    let valid = r#"{"service":"techreg","address":"127.0.0.1:1","slots":5,"connections":9,"state":"serving"}"#;
    let post = |reason, body: &str| with_body(invalid("POST", "/announce", &[], 400, reason), body);
    vec![
        post("expected", "not JSON"),
        post("missing field `slots`", &valid.replace("\"slots\":5,", "")),
        post("unknown field `colour`", &valid.replace("\"slots\"", "\"colour\":1,\"slots\"")),
        post("slots must be at least 1", &valid.replace("\"slots\":5", "\"slots\":0")),
        post("invalid value", &valid.replace("\"slots\":5", "\"slots\":-5")),
        post("service \"tech reg\" must be", &valid.replace("techreg", "tech reg")),
        post("invalid socket address", &valid.replace("127.0.0.1:1", "localhost:1")),
        post("unknown variant `asleep`", &valid.replace("serving", "asleep")),
        post("over 4096 bytes", &format!("{valid}{}", " ".repeat(5000))),
    ]
}

#[tokio::test(flavor = "multi_thread")]
async fn invalid_announcements_are_refused_and_add_no_server() {
    let chain = TestChain::open().await;
    let servers = || async {
        let dump = chain
            .bed
            .client
            .get(chain.daemon.addr("operator"), "/dump")
            .await;
        dump.unwrap().json()["servers"].as_array().unwrap().len()
    };
    assert_eq!(servers().await, 1);
    for case in announcement_cases() {
        let response = chain.send(chain.daemon.addr("announce"), &case).await;
        let text = String::from_utf8_lossy(&response.body).into_owned();
        assert_eq!(response.status.as_u16(), 400, "{}: {text}", case.reason);
        assert!(text.contains(case.reason), "{}: {text}", case.reason);
        assert_eq!(servers().await, 1, "{}", case.reason);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn processes_refuse_invalid_settings_with_file_line_and_key() {
    let mut bed = TestBed::open(&[ZONE]);
    let daemon = bed.add_daemon(ZONE);
    let keeper = bed.keepers[0].clone();
    for (name, settings) in [
        ("agatehill-daemon", &daemon.settings),
        ("agatehill-keeper", &keeper.settings),
    ] {
        let text = fs::read_to_string(settings).unwrap();
        fs::write(settings, format!("colour = 1\n{text}")).unwrap();
        let output = Command::new(binary(name))
            .args(["serve".as_ref(), settings.as_os_str()])
            .output()
            .unwrap();
        let printed = String::from_utf8_lossy(&output.stderr).into_owned();
        let expected = format!(
            "{name}: settings \"{}\": line 1: key \"colour\": unknown field",
            settings.display()
        );
        assert!(printed.starts_with(&expected), "{printed}");
        assert_eq!(printed.lines().count(), 1, "{printed}");
        assert_eq!((output.status.code(), output.stdout.len()), (Some(1), 0));
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_streamed_body_over_the_limit_is_cut_off() {
    let chain = TestChain::open().await;
    let before = chain.runs().await;
    let url = format!("http://{}{POST}", chain.daemon.addr("caller"));
    let output = Command::new(binary("agatehill-load"))
        .args([
            "upload",
            "--megabytes",
            "1",
            "--chunk-wait-ms",
            "100",
            "--customer",
            "dansk",
        ])
        .args(["--method", "POST", "--url", &url])
        .output()
        .unwrap();
    assert!(!output.status.success(), "{output:?}");
    eventually("no request is in flight", SETTLE_TIMEOUT, || async {
        let request = chain
            .bed
            .client
            .get(chain.backend.addr("address"), "/_runs");
        request.await.unwrap().json()["in_flight"] == 0
    })
    .await;
    let runs = chain.runs().await;
    let request = chain
        .bed
        .client
        .get(chain.backend.addr("address"), "/_runs");
    let finished = request.await.unwrap().json()["finished"].as_u64().unwrap();
    assert_eq!(
        finished, before,
        "a request with a cut body was finished; {runs} started"
    );
}
