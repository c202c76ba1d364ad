//! Membership over processes: killed, stopped and frozen daemons, and a zone that stops responding.

use agatehill_tests::{
    bed::{SETTLE_TIMEOUT, TestBed, TestZone, ZONE},
    client::eventually,
    contract::certificate_contract,
    process::ProcessGuard,
};
use nix::sys::signal::Signal;
use std::{collections::BTreeSet, time::Duration};

const OTHER_ZONE: TestZone = TestZone {
    region: "vest",
    zone: "esbjerg-2",
};
/// Time after which a leaving server must get no new work.
const LEAVE_LIMIT: Duration = Duration::from_secs(3);
/// Time for which a daemon is frozen.
const FREEZE_TIME: Duration = Duration::from_secs(10);
const CALLS: usize = 100;
const NONE: [&str; 0] = [];

/// A daemon and a stand-in backend server on the same host.
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
    /// Starts one host per entry of `zones` and waits until every daemon can route to all servers
    /// of its zone.
    async fn start(zones: &[TestZone], backend_args: &[&str]) -> TestInstallation {
        let mut bed = TestBed::open(&[ZONE]);
        let keepers = bed.start_keepers();
        let operator = keepers[0].addr("operator");
        bed.put_contract(operator, "dansk", &certificate_contract())
            .await;
        let mut hosts = Vec::new();
        for zone in zones {
            let spec = bed.add_daemon(*zone);
            let daemon = bed.start_daemon(&spec);
            let backend = bed.start_backend(&daemon, "techreg", backend_args);
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
            installation.wait_routable(idx, zone.zone, &expected).await;
        }
        installation
    }

    /// Returns the daemons of `zone` whose servers daemon `idx` would route calls to.
    async fn routable(&self, idx: usize, zone: &str) -> Option<BTreeSet<String>> {
        let operator = self.hosts[idx].daemon.addr("operator");
        let dump = self.bed.client.get(operator, "/dump").await?.json();
        let routes = dump["routes"].as_array()?.iter();
        let serving = routes
            .filter(|route| route["state"] == "serving" && route["availability_zone"] == zone);
        let names = serving.map(|route| route["daemon"].as_str().unwrap_or("").to_owned());
        Some(names.collect())
    }

    async fn wait_routable(&self, idx: usize, zone: &str, expected: &[usize]) {
        let names = expected.iter().map(|idx| self.hosts[*idx].name.clone());
        let expected: BTreeSet<String> = names.collect();
        let what = format!("daemon {idx} routes to {expected:?} in {zone}");
        eventually(&what, SETTLE_TIMEOUT, || async {
            self.routable(idx, zone).await.as_ref() == Some(&expected)
        })
        .await;
    }

    /// Makes calls at daemon `idx` and returns the bodies of all responses other than 200.
    async fn failures(&self, idx: usize) -> Vec<String> {
        let addr = self.hosts[idx].daemon.addr("caller");
        let mut failures = Vec::new();
        for number in 0..CALLS {
            let path = format!("/call/techreg/certificates/{number}");
            let headers = [("agatehill-customer", "dansk")];
            match self.bed.client.send("GET", addr, &path, &headers, "").await {
                Some(answer) if answer.status == 200 => {}
                Some(answer) => failures.push(String::from_utf8_lossy(&answer.body).into_owned()),
                None => failures.push("no response".to_owned()),
            }
        }
        failures
    }

    /// Returns the number of requests that the backend server of host `idx` has started.
    async fn started(&self, idx: usize) -> u64 {
        let addr = self.hosts[idx].backend.addr("address");
        let runs = self
            .bed
            .client
            .get(addr, "/_runs")
            .await
            .expect("the backend answers /_runs");
        runs.json()["started"]
            .as_u64()
            .expect("started is a number")
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn killed_daemon_fails_no_call_and_gets_no_more_work() {
    let mut installation = TestInstallation::start(&[ZONE; 3], &[]).await;
    assert_eq!(installation.failures(0).await, NONE);
    assert!(installation.started(2).await > 0);
    installation.hosts[2].daemon.kill();
    assert_eq!(installation.failures(0).await, NONE);
    installation.wait_routable(0, ZONE.zone, &[0, 1]).await;
    installation.wait_routable(1, ZONE.zone, &[0, 1]).await;
    let before = installation.started(2).await;
    assert_eq!(installation.failures(0).await, NONE);
    assert_eq!(installation.started(2).await, before);
}

#[tokio::test(flavor = "multi_thread")]
async fn stopped_daemon_gets_no_new_work_and_aborts_no_call() {
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
async fn frozen_daemon_is_not_routable_until_it_resumes() {
    let installation = TestInstallation::start(&[ZONE; 3], &[]).await;
    installation.hosts[2].daemon.signal(Signal::SIGSTOP);
    installation.wait_routable(0, ZONE.zone, &[0, 1]).await;
    let failures = installation.failures(0).await;
    tokio::time::sleep(FREEZE_TIME).await;
    let routable = installation
        .routable(0, ZONE.zone)
        .await
        .expect("the daemon answers /dump");
    installation.hosts[2].daemon.signal(Signal::SIGCONT);
    assert_eq!(failures, NONE);
    assert!(!routable.contains(&installation.hosts[2].name));
    for idx in 0..3 {
        installation.wait_routable(idx, ZONE.zone, &[0, 1, 2]).await;
    }
    assert_eq!(installation.failures(2).await, NONE);
}

/// To other zones, a zone whose daemons are all frozen looks like one behind a partition that drops
/// packets.
#[tokio::test(flavor = "multi_thread")]
async fn unresponsive_zone_is_not_routable_until_it_resumes() {
    // The first two hosts, one in each zone, are the seeds of all.
    let zones = [ZONE, OTHER_ZONE, ZONE, OTHER_ZONE];
    let installation = TestInstallation::start(&zones, &[]).await;
    for idx in [0, 2] {
        installation
            .wait_routable(idx, OTHER_ZONE.zone, &[1, 3])
            .await;
    }
    for idx in [1, 3] {
        installation.wait_routable(idx, ZONE.zone, &[0, 2]).await;
        installation.hosts[idx].daemon.signal(Signal::SIGSTOP);
    }
    assert_eq!(installation.failures(0).await, NONE);
    for idx in [0, 2] {
        installation.wait_routable(idx, OTHER_ZONE.zone, &[]).await;
    }
    assert_eq!(installation.failures(2).await, NONE);
    for idx in [1, 3] {
        installation.hosts[idx].daemon.signal(Signal::SIGCONT);
    }
    for idx in [0, 2] {
        installation
            .wait_routable(idx, OTHER_ZONE.zone, &[1, 3])
            .await;
    }
    for idx in [1, 3] {
        installation.wait_routable(idx, ZONE.zone, &[0, 2]).await;
        installation
            .wait_routable(idx, OTHER_ZONE.zone, &[1, 3])
            .await;
    }
    // Calls from a zone without a server of the service go to the other zone.
    let mut installation = installation;
    for idx in [0, 2] {
        installation.hosts[idx].backend.kill();
    }
    for idx in [0, 2] {
        installation.wait_routable(idx, ZONE.zone, &[]).await;
    }
    assert_eq!(installation.failures(0).await, NONE);
}
