//! Properties of routing: balance, resends, exclusion, misreported load, reach.

use agatehill_decide::{
    contract::RequestClass,
    name::{CustomerName, DaemonName, RequestId, ServiceName},
    priority::CallPriority,
    route::{
        OutcomeSample, RequestHash, RouteChoice, RouteDistance, RouteQuery, RouteReach, RouteTable,
        RouteTarget, ServerDirectory, ServerKey, ServerState, ServerView,
    },
    time::MonoTime,
};
use proptest::{
    prelude::*,
    test_runner::{Config, RngSeed},
};
use rstest::rstest;
use std::{collections::HashSet, net::SocketAddr};

const NOW: MonoTime = MonoTime::from_millis(1_000);
const SLOTS: u32 = 10;

fn service() -> ServiceName {
    ServiceName::try_from("techreg").unwrap()
}

fn view(number: u16, zone: &str, region: &str, state: ServerState) -> ServerView {
    let addr = |port| SocketAddr::from(([127, 0, 0, 1], port));
    ServerView {
        service: service(),
        daemon: DaemonName::try_from(format!("daemon-{number}")).unwrap(),
        zone: zone.to_owned().try_into().unwrap(),
        region: region.to_owned().try_into().unwrap(),
        forward: addr(10_000 + number),
        backend: Some(addr(20_000 + number)),
        state,
        slots: SLOTS,
    }
}

fn directory(states: &[ServerState]) -> (ServerDirectory, Vec<ServerKey>) {
    let zone = "herning-1".to_owned().try_into().unwrap();
    let region = "vest".to_owned().try_into().unwrap();
    let mut directory = ServerDirectory::new(zone, region);
    let views = (0..).zip(states);
    let keys = views
        .map(|(number, &state)| directory.upsert(view(number, "herning-1", "vest", state)))
        .collect();
    (directory, keys)
}

fn request(number: u64) -> RequestHash {
    let customer = CustomerName::try_from("dansk").unwrap();
    RequestHash::of(
        &customer,
        &RequestId::try_from(format!("r{number}")).unwrap(),
    )
}

fn choose(table: &RouteTable, request: RequestHash, tried: &[ServerKey]) -> RouteChoice {
    choose_as(
        table,
        request,
        tried,
        RequestClass::Normal,
        CallPriority::HIGHEST,
    )
}

fn choose_as(
    table: &RouteTable,
    request: RequestHash,
    tried: &[ServerKey],
    class: RequestClass,
    priority: CallPriority,
) -> RouteChoice {
    table.choose(&RouteQuery {
        service: &service(),
        request,
        priority,
        tried,
        reach: RouteReach::of(class),
        now: NOW,
    })
}

fn target(choice: RouteChoice) -> RouteTarget {
    match choice {
        RouteChoice::Target(target) => target,
        other => panic!("expected a server, got {other:?}"),
    }
}

/// Returns the requests per server after `count` requests that never end. The first `understating`
/// servers appear unloaded; for the others the load observed by this daemon counts.
fn loads(servers: usize, count: u64, understating: usize) -> Vec<u32> {
    let (directory, keys) = directory(&vec![ServerState::Serving; servers]);
    let table = directory.snapshot();
    let mut guards = Vec::new();
    let mut loads = vec![0; servers];
    for number in 0..count {
        let target = target(choose(&table, request(number), &[]));
        let idx = keys.iter().position(|key| *key == target.key).unwrap();
        loads[idx] += 1;
        if idx >= understating {
            guards.push(target.stats.start_request());
        }
    }
    loads
}

#[test]
fn maximum_load_is_as_with_two_random_choices() {
    let loads = loads(100, 1_000, 0);
    // The average 10 plus log2(ln 100) = 2.2 plus a constant; one random choice gives 19 or more.
    assert!(*loads.iter().max().unwrap() <= 14, "{loads:?}");
    assert!(*loads.iter().min().unwrap() >= 5, "{loads:?}");
}

#[test]
fn server_that_hides_its_load_gets_at_most_twice_its_share() {
    let loads = loads(20, 4_000, 1);
    let share = f64::from(loads[0]) / 4_000.0;
    assert!(share <= 2.0 / 20.0 * 1.15, "share {share}");
}

#[test]
fn server_that_sheds_at_a_low_reported_load_is_distrusted() {
    let (directory, keys) = directory(&[ServerState::Serving; 2]);
    let table = directory.snapshot();
    let (understating, honest) = (
        directory.stats(keys[0]).unwrap(),
        directory.stats(keys[1]).unwrap(),
    );
    understating.report_load(0, NOW);
    honest.report_load(500, NOW);
    assert_eq!(target(choose(&table, request(1), &[])).key, keys[0]);
    let level = CallPriority::LOWEST;
    understating.record(OutcomeSample::Shed { level }, NOW);
    assert_eq!(target(choose(&table, request(1), &[])).key, keys[1]);
}

#[test]
fn starting_server_gets_a_quarter_of_its_share() {
    let mut states = [ServerState::Serving; 10];
    states[0] = ServerState::Starting;
    let (directory, keys) = directory(&states);
    let table = directory.snapshot();
    let of_starting = |n: &u64| target(choose(&table, request(*n), &[])).key == keys[0];
    let share = (0..4_000).filter(of_starting).count() as f64 / 4_000.0;
    // A quarter of a tenth is 0.025.
    assert!((0.01..0.05).contains(&share), "share {share}");
}

#[test]
fn failing_server_is_avoided_until_its_penalty_ends() {
    let (directory, keys) = directory(&[ServerState::Serving; 2]);
    let table = directory.snapshot();
    let stats = directory.stats(keys[0]).unwrap();
    stats.record(OutcomeSample::Failed, NOW);
    for number in 0..50 {
        assert_eq!(target(choose(&table, request(number), &[])).key, keys[1]);
    }
    assert!(!stats.is_penalised(NOW + std::time::Duration::from_millis(250)));
}

#[rstest]
#[case::critical_to_region(RequestClass::Critical, 0, Some(RouteDistance::Region))]
#[case::critical_far(RequestClass::Critical, 1, Some(RouteDistance::Far))]
#[case::normal_to_region(RequestClass::Normal, 0, Some(RouteDistance::Region))]
#[case::normal_not_far(RequestClass::Normal, 1, None)]
#[case::background_not_to_region(RequestClass::Background, 0, None)]
fn shed_request_goes_as_far_as_its_class_allows(
    #[case] class: RequestClass,
    #[case] full_groups: usize,
    #[case] expected: Option<RouteDistance>,
) {
    let (mut directory, mut keys) = directory(&[ServerState::Serving]);
    keys.push(directory.upsert(view(1, "esbjerg-2", "vest", ServerState::Serving)));
    keys.push(directory.upsert(view(2, "ringsted-1", "oest", ServerState::Serving)));
    let level = CallPriority(5);
    for key in &keys[..=full_groups] {
        let sample = OutcomeSample::Shed { level };
        directory.stats(*key).unwrap().record(sample, NOW);
    }
    // Servers that haven't shed have no reported load; one that sheds counts as full.
    let table = directory.snapshot();
    match choose_as(&table, request(1), &[], class, CallPriority(6)) {
        RouteChoice::Target(target) => assert_eq!(Some(target.distance), expected),
        RouteChoice::Shed { level: returned } => assert_eq!((None, level), (expected, returned)),
        RouteChoice::NoServer => panic!("expected a server or a shed request"),
    }
    // A request that the gate's level admits stays in the zone.
    let passed = choose_as(&table, request(1), &[], class, CallPriority(5));
    assert_eq!(target(passed).distance, RouteDistance::Zone);
}

#[test]
fn loaded_zone_gets_no_requests_shed_elsewhere() {
    let (mut directory, keys) = directory(&[ServerState::Serving]);
    let other = directory.upsert(view(1, "esbjerg-2", "vest", ServerState::Serving));
    let shed = OutcomeSample::Shed {
        level: CallPriority(0),
    };
    directory.stats(keys[0]).unwrap().record(shed, NOW);
    directory.stats(other).unwrap().report_load(900, NOW);
    let table = directory.snapshot();
    let choice = choose_as(
        &table,
        request(1),
        &[],
        RequestClass::Critical,
        CallPriority(1),
    );
    assert!(matches!(choice, RouteChoice::Shed { .. }), "{choice:?}");
}

fn any_state() -> impl Strategy<Value = ServerState> {
    prop_oneof![
        1 => Just(ServerState::Starting),
        4 => Just(ServerState::Serving),
        1 => Just(ServerState::Leaving),
        1 => Just(ServerState::Suspect),
    ]
}

proptest! {
    #![proptest_config(Config {
        rng_seed: RngSeed::Fixed(0x0a6a_7e41),
        failure_persistence: None,
        ..Config::default()
    })]

    /// Attempts of one request go once to each server that accepts requests, and to no other.
    #[test]
    fn attempts_try_every_server_that_accepts_requests(
        states in proptest::collection::vec(any_state(), 1..12),
        number in any::<u64>(),
    ) {
        let (directory, keys) = directory(&states);
        let table = directory.snapshot();
        let mut tried = Vec::new();
        while let RouteChoice::Target(target) = choose(&table, request(number), &tried) {
            prop_assert!(!tried.contains(&target.key));
            tried.push(target.key);
        }
        let accepts = |state| matches!(state, ServerState::Serving | ServerState::Starting);
        let expected = keys.iter().zip(&states).filter(|(_, state)| accepts(**state));
        let expected: HashSet<_> = expected.map(|(key, _)| *key).collect();
        prop_assert_eq!(tried.into_iter().collect::<HashSet<_>>(), expected);
    }

    /// Under any load, resends of one request go to at most two servers, also with a rebuilt table.
    #[test]
    fn resends_go_to_the_same_two_servers(
        servers in 2_usize..30,
        number in any::<u64>(),
        reports in proptest::collection::vec((0_usize..30, 0_u16..2_000), 20),
    ) {
        let (directory, keys) = directory(&vec![ServerState::Serving; servers]);
        let mut chosen = HashSet::new();
        for (idx, load) in reports {
            directory.stats(keys[idx % servers]).unwrap().report_load(load, NOW);
            chosen.insert(target(choose(&directory.snapshot(), request(number), &[])).key);
        }
        prop_assert!(chosen.len() <= 2, "{} servers", chosen.len());
    }
}
