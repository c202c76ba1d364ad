//! The keeper that leads is stopped for some seconds and resumes, again and again; each keeper must have
//! the newest configuration soon after. Not a case of its own.

use crate::{
    config::{Route, document},
    deployment::{CONTROL, Deployment, KEEPERS, call},
    record::Record,
};
use std::{sync::Arc, thread, time::Duration};

const METRICS: u16 = 9464;

fn dump(deployment: &Deployment, idx: u8) -> Option<String> {
    let (status, body) = call(deployment.addr(idx, METRICS), "GET", "/dump", "")?;
    (status == 200).then(|| body.replace([' ', '\n'], ""))
}

pub fn run(record: &Arc<Record>, _: bool) -> bool {
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
        deployment.put(&document(0, 2, &[route]), Duration::from_secs(20)),
        "no first configuration"
    );
    let mut version = 2;
    let mut behind = 0;
    let end = record.now() + Duration::from_secs(90);
    while record.now() < end {
        let leader = KEEPERS.into_iter().find(|idx| {
            let dump = dump(&deployment, *idx);
            dump.is_some_and(|dump| dump.contains("\"role\":\"leader\""))
        });
        let Some(leader) = leader else {
            thread::sleep(Duration::from_millis(100));
            continue;
        };
        deployment.signal(leader, "STOP");
        // A change that only the stopped leader gets, and that is stale once it resumes.
        let stale = document(version, version + 99, &[route]);
        let addr = deployment.addr(leader, CONTROL);
        let sender = thread::spawn(move || call(addr, "POST", "/-/Config.Put", &stale));
        for _ in 0..3 {
            if deployment.put(
                &document(version, version + 1, &[route]),
                Duration::from_secs(15),
            ) {
                version += 1;
            }
        }
        deployment.signal(leader, "CONT");
        let _ = sender.join();
        let until = record.now() + Duration::from_secs(10);
        let wanted = format!("\"config_version\":{version},");
        let lacking = loop {
            let lacking: Vec<_> = KEEPERS
                .into_iter()
                .filter(|idx| !dump(&deployment, *idx).is_some_and(|dump| dump.contains(&wanted)))
                .collect();
            if lacking.is_empty() || record.now() > until {
                break lacking;
            }
            thread::sleep(Duration::from_millis(50));
        };
        behind += lacking.len();
        record.write(&format!(
            "keeper {leader} stopped and resumed, version {version}, behind after 10 s: {lacking:?}"
        ));
        if !lacking.is_empty() {
            for idx in KEEPERS {
                record.write(&format!("keeper {idx}: {:?}", dump(&deployment, idx)));
            }
        }
    }
    record.write(&format!("{version} versions, keepers behind: {behind}"));
    behind == 0
}
