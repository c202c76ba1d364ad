//! The first seed's process is killed while the whole system starts, and is started again with its disk.

use crate::{
    config::{Route, document},
    deployment::{Deployment, KEEPERS},
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
    let kill_ms: u64 = std::env::var("KILL_MS")
        .ok()
        .and_then(|text| text.parse().ok())
        .unwrap_or(150);
    let keeps_first_start = std::env::var_os("KEEP_BOOTSTRAP").is_some();
    let limit = Duration::from_secs(
        std::env::var("LIMIT_S")
            .ok()
            .and_then(|text| text.parse().ok())
            .unwrap_or(60),
    );
    let start = record.now();
    deployment.add(KEEPERS[0], "keeper", "");
    let mut is_killed = false;
    for (number, idx) in KEEPERS[1..].iter().enumerate() {
        // The others start within 0.3 s.
        let at = start + Duration::from_millis(60 * (number as u64 + 1));
        if has_trouble
            && !is_killed
            && record.now() + at.saturating_sub(record.now())
                > start + Duration::from_millis(kill_ms)
        {
            thread::sleep((start + Duration::from_millis(kill_ms)).saturating_sub(record.now()));
            deployment.kill(KEEPERS[0]);
            record.write("the keeper on host 1 is killed");
            is_killed = true;
        }
        thread::sleep(at.saturating_sub(record.now()));
        deployment.add(*idx, "keeper", "");
    }
    if has_trouble && !is_killed {
        thread::sleep((start + Duration::from_millis(kill_ms)).saturating_sub(record.now()));
        deployment.kill(KEEPERS[0]);
        record.write("the keeper on host 1 is killed");
    }
    if has_trouble {
        thread::sleep(Duration::from_millis(500));
        deployment.write_settings(KEEPERS[0], "keeper", "", keeps_first_start);
        deployment.start(KEEPERS[0]);
        record.write("it is started again, with its disk");
    }
    let is_accepted = deployment.put(&document(0, 3, &[route]), limit);
    record.write(&format!(
        "the first configuration is acknowledged within {limit:?}: {is_accepted}"
    ));
    is_accepted
}
