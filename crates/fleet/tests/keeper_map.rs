//! Keepers are named by the address of their host.

use agatehill_fleet::keeper_map::{KeeperMap, keeper_name};
use rstest::rstest;
use std::net::IpAddr;

#[rstest]
#[case::ipv4("10.1.0.12")]
#[case::ipv6("fd00::1:12")]
#[case::ipv6_loopback("::1")]
#[tokio::test]
async fn keeper_is_reached_at_the_address_that_names_it(#[case] host: &str) {
    let host: IpAddr = host.parse().unwrap();
    let keepers = KeeperMap::open(&[host], 7400);
    let keeper = keepers.get(&keeper_name(host)).expect("it was added");
    assert_eq!(keeper.link.addr().ip(), host);
    assert!(!keepers.add(&keeper_name(host)), "it is known");
}
