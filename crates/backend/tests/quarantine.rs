//! The quarantine monitor with servers that crash, restart, or lose a connection without a crash.

use agatehill_backend::quarantine::{
    CrashReportQueue, FleetQuarantine, QuarantineGuard, QuarantineMonitor, QuarantineOptions,
    QuarantineRefusal,
};
use agatehill_decide::{
    claim::RequestDigest,
    name::{DaemonName, Incarnation},
    quarantine::{RequestContent, RequestFingerprint, RunDecision},
};
use agatehill_process::clock::MonoClock;
use rstest::rstest;
use std::{future::Future, net::SocketAddr, time::Duration};
use tokio::{net::TcpListener, time::timeout};

/// Longest time that a lost call may wait for the result of a probe.
const PROBE_TIME_MAX: Duration = Duration::from_secs(5);

fn monitor() -> FleetQuarantine {
    monitor_with(QuarantineOptions::FLEET)
}

fn monitor_with(options: QuarantineOptions) -> FleetQuarantine {
    QuarantineMonitor::spawn(
        DaemonName::try_from("daemon-1").unwrap(),
        Incarnation(1),
        MonoClock::open(),
        options,
        CrashReportQueue::default(),
    )
}

fn content(path: &str) -> RequestContent {
    let digest = RequestDigest::of("GET", "a.example", path, b"");
    RequestFingerprint::from(digest).into()
}

/// Returns the guard of a request that is in flight at `addr`.
fn send(
    monitor: &FleetQuarantine,
    addr: SocketAddr,
    path: &str,
) -> QuarantineGuard<CrashReportQueue> {
    let mut guard = monitor.guard(addr, content(path));
    assert!(guard.try_start());
    guard.record_sent();
    guard
}

/// Returns the address of a server, and the server, which listens until it is dropped.
async fn listening_server() -> (SocketAddr, TcpListener) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    (listener.local_addr().unwrap(), listener)
}

#[tokio::test]
async fn all_requests_in_flight_at_a_crash_are_struck_once() {
    let monitor = monitor();
    let (addr, listener) = listening_server().await;
    let [mut first, mut second] = ["/1", "/2"].map(|path| send(&monitor, addr, path));
    drop(listener);
    assert_eq!(
        tokio::join!(first.record_lost(), second.record_lost()),
        (true, true)
    );
    let reports = monitor.transport().take().await;
    let struck: Vec<_> = reports.iter().map(|report| report.fingerprint).collect();
    assert_eq!(struck.len(), 2);
    for path in ["/1", "/2"] {
        assert!(struck.contains(&content(path).fingerprint));
        assert_eq!(monitor.decide(content(path)), RunDecision::Serial);
    }
}

/// Runs `pause` after a request was lost, and then answers another one at the same server; returns whether the lost one
/// counts as a crash. Nothing listens there, so that a probe would find the server down.
async fn lost_beside_answered(monitor: &FleetQuarantine, pause: impl Future<Output = ()>) -> bool {
    let (addr, listener) = listening_server().await;
    drop(listener);
    let mut lost = send(monitor, addr, "/1");
    let mut answered = send(monitor, addr, "/2");
    let answer = async {
        pause.await;
        answered.record_answer();
        drop(answered);
    };
    let (has_crashed, ()) = tokio::join!(lost.record_lost(), answer);
    has_crashed
}

/// A connection that is lost while another request is answered shows no crash.
#[tokio::test]
async fn lost_connection_of_a_server_that_responds_is_no_crash() {
    let monitor = monitor();
    let pause = tokio::time::sleep(Duration::from_millis(10));
    assert!(!lost_beside_answered(&monitor, pause).await);
    assert!(!monitor.has_suspects());
}

/// A daemon that stood still for a while took a server for crashed whose response had arrived meanwhile.
#[tokio::test]
async fn a_pause_of_the_daemon_is_no_silence_of_the_server() {
    let monitor = monitor();
    let pause = async {
        tokio::time::sleep(Duration::from_millis(1)).await;
        std::thread::sleep(2 * QuarantineOptions::FLEET.response_wait);
        tokio::task::yield_now().await;
    };
    assert!(!lost_beside_answered(&monitor, pause).await);
    assert!(!monitor.has_suspects());
}

/// A server at its limit of connections resets each new one, also that of a probe.
#[tokio::test]
async fn probe_ends_at_a_server_that_closes_each_connection() {
    let monitor = monitor();
    let (addr, listener) = listening_server().await;
    tokio::spawn(async move { while listener.accept().await.is_ok() {} });
    let mut lost = send(&monitor, addr, "/1");
    let has_crashed = timeout(PROBE_TIME_MAX, lost.record_lost()).await;
    assert_eq!(has_crashed, Ok(false));
}

/// A server that starts anew without leaving first has crashed under the requests that it did not
/// answer, however late that becomes known.
#[rstest]
#[case::crashed(false, RunDecision::Serial)]
#[case::left_first(true, RunDecision::Unrestricted)]
#[tokio::test]
async fn restart_strikes_unanswered_requests(
    #[case] has_left: bool,
    #[case] decision: RunDecision,
) {
    let monitor = monitor();
    let (addr, _listener) = listening_server().await;
    let mut answered = send(&monitor, addr, "/1");
    answered.record_answer();
    drop(answered);
    drop(send(&monitor, addr, "/2"));
    if has_left {
        monitor.record_leave(addr).await;
    }
    monitor.record_restart(addr).await;
    assert_eq!(monitor.decide(content("/1")), RunDecision::Unrestricted);
    assert_eq!(monitor.decide(content("/2")), decision);
}

/// A request that could not be sent is not struck by the crash that it finds.
#[tokio::test]
async fn unsent_request_finds_the_crash_and_is_not_struck() {
    let monitor = monitor();
    let (addr, listener) = listening_server().await;
    drop(listener);
    drop(send(&monitor, addr, "/1"));
    let mut unsent = monitor.guard(addr, content("/2"));
    assert!(unsent.try_start());
    assert!(unsent.record_unsent().await);
    assert_eq!(monitor.decide(content("/1")), RunDecision::Serial);
    assert_eq!(monitor.decide(content("/2")), RunDecision::Unrestricted);
}

/// Suspects run one at a time, are quarantined at the second crash and cleared by a response.
#[tokio::test]
async fn second_crash_quarantines_and_a_response_clears() {
    let monitor = monitor();
    let (addr, listener) = listening_server().await;
    drop(listener);
    for path in ["/1", "/2"] {
        assert!(send(&monitor, addr, path).record_lost().await);
    }
    let mut suspect = send(&monitor, addr, "/1");
    assert!(
        !monitor.guard(addr, content("/2")).try_start(),
        "two suspects at once"
    );
    assert!(suspect.record_lost().await);
    let deadline = MonoClock::open().now() + PROBE_TIME_MAX;
    let mut guard = monitor.guard(addr, content("/1"));
    let refusal = guard.wait_ready(deadline).await.unwrap_err();
    assert!(matches!(refusal, QuarantineRefusal::Quarantined(remaining)
            if remaining <= QuarantineOptions::FLEET.first_quarantine));
    let mut answered = send(&monitor, addr, "/2");
    answered.record_answer();
    drop(answered);
    assert_eq!(monitor.decide(content("/2")), RunDecision::Unrestricted);
}

/// A run that the server rejected did not crash it, so the strike that was recorded before it is
/// withdrawn.
#[tokio::test]
async fn a_rejected_run_withdraws_the_strike_recorded_before_it() {
    let monitor = monitor_with(QuarantineOptions::ZONE);
    let (addr, listener) = listening_server().await;
    drop(listener);
    assert!(send(&monitor, addr, "/1").record_lost().await);
    let (addr, _listener) = listening_server().await;
    let mut rejected = monitor.guard(addr, content("/1"));
    let deadline = MonoClock::open().now() + PROBE_TIME_MAX;
    rejected.wait_ready(deadline).await.unwrap();
    assert!(rejected.try_start());
    rejected.record_sent();
    rejected.record_rejection();
    drop(rejected);
    assert_eq!(monitor.decide(content("/1")), RunDecision::Serial);
}
