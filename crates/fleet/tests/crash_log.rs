//! Strikes that a keeper saves.

use agatehill_decide::{
    claim::RequestDigest,
    name::{DaemonName, Incarnation, RegionName, ZoneName},
    quarantine::{CrashId, CrashReport},
};
use agatehill_fleet::keeper::{FleetKeeper, KeeperOptions};
use agatehill_peer::fleet::FleetService;
use agatehill_process::budget::ListenerBudget;
use std::{net::IpAddr, path::Path, time::Duration};

/// Longest wait until strikes are saved.
const SAVE_TIMEOUT: Duration = Duration::from_secs(10);

fn options(data_dir: &Path) -> KeeperOptions {
    let host: IpAddr = "127.0.0.1".parse().unwrap();
    KeeperOptions {
        host,
        port: 0,
        region: RegionName::try_from("vest").unwrap(),
        zone: ZoneName::try_from("herning-1").unwrap(),
        data_dir: data_dir.to_owned(),
        seeds: vec![host],
        is_first_start: true,
        disk_losses_max: 0,
        replace_within: Duration::from_secs(4),
    }
}

fn report() -> CrashReport {
    let daemon = DaemonName::try_from("daemon-1").unwrap();
    CrashReport {
        fingerprint: RequestDigest::of("GET", "a.example", "/a", b"").into(),
        crash: CrashId::of(&daemon, Incarnation(1), 1),
        cleared: false,
        age_seconds: 0,
    }
}

/// A report may arrive before the task that saves strikes has run for the first time. On one thread it
/// has not, as nothing here waits.
#[tokio::test]
async fn strikes_that_arrive_as_the_keeper_starts_are_saved() {
    let dir = tempfile::tempdir().unwrap();
    let (keeper, _server) = FleetKeeper::spawn(&options(dir.path()), ListenerBudget::unlimited())
        .await
        .unwrap();
    keeper.share_crash_reports(vec![report()]).await;
    let file = dir.path().join("strikes");
    let saved = tokio::time::timeout(SAVE_TIMEOUT, async {
        while !file.exists() {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    });
    saved.await.expect("the strikes are saved");
}
