//! A server crashes, starts again under its id and leaves before its first heartbeat arrives, which is
//! seconds late.

use super::{DRAIN, spawn_client};
use crate::{
    config::{Route, document},
    deployment::{APP, CONTROL, Deployment, OUTBOUND},
    record::Record,
    server::Server,
};
use std::{
    sync::{Arc, atomic::AtomicBool},
    thread,
    time::Duration,
};

const ROUTE: Route = Route {
    prefix: "/a/",
    kind: "safe",
    timeout_s: 2.0,
    priority: 1,
    service: "techreg",
};
const WORK: Duration = Duration::from_millis(50);

pub fn run(record: &Arc<Record>, has_trouble: bool) -> bool {
    let mut deployment = Deployment::open();
    deployment.start_keepers();
    for idx in [11, 12] {
        deployment.add(idx, "daemon", "techreg");
    }
    assert!(
        deployment.put(&document(0, 3, &[ROUTE]), Duration::from_secs(20)),
        "no first configuration"
    );
    let start = |deployment: &Deployment, id: &str, idx| {
        let (addr, control) = (deployment.addr(idx, APP), deployment.addr(idx, CONTROL));
        Server::start(id, "techreg", 16, WORK, addr, control, record.clone())
    };
    let first = start(&deployment, "i-leaves", 11);
    let other = start(&deployment, "i-stays", 12);
    for (idx, server) in [(11, &first), (12, &other)] {
        deployment.wait_ready(idx);
        server.keep_beating();
    }
    let stop = Arc::new(AtomicBool::new(false));
    let clients: Vec<_> = [11, 12]
        .iter()
        .map(|idx| {
            spawn_client(
                format!("c-{idx}"),
                deployment.addr(*idx, OUTBOUND),
                "GET /a/x",
                Duration::from_millis(40),
                record,
                &stop,
            )
        })
        .collect();
    thread::sleep(Duration::from_secs(5));

    first.crash();
    thread::sleep(Duration::from_secs(2));
    let second = start(&deployment, "i-leaves", 11);
    let beat = second.heartbeat("ready");
    let late = second.clone();
    let beating = thread::spawn(move || {
        if has_trouble {
            thread::sleep(Duration::from_secs(3));
            late.deliver(&beat, " (sent at the start, 3 s late)");
        } else {
            late.deliver(&beat, "");
        }
    });
    thread::sleep(Duration::from_millis(500));
    assert!(second.leave(), "the leave was not acknowledged");
    let left_at = record.now();
    record.write("the leave is acknowledged; the server goes on serving for 9 s");
    thread::sleep(Duration::from_secs(9));
    stop.store(true, std::sync::atomic::Ordering::SeqCst);
    let sent: Vec<_> = clients
        .into_iter()
        .flat_map(|client| client.join().expect("a client thread"))
        .collect();
    let _ = beating.join();
    second.crash();
    let sent_at = |id: &str| sent.iter().find(|sent| sent.id == id).map(|sent| sent.at);
    let late: Vec<_> = record
        .runs()
        .into_iter()
        .filter(|run| run.server == "i-leaves" && run.at > left_at + DRAIN)
        .filter(|run| sent_at(&run.id).is_some_and(|at| at > left_at + DRAIN))
        .collect();
    record.write(&format!(
        "requests run by the server later than drainS after the acknowledgement: {}",
        late.len()
    ));
    if let (Some(first), Some(last)) = (late.first(), late.last()) {
        let after = |run: &crate::record::Run| (run.at - left_at).as_secs_f64();
        record.write(&format!(
            "the first {:.1} s after it, the last {:.1} s",
            after(first),
            after(last)
        ));
    }
    late.is_empty()
}
