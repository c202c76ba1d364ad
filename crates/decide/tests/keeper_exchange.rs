//! Distribution of host records between keepers, in virtual time.

use agatehill_decide::{
    host_directory::{
        ANSWER_RECORDS_MAX, DirectoryPosition, DirectoryQuery, HostDirectory, HostRecord,
        ServerRecord,
    },
    keeper_exchange::{ROUND_KEEPERS, SharePlan, round_keepers},
    name::{Incarnation, KeeperName, RegionName, ServiceName, ZoneName},
};
use rand::{RngExt, SeedableRng, rngs::StdRng};
use rstest::rstest;
use std::collections::{BTreeMap, BTreeSet};

/// Largest power of the number of hosts with which a keeper's bytes may grow on a calm day.
const CALM_POWER_MAX: f64 = 0.6;
/// The same while servers come and go.
const CHURN_POWER_MAX: f64 = 1.0;
/// Share of the hosts whose record changes in a second while servers come and go.
const CHURN_SHARE: f64 = 0.05;
const ROUNDS: u64 = 20;

fn keeper_name(idx: usize) -> KeeperName {
    KeeperName::try_from(format!("keeper-{idx:02}")).unwrap()
}

fn region_name(idx: usize) -> RegionName {
    RegionName::try_from(format!("region-{idx}")).unwrap()
}

fn record(host: usize, sequence: u64) -> HostRecord {
    let [_, _, high, low] = u32::try_from(host).unwrap().to_be_bytes();
    HostRecord {
        gate: ([10, 0, high, low], 8300).into(),
        run: Incarnation(1_796_000_000_000_000),
        sequence,
        region: region_name(host % 3),
        zone: ZoneName::try_from(format!("zone-{}", host % 9)).unwrap(),
        server: Some(ServerRecord {
            service: ServiceName::try_from("gasdata").unwrap(),
            id: format!("i-{host:08x}"),
            slots: 11,
        }),
        left: None,
    }
}

fn bytes_of(record: &HostRecord) -> usize {
    postcard::to_stdvec(record).unwrap().len()
}

/// A keeper with what it has sent.
#[derive(Default)]
struct TestKeeper {
    directory: HostDirectory,
    positions: BTreeMap<usize, DirectoryPosition>,
    sent_bytes: usize,
    /// Bytes of these that went to another region.
    sent_far_bytes: usize,
    sent_messages: usize,
}

/// Keepers that share and exchange host records; keeper `idx` is in region `idx % regions`.
struct TestFleet {
    keepers: Vec<TestKeeper>,
    names: Vec<KeeperName>,
    regions: usize,
    rng: StdRng,
    /// Share of the messages that get lost.
    loss: f64,
    round: u64,
}

impl TestFleet {
    fn open(keepers: usize, regions: usize, loss: f64, seed: u64) -> TestFleet {
        TestFleet {
            keepers: (0..keepers).map(|_| TestKeeper::default()).collect(),
            names: (0..keepers).map(keeper_name).collect(),
            regions,
            rng: StdRng::seed_from_u64(seed),
            loss,
            round: 0,
        }
    }

    fn is_lost(&mut self) -> bool {
        self.loss > 0.0 && self.rng.random_bool(self.loss)
    }

    fn count_sent(&mut self, from: usize, to: usize, bytes: usize) {
        let is_far = from % self.regions != to % self.regions;
        let keeper = &mut self.keepers[from];
        keeper.sent_bytes += bytes;
        keeper.sent_far_bytes += if is_far { bytes } else { 0 };
        keeper.sent_messages += 1;
    }

    /// A daemon publishes `record` to the keepers `at`.
    fn publish(&mut self, record: &HostRecord, at: &[usize]) {
        for keeper in at {
            if self.keepers[*keeper].directory.merge(record.clone()) {
                self.share(*keeper, record);
            }
        }
    }

    fn share(&mut self, from: usize, record: &HostRecord) {
        let others: Vec<_> = (0..self.names.len())
            .filter(|idx| *idx != from)
            .map(|idx| {
                (
                    self.names[idx].clone(),
                    Some(region_name(idx % self.regions)),
                )
            })
            .collect();
        let seed = self.rng.random();
        let plan = SharePlan::new(&region_name(from % self.regions), &others, seed);
        for name in &plan.direct {
            self.send(from, self.idx_of(name), record);
        }
        for names in &plan.regions {
            let relay = names.iter().map(|name| self.idx_of(name));
            let relay = relay.collect::<Vec<_>>();
            let Some(relay) = relay.into_iter().find(|to| self.send(from, *to, record)) else {
                continue;
            };
            for idx in self.region_of(relay) {
                self.send(relay, idx, record);
            }
        }
    }

    /// Returns the other keepers in the region of `keeper`.
    fn region_of(&self, keeper: usize) -> Vec<usize> {
        let keepers = 0..self.names.len();
        let is_near = |idx: &usize| idx % self.regions == keeper % self.regions;
        keepers
            .filter(is_near)
            .filter(|idx| *idx != keeper)
            .collect()
    }

    /// Returns whether the message arrived.
    fn send(&mut self, from: usize, to: usize, record: &HostRecord) -> bool {
        self.count_sent(from, to, bytes_of(record));
        if self.is_lost() {
            return false;
        }
        self.keepers[to].directory.merge(record.clone());
        true
    }

    fn idx_of(&self, name: &KeeperName) -> usize {
        self.names.iter().position(|known| known == name).unwrap()
    }

    /// Runs one round of exchanges.
    fn exchange(&mut self) {
        for own in 0..self.keepers.len() {
            for name in round_keepers(&self.names[own], &self.names, self.round) {
                let other = self.idx_of(&name);
                while self.ask(own, other) {}
            }
        }
        self.round += 1;
    }

    /// Keeper `own` asks keeper `other`; returns whether there may be more.
    fn ask(&mut self, own: usize, other: usize) -> bool {
        let query = DirectoryQuery {
            position: self.keepers[own]
                .positions
                .get(&other)
                .copied()
                .unwrap_or_default(),
            digest: self.keepers[own].directory.digest(),
        };
        self.count_sent(own, other, postcard::to_stdvec(&query).unwrap().len());
        if self.is_lost() {
            return false;
        }
        let answer = self.keepers[other]
            .directory
            .answer(&query, other as u64 + 1);
        self.count_sent(other, own, postcard::to_stdvec(&answer).unwrap().len());
        let is_full = answer.is_full();
        assert!(answer.records.len() <= ANSWER_RECORDS_MAX);
        for record in answer.records {
            self.keepers[own].directory.merge(record);
        }
        self.keepers[own].positions.insert(other, answer.position);
        is_full
    }

    fn has_converged(&self) -> bool {
        let digests = self.keepers.iter().map(|keeper| keeper.directory.digest());
        digests.collect::<BTreeSet<_>>().len() == 1
    }

    /// Publishes the first record of each of `hosts` hosts and lets the keepers settle.
    fn fill(&mut self, hosts: usize) {
        for host in 0..hosts {
            let at = host % self.names.len();
            self.publish(&record(host, 1), &[at]);
        }
        (0..self.names.len()).for_each(|_| self.exchange());
        assert!(self.has_converged());
        for keeper in &mut self.keepers {
            (
                keeper.sent_bytes,
                keeper.sent_far_bytes,
                keeper.sent_messages,
            ) = (0, 0, 0);
        }
    }

    /// Runs [`ROUNDS`] seconds in which `changes` hosts change in each; returns the bytes a second of
    /// the busiest keeper.
    fn run(&mut self, hosts: usize, changes: usize) -> f64 {
        for second in 0..ROUNDS {
            for idx in 0..changes {
                let host = (idx * 37 + usize::try_from(second).unwrap() * 101) % hosts;
                let first = host % self.names.len();
                let second_keeper = (first + self.regions) % self.names.len();
                let record = record(host, second + 2);
                self.publish(&record, &[first, second_keeper]);
                if idx == changes / 2 {
                    // Exchanges run while changes are on their way.
                    self.exchange();
                }
            }
            if changes == 0 {
                self.exchange();
            }
        }
        let busiest = self.keepers.iter().map(|keeper| keeper.sent_bytes).max();
        busiest.unwrap() as f64 / ROUNDS as f64
    }
}

#[rstest]
#[case::two(2)]
#[case::four(4)]
#[case::nine(9)]
#[case::twenty_nine(29)]
fn every_keeper_is_asked_by_all_others_equally_often(#[case] count: usize) {
    let names: Vec<_> = (0..count).map(keeper_name).collect();
    let rounds = (count as u64 - 1).div_ceil(ROUND_KEEPERS as u64);
    for own in &names {
        let asked = (0..rounds).flat_map(|round| round_keepers(own, &names, round));
        let asked: BTreeSet<_> = asked.collect();
        assert_eq!(asked.len(), count - 1, "{own}");
        assert!(!asked.contains(own));
    }
    let mut counts: BTreeMap<KeeperName, usize> = BTreeMap::new();
    for own in &names {
        for name in round_keepers(own, &names, 5) {
            *counts.entry(name).or_default() += 1;
        }
    }
    assert!(
        counts.values().all(|n| *n == ROUND_KEEPERS.min(count - 1)),
        "{counts:?}"
    );
}

#[test]
fn records_go_to_the_own_region_and_once_to_each_other() {
    let others: Vec<_> = (1..9)
        .map(|idx| (keeper_name(idx), Some(region_name(idx % 3))))
        .chain([(keeper_name(9), None)])
        .collect();
    let plan = SharePlan::new(&region_name(0), &others, 4);
    assert_eq!(plan.direct, [3, 6, 9].map(keeper_name));
    assert_eq!(plan.regions.len(), 2);
    assert_eq!(plan.regions[0], [4, 7, 1].map(keeper_name));
    assert_eq!(plan.regions[1], [5, 8, 2].map(keeper_name));
}

/// A record that no message loses reaches all keepers with the messages that share it.
#[rstest]
#[case::nine(9, 3)]
#[case::twenty_nine(29, 9)]
#[case::one_region(5, 1)]
fn a_record_reaches_all_keepers_at_once(#[case] keepers: usize, #[case] regions: usize) {
    let mut fleet = TestFleet::open(keepers, regions, 0.0, 1);
    fleet.fill(30);
    fleet.publish(&record(7, 2), &[4]);
    assert!(fleet.has_converged());
}

/// Lost messages are made up for in a few rounds, whatever is lost.
#[rstest]
fn keepers_converge_after_losses(
    #[values(9, 29)] keepers: usize,
    #[values(0.1, 0.5, 1.0)] loss: f64,
    #[values(1, 2, 3)] seed: u64,
) {
    let mut fleet = TestFleet::open(keepers, 3, 0.0, seed);
    fleet.fill(300);
    fleet.loss = loss;
    for host in 0..40 {
        fleet.publish(&record(host, 2), &[host % keepers]);
    }
    fleet.exchange();
    fleet.loss = 0.0;
    let rounds = (0..20).take_while(|_| {
        let is_open = !fleet.has_converged();
        fleet.exchange();
        is_open
    });
    let rounds = rounds.count();
    assert!(rounds <= 6, "{rounds} rounds");
}

/// A keeper that starts with an empty directory fetches it in pieces.
#[test]
fn a_new_keeper_fetches_a_large_directory_in_pieces() {
    let mut fleet = TestFleet::open(9, 3, 0.0, 1);
    fleet.fill(3_000);
    fleet.keepers[5] = TestKeeper::default();
    for keeper in &mut fleet.keepers {
        keeper.positions.remove(&5);
    }
    fleet.exchange();
    assert!(fleet.has_converged());
}

/// An earlier run of the asked keeper numbered its changes otherwise.
#[test]
fn a_position_of_an_earlier_run_counts_from_the_start() {
    let mut directory = HostDirectory::default();
    (0..4).for_each(|host| assert!(directory.merge(record(host, 1))));
    let query = |run| DirectoryQuery {
        position: DirectoryPosition { run, change: 3 },
        digest: 0,
    };
    assert_eq!(directory.answer(&query(7), 7).records.len(), 1);
    assert_eq!(directory.answer(&query(6), 7).records.len(), 4);
    let same = DirectoryQuery {
        digest: directory.digest(),
        ..query(6)
    };
    let answer = directory.answer(&same, 7);
    assert!(answer.records.is_empty());
    assert_eq!(answer.position, DirectoryPosition { run: 7, change: 4 });
}

/// What the busiest keeper sends must not grow with the pairs of keepers times the hosts.
#[rstest]
#[case::calm(0.0, CALM_POWER_MAX)]
#[case::churn(CHURN_SHARE, CHURN_POWER_MAX)]
fn bytes_grow_no_faster_than_the_target(#[case] churn: f64, #[case] power_max: f64) {
    let sizes = [(30, 9, 3), (300, 9, 3), (3_000, 29, 9)];
    let bytes = sizes.map(|(hosts, keepers, regions)| {
        let mut fleet = TestFleet::open(keepers, regions, 0.0, 1);
        fleet.fill(hosts);
        let changes = (hosts as f64 * churn).ceil() as usize;
        fleet.run(hosts, changes)
    });
    let power = |from: usize, to: usize| {
        let hosts = sizes[to].0 as f64 / sizes[from].0 as f64;
        (bytes[to] / bytes[from]).ln() / hosts.ln()
    };
    println!("bytes a second of the busiest keeper: {bytes:?}");
    assert!(power(0, 1) <= power_max, "{bytes:?}");
    assert!(power(0, 2) <= power_max, "{bytes:?}");
}
