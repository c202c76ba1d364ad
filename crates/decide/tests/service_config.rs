//! Validation of a service configuration, lookup of routes and distribution over weighted services.

use agatehill_decide::{
    name::{AccountName, ServiceName},
    service_config::{
        CallerLimits, ClientAccount, ConfigFault, HostRoutes, KeyCheck, KeyDigest, RateLimit,
        RouteKind, RouteRule, RouteTable, ServiceConfig, ServiceSpec, WeightedService,
        is_most_urgent_route, rank_among_accounts,
    },
    weighted_round_robin::WeightedRoundRobin,
};
use rstest::rstest;
use std::time::Duration;

fn name(text: &str) -> ServiceName {
    ServiceName::try_from(text).unwrap()
}

fn weighted(service: &str, weight: u32) -> WeightedService {
    WeightedService {
        service: name(service),
        weight,
    }
}

fn rule(prefix: &str) -> RouteRule {
    RouteRule {
        name: format!("route of {prefix}"),
        path_prefix: prefix.to_owned(),
        kind: RouteKind::Idempotent,
        timeout: Duration::from_secs(1),
        target_latency: Duration::from_secs(1),
        priority: 0,
        weighted_services: vec![weighted("techreg", 1)],
        servers_max: 2,
        is_public: false,
    }
}

fn config(routes: Vec<RouteRule>) -> ServiceConfig {
    let service = |text: &str| ServiceSpec {
        name: name(text),
        health_path: "/health".to_owned(),
        connections_max: 100,
    };
    ServiceConfig {
        version: 1,
        services: vec![service("techreg"), service("gasdata")],
        limits: CallerLimits {
            head_bytes_max: 16_384,
            body_bytes_max: 1 << 20,
            head_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        },
        hosts: vec![HostRoutes {
            host: "a.example".to_owned(),
            routes,
        }],
        accounts: Vec::new(),
    }
}

fn changed(change: impl FnOnce(&mut RouteRule)) -> RouteRule {
    let mut rule = rule("/a/");
    change(&mut rule);
    rule
}

fn fault_name(fault: &ConfigFault) -> &'static str {
    match fault {
        ConfigFault::UnknownService { .. } => "service",
        ConfigFault::NoWeight { .. } => "weight",
        ConfigFault::NoTimeout { .. } => "timeout",
        ConfigFault::NoServers { .. } => "servers",
        ConfigFault::BadPrefix { .. } => "prefix",
        ConfigFault::DuplicateAccount { .. } => "name",
        ConfigFault::EmptyKey { .. } => "empty key",
        ConfigFault::SharedKey { .. } => "shared key",
        ConfigFault::BadLimit { .. } => "limit",
    }
}

#[rstest]
#[case::valid(rule("/a/"), None)]
#[case::unknown_service(changed(|r| r.weighted_services = vec![weighted("other", 1)]), Some("service"))]
#[case::one_of_two_unknown(
    changed(|r| r.weighted_services = vec![weighted("techreg", 1), weighted("other", 0)]), Some("service")
)]
#[case::no_weight(
    changed(|r| r.weighted_services = vec![weighted("techreg", 0), weighted("gasdata", 0)]), Some("weight")
)]
#[case::no_service(changed(|r| r.weighted_services = vec![]), Some("weight"))]
#[case::no_timeout(changed(|r| r.timeout = Duration::ZERO), Some("timeout"))]
#[case::no_servers(changed(|r| r.servers_max = 0), Some("servers"))]
#[case::prefix_without_slash(changed(|r| r.path_prefix = "/a".to_owned()), Some("prefix"))]
fn an_invalid_route_is_refused(#[case] rule: RouteRule, #[case] fault: Option<&str>) {
    let checked = config(vec![rule]).check();
    assert_eq!(checked.as_ref().err().map(fault_name), fault);
}

fn account(name: &str, keys: &[&str]) -> ClientAccount {
    ClientAccount {
        name: AccountName::try_from(name).unwrap(),
        keys: keys.iter().map(|key| KeyDigest::of(key)).collect(),
        rank: None,
        limit: None,
    }
}

fn limited(rate: f64, burst: f64) -> ClientAccount {
    ClientAccount {
        limit: Some(RateLimit { rate, burst }),
        ..account("b", &["k-2"])
    }
}

#[rstest]
#[case::valid(account("b", &["k-2", "k-3"]), None)]
#[case::without_keys(account("b", &[]), None)]
#[case::limited(limited(0.5, 0.0), None)]
#[case::same_name(account("a", &["k-2"]), Some("name"))]
#[case::key_of_another(account("b", &["k-2", "k-1"]), Some("shared key"))]
#[case::key_twice(account("b", &["k-2", "k-2"]), Some("shared key"))]
#[case::empty_key(account("b", &[""]), Some("empty key"))]
#[case::negative_rate(limited(-1.0, 1.0), Some("limit"))]
#[case::negative_burst(limited(1.0, -1.0), Some("limit"))]
#[case::no_number(limited(f64::NAN, 1.0), Some("limit"))]
#[case::no_end(limited(1.0, f64::INFINITY), Some("limit"))]
fn an_invalid_account_is_refused(#[case] second: ClientAccount, #[case] fault: Option<&str>) {
    let mut config = config(vec![rule("/a/")]);
    let name = second.name.clone();
    config.accounts = vec![account("a", &["k-1"]), second];
    let checked = config.check();
    assert_eq!(checked.as_ref().err().map(fault_name), fault);
    if let Err(fault) = checked {
        let text = format!("{fault} {fault:?}");
        assert!(text.contains(name.as_str()), "{text}");
        assert!(!text.contains("k-"), "{text}");
    }
}

#[test]
fn a_key_identifies_its_account() {
    let mut config = config(vec![rule("/a/")]);
    assert!(!RouteTable::from(config.clone()).requires_keys());
    // An earlier build accepted documents in which two accounts share a key.
    config.accounts = vec![
        account("a", &["k-1", "k-shared"]),
        account("b", &["k-2", "k-shared"]),
    ];
    let table = RouteTable::from(config);
    assert!(table.requires_keys());
    let owner = |key: &str| match table.check_key(key) {
        KeyCheck::Known(account) => Some(account.name.to_string()),
        KeyCheck::Unknown => None,
    };
    assert_eq!(owner("k-1").as_deref(), Some("a"));
    assert_eq!(owner("k-2").as_deref(), Some("b"));
    for unknown in ["", "k", "k-", "k-11", "K-1", "k-shared"] {
        assert_eq!(owner(unknown), None, "{unknown}");
    }
    let shown = format!("{:?}", table.config());
    assert!(!shown.contains("k-1"), "{shown}");
}

#[test]
fn only_the_largest_accounts_have_counters_of_their_own() {
    let mut config = config(vec![rule("/a/")]);
    config.accounts = (0..100)
        .map(|idx| ClientAccount {
            limit: Some(RateLimit {
                rate: f64::from(idx),
                burst: 1.0,
            }),
            ..account(&format!("a{idx}"), &[])
        })
        .collect();
    let table = RouteTable::from(config.clone());
    let labels = config.accounts.iter();
    let labels: Vec<_> = labels.map(|a| table.account_label(&a.name)).collect();
    assert_eq!(labels[84], "other");
    assert_eq!(labels[85], "a85");
    let distinct: std::collections::HashSet<_> = labels.into_iter().collect();
    assert_eq!(distinct.len(), 16);
}

#[test]
fn the_rank_of_an_account_goes_before_that_of_the_route() {
    let route = |priority| changed(|rule| rule.priority = priority);
    let ranked = |rank| ClientAccount {
        rank: Some(rank),
        ..account("a", &[])
    };
    let rank =
        |account: u32, priority| rank_among_accounts(Some(&ranked(account)), &route(priority));
    assert!(rank(0, 9) < rank(1, 0));
    assert!(rank(1, 0) < rank(1, 1));
    assert!(rank(1, 3) < rank(2, 0));
    assert_eq!(rank_among_accounts(None, &route(2)), rank(2, 2));
    assert_eq!(
        rank_among_accounts(Some(&account("a", &[])), &route(2)),
        rank(2, 2)
    );
    assert!(is_most_urgent_route(rank(1, 0)));
    assert!(is_most_urgent_route(rank(u32::MAX, 0)));
    assert!(rank(u32::MAX, 0) < rank(u32::MAX, 1));
    assert!(rank(1, u32::MAX) < rank(u32::MAX, 0));
    assert!(!is_most_urgent_route(rank(0, 1)));
}

#[rstest]
#[case::shortest("a.example", "/a/x", Some("/a/"))]
#[case::longest("a.example", "/a/b/x", Some("/a/b/"))]
#[case::prefix_itself("a.example", "/a/b/", Some("/a/b/"))]
#[case::partial_segment("a.example", "/a/bc", Some("/a/"))]
#[case::with_port("a.example:80", "/a/x", Some("/a/"))]
#[case::ipv6_address("[::1]", "/a/x", Some("/a/"))]
#[case::ipv6_address_with_port("[::1]:80", "/a/x", Some("/a/"))]
#[case::other_case("A.Example", "/a/x", Some("/a/"))]
#[case::other_host("b.example", "/a/x", None)]
#[case::other_path("a.example", "/b/x", None)]
fn the_longest_matching_prefix_is_found(
    #[case] host: &str,
    #[case] path: &str,
    #[case] prefix: Option<&str>,
) {
    let mut config = config(vec![rule("/a/"), rule("/a/b/")]);
    let mut ipv6 = config.hosts[0].clone();
    ipv6.host = "[::1]".to_owned();
    config.hosts.push(ipv6);
    let table = RouteTable::from(config);
    let found = table.find(host, path).map(|rule| rule.path_prefix.as_str());
    assert_eq!(found, prefix);
}

#[rstest]
#[case::halves(&[1, 1])]
#[case::ninety_ten(&[90, 10])]
#[case::with_zero_weight(&[7, 0, 3])]
fn shares_follow_the_weights(#[case] weights: &[u32]) {
    let services: Vec<_> = weights
        .iter()
        .map(|weight| weighted("techreg", *weight))
        .collect();
    let mut round_robin = WeightedRoundRobin::default();
    let mut counts = vec![0u32; services.len()];
    for _ in 0..300 {
        counts[round_robin.next_index(&services)] += 1;
    }
    let total: u32 = weights.iter().sum();
    for (count, weight) in counts.iter().zip(weights) {
        let wanted = 300.0 * f64::from(*weight) / f64::from(total);
        assert!((f64::from(*count) - wanted).abs() <= 1.0, "{counts:?}");
    }
}
