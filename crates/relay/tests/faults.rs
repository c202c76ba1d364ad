//! Faults of a backend server at each step of a request: what its caller is told, and how often the
//! request has run.

mod support;

use rstest::rstest;
use support::{
    BODY_BYTES_MAX, HEAD_BYTES_MAX, Manner, TestAnswer, blank_daemon, eventually, header,
    one_daemon, send, send_and_leave, send_bytes, two_daemons,
};

const GET: &str = "GET /safe/x";
const POST: &str = "POST /once/x";

async fn ask(daemon: &support::TestDaemon, line: &str, id: &str) -> TestAnswer {
    let headers = [("x-id", id), ("x-deadline", "5000")];
    let sent = send(daemon.addr(), line, &headers, b"").await;
    sent.expect("every request gets an answer")
}

/// Sends requests until repeats have been earned.
async fn earn_repeats(daemon: &support::TestDaemon) {
    for idx in 0..60 {
        assert_eq!(ask(daemon, GET, &format!("earn-{idx}")).await.status, 200);
    }
}

/// One server, one request: the status, and the runs.
#[rstest]
#[case::answer(Manner::Answer, 200, 1)]
#[case::fail(Manner::Fail, 500, 1)]
#[case::shed(Manner::Shed, 503, 0)]
#[case::misdirected(Manner::Misdirected, 503, 0)]
#[case::reset(Manner::Reset, 502, 1)]
#[case::close(Manner::Close, 502, 1)]
#[case::truncate(Manner::Truncate, 502, 1)]
#[case::garble(Manner::Garble, 502, 1)]
#[case::foreign(Manner::Foreign, 502, 1)]
#[case::unsealed(Manner::Unsealed, 502, 1)]
#[case::coded(Manner::Coded, 502, 1)]
#[case::extra(Manner::Extra, 200, 1)]
#[case::unframed(Manner::Unframed, 200, 1)]
#[case::unframed_reset(Manner::UnframedReset, 502, 1)]
#[case::silent(Manner::Silent, 504, 1)]
#[tokio::test]
async fn at_one_server(
    #[values(GET, POST, "POST /upload/x")] line: &str,
    #[case] manner: Manner,
    #[case] status: u16,
    #[case] runs: u32,
) {
    let daemon = one_daemon().await;
    daemon.server.set(manner);
    let answer = ask(&daemon, line, "r-1").await;
    assert_eq!(answer.status, status, "{answer:?}");
    assert_eq!(daemon.server.runs(), runs);
    let seal = header(&answer.head, "x-seal");
    match status {
        200 | 500 => {
            assert_eq!(seal.as_deref(), Some("s-r-1"));
            assert_eq!(answer.body, b"hello");
            assert!(answer.is_whole);
        }
        _ => assert_eq!(seal, None, "an answer of the daemon's own bears no seal"),
    }
    assert_eq!(header(&answer.head, "retry-after").is_some(), status == 503);
    // Whatever was left on the connection reaches no other request.
    daemon.server.set(Manner::Answer);
    let next = ask(&daemon, line, "r-2").await;
    assert_eq!(header(&next.head, "x-seal").as_deref(), Some("s-r-2"));
}

/// A request that may run once is never sent on after anything but a word that it has not run.
#[rstest]
#[case::shed(Manner::Shed, true)]
#[case::misdirected(Manner::Misdirected, true)]
#[case::reset(Manner::Reset, false)]
#[case::close(Manner::Close, false)]
#[case::truncate(Manner::Truncate, false)]
#[case::garble(Manner::Garble, false)]
#[case::foreign(Manner::Foreign, false)]
#[case::unsealed(Manner::Unsealed, false)]
#[case::silent(Manner::Silent, false)]
#[tokio::test]
async fn at_two_servers(#[case] manner: Manner, #[case] is_sent_on: bool) {
    for line in [GET, POST] {
        let [first, second] = two_daemons().await;
        earn_repeats(&first).await;
        let before = first.server.runs() + second.server.runs();
        first.server.set(manner);
        second.server.set(manner);
        let answer = ask(&first, line, "r-1").await;
        let runs = first.server.runs() + second.server.runs() - before;
        assert_ne!(answer.status, 200, "{line}");
        match (line, is_sent_on) {
            (_, true) => assert_eq!((runs, answer.status), (0, 503), "{line}"),
            (POST, false) => assert_eq!(runs, 1, "{line}"),
            (_, false) => assert!((1..=2).contains(&runs), "{line}: {runs} runs"),
        }
    }
}

/// A caller that goes away takes its request along, here and beside another host's server.
#[tokio::test]
async fn a_request_whose_caller_leaves_is_cancelled() {
    for line in [GET, POST] {
        let [first, second] = two_daemons().await;
        first.server.set(Manner::Silent);
        second.server.set(Manner::Silent);
        let cuts = || first.server.cuts() + second.server.cuts();
        let runs = || first.server.runs() + second.server.runs();
        // Both take the same server: one beside it, one from the other host.
        for (idx, daemon) in (1..).zip([&first, &second]) {
            send_and_leave(daemon.addr(), line, || runs() == idx).await;
            eventually(|| cuts() == idx).await;
        }
        assert_eq!(first.server.runs(), 2);
    }
}

/// An idempotent request whose answer got lost is run again elsewhere.
#[tokio::test]
async fn a_lost_answer_of_an_idempotent_request_is_made_up_for() {
    let [first, second] = two_daemons().await;
    earn_repeats(&first).await;
    first.server.set(Manner::Reset);
    second.server.set(Manner::Answer);
    let answer = ask(&first, GET, "r-1").await;
    assert_eq!(answer.status, 200, "{answer:?}");
}

/// At no time have more than a fifth of the requests been sent twice, however many fail.
#[tokio::test]
async fn repeats_are_earned() {
    let [first, second] = two_daemons().await;
    first.server.set(Manner::Reset);
    second.server.set(Manner::Reset);
    let mut repeats = 0;
    for count in 1..=60 {
        ask(&first, GET, &format!("r-{count}")).await;
        repeats = first.server.runs() + second.server.runs() - count;
        assert!(repeats * 5 <= count, "{repeats} of {count}");
    }
    assert!(repeats > 0, "repeats help here");
}

/// A server rejects an upload before it has read it; what is left of the body is no request.
#[tokio::test]
async fn an_early_answer_to_an_upload_leaves_nothing_behind() {
    let daemon = one_daemon().await;
    daemon.server.set(Manner::Early);
    let body = vec![b'x'; 500_000];
    let headers = [("x-id", "r-1"), ("x-deadline", "5000")];
    let answer = send(daemon.addr(), "POST /upload/x", &headers, &body).await;
    assert_eq!(answer.unwrap().status, 503);
    daemon.server.set(Manner::Answer);
    let headers = [("x-id", "r-2"), ("x-deadline", "5000")];
    let answer = send(daemon.addr(), "POST /upload/x", &headers, &body).await;
    assert_eq!(answer.unwrap().status, 200);
    assert_eq!(daemon.server.bodies(), [body]);
}

#[rstest]
#[case::small(10)]
#[case::held_whole(200_000)]
#[case::streamed(900_000)]
#[tokio::test]
async fn bodies_arrive_unchanged(#[case] size: usize) {
    let [first, second] = two_daemons().await;
    let body: Vec<u8> = (0..size).map(|idx| (idx % 251) as u8).collect();
    let headers = [("x-id", "r-1"), ("x-deadline", "5000")];
    let answer = send(first.addr(), "POST /upload/x", &headers, &body).await;
    assert_eq!(answer.unwrap().status, 200);
    let bodies = [first.server.bodies(), second.server.bodies()].concat();
    assert_eq!(bodies, [body]);
}

#[rstest]
#[case::no_route("GET /other/x", b"", 404)]
#[case::too_large("POST /upload/x", &[b'x'; BODY_BYTES_MAX + 1], 413)]
#[tokio::test]
async fn what_is_not_allowed_does_not_run(
    #[case] line: &str,
    #[case] body: &[u8],
    #[case] status: u16,
) {
    let daemon = one_daemon().await;
    let headers = [("x-id", "r-1"), ("x-deadline", "5000")];
    let answer = send(daemon.addr(), line, &headers, body).await.unwrap();
    assert_eq!(answer.status, status);
    assert_eq!(daemon.server.runs(), 0);
}

/// The head may be as large as callers are allowed to send, counted as it is sent, and no larger.
#[rstest]
#[case::largest(0, 200)]
#[case::larger(1, 431)]
#[tokio::test]
async fn heads_have_a_largest_size(#[case] beyond: usize, #[case] status: u16) {
    let daemon = one_daemon().await;
    let mut lines = vec![GET.to_owned() + " HTTP/1.1"];
    for line in ["host: a.example", "x-id: r-1", "x-deadline: 5000"] {
        lines.push(line.to_owned());
    }
    let size = |lines: &[String]| lines.iter().map(|line| line.len() + 2).sum::<usize>() + 2;
    let rest = HEAD_BYTES_MAX + beyond - size(&lines) - "x-fill: \r\n".len();
    lines.push(format!("x-fill: {}", "f".repeat(rest)));
    assert_eq!(size(&lines), HEAD_BYTES_MAX + beyond);
    let text = lines.join("\r\n") + "\r\n\r\n";
    let answer = send_bytes(daemon.addr(), text.as_bytes()).await.unwrap();
    assert_eq!(answer.status, status, "{answer:?}");
    assert_eq!(daemon.server.runs(), u32::from(status == 200));
}

#[tokio::test]
async fn without_a_configuration_nothing_is_unknown() {
    let daemon = blank_daemon().await;
    let answer = ask(&daemon, "GET /other/x", "r-1").await;
    assert_eq!(answer.status, 503);
    assert!(header(&answer.head, "retry-after").is_some());
}

#[tokio::test]
async fn a_leaving_server_gets_nothing_from_the_moment_it_says_so() {
    let daemon = one_daemon().await;
    assert_eq!(ask(&daemon, GET, "r-1").await.status, 200);
    let mut beat = daemon.server.beat(2);
    beat.is_leaving = true;
    daemon.local.record_heartbeat(beat);
    assert_eq!(ask(&daemon, GET, "r-2").await.status, 503);
    assert_eq!(daemon.server.runs(), 1);
}
