//! Two operators change the configuration while keepers are killed, stopped and lose their disks, within
//! what `tolerate` allows; checks what may never happen to an acknowledged change. Not a case of its own.

use crate::{
    config::{Route, document},
    deployment::{CONTROL, Deployment, KEEPERS, call},
    record::Record,
};
use std::{
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

struct Random(u64);

impl Random {
    fn below(&mut self, bound: u64) -> u64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        (self.0 >> 11) % bound
    }
}

/// A change and how it ended for its operator.
#[derive(Clone, Debug)]
struct Change {
    base: u64,
    version: u64,
    status: u16,
    acked_at: Option<Instant>,
}

fn version_in(body: &str) -> Option<u64> {
    let rest = &body[body.find("\"version\":")? + 10..];
    rest.split(|c: char| !c.is_ascii_digit())
        .next()?
        .parse()
        .ok()
}

pub fn run(record: &Arc<Record>, has_trouble: bool) -> bool {
    let seed: u64 = std::env::var("SEED")
        .ok()
        .and_then(|seed| seed.parse().ok())
        .unwrap_or(1);
    let mut random = Random(seed.wrapping_mul(0x9E37_79B9_7F4A_7C15) | 1);
    let route = Route {
        prefix: "/a/",
        kind: "safe",
        timeout_s: 2.0,
        priority: 1,
        service: "techreg",
    };
    let mut deployment = Deployment::open();
    deployment.start_keepers();
    assert!(
        deployment.put(&document(0, 3, &[route]), Duration::from_secs(20)),
        "no first configuration"
    );
    let addrs: Arc<Vec<SocketAddr>> = Arc::new(
        KEEPERS
            .iter()
            .map(|idx| deployment.addr(*idx, CONTROL))
            .collect(),
    );
    let changes: Arc<Mutex<Vec<Change>>> = Arc::default();
    changes.lock().unwrap().push(Change {
        base: 0,
        version: 3,
        status: 200,
        acked_at: Some(Instant::now()),
    });
    let known = Arc::new(AtomicU64::new(3));
    let stop = Arc::new(AtomicBool::new(false));
    let faults: Arc<Mutex<Vec<String>>> = Arc::default();
    let mut threads = Vec::new();
    for operator in 0..2_u64 {
        let (addrs, changes, known, stop, record) = (
            addrs.clone(),
            changes.clone(),
            known.clone(),
            stop.clone(),
            record.clone(),
        );
        let mut random = Random(seed * 77 + operator + 1);
        threads.push(thread::spawn(move || {
            for count in 1_u64.. {
                if stop.load(Ordering::SeqCst) {
                    return;
                }
                thread::sleep(Duration::from_millis(random.below(250)));
                let base = known.load(Ordering::SeqCst);
                // Odd and even numbers, so that the operators' versions differ.
                let version = (base / 2 + 1 + random.below(3)) * 2 + operator;
                let text = document(base, version, &[route]);
                let mut change = Change {
                    base,
                    version,
                    status: 0,
                    acked_at: None,
                };
                let end = Instant::now() + Duration::from_secs(12);
                while Instant::now() < end {
                    let addr = addrs[random.below(6) as usize];
                    let status =
                        call(addr, "POST", "/-/Config.Put", &text).map_or(0, |(status, _)| status);
                    if matches!(status, 200 | 400 | 412) {
                        change.status = status;
                        break;
                    }
                    thread::sleep(Duration::from_millis(50 + random.below(200)));
                }
                if change.status == 200 {
                    change.acked_at = Some(Instant::now());
                    known.fetch_max(version, Ordering::SeqCst);
                } else if let Some(current) = addrs.iter().find_map(|addr| {
                    let (status, body) = call(*addr, "GET", "/-/Config.Get", "")?;
                    (status == 200).then(|| version_in(&body)).flatten()
                }) {
                    known.fetch_max(current, Ordering::SeqCst);
                }
                record.write(&format!(
                    "operator {operator} change {count}: {base} -> {version}: {}",
                    change.status
                ));
                changes.lock().unwrap().push(change);
            }
        }));
    }
    for reader in 0..2_u64 {
        let (addrs, changes, stop, faults, record) = (
            addrs.clone(),
            changes.clone(),
            stop.clone(),
            faults.clone(),
            record.clone(),
        );
        let mut random = Random(seed * 99 + reader + 1);
        threads.push(thread::spawn(move || {
            while !stop.load(Ordering::SeqCst) {
                thread::sleep(Duration::from_millis(random.below(60)));
                let sent = Instant::now();
                let keeper = random.below(6) as usize;
                let Some((200, body)) = call(addrs[keeper], "GET", "/-/Config.Get", "") else {
                    continue;
                };
                let version = version_in(&body).unwrap_or(0);
                let changes = changes.lock().unwrap();
                let newest = changes
                    .iter()
                    .filter(|c| c.acked_at.is_some_and(|at| at < sent))
                    .map(|c| c.version)
                    .max();
                if newest > Some(version) {
                    let fault = format!(
                        "CONFIG keeper {} answered {version}, acknowledged was {newest:?}",
                        keeper + 1
                    );
                    record.write(&fault);
                    faults.lock().unwrap().push(fault);
                }
            }
        }));
    }
    let end = record.now() + Duration::from_secs(75);
    while record.now() < end {
        thread::sleep(Duration::from_millis(500 + random.below(2_000)));
        if !has_trouble {
            continue;
        }
        let first = KEEPERS[random.below(6) as usize];
        let second = KEEPERS[random.below(6) as usize];
        let lost = if random.below(2) == 0 || first == second {
            vec![first]
        } else {
            vec![first, second]
        };
        let choice = random.below(5);
        record.write(&format!("trouble {choice} keepers {lost:?}"));
        match choice {
            // The disks are lost.
            0 | 1 => {
                for idx in &lost {
                    deployment.kill(*idx);
                }
                thread::sleep(Duration::from_millis(random.below(1_500)));
                for idx in &lost {
                    deployment.wipe(*idx);
                    deployment.start(*idx);
                }
                thread::sleep(Duration::from_secs(4));
            }
            2 => {
                deployment.kill_all();
                thread::sleep(Duration::from_millis(random.below(900)));
                for idx in KEEPERS {
                    deployment.start(idx);
                }
                thread::sleep(Duration::from_secs(4));
            }
            3 => {
                for idx in &lost {
                    deployment.signal(*idx, "STOP");
                }
                thread::sleep(Duration::from_millis(300 + random.below(4_000)));
                for idx in &lost {
                    deployment.signal(*idx, "CONT");
                }
            }
            _ => {
                for idx in &lost {
                    deployment.kill(*idx);
                    deployment.start(*idx);
                }
            }
        }
        for idx in KEEPERS {
            if let Some(end) = deployment.end_of(idx) {
                let fault = format!("CRASH keeper {idx} ended by itself: {end}");
                record.write(&fault);
                faults.lock().unwrap().push(fault);
                deployment.start(idx);
            }
        }
    }
    stop.store(true, Ordering::SeqCst);
    for thread in threads {
        let _ = thread.join();
    }
    thread::sleep(Duration::from_secs(5));
    let mut read = None;
    let until = Instant::now() + Duration::from_secs(15);
    while read.is_none() && Instant::now() < until {
        read = addrs
            .iter()
            .find_map(|addr| match call(*addr, "GET", "/-/Config.Get", "") {
                Some((200, body)) => version_in(&body),
                _ => None,
            });
        thread::sleep(Duration::from_millis(200));
    }
    let changes = changes.lock().unwrap();
    let mut faults = faults.lock().unwrap().clone();
    let acked: Vec<_> = changes
        .iter()
        .filter(|change| change.status == 200)
        .collect();
    let newest = acked.iter().map(|change| change.version).max();
    if read < newest {
        faults.push(format!(
            "LOST read {read:?} at the end, acknowledged was {newest:?}"
        ));
    }
    for change in &acked {
        let twins = acked
            .iter()
            .filter(|other| other.base == change.base)
            .count();
        if twins > 1 {
            faults.push(format!(
                "CONFIG {twins} changes on version {} are acknowledged",
                change.base
            ));
        }
    }
    if changes
        .iter()
        .any(|change| Some(change.version) == read && matches!(change.status, 400 | 412))
    {
        faults.push(format!("CONFIG the refused version {read:?} is in force"));
    }
    record.write(&format!(
        "changes {}, acknowledged {}, read at the end {read:?}",
        changes.len(),
        acked.len()
    ));
    for fault in &faults {
        record.write(fault);
        println!("{fault}");
    }
    faults.is_empty()
}
