//! Keys and limits of client accounts at the entry.

use crate::support::{TestDaemon, TestResponse, header, send, send_bytes, two_daemons_with};
use agatehill_decide::{
    name::AccountName,
    service_config::{ClientAccount, KeyDigest, RateLimit},
};
use rstest::rstest;
use std::time::Duration;

fn account(name: &str, key: &str, limit: Option<RateLimit>) -> ClientAccount {
    ClientAccount {
        name: AccountName::try_from(name).unwrap(),
        keys: vec![KeyDigest::of(key)],
        rank: None,
        limit,
    }
}

async fn request(daemon: &TestDaemon, line: &str, extra: &[(&str, &str)]) -> TestResponse {
    let headers = [("x-id", "r-1"), ("x-deadline", "5000")];
    let headers = [&headers, extra].concat();
    let sent = send(daemon.addr(), line, &headers, b"").await;
    sent.expect("every request gets a response")
}

fn runs(daemons: &[TestDaemon]) -> u32 {
    daemons.iter().map(|daemon| daemon.server.runs()).sum()
}

const KEY: (&str, &str) = ("authorization", "Bearer k-1");

#[rstest]
#[case::key(&[KEY], 200)]
#[case::scheme_in_lower_case(&[("authorization", "bearer k-1")], 200)]
#[case::no_key(&[], 401)]
#[case::unknown(&[("authorization", "Bearer k-2")], 401)]
#[case::empty(&[("authorization", "Bearer ")], 401)]
#[case::no_scheme(&[("authorization", "k-1")], 401)]
#[case::other_scheme(&[("authorization", "Basic k-1")], 401)]
#[case::two_keys_in_one(&[("authorization", "Bearer k-1 k-1")], 401)]
#[case::key_twice(&[KEY, KEY], 401)]
#[case::not_text(&[("authorization", "Bearer k-1\u{e9}")], 401)]
#[case::name_without_key(&[("x-account", "a")], 401)]
#[tokio::test]
async fn a_request_needs_a_known_key(#[case] headers: &[(&str, &str)], #[case] status: u16) {
    let daemons = two_daemons_with(vec![account("a", "k-1", None)]).await;
    let response = request(&daemons[0], "GET /safe/x", headers).await;
    assert_eq!(response.status, status, "{response:?}");
    assert_eq!(runs(&daemons), u32::from(status == 200));
    if response.status == 401 {
        let scheme = header(&response.head, "www-authenticate");
        assert_eq!(scheme.as_deref(), Some("Bearer"));
        assert!(!String::from_utf8_lossy(&response.body).contains("k-"));
    }
}

#[rstest]
#[case::no_key(&[])]
#[case::key(&[KEY])]
#[case::unknown_key(&[("authorization", "Bearer k-2")])]
#[tokio::test]
async fn a_public_route_needs_no_key(#[case] headers: &[(&str, &str)]) {
    let daemons = two_daemons_with(vec![account("a", "k-1", None)]).await;
    let response = request(&daemons[0], "GET /open/x", headers).await;
    assert_eq!(response.status, 200, "{response:?}");
}

#[tokio::test]
async fn a_withdrawn_key_ends() {
    let daemons = two_daemons_with(vec![account("a", "k-1", None)]).await;
    let one = "GET /safe/x HTTP/1.1\r\nhost: a.example\r\nx-id: r-1\r\nx-deadline: 5000\r\n\
               authorization: Bearer k-1\r\n\r\n";
    let response = send_bytes(daemons[0].addr(), one.as_bytes()).await.unwrap();
    assert_eq!(response.status, 200);
    let mut config = crate::support::config_with(vec![account("a", "k-2", None)]);
    config.version = 2;
    daemons[0].entry.set_table(config.into());
    let response = send_bytes(daemons[0].addr(), one.as_bytes()).await.unwrap();
    assert_eq!(response.status, 401);
    assert_eq!(runs(&daemons), 1);
}

#[tokio::test]
async fn the_limit_of_an_account_holds_for_all_daemons_together() {
    let limit = RateLimit {
        rate: 2.0,
        burst: 2.0,
    };
    let accounts = vec![account("a", "k-1", Some(limit)), account("b", "k-2", None)];
    let daemons = two_daemons_with(accounts).await;
    let mut statuses = Vec::new();
    for idx in 0..40 {
        let response = request(&daemons[idx % 2], "GET /safe/x", &[KEY]).await;
        if response.status == 429 {
            let seconds: f64 = header(&response.head, "retry-after")
                .unwrap()
                .parse()
                .unwrap();
            assert!(seconds > 0.0 && seconds < 5.0, "{seconds}");
        }
        statuses.push(response.status);
    }
    let served = statuses.iter().filter(|status| **status == 200).count();
    let refused = statuses.iter().filter(|status| **status == 429).count();
    assert_eq!(served + refused, 40, "{statuses:?}");
    assert!(refused >= 30, "{statuses:?}");
    assert_eq!(runs(&daemons), served as u32);
    // Another account is not concerned.
    let other = [("authorization", "Bearer k-2")];
    assert_eq!(
        request(&daemons[0], "GET /safe/x", &other).await.status,
        200
    );
}

#[tokio::test]
async fn retry_after_of_a_limit_is_true() {
    let limit = RateLimit {
        rate: 2.0,
        burst: 2.0,
    };
    let daemons = two_daemons_with(vec![account("a", "k-1", Some(limit))]).await;
    loop {
        let response = request(&daemons[0], "GET /safe/x", &[KEY]).await;
        if response.status == 429 {
            let seconds: f64 = header(&response.head, "retry-after")
                .unwrap()
                .parse()
                .unwrap();
            tokio::time::sleep(Duration::from_secs_f64(seconds)).await;
            break;
        }
    }
    assert_eq!(
        request(&daemons[0], "GET /safe/x", &[KEY]).await.status,
        200
    );
}

#[tokio::test]
async fn the_next_daemon_hands_out_the_tokens_of_one_that_is_gone() {
    let limit = RateLimit {
        rate: 50.0,
        burst: 50.0,
    };
    let accounts = (0..8)
        .map(|idx| account(&format!("a{idx}"), &format!("k-{idx}"), Some(limit)))
        .collect();
    let [first, second] = two_daemons_with(accounts).await;
    drop(second);
    for idx in 0..8 {
        let key = format!("Bearer k-{idx}");
        let response = request(&first, "GET /safe/x", &[("authorization", &key)]).await;
        assert_eq!(response.status, 200, "{response:?}");
    }
}

#[tokio::test]
async fn a_caller_can_not_send_messages_about_quotas() {
    let daemons = two_daemons_with(vec![account("a", "k-1", None)]).await;
    let headers = [KEY, ("agatehill-quota", "lend a 100")];
    let response = request(&daemons[0], "GET /safe/x", &headers).await;
    assert_eq!(response.status, 200, "{response:?}");
    assert_eq!(runs(&daemons), 1);
}
