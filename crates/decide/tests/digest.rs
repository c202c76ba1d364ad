//! Digest exchange between zones in virtual time: propagation, changes, staleness, partitions.

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

/// Daemons of all zones. Messages take no time; those to and from partitioned zones are lost.
struct DigestSimulation {
    per_zone: usize,
    nodes: Vec<DigestNode>,
    partitioned: BTreeSet<usize>,
    now: MonoTime,
    random: StdRng,
    rows_sent: usize,
}

impl DigestSimulation {
    /// Starts all daemons; their seeds are two daemons of the first zone.
    fn start(per_zone: usize, seed: u64) -> DigestSimulation {
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
        let mut sim = DigestSimulation {
            per_zone,
            nodes: (0..ZONES * per_zone).map(node).collect(),
            partitioned: BTreeSet::new(),
            now: MonoTime::ZERO,
            random: StdRng::seed_from_u64(seed),
            rows_sent: 0,
        };
        (0..ZONES).for_each(|zone| sim.announce(zone, 1));
        sim
    }

    /// Makes the first `servers` daemons of a zone announce one server each.
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
        let mut reply_sent = None;
        for output in self.nodes[idx].step(input, self.now, &mut self.random) {
            match output {
                DigestOutput::Request { to, request } => {
                    let other = usize::from(to.port());
                    let reply = match self.is_blocked(idx, other) {
                        true => None,
                        false => self.step(other, DigestInput::Request(request)),
                    };
                    self.step(idx, DigestInput::Reply { from: to, reply });
                }
                DigestOutput::Reply(reply) => reply_sent = Some(reply),
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
        self.rows_sent += reply_sent.as_ref().map_or(0, rows);
        reply_sent
    }

    fn is_blocked(&self, idx: usize, other: usize) -> bool {
        let (left, right) = (idx / self.per_zone, other / self.per_zone);
        left != right && (self.partitioned.contains(&left) || self.partitioned.contains(&right))
    }

    /// Returns the other zones as daemon `idx` sees them: name, staleness, number of servers.
    fn known(&self, idx: usize) -> Vec<(ZoneName, bool, u32)> {
        let zones = self.nodes[idx].zones(self.now);
        let servers = zones.map(|zone| {
            let servers = zone.rows.iter().map(|row| row.servers).sum();
            (zone.zone.clone(), zone.is_stale, servers)
        });
        servers.collect()
    }

    /// Checks that every daemon knows the servers of all other zones. Zone `stale` and the others
    /// are stale to one another.
    fn check_known(&self, servers: [u32; ZONES], stale: Option<usize>) -> Result<(), String> {
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
fn partitioned_zone_becomes_stale_and_recovers(
    #[values(1, 5, 40)] per_zone: usize,
    #[values(1, 2)] seed: u64,
) {
    let mut sim = DigestSimulation::start(per_zone, seed);
    sim.run(Duration::from_secs(20));
    sim.check_known([1; ZONES], None).unwrap();
    sim.partitioned.insert(2);
    sim.run(Duration::from_secs(30));
    sim.check_known([1; ZONES], Some(2)).unwrap();
    sim.announce(2, 0);
    sim.announce(1, per_zone.min(3));
    let servers = u32::try_from(per_zone.min(3)).unwrap();
    sim.partitioned.clear();
    sim.run(Duration::from_secs(15));
    sim.check_known([1, servers, 0, 1], None).unwrap();
}

#[test]
fn replies_hold_only_changes() {
    let mut sim = DigestSimulation::start(40, 1);
    sim.run(Duration::from_secs(20));
    sim.rows_sent = 0;
    sim.run(Duration::from_secs(60));
    assert_eq!(sim.rows_sent, 0);
    sim.announce(3, 2);
    sim.run(Duration::from_secs(15));
    sim.check_known([1, 1, 1, 2], None).unwrap();
    // Three other zones of 40 daemons; each daemon receives the changed row once.
    assert_eq!(sim.rows_sent, 120);
}
