//! Planned stops under load, one daemon after the other; counts requests that a server ran and whose
//! connection closed without an answer. Not a case of its own.

use super::spawn_client;
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

pub fn run(record: &Arc<Record>, _: bool) -> bool {
    let route = Route {
        prefix: "/pay/",
        kind: "unsafe",
        timeout_s: 2.0,
        priority: 0,
        service: "certdesk",
    };
    let safe = Route {
        prefix: "/a/",
        kind: "safe",
        ..route
    };
    let mut deployment = Deployment::open();
    deployment.start_keepers();
    for idx in HOSTS {
        deployment.add(idx, "daemon", "certdesk");
    }
    assert!(
        deployment.put(&document(0, 3, &[route, safe]), Duration::from_secs(20)),
        "no first configuration"
    );
    for idx in HOSTS {
        let (addr, control) = (deployment.addr(idx, APP), deployment.addr(idx, CONTROL));
        let server = Server::start(
            &format!("i-{idx}"),
            "certdesk",
            40,
            Duration::from_millis(700),
            addr,
            control,
            record.clone(),
        );
        deployment.wait_ready(idx);
        server.keep_beating();
    }
    let stop = Arc::new(AtomicBool::new(false));
    let mut clients = Vec::new();
    for idx in HOSTS {
        for number in 0..12 {
            let line = if number % 2 == 0 {
                "POST /pay/x"
            } else {
                "GET /a/x"
            };
            clients.push(spawn_client(
                format!("c-{idx}-{number}"),
                deployment.addr(idx, OUTBOUND),
                line,
                Duration::from_millis(5),
                record,
                &stop,
            ));
        }
    }
    thread::sleep(Duration::from_secs(4));
    for round in 0..6 {
        let idx = HOSTS[round % 3];
        deployment.signal(idx, "TERM");
        record.write(&format!("SIGTERM on host {idx}"));
        while deployment.end_of(idx).is_none() {
            thread::sleep(Duration::from_millis(10));
        }
        record.write(&format!("host {idx} has stopped"));
        deployment.start(idx);
        thread::sleep(Duration::from_secs(5));
    }
    stop.store(true, std::sync::atomic::Ordering::SeqCst);
    let sent: Vec<_> = clients
        .into_iter()
        .flat_map(|client| client.join().expect("a client thread"))
        .collect();
    let run: HashSet<_> = record.runs().into_iter().map(|run| run.id).collect();
    let lost: Vec<_> = sent
        .iter()
        .filter(|sent| sent.outcome == Outcome::Closed && run.contains(&sent.id))
        .collect();
    for lost in &lost {
        record.write(&format!("lost: {lost:?}"));
    }
    let closed = sent
        .iter()
        .filter(|sent| sent.outcome == Outcome::Closed)
        .count();
    record.write(&format!(
        "{} requests; closed without an answer {closed}, of these run {}",
        sent.len(),
        lost.len()
    ));
    lost.is_empty()
}
