//! Starts three or six keepers again and again, within 0.3 s of each other, and looks whether the first
//! configuration is acknowledged within 20 s. Not a case of its own.

use crate::{
    config::{Route, document},
    deployment::{Deployment, KEEPERS, now_ms},
    record::Record,
};
use std::{sync::Arc, thread, time::Duration};

pub fn run(record: &Arc<Record>, _: bool) -> bool {
    let route = Route {
        prefix: "/a/",
        kind: "safe",
        timeout_s: 2.0,
        priority: 1,
        service: "techreg",
    };
    let end = record.now() + Duration::from_secs(90);
    let mut failures = 0;
    let mut starts = 0;
    let mut random = now_ms() | 1;
    while record.now() < end {
        let mut order: Vec<(u64, u8)> = KEEPERS
            .iter()
            .map(|idx| {
                random ^= random << 13;
                random ^= random >> 7;
                random ^= random << 17;
                ((random >> 11) % 300, *idx)
            })
            .collect();
        order.sort_unstable();
        let mut deployment = Deployment::open();
        let start = record.now();
        for (at, idx) in order {
            thread::sleep((start + Duration::from_millis(at)).saturating_sub(record.now()));
            deployment.add(idx, "keeper", "");
        }
        let is_accepted = deployment.put(&document(0, 3, &[route]), Duration::from_secs(20));
        starts += 1;
        failures += u32::from(!is_accepted);
        let took = record.now() - start;
        record.write(&format!(
            "start {starts}: acknowledged {is_accepted} after {took:?}"
        ));
    }
    record.write(&format!(
        "{starts} starts, {failures} without an acknowledgement"
    ));
    failures == 0
}
