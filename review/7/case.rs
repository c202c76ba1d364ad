//! Case 7: a core machine is replaced, two others lose their disks later, and the core is gone for good.

#[path = "../stand-ins-2/bed.rs"]
mod bed;

use bed::{document, eventually, exchange, has_trouble, Deployment, Message, Record, Route};
use std::{thread, time::Duration};

const KEEPERS: u8 = 6;
/// The machine that is replaced, and its successor.
const REPLACED: u8 = 2;
const SUCCESSOR: u8 = 7;
/// The machines that lose their disks: as many as the settings tolerate.
const WIPED: [u8; 2] = [1, 3];
/// Time from the loss of a machine until its successor starts.
const SUCCESSOR_DELAY: Duration = Duration::from_millis(500);
/// Time from the start of the successor until the disks are lost; `catchUpS` is 4 s.
const CATCH_UP: Duration = Duration::from_millis(5_500);
/// Time for which the machines without their disks are down.
const DOWN: Duration = Duration::from_secs(1);
/// Time within which the core must be back: `recoveryS`, and some more.
const RECOVERY: Duration = Duration::from_secs(30);

fn main() {
    bed::run(case);
}

fn case() -> i32 {
    let record = Record::open();
    let mut deployment = Deployment::start(record.clone(), KEEPERS, &[]);
    deployment.put(&config(1));
    for version in 2..=4 {
        deployment.put(&config(version));
    }
    // Until all voters have been added.
    thread::sleep(Duration::from_secs(5));
    if has_trouble() {
        deployment.remove(REPLACED);
        thread::sleep(SUCCESSOR_DELAY);
        deployment.add_core(SUCCESSOR);
        thread::sleep(CATCH_UP);
    }
    deployment.put(&config(5));
    if has_trouble() {
        for idx in WIPED {
            deployment.kill(idx);
            deployment.lose_disk(idx);
        }
        thread::sleep(DOWN);
        for idx in WIPED {
            deployment.start_process(idx, false);
        }
    }
    let mut read = None;
    let end = record.now() + RECOVERY;
    let is_read = eventually(RECOVERY, || {
        read = read_back(&deployment);
        read.is_some()
    });
    let took = RECOVERY.saturating_sub(end.saturating_sub(record.now()));
    record.say(&format!(
        "acknowledged=5 read back={read:?} after {} ms, within {} ms: {is_read}",
        took.as_millis(),
        RECOVERY.as_millis()
    ));
    match read {
        Some(version) if version >= 5 => bed::HELD,
        _ => bed::BROKEN,
    }
}

fn config(version: u64) -> String {
    let route = Route {
        prefix: "/check/",
        kind: "safe",
        services: &[("techreg", 1)],
        timeout_s: 1.0 + version as f64 / 10.0,
        target_s: 1.5,
        priority: 2,
        attempts: 2,
    };
    document(version - 1, version, &["techreg"], &[route])
}

/// Reads the configuration from any keeper that runs.
fn read_back(deployment: &Deployment) -> Option<u64> {
    let keepers = (1..=SUCCESSOR).filter(|idx| *idx != REPLACED || !has_trouble());
    keepers.into_iter().find_map(|idx| {
        let addr = deployment.control(idx);
        let reply = exchange(addr, "GET /-/Config.Get", &[], b"", Duration::from_secs(1))?;
        deployment.record.line(&format!("Config.Get machine={idx} status={}", reply.status));
        version_of(&reply)
    })
}

fn version_of(reply: &Message) -> Option<u64> {
    let text = String::from_utf8_lossy(&reply.body);
    let (_, rest) = text.split_once("\"version\":").filter(|_| reply.status == 200)?;
    rest.split(|c: char| !c.is_ascii_digit()).next()?.parse().ok()
}
