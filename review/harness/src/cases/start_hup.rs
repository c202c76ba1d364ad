//! Keepers are stopped and started in turn, and their settings change as they start: SIGHUP comes 20 ms
//! after the start.

use crate::{
    config::{Route, document},
    deployment::Deployment,
    record::Record,
};
use std::{sync::Arc, thread, time::Duration};

/// Half of the keepers; two are seeds.
const RESTARTED: [u8; 3] = [2, 3, 5];
const ROUNDS: u32 = 3;
const SIGNAL_AFTER: Duration = Duration::from_millis(20);
/// Changes before; a day may contain hundreds.
const CHANGES: u64 = 300;
/// Routes of a configuration, as `big_config` of the site file adds them.
const ROUTES: u32 = 350;

pub fn run(record: &Arc<Record>, has_trouble: bool) -> bool {
    let prefixes: Vec<String> = (0..ROUTES).map(|n| format!("/route-{n}/")).collect();
    let routes: Vec<_> = prefixes
        .iter()
        .map(|prefix| Route {
            prefix,
            kind: "safe",
            timeout_s: 2.0,
            priority: 1,
            service: "techreg",
        })
        .collect();
    let mut deployment = Deployment::open();
    deployment.start_keepers();
    for change in 0..CHANGES {
        let base = if change == 0 { 0 } else { change + 2 };
        let text = document(base, change + 3, &routes);
        assert!(
            deployment.put(&text, Duration::from_secs(20)),
            "a change is not acknowledged"
        );
    }
    record.write(&format!(
        "{CHANGES} changes with {ROUTES} routes are acknowledged"
    ));
    let mut keepers_with_ends = 0;
    for idx in RESTARTED {
        let mut ends = 0;
        for _ in 0..ROUNDS {
            deployment.signal(idx, "TERM");
            while deployment.end_of(idx).is_none() {
                thread::sleep(Duration::from_millis(10));
            }
            thread::sleep(Duration::from_millis(500));
            deployment.start(idx);
            if has_trouble {
                thread::sleep(SIGNAL_AFTER);
                deployment.signal(idx, "HUP");
            }
            thread::sleep(Duration::from_millis(1_500));
            if let Some(end) = deployment.end_of(idx) {
                ends += 1;
                record.write(&format!("keeper {idx} ended by itself: {end}"));
                // The platform starts it again.
                deployment.start(idx);
                thread::sleep(Duration::from_secs(1));
            } else {
                record.write(&format!("keeper {idx} runs"));
            }
        }
        keepers_with_ends += u32::from(ends >= ROUNDS);
    }
    record.write(&format!(
        "keepers that ended by themselves three times: {keepers_with_ends} of 6"
    ));
    // "on half of the core, processes end by themselves three times in the day".
    keepers_with_ends < 3
}
