//! A tenant sends more than its limit everywhere; the servers of one zone crash and come back.

use crate::{
    client::{Client, Outcome},
    config::{Route, document},
    deployment::{APP, CONTROL, Deployment, OUTBOUND},
    record::Record,
    server::Server,
};
use std::{
    ops::Range,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::Duration,
};

/// Three or four hosts in each of the six zones.
const HOSTS: Range<u8> = 11..31;
/// The hosts of one zone: 3 of 20.
const ZONE: [u8; 3] = [13, 19, 25];
const CLIENTS: u8 = 3;
/// Limit of the tenant.
const RATE: f64 = 60.0;
const BURST: f64 = 4.0;
/// `quotaWindowS`, `quotaExcess` and `quotaSlack` of the site.
const WINDOW: Duration = Duration::from_secs(5);
const EXCESS: f64 = 0.1;
const SLACK: f64 = 20.0;
/// Time for which the servers are down.
const DOWN: Duration = Duration::from_secs(4);

fn start_server(deployment: &Deployment, idx: u8, record: &Arc<Record>) -> Arc<Server> {
    let (addr, control) = (deployment.addr(idx, APP), deployment.addr(idx, CONTROL));
    let (id, work) = (format!("i-{idx}"), Duration::from_millis(30));
    let server = Server::start(&id, "techreg", 16, work, addr, control, record.clone());
    server.keep_beating();
    server
}

pub fn run(record: &Arc<Record>, has_trouble: bool) -> bool {
    let route = Route {
        prefix: "/a/",
        kind: "safe",
        timeout_s: 2.0,
        priority: 1,
        service: "techreg",
    };
    let mut deployment = Deployment::open();
    deployment.has_tenants = true;
    deployment.start_keepers();
    for idx in HOSTS {
        deployment.add(idx, "daemon", "techreg");
    }
    let mut text = document(0, 3, &[route]);
    text.pop();
    text.push_str(&format!(
        r#","tenants":[{{"name":"acme","apiKeys":["key-1"],"ratePerS":{RATE},"burst":{BURST}}}]}}"#
    ));
    assert!(
        deployment.put(&text, Duration::from_secs(20)),
        "no first configuration"
    );
    let servers: Vec<_> = HOSTS
        .map(|idx| start_server(&deployment, idx, record))
        .collect();
    for idx in HOSTS {
        deployment.wait_ready(idx);
    }
    let stop = Arc::new(AtomicBool::new(false));
    let clients: Vec<_> = HOSTS
        .flat_map(|idx| (0..CLIENTS).map(move |number| (idx, number)))
        .map(|(idx, number)| {
            let addr = deployment.addr(idx, OUTBOUND);
            let (record, stop) = (record.clone(), stop.clone());
            thread::spawn(move || {
                let mut client = Client::new(addr, record);
                client.headers = "Authorization: Bearer key-1\r\n";
                for count in 0.. {
                    if stop.load(Ordering::SeqCst) {
                        return;
                    }
                    let id = format!("c-{idx}-{number}-{count}");
                    let outcome = client.send("GET /a/x", &id, 5_000, "");
                    let is_down = matches!(outcome, Outcome::NotSent | Outcome::Closed);
                    thread::sleep(Duration::from_millis(if is_down { 20 } else { 80 }));
                }
            })
        })
        .collect();
    thread::sleep(Duration::from_secs(12));
    let mut restarted = Vec::new();
    if has_trouble {
        let in_zone = |idx: &u8| ZONE.contains(idx);
        for (idx, server) in HOSTS.zip(&servers).filter(|(idx, _)| in_zone(idx)) {
            record.write(&format!("the server on host {idx} crashes"));
            server.crash();
        }
        thread::sleep(DOWN);
        restarted = ZONE
            .iter()
            .map(|idx| start_server(&deployment, *idx, record))
            .collect();
        record.write("the servers of the zone are back");
    }
    thread::sleep(Duration::from_secs(8));
    stop.store(true, Ordering::SeqCst);
    for client in clients {
        let _ = client.join();
    }
    drop((servers, restarted));
    let runs: Vec<_> = record.runs().into_iter().map(|run| run.at).collect();
    let within = |start: Duration| {
        let end = start + WINDOW;
        runs.iter().filter(|at| start <= **at && **at < end).count()
    };
    let most = runs.iter().map(|start| (within(*start), *start)).max();
    let (most, start) = most.unwrap_or_default();
    let bound = (RATE * WINDOW.as_secs_f64() + BURST) * (1.0 + EXCESS) + SLACK;
    record.write(&format!(
        "most requests of the tenant that ran within 5 s: {most}, from {:.3} s on; bound {bound:.1}",
        start.as_secs_f64()
    ));
    most as f64 <= bound
}
