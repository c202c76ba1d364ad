//! A change of time-outs is acknowledged and read back.

use crate::{
    config::{Route, document},
    deployment::{CONTROL, Deployment, KEEPERS, call},
    record::Record,
};
use std::{sync::Arc, thread, time::Duration};

const NAMES: [&str; 12] = [
    "/r1/", "/r2/", "/r3/", "/r4/", "/r5/", "/r6/", "/r7/", "/r8/", "/r9/", "/r10/", "/r11/",
    "/r12/",
];

/// Returns the values of `key` in `text`, in order of the routes' names.
fn values(text: &str, key: &str) -> Vec<String> {
    NAMES
        .iter()
        .filter_map(|prefix| {
            let name = format!("\"pathPrefix\":\"{prefix}\"");
            let at = text.find(&name)?;
            let start = text[..at].rfind('{')?;
            let end = at + text[at..].find('}')?;
            let route = &text[start..end];
            let value = &route[route.find(&format!("\"{key}\":"))? + key.len() + 3..];
            Some(value.split([',', '}']).next()?.to_owned())
        })
        .collect()
}

pub fn run(record: &Arc<Record>, has_trouble: bool) -> bool {
    let mut deployment = Deployment::open();
    deployment.start_keepers();
    let routes = |factor: f64| -> Vec<Route> {
        (1..)
            .zip(NAMES)
            .map(|(number, prefix)| Route {
                prefix,
                kind: "safe",
                timeout_s: f64::from(number) / 10.0 * factor,
                priority: 1,
                service: "techreg",
            })
            .collect()
    };
    let first = document(0, 3, &routes(1.0));
    assert!(
        deployment.put(&first, Duration::from_secs(20)),
        "no first configuration"
    );
    // The time-outs become longer by a tenth, or ten times as long.
    let factor = if has_trouble { 1.1 } else { 10.0 };
    let change = document(3, 5, &routes(factor));
    assert!(
        deployment.put(&change, Duration::from_secs(10)),
        "the change is not acknowledged"
    );
    record.write("version 5 is acknowledged");
    thread::sleep(Duration::from_secs(3));
    let mut differences = 0;
    for idx in KEEPERS {
        let Some((200, text)) = call(deployment.addr(idx, CONTROL), "GET", "/-/Config.Get", "")
        else {
            record.write(&format!("keeper {idx} does not answer the read"));
            continue;
        };
        let (sent, read) = (values(&change, "timeoutS"), values(&text, "timeoutS"));
        assert!(
            read.len() == NAMES.len(),
            "the answer of keeper {idx} lacks routes"
        );
        for ((prefix, sent), read) in NAMES.iter().zip(sent).zip(read) {
            // As numbers, so that another way to write the same one is no difference.
            let is_same = sent.parse::<f64>().ok() == read.parse::<f64>().ok();
            differences += u32::from(!is_same);
            record.write(&format!(
                "keeper {idx} {prefix}: sent timeoutS {sent}, read {read}{}",
                if is_same { "" } else { ", another number" }
            ));
        }
    }
    record.write(&format!(
        "numbers that are not what was sent: {differences}"
    ));
    differences == 0
}
