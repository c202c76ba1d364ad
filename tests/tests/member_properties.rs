//! Properties and time limits of membership under single faults and random schedules of faults.

use agatehill_decide::{
    member::{
        DATAGRAM_BYTES_MAX, MemberExchange, MemberInput, MemberMessage, MemberNode, MemberOutput,
        MemberPacket, MemberRecord, MemberSeed, MemberServer, MemberSettings, MemberStatus,
        MemberUpdate,
    },
    name::{DaemonName, Incarnation, ServiceName, ZoneName},
    route::ServerState,
    time::MonoTime,
};
use agatehill_tests::member_simulation::MemberSimulation;
use proptest::{
    prelude::*,
    test_runner::{Config, RngSeed},
};
use rand::{RngExt, SeedableRng, rngs::StdRng};
use rstest::rstest;
use std::{collections::BTreeSet, net::SocketAddr, time::Duration};

const fn secs(secs: u64) -> Duration {
    Duration::from_secs(secs)
}

fn settled(count: usize, seed: u64) -> MemberSimulation {
    let mut sim = MemberSimulation::start(count, seed);
    let all = sim.living();
    let joined = sim.run_until(secs(20), |sim| sim.all_route_to(&all));
    assert!(joined.is_some(), "members do not discover one another");
    sim
}

#[rstest]
fn leaving_server_is_not_routable_after_three_seconds(
    #[values(5, 40)] count: usize,
    #[values(0.0, 0.1)] loss: f64,
    #[values(1, 2, 3)] seed: u64,
    #[values(true, false)] is_announced: bool,
) {
    let mut sim = settled(count, seed);
    sim.loss = loss;
    match is_announced {
        true => sim.announce(3, ServerState::Leaving),
        false => sim.leave(3),
    }
    sim.run(secs(3));
    sim.run_checked(secs(30), |sim| {
        for idx in sim.living() {
            let is_routable = sim.routable(idx).contains(&3);
            assert!(
                !is_routable || (idx == 3 && !is_announced),
                "routable from {idx}"
            );
        }
    });
}

#[rstest]
fn dead_member_is_removed_within_five_seconds(
    #[values(5, 40)] count: usize,
    #[values(1, 2, 3, 4, 5)] seed: u64,
) {
    let mut sim = settled(count, seed);
    sim.kill(2);
    let living = sim.living();
    let removed = sim.run_until(secs(5), |sim| sim.all_route_to(&living));
    assert!(removed.is_some());
    sim.run_checked(secs(30), |sim| {
        assert!(
            sim.living()
                .iter()
                .all(|idx| !sim.routable(*idx).contains(&2))
        );
    });
}

#[rstest]
fn one_way_link_failures_remove_no_member(#[values(1, 2, 3)] seed: u64) {
    let mut sim = settled(8, seed);
    let all = sim.living();
    sim.blocked.insert((0, 1));
    sim.blocked.insert((4, 5));
    sim.run_checked(secs(60), |sim| {
        assert!(all.iter().all(|idx| sim.known(*idx) == all));
    });
}

#[rstest]
fn member_without_incoming_packets_removes_no_other(#[values(1, 2, 3)] seed: u64) {
    let mut sim = settled(8, seed);
    let all = sim.living();
    for other in 0..7 {
        sim.blocked.insert((other, 7));
    }
    sim.run(secs(10));
    sim.run_checked(secs(60), |sim| {
        for idx in 0..7 {
            assert!((0..7).all(|other| sim.routable(idx).contains(&other)));
        }
    });
    sim.blocked.clear();
    assert!(
        sim.run_until(secs(30), |sim| sim.all_route_to(&all))
            .is_some()
    );
}

#[rstest]
fn paused_member_returns_without_outdated_state(
    #[values(2, 10, 60, 900)] pause_secs: u64,
    #[values(1, 2)] seed: u64,
) {
    let mut sim = settled(8, seed);
    sim.pause(4, true);
    sim.kill(5);
    sim.leave(6);
    sim.run(secs(2));
    sim.kill(6);
    sim.run(secs(pause_secs - 2));
    if pause_secs >= 10 {
        sim.run_checked(secs(1), |sim| assert!(!sim.routable(0).contains(&4)));
    }
    sim.pause(4, false);
    let others = BTreeSet::from([0, 1, 2, 3, 7]);
    let expected: BTreeSet<usize> = sim.living();
    sim.run_checked(secs(10), |sim| {
        for idx in &others {
            assert!(
                others.is_subset(&sim.routable(*idx)),
                "{idx} lost a healthy member"
            );
            assert!(sim.routable(*idx).is_subset(&expected) || pause_secs < 5);
            assert!(
                others.is_subset(&sim.known(4)),
                "the paused member lost a healthy member"
            );
        }
    });
    assert!(sim.all_route_to(&expected));
}

#[rstest]
fn pause_of_all_members_removes_none(
    #[values(2, 3, 8)] count: usize,
    #[values(1, 2, 3, 4)] seed: u64,
) {
    let mut sim = settled(count, seed);
    let all = sim.living();
    all.iter().for_each(|idx| sim.pause(*idx, true));
    sim.run(secs(20));
    all.iter().for_each(|idx| sim.pause(*idx, false));
    sim.run_checked(secs(20), |sim| {
        assert!(all.iter().all(|idx| sim.known(*idx) == all));
    });
}

#[rstest]
fn both_sides_of_a_partition_continue_and_rejoin(
    #[values(15, 120)] partition_secs: u64,
    #[values(1, 2, 3)] seed: u64,
) {
    let mut sim = settled(12, seed);
    let all = sim.living();
    let side: BTreeSet<usize> = (7..12).collect();
    let other: BTreeSet<usize> = (0..7).collect();
    sim.partition(&side);
    sim.run(secs(partition_secs));
    assert!(side.iter().all(|idx| sim.routable(*idx) == side));
    assert!(other.iter().all(|idx| sim.routable(*idx) == other));
    sim.blocked.clear();
    sim.run_checked(secs(20), |sim| {
        assert!(side.iter().all(|idx| side.is_subset(&sim.routable(*idx))));
        assert!(other.iter().all(|idx| other.is_subset(&sim.routable(*idx))));
    });
    assert!(sim.all_route_to(&all));
}

/// 4,000 replacements per day in 29 zones are one per zone in 626 s; here they are 100 times as
/// frequent.
#[test]
fn replacements_are_visible_within_five_seconds() {
    let mut sim = settled(30, 7);
    for round in 0..60 {
        let living: Vec<usize> = sim.living().into_iter().filter(|idx| *idx > 1).collect();
        let old = living[sim.random.random_range(0..living.len())];
        match round % 4 {
            0 => sim.kill(old),
            1 => sim.restart(old),
            _ => {
                sim.leave(old);
                sim.run(secs(1));
                sim.kill(old);
            }
        }
        if round % 4 != 1 {
            sim.add();
        }
        let expected = sim.living();
        let visible = sim.run_until(secs(5), |sim| sim.all_route_to(&expected));
        assert!(visible.is_some(), "round {round}, member {old}");
        sim.run(secs(1));
    }
}

/// A sender that isn't a member here, or whose table comes from the other side of a partition,
/// can't make this member suspect or remove a third member.
#[rstest]
#[case::packet_of_unknown_sender(true)]
#[case::table_of_other_side(false)]
fn outside_reports_of_dead_members_are_ignored(#[case] is_packet: bool) {
    let mut random = StdRng::seed_from_u64(1);
    let now = MonoTime::from_millis(1);
    let record = |number: u16| MemberRecord {
        name: DaemonName::try_from(format!("daemon-{number}")).unwrap(),
        incarnation: Incarnation(5),
        gossip: SocketAddr::from(([10, 0, 0, 1], number)),
        control: SocketAddr::from(([10, 0, 0, 1], number)),
        forward: SocketAddr::from(([10, 0, 0, 1], number)),
        servers: Vec::new(),
    };
    let zone = ZoneName::try_from("herning-1").unwrap();
    let exchange = |sender: u16, updates: Vec<MemberUpdate>| MemberExchange {
        zone: zone.clone(),
        sender: record(sender),
        is_settled: true,
        updates,
    };
    let settings = MemberSettings {
        name: record(0).name,
        zone: zone.clone(),
        incarnation: Incarnation(5),
        gossip: record(0).gossip,
        control: record(0).control,
        forward: record(0).forward,
        seeds: Vec::new(),
    };
    let mut node = MemberNode::new(settings, now);
    node.step(
        MemberInput::ExchangeRequest(exchange(1, Vec::new())),
        now,
        &mut random,
    );
    let reports = vec![
        MemberUpdate::Suspect(record(1).name, Incarnation(5)),
        MemberUpdate::Dead(record(1).name, Incarnation(5)),
    ];
    let packet = MemberPacket {
        from: record(2).name,
        zone: zone.clone(),
        table_hash: 0,
        seq: 1,
        message: MemberMessage::Gossip,
        updates: reports.clone(),
    };
    let from = record(2).gossip;
    let input = match is_packet {
        true => MemberInput::Packet { from, packet },
        false => MemberInput::ExchangeRequest(exchange(2, reports)),
    };
    node.step(input, now, &mut random);
    let mut members = node
        .members()
        .filter(|view| view.record.name == record(1).name);
    assert_eq!(
        members.next().map(|view| view.status),
        Some(MemberStatus::Alive)
    );
}

#[test]
fn packets_fit_into_a_datagram() {
    let seed = SocketAddr::from(([0xffff; 8], 1));
    let long = |number: usize| format!("{number:064}");
    let mut random = StdRng::seed_from_u64(1);
    let settings = |number: usize| MemberSettings {
        name: DaemonName::try_from(long(number)).unwrap(),
        zone: ZoneName::try_from(long(0)).unwrap(),
        incarnation: Incarnation(u64::MAX / 2),
        gossip: SocketAddr::from(([0xffff; 8], 65_535)),
        control: SocketAddr::from(([0xffff; 8], 65_535)),
        forward: SocketAddr::from(([0xffff; 8], 65_535)),
        seeds: vec![MemberSeed {
            gossip: seed,
            control: seed,
        }],
    };
    let server = MemberServer {
        service: ServiceName::try_from(long(0)).unwrap(),
        backend: SocketAddr::from(([0xffff; 8], 65_535)),
        slots: u32::MAX,
        state: ServerState::Suspect,
    };
    let mut node = MemberNode::new(settings(0), MonoTime::ZERO);
    for number in 1..40 {
        let mut other = MemberNode::new(settings(number), MonoTime::ZERO);
        other.step(
            MemberInput::Servers(vec![server.clone(); 8]),
            MonoTime::ZERO,
            &mut random,
        );
        let outputs = other.step(MemberInput::Tick, MonoTime::ZERO, &mut random);
        let tables = outputs.into_iter().filter_map(|output| match output {
            MemberOutput::ExchangeRequest { exchange, .. } => Some(exchange),
            _ => None,
        });
        for table in tables {
            node.step(
                MemberInput::ExchangeRequest(table),
                MonoTime::ZERO,
                &mut random,
            );
        }
    }
    assert_eq!(node.members().count(), 39);
    let mut packets = 0;
    for millis in (0..10_000).step_by(50) {
        let now = MonoTime::from_millis(millis);
        for output in node.step(MemberInput::Tick, now, &mut random) {
            if let MemberOutput::Send { packet, .. } = output {
                let bytes = postcard::to_allocvec(&packet).unwrap();
                assert!(bytes.len() <= DATAGRAM_BYTES_MAX, "{} bytes", bytes.len());
                packets += 1;
            }
        }
    }
    assert!(packets > 40, "{packets}");
}

#[derive(Clone, Debug)]
enum Fault {
    Kill(usize),
    Restart(usize),
    Leave(usize),
    Pause(usize, u64),
    Partition(BTreeSet<usize>, u64),
    Block(usize, usize),
    Loss(f64),
}

fn any_fault(count: usize) -> impl Strategy<Value = Fault> {
    let member = 0..count;
    prop_oneof![
        member.clone().prop_map(Fault::Kill),
        member.clone().prop_map(Fault::Restart),
        (2..count).prop_map(Fault::Leave),
        (member.clone(), 1..20_u64).prop_map(|(idx, secs)| Fault::Pause(idx, secs)),
        (
            proptest::collection::btree_set(member.clone(), 1..count),
            1..20_u64
        )
            .prop_map(|(side, secs)| Fault::Partition(side, secs)),
        (member.clone(), member).prop_map(|(from, to)| Fault::Block(from, to)),
        (0.0..0.3).prop_map(Fault::Loss),
    ]
}

fn inject(sim: &mut MemberSimulation, fault: Fault) {
    match fault {
        Fault::Kill(idx) => sim.kill(idx),
        Fault::Restart(idx) => {
            sim.kill(idx);
            sim.restart(idx);
        }
        Fault::Leave(idx) => {
            sim.leave(idx);
            sim.run(secs(1));
            sim.kill(idx);
        }
        Fault::Pause(idx, span) => {
            sim.pause(idx, true);
            sim.run(secs(span));
            sim.pause(idx, false);
        }
        Fault::Partition(side, span) => {
            let before = sim.blocked.clone();
            sim.partition(&side);
            sim.run(secs(span));
            sim.blocked = before;
        }
        Fault::Block(from, to) => {
            sim.blocked.insert((from, to));
        }
        Fault::Loss(share) => sim.loss = share,
    }
}

proptest! {
    #![proptest_config(Config {
        cases: 60,
        rng_seed: RngSeed::Fixed(0x5711),
        failure_persistence: None,
        ..Config::default()
    })]

    /// A minute after the last fault every living member routes to exactly the living members, and
    /// this stays so.
    #[test]
    fn living_members_are_routable_after_any_faults(
        seed in any::<u64>(),
        faults in proptest::collection::vec((any_fault(9), 0..4_000_u64), 1..12),
    ) {
        let mut sim = settled(9, seed);
        for (fault, wait) in faults {
            sim.run(Duration::from_millis(wait));
            inject(&mut sim, fault);
        }
        sim.blocked.clear();
        sim.loss = 0.0;
        let living = sim.living();
        sim.run(secs(60));
        let routable: Vec<_> = living.iter().map(|idx| (*idx, sim.routable(*idx))).collect();
        prop_assert!(sim.all_route_to(&living), "{routable:?}");
        let mut is_stable = true;
        sim.run_checked(secs(20), |sim| is_stable &= sim.all_route_to(&living));
        prop_assert!(is_stable);
    }
}
