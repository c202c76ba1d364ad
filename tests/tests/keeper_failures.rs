//! Keepers under kills, freezes, lost disks and racing operators, over real processes.

use agatehill_tests::{
    bed::{SETTLE_TIMEOUT, TestBed, ZONE},
    client::{TestResponse, eventually},
    process::ProcessGuard,
};
use nix::sys::signal::Signal;
use rstest::rstest;
use std::{fs, time::Duration};

/// Longer than every timeout of a keeper.
const FREEZE_SPAN: Duration = Duration::from_secs(10);

/// Keepers of which some are down.
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

    fn up(&self) -> impl Iterator<Item = (usize, &ProcessGuard)> {
        let guards = self.guards.iter().enumerate();
        guards.filter_map(|(idx, guard)| Some((idx, guard.as_ref()?)))
    }

    async fn get(&self, idx: usize, path: &str) -> Option<TestResponse> {
        let addr = self.guards[idx].as_ref()?.addr("operator");
        self.bed.client.get(addr, path).await
    }

    async fn dump(&self, idx: usize) -> serde_json::Value {
        let answer = self.get(idx, "/dump").await;
        answer.map_or(serde_json::Value::Null, |answer| answer.json())
    }

    async fn put_at(&self, idx: usize, customer: &str, text: &str) -> Option<TestResponse> {
        let addr = self.guards[idx].as_ref()?.addr("operator");
        let path = format!("/contracts/{customer}");
        let sent = self
            .bed
            .client
            .send("PUT", addr, &path, &[], text.to_owned());
        let limit = Duration::from_secs(9);
        tokio::time::timeout(limit, sent).await.ok().flatten()
    }

    /// Puts `text` at one keeper after the other until the answer is final.
    async fn put(&self, customer: &str, text: &str) -> TestResponse {
        let end = tokio::time::Instant::now() + SETTLE_TIMEOUT;
        while tokio::time::Instant::now() < end {
            for (idx, _) in self.up() {
                let answer = self.put_at(idx, customer, text).await;
                if let Some(answer) = answer.filter(|a| !a.status.is_server_error()) {
                    return answer;
                }
            }
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
        panic!("no final answer within {SETTLE_TIMEOUT:?}");
    }

    async fn accept(&self, revision: u64) -> TestResponse {
        let answer = self.put("dansk", &contract("dansk", revision, 1)).await;
        assert_eq!(answer.status, 200, "{:?}", answer.body);
        answer
    }

    /// Returns the keeper that leads the contracts, when one does.
    async fn leader(&self) -> usize {
        let end = tokio::time::Instant::now() + SETTLE_TIMEOUT;
        while tokio::time::Instant::now() < end {
            for (idx, _) in self.up() {
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

    fn remove_data(&self, idx: usize) {
        fs::remove_dir_all(&self.bed.keepers[idx].data_dir).unwrap();
    }

    /// Waits until every keeper that is up lists exactly the accepted revisions of `dansk`.
    async fn check_logs(&self, answers: &[TestResponse]) {
        let wanted = serde_json::Value::from_iter(answers.iter().map(TestResponse::json));
        for (idx, _) in self.up() {
            eventually(
                "the keeper lists what was accepted",
                SETTLE_TIMEOUT,
                || async {
                    let answer = self.get(idx, "/contracts/dansk/log").await;
                    answer.is_some_and(|a| a.status == 200 && a.json() == wanted)
                },
            )
            .await;
        }
    }

    /// Returns the incarnation of voter `idx` in the contracts' configuration at `at`.
    async fn voter(&self, at: usize, idx: usize) -> Option<String> {
        let dump = self.dump(at).await;
        let prefix = format!("keeper-{idx}/");
        let voters = dump["replica"]["voters"].as_array()?.clone();
        let mut names = voters.iter().filter_map(|v| v.as_str());
        names.find(|v| v.starts_with(&prefix)).map(str::to_owned)
    }
}

/// Whether every thread of the process is stopped.
fn is_frozen(pid: u32) -> bool {
    let tasks = fs::read_dir(format!("/proc/{pid}/task")).unwrap();
    let is_stopped = |task: fs::DirEntry| {
        let stat = fs::read_to_string(task.path().join("stat")).unwrap();
        // The state follows the command's name in parentheses.
        let state = stat.rsplit(") ").next();
        state.is_some_and(|state| state.starts_with('T'))
    };
    tasks.map_while(Result::ok).all(is_stopped)
}

fn contract(customer: &str, revision: u64, calls: u64) -> String {
    format!(
        "customer = \"{customer}\"\nrevision = {revision}\ncalls_per_second = {calls}\n\
         calls_in_flight = 100\nretries_per_request = 2\nremember_hours = 48\n"
    )
}

#[tokio::test(flavor = "multi_thread")]
async fn a_group_forms_only_when_all_keepers_are_present() {
    let bed = TestBed::open(&[ZONE; 3]);
    let guards = vec![Some(bed.start_keeper(0)), Some(bed.start_keeper(1)), None];
    let mut set = KeeperSet { bed, guards };
    tokio::time::sleep(Duration::from_secs(3)).await;
    let early = set.put_at(0, "dansk", &contract("dansk", 1, 1)).await;
    assert_eq!(early.unwrap().status, 503);
    set.restart(2);
    let answers = [set.accept(1).await];
    set.check_logs(&answers).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn kills_of_the_leader_lose_nothing() {
    let mut set = KeeperSet::open(3);
    let mut answers = Vec::new();
    for _ in 0..3 {
        for _ in 0..20 {
            answers.push(set.accept(answers.len() as u64 + 1).await);
        }
        let leader = set.leader().await;
        set.kill(leader);
        for _ in 0..5 {
            answers.push(set.accept(answers.len() as u64 + 1).await);
        }
        set.restart(leader);
    }
    set.check_logs(&answers).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_leader_frozen_longer_than_every_timeout_accepts_nothing_old() {
    let set = KeeperSet::open(3);
    let mut answers = vec![set.accept(1).await];
    let leader = set.leader().await;
    let frozen = set.guards[leader].as_ref().unwrap();
    frozen.signal(Signal::SIGSTOP);
    // Its threads stop one by one.
    eventually("all threads stop", SETTLE_TIMEOUT, || async {
        is_frozen(frozen.pid())
    })
    .await;
    // Reaches the frozen leader before it knows that it leads no more.
    let rival = contract("dansk", 2, 2);
    let early = set.put_at(leader, "dansk", &rival);
    let work = async {
        let others: Vec<_> = set
            .up()
            .map(|(idx, _)| idx)
            .filter(|i| *i != leader)
            .collect();
        let text = contract("dansk", 2, 1);
        eventually("the others accept", SETTLE_TIMEOUT, || async {
            let answer = set.put_at(others[0], "dansk", &text).await;
            let rival_won = answer.as_ref().is_some_and(|answer| answer.status == 409);
            assert!(!rival_won, "the frozen leader accepted the rival");
            answer.is_some_and(|answer| answer.status == 200)
        })
        .await;
        tokio::time::sleep(FREEZE_SPAN).await;
        frozen.signal(Signal::SIGCONT);
    };
    let (early, ()) = tokio::join!(early, work);
    assert!(early.is_none_or(|answer| answer.status != 200));
    assert_eq!(set.put("dansk", &rival).await.status, 409);
    answers.push(set.accept(2).await);
    answers.push(set.accept(3).await);
    set.check_logs(&answers).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_second_disk_lost_right_after_the_repair_loses_nothing() {
    let mut set = KeeperSet::open(3);
    let mut answers = Vec::new();
    for revision in 1..=30 {
        answers.push(set.accept(revision).await);
    }
    let first = set.leader().await;
    let second = (first + 1) % 3;
    let third = (first + 2) % 3;
    let old = set.voter(second, first).await;
    set.kill(first);
    set.remove_data(first);
    set.restart(first);
    eventually(
        "the voters replace the lost disk",
        SETTLE_TIMEOUT,
        || async {
            let new = set.voter(second, first).await;
            new.is_some() && new != old
        },
    )
    .await;
    set.kill(second);
    set.remove_data(second);
    for revision in 31..=35 {
        answers.push(set.accept(revision).await);
    }
    set.check_logs(&answers).await;
    set.restart(second);
    let old = set.voter(third, second).await;
    eventually("the voters replace the second", SETTLE_TIMEOUT, || async {
        let new = set.voter(third, second).await;
        new.is_some() && new != old
    })
    .await;
    set.check_logs(&answers).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn operators_racing_with_equal_revisions_get_one_winner() {
    let set = KeeperSet::open(3);
    for revision in 1..=20 {
        let texts: Vec<_> = (1..=6)
            .map(|calls| contract("dansk", revision, calls))
            .collect();
        let race = texts.iter().enumerate().map(|(idx, text)| {
            let set = &set;
            async move {
                let early = set.put_at(idx % 3, "dansk", text).await;
                match early.filter(|answer| !answer.status.is_server_error()) {
                    Some(answer) => answer,
                    None => set.put("dansk", text).await,
                }
            }
        });
        let answers = futures_util::future::join_all(race).await;
        let won: Vec<_> = answers.iter().filter(|a| a.status == 200).collect();
        assert_eq!(won.len(), 1, "revision {revision} has one winner");
        for lost in answers.iter().filter(|a| a.status != 200) {
            assert_eq!(lost.status, 409);
            assert_eq!(lost.json()["accepted"], won[0].json());
        }
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_resend_gets_the_first_answer_after_hundreds_of_changes_and_restarts() {
    let mut set = KeeperSet::open(3);
    let first = set.accept(1).await;
    let customers: Vec<_> = (0..6).map(|n| format!("customer-{n}")).collect();
    let changes = customers.iter().map(|customer| {
        let set = &set;
        async move {
            for revision in 1..=150 {
                let answer = set.put(customer, &contract(customer, revision, 1)).await;
                assert_eq!(answer.status, 200);
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
    assert_eq!(set.accept(1).await.body, first.body);
    let other = set.put("dansk", &contract("dansk", 1, 9)).await;
    assert_eq!(
        (other.status.as_u16(), &other.json()["accepted"]),
        (409, &first.json())
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn a_leader_that_is_told_to_stop_hands_over() {
    let mut set = KeeperSet::open(3);
    let mut answers = vec![set.accept(1).await];
    for revision in 2..=4 {
        let leader = set.leader().await;
        let guard = set.guards[leader].as_mut().unwrap();
        guard.signal(Signal::SIGTERM);
        let status = guard.wait_exit(SETTLE_TIMEOUT).expect("it ends by itself");
        assert_eq!(status.code(), Some(0));
        set.kill(leader);
        let start = std::time::Instant::now();
        set.leader().await;
        println!("a leader {:?} after the stop", start.elapsed());
        answers.push(set.accept(revision).await);
        set.restart(leader);
    }
    set.check_logs(&answers).await;
}

#[rstest]
#[case::log("log")]
#[case::snapshot("snapshot")]
#[tokio::test(flavor = "multi_thread")]
async fn a_keeper_with_a_damaged_file_does_not_start(#[case] file: &str) {
    let mut set = KeeperSet::open(1);
    set.accept(1).await;
    set.kill(0);
    let path = set.bed.keepers[0].data_dir.join("group-0").join(file);
    let mut bytes = fs::read(&path).unwrap();
    let middle = bytes.len() / 2;
    bytes[middle] ^= 1;
    fs::write(&path, bytes).unwrap();
    let settings = &set.bed.keepers[0].settings;
    let args = ["serve".as_ref(), settings.as_os_str()];
    let mut guard = ProcessGuard::start("agatehill-keeper", &args);
    let status = guard.wait_exit(SETTLE_TIMEOUT).expect("it ends by itself");
    assert!(!status.success());
}

#[tokio::test(flavor = "multi_thread")]
async fn a_keeper_that_is_told_to_stop_exits_cleanly() {
    let mut set = KeeperSet::open(1);
    set.accept(1).await;
    let guard = set.guards[0].as_mut().unwrap();
    guard.signal(Signal::SIGTERM);
    let status = guard.wait_exit(SETTLE_TIMEOUT).expect("it ends by itself");
    assert_eq!(status.code(), Some(0));
}
