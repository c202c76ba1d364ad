//! Validation of a service configuration, lookup of routes and distribution over weighted services.

use agatehill_decide::{
    name::ServiceName,
    service_config::{
        CallerLimits, ConfigFault, HostRoutes, RouteKind, RouteRule, RouteTable, ServiceConfig,
        ServiceSpec, WeightedService,
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
