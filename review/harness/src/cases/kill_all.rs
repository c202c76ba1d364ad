//! A server leaves; right afterwards all processes of the system are killed and started again. A
//! heartbeat that the server sent before it left arrives late.

use super::{DRAIN, IN_TOUCH_AFTER, spawn_client};
use crate::{
    config::{Route, document},
    deployment::{APP, CONTROL, Deployment, KEEPERS, OUTBOUND},
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
const HOSTS: [u8; 2] = [11, 12];

pub fn run(record: &Arc<Record>, has_trouble: bool) -> bool {
    let mut deployment = Deployment::open();
    deployment.start_keepers();
    for idx in HOSTS {
        deployment.add(idx, "daemon", "techreg");
    }
    assert!(
        deployment.put(&document(0, 3, &[ROUTE]), Duration::from_secs(20)),
        "no first configuration"
    );
    let start = |id: &str, idx| {
        let (addr, control) = (deployment.addr(idx, APP), deployment.addr(idx, CONTROL));
        Server::start(
            id,
            "techreg",
            16,
            Duration::from_millis(50),
            addr,
            control,
            record.clone(),
        )
    };
    let leaving = start("i-leaves", 11);
    let staying = start("i-stays", 12);
    for (idx, server) in HOSTS.iter().zip([&leaving, &staying]) {
        deployment.wait_ready(*idx);
        server.keep_beating();
    }
    let stop = Arc::new(AtomicBool::new(false));
    let clients: Vec<_> = HOSTS
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

    let beat = leaving.heartbeat("ready");
    assert!(leaving.leave(), "the leave was not acknowledged");
    let left_at = record.now();
    record.write("the leave is acknowledged; the server goes on serving for 10 s");
    let late = leaving.clone();
    let beating = thread::spawn(move || {
        thread::sleep(Duration::from_secs(3));
        late.deliver(&beat, " (sent before the leave, 3 s late)");
    });
    thread::sleep(Duration::from_millis(500));
    if has_trouble {
        deployment.kill_all();
        record.write("all processes are killed");
        thread::sleep(Duration::from_millis(800));
        for idx in KEEPERS.into_iter().chain(HOSTS) {
            // The settings of a later start.
            let (role, service) = if KEEPERS.contains(&idx) {
                ("keeper", "")
            } else {
                ("daemon", "techreg")
            };
            deployment.write_settings(idx, role, service, false);
            deployment.start(idx);
        }
        record.write("all processes are started again");
    }
    let in_touch_at = record.now() + IN_TOUCH_AFTER;
    thread::sleep((left_at + Duration::from_secs(10)).saturating_sub(record.now()));
    stop.store(true, std::sync::atomic::Ordering::SeqCst);
    let sent: Vec<_> = clients
        .into_iter()
        .flat_map(|client| client.join().expect("a client thread"))
        .collect();
    let _ = beating.join();
    leaving.crash();
    let counts_from = in_touch_at.max(left_at + DRAIN);
    let sent_at = |id: &str| sent.iter().find(|sent| sent.id == id).map(|sent| sent.at);
    let late: Vec<_> = record
        .runs()
        .into_iter()
        .filter(|run| {
            run.server == "i-leaves" && sent_at(&run.id).is_some_and(|at| at > counts_from)
        })
        .collect();
    record.write(&format!(
        "requests sent later than drainS after the acknowledgement, by machines in touch, and run by the server: {}",
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
