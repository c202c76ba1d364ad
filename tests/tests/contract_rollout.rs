//! An accepted contract comes into force at every daemon, and a restarted daemon doesn't return to
//! an older revision.

use agatehill_tests::{
    bed::{SETTLE_TIMEOUT, TestBed, TestZone, ZONE},
    client::{TestClient, eventually},
    process::ProcessGuard,
};
use std::time::Instant;

const OTHER_ZONE: TestZone = TestZone {
    region: "oest",
    zone: "ringsted-1",
};
const THIRD_ZONE: TestZone = TestZone {
    region: "midt",
    zone: "nyborg-1",
};

fn contract(revision: u64) -> String {
    format!(
        "customer = \"dansk\"\nrevision = {revision}\ncalls_per_second = 4000\n\
         calls_in_flight = 1200\nretries_per_request = 2\nremember_hours = 48\n"
    )
}

/// Returns the revision in force at `daemon`, or 0 if there is none.
async fn revision_in_force(client: &TestClient, daemon: &ProcessGuard) -> u64 {
    let dump = client.get(daemon.addr("operator"), "/dump").await;
    dump.and_then(|dump| dump.json()["contracts"][0]["revision"].as_u64())
        .unwrap_or(0)
}

/// Waits until revision `expected` is in force at all `daemons`.
async fn wait_in_force(bed: &TestBed, daemons: &[ProcessGuard], expected: u64) {
    eventually(
        "the contract is in force at all daemons",
        SETTLE_TIMEOUT,
        || async {
            for daemon in daemons {
                if revision_in_force(&bed.client, daemon).await != expected {
                    return false;
                }
            }
            true
        },
    )
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn an_accepted_contract_comes_into_force_at_every_daemon() {
    let mut bed = TestBed::open(&[ZONE, OTHER_ZONE, THIRD_ZONE]);
    let keepers = bed.start_keepers();
    bed.put_contract(keepers[0].addr("operator"), "dansk", &contract(1))
        .await;
    let mut daemons = Vec::new();
    for zone in [ZONE, ZONE, OTHER_ZONE, OTHER_ZONE, THIRD_ZONE, THIRD_ZONE] {
        let spec = bed.add_daemon(zone);
        daemons.push(bed.start_daemon(&spec));
    }
    wait_in_force(&bed, &daemons, 1).await;
    for revision in 2..8 {
        let keeper = &keepers[usize::try_from(revision % 3).expect("a remainder of 3")];
        bed.put_contract(keeper.addr("operator"), "dansk", &contract(revision))
            .await;
        let accepted = Instant::now();
        wait_in_force(&bed, &daemons, revision).await;
        println!(
            "revision {revision} in force at all daemons after {:?}",
            accepted.elapsed()
        );
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_daemon_restarted_without_keepers_takes_contracts_from_its_zone() {
    let mut bed = TestBed::open(&[ZONE]);
    let keepers = bed.start_keepers();
    bed.put_contract(keepers[0].addr("operator"), "dansk", &contract(1))
        .await;
    let (seed, other) = (bed.add_daemon(ZONE), bed.add_daemon(ZONE));
    let daemons = [bed.start_daemon(&seed)];
    let mut restarted = bed.start_daemon(&other);
    bed.put_contract(keepers[0].addr("operator"), "dansk", &contract(2))
        .await;
    wait_in_force(&bed, &daemons, 2).await;

    drop(keepers);
    restarted.kill();
    let restarted = bed.start_daemon(&other);
    assert_eq!(revision_in_force(&bed.client, &restarted).await, 2);
}
