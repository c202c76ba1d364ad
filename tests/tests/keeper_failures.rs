//! Accepted contracts survive keeper kills, frozen leaders, lost disks and concurrent operators.

use agatehill_tests::{
    bed::{SETTLE_TIMEOUT, TestBed, ZONE},
    client::{TestResponse, eventually},
    process::ProcessGuard,
};
use nix::sys::signal::Signal;
use rstest::rstest;
use std::{fs, time::Duration};

/// Time for which a keeper is stopped; longer than all of its timeouts.
const FREEZE_DURATION: Duration = Duration::from_secs(10);

/// Keepers; the entry of one that is down is `None`.
struct KeeperSet {
    bed: TestBed,
    guards: Vec<Option<ProcessGuard>>,
}

impl KeeperSet {
    fn open(count: usize) -> KeeperSet {
        let bed = TestBed::open(&vec![ZONE; count]);
        let guards = bed.start_keepers().into_iter().map(Some).collect();
        KeeperSet { bed, guards }
    }

    fn running(&self) -> impl Iterator<Item = (usize, &ProcessGuard)> {
        let guards = self.guards.iter().enumerate();
        guards.filter_map(|(idx, guard)| Some((idx, guard.as_ref()?)))
    }

    async fn get(&self, idx: usize, path: &str) -> Option<TestResponse> {
        let addr = self.guards[idx].as_ref()?.addr("operator");
        self.bed.client.get(addr, path).await
    }

    async fn dump(&self, idx: usize) -> serde_json::Value {
        let response = self.get(idx, "/dump").await;
        response.map_or(serde_json::Value::Null, |response| response.json())
    }

    async fn put_at(&self, idx: usize, customer: &str, text: &str) -> Option<TestResponse> {
        let addr = self.guards[idx].as_ref()?.addr("operator");
        let path = format!("/contracts/{customer}");
        let request = self
            .bed
            .client
            .send("PUT", addr, &path, &[], text.to_owned());
        let timeout = Duration::from_secs(9);
        tokio::time::timeout(timeout, request).await.ok().flatten()
    }

    /// Puts `text` at one keeper after the other until a response has no server error.
    async fn put_until_final(&self, customer: &str, text: &str) -> TestResponse {
        let deadline = tokio::time::Instant::now() + SETTLE_TIMEOUT;
        while tokio::time::Instant::now() < deadline {
            for (idx, _) in self.running() {
                let response = self.put_at(idx, customer, text).await;
                if let Some(response) = response.filter(|a| !a.status.is_server_error()) {
                    return response;
                }
            }
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
        panic!("no final response within {SETTLE_TIMEOUT:?}");
    }

    /// Puts revision `revision` of `dansk` and checks that it is accepted.
    async fn put_accepted(&self, revision: u64) -> TestResponse {
        let response = self
            .put_until_final("dansk", &contract("dansk", revision, 1))
            .await;
        assert_eq!(response.status, 200, "{:?}", response.body);
        response
    }

    /// Waits for a leader of the contracts' group and returns its keeper.
    async fn wait_leader(&self) -> usize {
        let deadline = tokio::time::Instant::now() + SETTLE_TIMEOUT;
        while tokio::time::Instant::now() < deadline {
            for (idx, _) in self.running() {
                if self.dump(idx).await["replica"]["role"] == "leader" {
                    return idx;
                }
            }
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
        panic!("no leader within {SETTLE_TIMEOUT:?}");
    }

    fn kill(&mut self, idx: usize) {
        self.guards[idx] = None;
    }

    fn restart(&mut self, idx: usize) {
        self.guards[idx] = Some(self.bed.start_keeper(idx));
    }

    fn remove_data_dir(&self, idx: usize) {
        fs::remove_dir_all(&self.bed.keepers[idx].data_dir).unwrap();
    }

    /// Waits until every running keeper lists exactly the accepted revisions of `dansk`.
    async fn wait_revisions(&self, accepted: &[TestResponse]) {
        let expected = serde_json::Value::from_iter(accepted.iter().map(TestResponse::json));
        for (idx, _) in self.running() {
            eventually(
                "the keeper lists the accepted revisions",
                SETTLE_TIMEOUT,
                || async {
                    let response = self.get(idx, "/contracts/dansk/log").await;
                    response.is_some_and(|a| a.status == 200 && a.json() == expected)
                },
            )
            .await;
        }
    }

    /// Returns keeper `idx` with its incarnation, as keeper `observer` lists it among the voters.
    async fn voter(&self, observer: usize, idx: usize) -> Option<String> {
        let dump = self.dump(observer).await;
        let prefix = format!("keeper-{idx}/");
        let voters = dump["replica"]["voters"].as_array()?.clone();
        let mut names = voters.iter().filter_map(|v| v.as_str());
        names.find(|v| v.starts_with(&prefix)).map(str::to_owned)
    }
}

/// Returns whether every thread of the process is stopped.
fn is_stopped(pid: u32) -> bool {
    let tasks = fs::read_dir(format!("/proc/{pid}/task")).unwrap();
    let is_task_stopped = |task: fs::DirEntry| {
        let stat = fs::read_to_string(task.path().join("stat")).unwrap();
        // The state follows the command name, which is in parentheses.
        let state = stat.rsplit(") ").next();
        state.is_some_and(|state| state.starts_with('T'))
    };
    tasks.map_while(Result::ok).all(is_task_stopped)
}

fn contract(customer: &str, revision: u64, calls: u64) -> String {
    format!(
        "customer = \"{customer}\"\nrevision = {revision}\ncalls_per_second = {calls}\n\
         calls_in_flight = 100\nretries_per_request = 2\nremember_hours = 48\n"
    )
}

#[tokio::test(flavor = "multi_thread")]
async fn a_group_forms_only_when_all_keepers_are_running() {
    let bed = TestBed::open(&[ZONE; 3]);
    let guards = vec![Some(bed.start_keeper(0)), Some(bed.start_keeper(1)), None];
    let mut set = KeeperSet { bed, guards };
    tokio::time::sleep(Duration::from_secs(3)).await;
    let early = set.put_at(0, "dansk", &contract("dansk", 1, 1)).await;
    assert_eq!(early.unwrap().status, 503);
    set.restart(2);
    let responses = [set.put_accepted(1).await];
    set.wait_revisions(&responses).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn accepted_contracts_survive_kills_of_the_leader() {
    let mut set = KeeperSet::open(3);
    let mut responses = Vec::new();
    for _ in 0..3 {
        for _ in 0..20 {
            responses.push(set.put_accepted(responses.len() as u64 + 1).await);
        }
        let leader = set.wait_leader().await;
        set.kill(leader);
        for _ in 0..5 {
            responses.push(set.put_accepted(responses.len() as u64 + 1).await);
        }
        set.restart(leader);
    }
    set.wait_revisions(&responses).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_leader_that_resumes_after_all_timeouts_accepts_no_stale_change() {
    let set = KeeperSet::open(3);
    let mut responses = vec![set.put_accepted(1).await];
    let leader = set.wait_leader().await;
    let frozen = set.guards[leader].as_ref().unwrap();
    frozen.signal(Signal::SIGSTOP);
    // The threads stop one by one.
    eventually("all threads stop", SETTLE_TIMEOUT, || async {
        is_stopped(frozen.pid())
    })
    .await;
    // Reaches the frozen leader, which handles it before it learns of the new term.
    let rival = contract("dansk", 2, 2);
    let early = set.put_at(leader, "dansk", &rival);
    let work = async {
        let others: Vec<_> = set
            .running()
            .map(|(idx, _)| idx)
            .filter(|i| *i != leader)
            .collect();
        let text = contract("dansk", 2, 1);
        eventually("the other keepers accept", SETTLE_TIMEOUT, || async {
            let response = set.put_at(others[0], "dansk", &text).await;
            let rival_won = response
                .as_ref()
                .is_some_and(|response| response.status == 409);
            assert!(!rival_won, "the frozen leader accepted the rival contract");
            response.is_some_and(|response| response.status == 200)
        })
        .await;
        tokio::time::sleep(FREEZE_DURATION).await;
        frozen.signal(Signal::SIGCONT);
    };
    let (early, ()) = tokio::join!(early, work);
    assert!(early.is_none_or(|response| response.status != 200));
    assert_eq!(set.put_until_final("dansk", &rival).await.status, 409);
    responses.push(set.put_accepted(2).await);
    responses.push(set.put_accepted(3).await);
    set.wait_revisions(&responses).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn accepted_contracts_survive_two_disks_lost_in_turn() {
    let mut set = KeeperSet::open(3);
    let mut responses = Vec::new();
    for revision in 1..=30 {
        responses.push(set.put_accepted(revision).await);
    }
    let first = set.wait_leader().await;
    let second = (first + 1) % 3;
    let third = (first + 2) % 3;
    let old = set.voter(second, first).await;
    set.kill(first);
    set.remove_data_dir(first);
    set.restart(first);
    eventually(
        "the first lost disk is replaced as a voter",
        SETTLE_TIMEOUT,
        || async {
            let new = set.voter(second, first).await;
            new.is_some() && new != old
        },
    )
    .await;
    set.kill(second);
    set.remove_data_dir(second);
    for revision in 31..=35 {
        responses.push(set.put_accepted(revision).await);
    }
    set.wait_revisions(&responses).await;
    set.restart(second);
    let old = set.voter(third, second).await;
    eventually(
        "the second lost disk is replaced as a voter",
        SETTLE_TIMEOUT,
        || async {
            let new = set.voter(third, second).await;
            new.is_some() && new != old
        },
    )
    .await;
    set.wait_revisions(&responses).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn concurrent_operators_with_the_same_revision_get_one_winner() {
    let set = KeeperSet::open(3);
    for revision in 1..=20 {
        let texts: Vec<_> = (1..=6)
            .map(|calls| contract("dansk", revision, calls))
            .collect();
        let requests = texts.iter().enumerate().map(|(idx, text)| {
            let set = &set;
            async move {
                let early = set.put_at(idx % 3, "dansk", text).await;
                match early.filter(|response| !response.status.is_server_error()) {
                    Some(response) => response,
                    None => set.put_until_final("dansk", text).await,
                }
            }
        });
        let responses = futures_util::future::join_all(requests).await;
        let won: Vec<_> = responses.iter().filter(|a| a.status == 200).collect();
        assert_eq!(won.len(), 1, "revision {revision} must have one winner");
        for lost in responses.iter().filter(|a| a.status != 200) {
            assert_eq!(lost.status, 409);
            assert_eq!(lost.json()["accepted"], won[0].json());
        }
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_resend_gets_the_first_response_after_snapshots_and_restarts() {
    let mut set = KeeperSet::open(3);
    let first = set.put_accepted(1).await;
    let customers: Vec<_> = (0..6).map(|n| format!("customer-{n}")).collect();
    let changes = customers.iter().map(|customer| {
        let set = &set;
        async move {
            for revision in 1..=150 {
                let response = set
                    .put_until_final(customer, &contract(customer, revision, 1))
                    .await;
                assert_eq!(response.status, 200);
            }
        }
    });
    futures_util::future::join_all(changes).await;
    assert!(set.dump(0).await["replica"]["snapshot"].as_u64() > Some(1));
    for idx in 0..3 {
        set.kill(idx);
    }
    for idx in 0..3 {
        set.restart(idx);
    }
    assert_eq!(set.put_accepted(1).await.body, first.body);
    let other = set.put_until_final("dansk", &contract("dansk", 1, 9)).await;
    assert_eq!(
        (other.status.as_u16(), &other.json()["accepted"]),
        (409, &first.json())
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn a_leader_transfers_leadership_on_sigterm() {
    let mut set = KeeperSet::open(3);
    let mut responses = vec![set.put_accepted(1).await];
    for revision in 2..=4 {
        let leader = set.wait_leader().await;
        let guard = set.guards[leader].as_mut().unwrap();
        guard.signal(Signal::SIGTERM);
        let status = guard
            .wait_exit(SETTLE_TIMEOUT)
            .expect("the keeper exits in time");
        assert_eq!(status.code(), Some(0));
        set.kill(leader);
        let start = std::time::Instant::now();
        set.wait_leader().await;
        println!("new leader {:?} after the stop", start.elapsed());
        responses.push(set.put_accepted(revision).await);
        set.restart(leader);
    }
    set.wait_revisions(&responses).await;
}

#[rstest]
#[case::log("log")]
#[case::snapshot("snapshot")]
#[tokio::test(flavor = "multi_thread")]
async fn a_keeper_with_a_damaged_file_does_not_start(#[case] file: &str) {
    let mut set = KeeperSet::open(1);
    set.put_accepted(1).await;
    set.kill(0);
    let path = set.bed.keepers[0].data_dir.join("group-0").join(file);
    let mut bytes = fs::read(&path).unwrap();
    let middle = bytes.len() / 2;
    bytes[middle] ^= 1;
    fs::write(&path, bytes).unwrap();
    let settings = &set.bed.keepers[0].settings;
    let args = ["serve".as_ref(), settings.as_os_str()];
    let mut guard = ProcessGuard::start("agatehill-keeper", &args);
    let status = guard
        .wait_exit(SETTLE_TIMEOUT)
        .expect("the keeper exits in time");
    assert!(!status.success());
}

#[tokio::test(flavor = "multi_thread")]
async fn a_keeper_exits_with_code_0_on_sigterm() {
    let mut set = KeeperSet::open(1);
    set.put_accepted(1).await;
    let guard = set.guards[0].as_mut().unwrap();
    guard.signal(Signal::SIGTERM);
    let status = guard
        .wait_exit(SETTLE_TIMEOUT)
        .expect("the keeper exits in time");
    assert_eq!(status.code(), Some(0));
}
