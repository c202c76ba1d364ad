//! The feed of contracts while its keeper is frozen or has no quorum.

use agatehill_peer::keeper_client::KeeperClient;
use agatehill_tests::{
    bed::{SETTLE_TIMEOUT, TestBed, ZONE},
    client::eventually,
    process::ProcessGuard,
    stopped_thread::StoppedThread,
};
use nix::sys::signal::Signal;
use std::time::Duration;

/// Longest wait of the keeper for a change, sent with each feed request.
const FEED_WAIT: Duration = Duration::from_secs(1);
/// Thread of a keeper that writes contracts to disk.
const CONTRACT_THREAD: &str = "group-0";

fn contract(revision: u64) -> String {
    format!(
        "customer = \"dansk\"\nrevision = {revision}\ncalls_per_second = 1\n\
         calls_in_flight = 100\nretries_per_request = 2\nremember_hours = 48\n"
    )
}

async fn open() -> (TestBed, Vec<ProcessGuard>, KeeperClient) {
    let bed = TestBed::open(&[ZONE; 3]);
    let guards = bed.start_keepers();
    let addr = guards[1].addr("operator");
    bed.put_contract(addr, "dansk", &contract(1)).await;
    let peers = bed.keepers.iter().map(|keeper| keeper.peer).collect();
    (bed, guards, KeeperClient::open(peers))
}

/// Polls the feed from position `after` until it has `revision`; returns that page's position.
async fn wait_fed(client: &KeeperClient, after: u64, revision: u64) -> u64 {
    let deadline = tokio::time::Instant::now() + SETTLE_TIMEOUT;
    while tokio::time::Instant::now() < deadline {
        let Ok(page) = client.feed(after, FEED_WAIT).await else {
            continue;
        };
        if page.contracts.iter().any(|text| text.revision == revision) {
            return page.position;
        }
    }
    panic!("revision {revision} not in the feed within {SETTLE_TIMEOUT:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_feed_switches_from_a_frozen_keeper_to_another() {
    let (bed, guards, client) = open().await;
    let position = wait_fed(&client, 0, 1).await;
    guards[0].signal(Signal::SIGSTOP);
    let addr = guards[1].addr("operator");
    bed.put_contract(addr, "dansk", &contract(2)).await;
    let start = std::time::Instant::now();
    let newer = wait_fed(&client, position, 2).await;
    println!(
        "feed current {:?} after the change was accepted",
        start.elapsed()
    );
    assert!(newer > position);
}

/// Daemons stayed at an old contract for as long as the disk of the keeper that they ask hung.
#[tokio::test(flavor = "multi_thread")]
async fn a_feed_switches_from_a_keeper_whose_disk_hangs_to_another() {
    let (bed, guards, client) = open().await;
    let position = wait_fed(&client, 0, 1).await;
    let _stopped = StoppedThread::stop(guards[0].pid(), CONTRACT_THREAD);
    let addr = guards[1].addr("operator");
    bed.put_contract(addr, "dansk", &contract(2)).await;
    let newer = wait_fed(&client, position, 2).await;
    assert!(newer > position);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_keeper_without_quorum_reports_that_it_is_not_current() {
    let (bed, guards, client) = open().await;
    let position = wait_fed(&client, 0, 1).await;
    let addr = guards[0].addr("operator");
    let others = &guards[1..];
    others
        .iter()
        .for_each(|other| other.signal(Signal::SIGSTOP));
    eventually("the feed is not current", SETTLE_TIMEOUT, || async {
        let page = client.feed(position, FEED_WAIT).await;
        page.is_ok_and(|page| !page.current && page.position == position)
    })
    .await;
    let get = bed.client.get(addr, "/contracts/dansk").await.unwrap();
    assert_eq!(get.status, 503);
    others
        .iter()
        .for_each(|other| other.signal(Signal::SIGCONT));
    eventually("the keeper is current again", SETTLE_TIMEOUT, || async {
        let get = bed.client.get(addr, "/contracts/dansk").await;
        get.is_some_and(|response| response.status == 200)
    })
    .await;
}
