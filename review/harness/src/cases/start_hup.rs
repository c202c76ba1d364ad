//! Settings files change while a process starts: SIGHUP comes a few milliseconds after the start.

use crate::{
    config::{Route, document},
    deployment::Deployment,
    record::Record,
};
use std::{sync::Arc, thread, time::Duration};

pub fn run(record: &Arc<Record>, has_trouble: bool) -> bool {
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
    // A day has hundreds of changes, and a configuration hundreds of routes.
    let prefixes: Vec<&'static str> = (0..350)
        .map(|n| &*Box::leak(format!("/route-{n}/").into_boxed_str()))
        .collect();
    let routes: Vec<_> = prefixes
        .iter()
        .map(|prefix| Route { prefix, ..route })
        .collect();
    for version in 0..300 {
        let text = document(3 + version, 4 + version, &routes);
        assert!(
            deployment.put(&text, Duration::from_secs(10)),
            "a change is not acknowledged"
        );
    }
    record.write("300 changes with 350 routes are acknowledged");
    let mut ended = 0;
    for delay_ms in [2, 5, 10, 20, 30, 40, 50, 60, 80, 100, 150, 200] {
        deployment.kill(1);
        deployment.start(1);
        thread::sleep(Duration::from_millis(delay_ms));
        if has_trouble {
            deployment.signal(1, "HUP");
        }
        thread::sleep(Duration::from_millis(300));
        let end = deployment.end_of(1);
        ended += u32::from(end.is_some());
        record.write(&format!("SIGHUP {delay_ms} ms after the start: {end:?}"));
    }
    ended == 0
}
