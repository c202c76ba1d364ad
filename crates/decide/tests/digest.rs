//! Digests between zones: spread, change, age, cut and rejoin, in virtual time.

use agatehill_decide::{
    digest::{DigestInput, DigestNode, DigestOutput, DigestReply, DigestSettings},
    member::{MemberRecord, MemberServer},
    name::{DaemonName, Incarnation, RegionName, ServiceName, ZoneName},
    route::ServerState,
    time::MonoTime,
};
use rand::{SeedableRng, rngs::StdRng};
use rstest::rstest;
use std::{collections::BTreeSet, net::SocketAddr, time::Duration};

const ZONES: usize = 4;

/// Daemons of all zones; messages take no time, cut zones lose them.
struct DigestNet {
    per_zone: usize,
    nodes: Vec<DigestNode>,
    cut: BTreeSet<usize>,
    now: MonoTime,
    random: StdRng,
    rows: usize,
}

impl DigestNet {
    /// Every daemon knows two daemons of the first zone as seeds.
    fn start(per_zone: usize, seed: u64) -> DigestNet {
        let node = |idx| {
            DigestNode::new(DigestSettings {
                name: record(idx, 0).name,
                zone: zone(idx / per_zone),
                region: RegionName::try_from("vest").unwrap(),
                control: addr(idx),
                run: 1 + idx as u64,
                seeds: vec![addr(0), addr(1)],
            })
        };
        let mut net = DigestNet {
            per_zone,
            nodes: (0..ZONES * per_zone).map(node).collect(),
            cut: BTreeSet::new(),
            now: MonoTime::ZERO,
            random: StdRng::seed_from_u64(seed),
            rows: 0,
        };
        (0..ZONES).for_each(|zone| net.announce(zone, 1));
        net
    }

    /// Makes the first `servers` daemons of a zone announce a server each.
    fn announce(&mut self, zone: usize, servers: usize) {
        let members = zone * self.per_zone..(zone + 1) * self.per_zone;
        let serves = |idx| usize::from(idx % self.per_zone < servers);
        let records: Vec<MemberRecord> = members
            .clone()
            .map(|idx| record(idx, serves(idx)))
            .collect();
        for idx in members {
            self.step(idx, DigestInput::Members(records.clone()));
        }
    }

    fn run(&mut self, span: Duration) {
        let end = self.now + span;
        while self.now < end {
            self.now = self.now + Duration::from_millis(500);
            (0..self.nodes.len()).for_each(|idx| {
                self.step(idx, DigestInput::Tick);
            });
        }
    }

    fn step(&mut self, idx: usize, input: DigestInput) -> Option<DigestReply> {
        let mut replied = None;
        for output in self.nodes[idx].step(input, self.now, &mut self.random) {
            match output {
                DigestOutput::Request { to, request } => {
                    let other = usize::from(to.port());
                    let reply = match self.is_cut(idx, other) {
                        true => None,
                        false => self.step(other, DigestInput::Request(request)),
                    };
                    self.step(idx, DigestInput::Reply { from: to, reply });
                }
                DigestOutput::Reply(reply) => replied = Some(reply),
                DigestOutput::Changed => {}
            }
        }
        let rows = |reply: &DigestReply| {
            reply
                .zones
                .iter()
                .map(|zone| zone.rows.len())
                .sum::<usize>()
        };
        self.rows += replied.as_ref().map_or(0, rows);
        replied
    }

    fn is_cut(&self, idx: usize, other: usize) -> bool {
        let (left, right) = (idx / self.per_zone, other / self.per_zone);
        left != right && (self.cut.contains(&left) || self.cut.contains(&right))
    }

    /// What the daemon `idx` knows: the zone, whether it is stale, the servers of the service.
    fn known(&self, idx: usize) -> Vec<(ZoneName, bool, u32)> {
        let zones = self.nodes[idx].zones(self.now);
        let servers = zones.map(|zone| {
            let servers = zone.rows.iter().map(|row| row.servers).sum();
            (zone.zone.clone(), zone.is_stale, servers)
        });
        servers.collect()
    }

    /// Whether every daemon knows the servers of all other zones; `stale` is stale to the others.
    fn all_know(&self, servers: [u32; ZONES], stale: Option<usize>) -> Result<(), String> {
        for idx in 0..self.nodes.len() {
            let own = idx / self.per_zone;
            let others = (0..ZONES).filter(|other| *other != own);
            let is_stale = |other| stale.is_some_and(|stale| stale == other || stale == own);
            let expected: Vec<_> = others
                .map(|other| (zone(other), is_stale(other), servers[other]))
                .collect();
            if self.known(idx) != expected {
                return Err(format!("daemon {idx}: {:?}", self.known(idx)));
            }
        }
        Ok(())
    }
}

fn zone(idx: usize) -> ZoneName {
    ZoneName::try_from(format!("zone-{idx}")).unwrap()
}

fn addr(idx: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, 1], u16::try_from(idx).unwrap()))
}

fn record(idx: usize, servers: usize) -> MemberRecord {
    let server = MemberServer {
        service: ServiceName::try_from("gasdata").unwrap(),
        backend: addr(idx),
        slots: 10,
        state: ServerState::Serving,
    };
    MemberRecord {
        name: DaemonName::try_from(format!("daemon-{idx}")).unwrap(),
        incarnation: Incarnation(1),
        gossip: addr(idx),
        control: addr(idx),
        forward: addr(idx),
        servers: vec![server; servers],
    }
}

#[rstest]
fn a_cut_zone_turns_stale_and_comes_back(
    #[values(1, 5, 40)] per_zone: usize,
    #[values(1, 2)] seed: u64,
) {
    let mut net = DigestNet::start(per_zone, seed);
    net.run(Duration::from_secs(20));
    net.all_know([1; ZONES], None).unwrap();
    net.cut.insert(2);
    net.run(Duration::from_secs(30));
    net.all_know([1; ZONES], Some(2)).unwrap();
    net.announce(2, 0);
    net.announce(1, per_zone.min(3));
    let now = u32::try_from(per_zone.min(3)).unwrap();
    net.cut.clear();
    net.run(Duration::from_secs(15));
    net.all_know([1, now, 0, 1], None).unwrap();
}

#[test]
fn replies_hold_only_what_has_changed() {
    let mut net = DigestNet::start(40, 1);
    net.run(Duration::from_secs(20));
    net.rows = 0;
    net.run(Duration::from_secs(60));
    assert_eq!(net.rows, 0);
    net.announce(3, 2);
    net.run(Duration::from_secs(15));
    net.all_know([1, 1, 1, 2], None).unwrap();
    // Each daemon of the other zones is told once.
    assert_eq!(net.rows, 120);
}
