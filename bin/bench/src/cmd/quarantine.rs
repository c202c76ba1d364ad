//! Measures what the quarantine costs a request that is no suspect, and what a suspect takes up.

use crate::cost::{mean_nanos, measure_memory};
use agatehill_backend::quarantine::{
    CrashReportQueue, FleetQuarantine, QuarantineMonitor, QuarantineOptions,
};
use agatehill_decide::{
    claim::RequestDigest,
    name::{DaemonName, Incarnation},
    quarantine::{CrashId, CrashReport, RequestContent, RequestFingerprint},
};
use agatehill_process::clock::MonoClock;
use eyre::Result;
use std::net::SocketAddr;

/// Body sizes of the measured requests, in bytes.
const BODY_BYTES: [usize; 3] = [0, 4_000, 60_000];

/// Measures the digest of a request, a monitored run, and the memory of suspects.
#[derive(clap::Args, Debug)]
pub(crate) struct Args {
    /// Number of suspects that a daemon knows.
    #[arg(long, default_value_t = 10_000)]
    suspects: u64,
    /// Number of timed requests.
    #[arg(long, default_value_t = 100_000)]
    requests: u64,
}

/// Runs the measurement and prints the figures.
pub(crate) fn run(args: &Args) -> Result<()> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    let _context = runtime.enter();
    for bytes in BODY_BYTES {
        let body = vec![7; bytes];
        let nanos = mean_nanos(args.requests, |number| fingerprint(number, &body));
        println!("body_bytes={bytes} digest_ns={nanos:.0}");
    }
    let monitor = open_monitor()?;
    println!(
        "suspects=0 run_ns={:.0}",
        mean_nanos(args.requests, |number| run_request(&monitor, number))
    );
    let daemon = DaemonName::try_from("daemon-2")?;
    let reports: Vec<_> = (0..args.suspects)
        .map(|number| CrashReport {
            // Other contents than those of the timed requests.
            fingerprint: fingerprint(u64::MAX - number, b""),
            crash: CrashId::of(&daemon, Incarnation(1), number / 50),
            cleared: false,
            age_seconds: 0,
        })
        .collect();
    let (_, bytes) = measure_memory(|| monitor.merge(&reports))?;
    println!(
        "suspects={} bytes_each={} run_ns={:.0} digest_of_all_us={:.0}",
        args.suspects,
        bytes / args.suspects.max(1),
        mean_nanos(args.requests, |number| run_request(&monitor, number)),
        mean_nanos(10, |_| monitor.digest()) / 1e3
    );
    Ok(())
}

fn open_monitor() -> Result<FleetQuarantine> {
    Ok(QuarantineMonitor::spawn(
        DaemonName::try_from("daemon-1")?,
        Incarnation(1),
        MonoClock::open(),
        QuarantineOptions::FLEET,
        CrashReportQueue::default(),
    ))
}

/// Decides at the entry and runs the request at the gate, without its server; includes one digest of an
/// empty body.
fn run_request(monitor: &FleetQuarantine, number: u64) {
    let content = RequestContent::from(fingerprint(number, b""));
    monitor.decide(content);
    let addr = SocketAddr::from(([127, 0, 0, 1], 8_000));
    let mut guard = monitor.guard(addr, content);
    guard.try_start();
    guard.record_sent();
    guard.record_answer();
}

fn fingerprint(number: u64, body: &[u8]) -> RequestFingerprint {
    let path = format!("/certificates/{number}");
    RequestDigest::of("GET", "a.example", &path, body).into()
}
