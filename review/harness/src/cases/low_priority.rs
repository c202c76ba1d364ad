//! A change of the configuration adds a route of the lowest priority, and its clients find the servers full.

use super::{Sent, spawn_client};
use crate::{
    client::Outcome,
    config::{Route, document},
    deployment::{APP, CONTROL, Deployment, OUTBOUND},
    record::Record,
    server::Server,
};
use std::{
    collections::HashSet,
    sync::{Arc, atomic::AtomicBool},
    thread,
    time::Duration,
};

const HOSTS: [u8; 3] = [11, 12, 13];
const PAY: Route = Route {
    prefix: "/pay/",
    kind: "unsafe",
    timeout_s: 2.0,
    priority: 0,
    service: "certdesk",
};
/// The lowest priority that a signed number of 32 bits holds.
const LOWEST: u32 = i32::MAX as u32;

pub fn run(record: &Arc<Record>, has_trouble: bool) -> bool {
    let mut deployment = Deployment::open();
    deployment.start_keepers();
    for idx in HOSTS {
        deployment.add(idx, "daemon", "certdesk");
    }
    assert!(
        deployment.put(&document(0, 3, &[PAY]), Duration::from_secs(20)),
        "no first configuration"
    );
    let servers = HOSTS.map(|idx| {
        let (addr, control) = (deployment.addr(idx, APP), deployment.addr(idx, CONTROL));
        let server = Server::start(
            &format!("i-{idx}"),
            "certdesk",
            4,
            Duration::from_millis(300),
            addr,
            control,
            record.clone(),
        );
        deployment.wait_ready(idx);
        server.keep_beating();
        server
    });
    let priority = if has_trouble { LOWEST } else { 3 };
    let batch = Route {
        prefix: "/batch/",
        kind: "safe",
        priority,
        ..PAY
    };
    assert!(
        deployment.put(&document(3, 5, &[PAY, batch]), Duration::from_secs(10)),
        "no second configuration"
    );
    record.write(&format!(
        "version 5 acknowledged: adds /batch/ with priority {priority}"
    ));
    thread::sleep(Duration::from_secs(4));

    let stop = Arc::new(AtomicBool::new(false));
    let mut payers = Vec::new();
    let mut others = Vec::new();
    for idx in HOSTS {
        let addr = deployment.addr(idx, OUTBOUND);
        for number in 0..3 {
            payers.push(spawn_client(
                format!("pay-{idx}-{number}"),
                addr,
                "POST /pay/x",
                Duration::from_millis(20),
                record,
                &stop,
            ));
        }
    }
    thread::sleep(Duration::from_secs(3));
    record.write("clients use the new route");
    for idx in HOSTS {
        let addr = deployment.addr(idx, OUTBOUND);
        for number in 0..2 {
            others.push(spawn_client(
                format!("batch-{idx}-{number}"),
                addr,
                "GET /batch/x",
                Duration::from_millis(20),
                record,
                &stop,
            ));
        }
    }
    thread::sleep(Duration::from_secs(5));
    stop.store(true, std::sync::atomic::Ordering::SeqCst);
    let mut sent: Vec<Sent> = Vec::new();
    for thread in payers.into_iter().chain(others) {
        sent.extend(thread.join().expect("a client thread"));
    }
    let mut ended = 0;
    for idx in HOSTS {
        if let Some(end) = deployment.end_of(idx) {
            ended += 1;
            record.write(&format!("the daemon on host {idx} ended by itself: {end}"));
            for line in deployment.log_lines(idx, "panicked", 4) {
                record.write(&format!("its log: {line}"));
            }
        }
    }
    let run: HashSet<_> = record.runs().into_iter().map(|run| run.id).collect();
    let lost: Vec<_> = sent
        .iter()
        .filter(|sent| sent.was_kept && sent.outcome == Outcome::Closed && run.contains(&sent.id))
        .collect();
    let answered = sent
        .iter()
        .filter(|sent| sent.outcome == Outcome::Status(200))
        .count();
    record.write(&format!(
        "{} requests, {answered} served; passed on from a kept connection that closed without an answer: {}; daemons that ended by themselves: {ended}",
        sent.len(), lost.len()
    ));
    drop(servers);
    // "more than three times".
    lost.len() <= 3
}
