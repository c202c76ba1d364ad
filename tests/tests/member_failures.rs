//! Membership over real processes: killed, stopped and frozen daemons, and a zone that falls silent.

use agatehill_tests::{
    bed::{CERTIFICATE_CONTRACT, SETTLE_TIMEOUT, TestBed, TestZone, ZONE},
    client::eventually,
    process::ProcessGuard,
};
use nix::sys::signal::Signal;
use std::{collections::BTreeSet, time::Duration};

const OTHER_ZONE: TestZone = TestZone {
    region: "vest",
    zone: "esbjerg-2",
};
/// Time after which a leaving server takes no new work.
const LEAVE_LIMIT: Duration = Duration::from_secs(3);
/// Time for which a frozen daemon stands still.
const FREEZE_SPAN: Duration = Duration::from_secs(10);
const CALLS: usize = 100;
const NONE: [&str; 0] = [];

/// A daemon with a stand-in backend server beside it.
struct TestHost {
    daemon: ProcessGuard,
    backend: ProcessGuard,
    name: String,
}

struct TestInstallation {
    bed: TestBed,
    hosts: Vec<TestHost>,
    _keepers: Vec<ProcessGuard>,
}

impl TestInstallation {
    /// Starts a host in each of `zones` and waits until every daemon knows all servers of its zone.
    async fn start(zones: &[TestZone], more: &[&str]) -> TestInstallation {
        let mut bed = TestBed::open(&[ZONE]);
        let keepers = bed.start_keepers();
        let operator = keepers[0].addr("operator");
        bed.put_contract(operator, "dansk", CERTIFICATE_CONTRACT)
            .await;
        let mut hosts = Vec::new();
        for zone in zones {
            let spec = bed.add_daemon(*zone);
            let daemon = bed.start_daemon(&spec);
            let backend = bed.start_backend(&daemon, "techreg", more);
            let name = spec.name;
            hosts.push(TestHost {
                daemon,
                backend,
                name,
            });
        }
        let installation = TestInstallation {
            bed,
            hosts,
            _keepers: keepers,
        };
        for (idx, zone) in zones.iter().enumerate() {
            let same = (0..zones.len()).filter(|other| zones[*other].zone == zone.zone);
            let expected = same.collect::<Vec<_>>();
            installation.wait_offered(idx, zone.zone, &expected).await;
        }
        installation
    }

    /// The daemons of `zone` whose servers the daemon `idx` would send a call to.
    async fn offered(&self, idx: usize, zone: &str) -> Option<BTreeSet<String>> {
        let operator = self.hosts[idx].daemon.addr("operator");
        let dump = self.bed.client.get(operator, "/dump").await?.json();
        let routes = dump["routes"].as_array()?.iter();
        let serving = routes
            .filter(|route| route["state"] == "serving" && route["availability_zone"] == zone);
        let names = serving.map(|route| route["daemon"].as_str().unwrap_or("").to_owned());
        Some(names.collect())
    }

    async fn wait_offered(&self, idx: usize, zone: &str, expected: &[usize]) {
        let names = expected.iter().map(|idx| self.hosts[*idx].name.clone());
        let expected: BTreeSet<String> = names.collect();
        let what = format!("daemon {idx} offers {expected:?} in {zone}");
        eventually(&what, SETTLE_TIMEOUT, || async {
            self.offered(idx, zone).await.as_ref() == Some(&expected)
        })
        .await;
    }

    /// Makes calls at the daemon `idx` and returns what was answered with other than 200.
    async fn failures(&self, idx: usize) -> Vec<String> {
        let addr = self.hosts[idx].daemon.addr("caller");
        let mut failures = Vec::new();
        for number in 0..CALLS {
            let path = format!("/call/techreg/certificates/{number}");
            let headers = [("agatehill-customer", "dansk")];
            match self.bed.client.send("GET", addr, &path, &headers, "").await {
                Some(answer) if answer.status == 200 => {}
                Some(answer) => failures.push(String::from_utf8_lossy(&answer.body).into_owned()),
                None => failures.push("no answer".to_owned()),
            }
        }
        failures
    }

    /// Requests that the backend server of host `idx` has started.
    async fn started(&self, idx: usize) -> u64 {
        let addr = self.hosts[idx].backend.addr("address");
        let runs = self.bed.client.get(addr, "/_runs").await.expect("the runs");
        runs.json()["started"].as_u64().expect("a number")
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_killed_daemon_costs_no_call_and_gets_no_more_work() {
    let mut installation = TestInstallation::start(&[ZONE; 3], &[]).await;
    assert_eq!(installation.failures(0).await, NONE);
    assert!(installation.started(2).await > 0);
    installation.hosts[2].daemon.kill();
    assert_eq!(installation.failures(0).await, NONE);
    installation.wait_offered(0, ZONE.zone, &[0, 1]).await;
    installation.wait_offered(1, ZONE.zone, &[0, 1]).await;
    let before = installation.started(2).await;
    assert_eq!(installation.failures(0).await, NONE);
    assert_eq!(installation.started(2).await, before);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_stopped_daemon_gets_no_new_work_and_cuts_off_nothing() {
    let mut installation = TestInstallation::start(&[ZONE; 3], &["--service-ms", "20"]).await;
    installation.hosts[2].daemon.signal(Signal::SIGTERM);
    assert_eq!(installation.failures(0).await, NONE);
    tokio::time::sleep(LEAVE_LIMIT).await;
    let before = installation.started(2).await;
    assert_eq!(installation.failures(0).await, NONE);
    assert_eq!(installation.started(2).await, before);
    let exit = installation.hosts[2].daemon.wait_exit(SETTLE_TIMEOUT);
    assert_eq!(exit.and_then(|status| status.code()), Some(0));
}

#[tokio::test(flavor = "multi_thread")]
async fn a_frozen_daemon_is_left_out_and_comes_back() {
    let installation = TestInstallation::start(&[ZONE; 3], &[]).await;
    installation.hosts[2].daemon.signal(Signal::SIGSTOP);
    installation.wait_offered(0, ZONE.zone, &[0, 1]).await;
    let failures = installation.failures(0).await;
    tokio::time::sleep(FREEZE_SPAN).await;
    let offered = installation.offered(0, ZONE.zone).await.expect("a dump");
    installation.hosts[2].daemon.signal(Signal::SIGCONT);
    assert_eq!(failures, NONE);
    assert!(!offered.contains(&installation.hosts[2].name));
    for idx in 0..3 {
        installation.wait_offered(idx, ZONE.zone, &[0, 1, 2]).await;
    }
    assert_eq!(installation.failures(2).await, NONE);
}

/// A zone whose daemons all stand still is to the others what a zone behind a silent cut is.
#[tokio::test(flavor = "multi_thread")]
async fn a_silent_zone_is_left_out_and_comes_back() {
    // The first two are everybody's seeds: one in each zone.
    let zones = [ZONE, OTHER_ZONE, ZONE, OTHER_ZONE];
    let installation = TestInstallation::start(&zones, &[]).await;
    for idx in [0, 2] {
        installation
            .wait_offered(idx, OTHER_ZONE.zone, &[1, 3])
            .await;
    }
    for idx in [1, 3] {
        installation.wait_offered(idx, ZONE.zone, &[0, 2]).await;
        installation.hosts[idx].daemon.signal(Signal::SIGSTOP);
    }
    assert_eq!(installation.failures(0).await, NONE);
    for idx in [0, 2] {
        installation.wait_offered(idx, OTHER_ZONE.zone, &[]).await;
    }
    assert_eq!(installation.failures(2).await, NONE);
    for idx in [1, 3] {
        installation.hosts[idx].daemon.signal(Signal::SIGCONT);
    }
    for idx in [0, 2] {
        installation
            .wait_offered(idx, OTHER_ZONE.zone, &[1, 3])
            .await;
    }
    for idx in [1, 3] {
        installation.wait_offered(idx, ZONE.zone, &[0, 2]).await;
        installation
            .wait_offered(idx, OTHER_ZONE.zone, &[1, 3])
            .await;
    }
    // A zone without a server of the service is served by the other one.
    let mut installation = installation;
    for idx in [0, 2] {
        installation.hosts[idx].backend.kill();
    }
    for idx in [0, 2] {
        installation.wait_offered(idx, ZONE.zone, &[]).await;
    }
    assert_eq!(installation.failures(0).await, NONE);
}
