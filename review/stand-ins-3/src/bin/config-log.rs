//! The configuration grows by many routes and is changed hundreds of times; then all keepers are killed at
//! once and started again.

use agatehill_review_3::{
    BROKEN, HELD, Host, NOT_RUN, Record, Site, call, has_trouble, must, sleep_ms,
};
use std::{
    path::Path,
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    time::{Duration, Instant},
};

const KEEPERS: u8 = 3;
/// Memory that a process on a core host may use, in MiB.
const MEMORY_MB: u64 = 256;
/// Routes that `big_config` adds on the large site.
const ROUTES_ADDED: usize = 1_400;
/// Changes of the configuration, each acknowledged.
const CHANGES: u64 = 500;
const BOUNDS: &str = "seedLagS=3,reuseAfterS=2,connectivityWindowS=3,ackS=4,catchUpS=4,drainS=2.5,graceS=6,lossSlackS=0.2,configApplyS=2.5,rollbackSlackS=0.25,maxStretchS=5,budgetRatio=0.2,budgetWindowS=10,budgetExtra=49,recoveryS=15";

fn document(version: u64, base: u64, routes: usize, timeout: f64) -> String {
    let route = |n: usize| {
        format!(
            r#"{{"name":"r-{n:07}","pathPrefix":"/puka{n}/","kind":"safe","timeoutS":{timeout},"targetLatencyS":1.5,"priority":2,"weightedServices":[{{"service":"huvo11a","weight":90}},{{"service":"lovo22d","weight":10}}],"maxAttempts":2}}"#
        )
    };
    let paths: Vec<_> = (0..routes).map(route).collect();
    format!(
        r#"{{"version":{version},"services":[{{"name":"huvo11a","healthPath":"/health","maxConnections":616,"protocol":"h1","tls":false}},{{"name":"lovo22d","healthPath":"/health","maxConnections":214,"protocol":"h1","tls":false}}],"limits":{{"maxHeaderBytes":16384,"maxBodyBytes":67108864,"headerTimeoutS":3,"idleTimeoutS":15}},"baseVersion":{base},"virtualHosts":[{{"host":"hulo84.example","paths":[{}]}}]}}"#,
        paths.join(",")
    )
}

/// What the platform has seen of the processes.
#[derive(Default)]
struct Watch {
    is_stopped: AtomicBool,
    /// Processes that were killed over the limit.
    ends: AtomicU64,
    /// Largest memory of a process, in KiB.
    peak: AtomicU64,
}

/// Kills the process of `keeper` when it uses more memory than it may, and starts it again when it has ended.
fn watch(keeper: &Host, watch: &Watch, record: &Record) {
    while !watch.is_stopped.load(Ordering::SeqCst) {
        let kib = keeper.resident_kib();
        watch.peak.fetch_max(kib, Ordering::SeqCst);
        if kib > MEMORY_MB * 1024 {
            keeper.kill();
            let ends = watch.ends.fetch_add(1, Ordering::SeqCst) + 1;
            let text = format!(
                "{} uses {kib} KiB, over {MEMORY_MB} MiB: killed",
                keeper.options.name
            );
            match ends <= 9 {
                true => record.line(text),
                false => record.quiet(text),
            }
        } else if !keeper.is_running() {
            sleep_ms(300);
            keeper.start(false);
        }
        sleep_ms(5);
    }
}

fn main() {
    let folder = std::env::args().nth(1).expect("usage: config-log FOLDER");
    let record = Record::create(&Path::new(&folder).join("record.txt"));
    let site = Site::open(
        record.clone(),
        KEEPERS,
        1,
        &["herning-1", "ringsted-1", "nyborg-1"],
        BOUNDS,
    );
    let code = run(&site, &record);
    site.remove();
    std::process::exit(code);
}

fn run(site: &Site, record: &Record) -> i32 {
    let keepers = Arc::new(site.start_keepers(KEEPERS));
    let (mut version, mut base) = (1, 0);
    must(
        site.put_config(&keepers, &document(version, base, 20, 0.8)),
        "the first configuration is not accepted",
    );
    let state = Arc::new(Watch::default());
    let watching: Vec<_> = (0..keepers.len())
        .map(|idx| {
            let (keepers, state, record) = (keepers.clone(), state.clone(), record.clone());
            std::thread::spawn(move || watch(&keepers[idx], &state, &record))
        })
        .collect();
    let code = change_and_restart(&keepers, &state, site, record, (&mut version, &mut base));
    state.is_stopped.store(true, Ordering::SeqCst);
    for thread in watching {
        let _ = thread.join();
    }
    code
}

/// Makes the changes, lets the trouble come and reads the configuration back.
fn change_and_restart(
    keepers: &[Host],
    state: &Watch,
    site: &Site,
    record: &Record,
    (version, base): (&mut u64, &mut u64),
) -> i32 {
    let routes = 20 + ROUTES_ADDED;
    let bytes = document(3, 1, routes, 0.8).len();
    record.line(format!(
        "{CHANGES} changes of a configuration with {routes} routes, {bytes} bytes"
    ));
    let end = Instant::now() + Duration::from_secs(70);
    let mut changes = 0;
    while changes < CHANGES && Instant::now() < end {
        *base = *version;
        *version += 2;
        let timeout = 0.8 + (changes % 10) as f64 / 100.0;
        if !site.put_config(keepers, &document(*version, *base, routes, timeout)) {
            record.line(format!("version {version} is not acknowledged"));
            return NOT_RUN;
        }
        changes += 1;
        record.quiet(format!("version {version} acknowledged"));
    }
    record.line(format!(
        "{changes} changes acknowledged, the last is version {version}; a keeper has used {} KiB at most, {} ended over the limit",
        state.peak.load(Ordering::SeqCst),
        state.ends.load(Ordering::SeqCst)
    ));
    if changes < CHANGES {
        record.line("too slow");
        return NOT_RUN;
    }
    if has_trouble() {
        record.line("all keepers are killed; they are started again 0.3 s later, with their disks");
        keepers.iter().for_each(Host::kill);
    }
    let back = read_back(keepers, record, Duration::from_secs(30));
    record.line(format!(
        "keepers killed over {MEMORY_MB} MiB: {} times; a keeper has used {} KiB at most",
        state.ends.load(Ordering::SeqCst),
        state.peak.load(Ordering::SeqCst)
    ));
    match back {
        Some(read) if read == *version => HELD,
        Some(read) => {
            record.line(format!(
                "read back: version {read}, acknowledged was {version}"
            ));
            BROKEN
        }
        None => {
            record.line(format!(
                "version {version}, which was acknowledged, is not read back in 30 s"
            ));
            BROKEN
        }
    }
}

fn read_back(keepers: &[Host], record: &Record, limit: Duration) -> Option<u64> {
    let end = Instant::now() + limit;
    while Instant::now() < end {
        for keeper in keepers {
            let sent = call(
                keeper.control(),
                "GET",
                "/-/Config.Get",
                "",
                Duration::from_secs(2),
            );
            let text = match sent {
                Ok(response) if response.status == 200 => response.text(),
                Ok(response) => {
                    record.quiet(format!(
                        "read at {}: {}",
                        keeper.options.name, response.status
                    ));
                    continue;
                }
                Err(error) => {
                    record.quiet(format!("read at {}: {error}", keeper.options.name));
                    continue;
                }
            };
            let at = text.find("\"version\":")? + "\"version\":".len();
            let digits: String = text[at..]
                .chars()
                .take_while(char::is_ascii_digit)
                .collect();
            record.line(format!("read at {}: version {digits}", keeper.options.name));
            return digits.parse().ok();
        }
        sleep_ms(100);
    }
    None
}
