//! The cases.

pub mod config_torture;
pub mod early_leave;
pub mod formation;
pub mod founder;
pub mod kill_all;
pub mod low_priority;
pub mod quota;
pub mod read_back;
pub mod resume;
pub mod start_hup;
pub mod stops;
pub mod torture;

use crate::{
    client::{Client, Outcome},
    record::Record,
};
use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    thread::{self, JoinHandle},
    time::Duration,
};

/// `drainS` of the site.
const DRAIN: Duration = Duration::from_millis(2_500);
/// `connectivityWindowS` of the site.
const IN_TOUCH_AFTER: Duration = Duration::from_secs(3);

/// A request as its client saw it.
#[derive(Clone, Debug)]
struct Sent {
    id: String,
    at: Duration,
    was_kept: bool,
    outcome: Outcome,
}

/// Sends requests one after the other until `stop` is set; `line` is the method and the path.
fn spawn_client(
    name: String,
    addr: SocketAddr,
    line: &'static str,
    pause: Duration,
    record: &Arc<Record>,
    stop: &Arc<AtomicBool>,
) -> JoinHandle<Vec<Sent>> {
    let (record, stop) = (record.clone(), stop.clone());
    thread::spawn(move || {
        let mut client = Client::new(addr, record.clone());
        let mut sent = Vec::new();
        for number in 0.. {
            if stop.load(Ordering::SeqCst) {
                break;
            }
            let id = format!("{name}-{number}");
            let at = record.now();
            let body = if line.starts_with("POST") {
                "amount=1"
            } else {
                ""
            };
            let outcome = client.send(line, &id, 5_000, body);
            sent.push(Sent {
                id,
                at,
                was_kept: client.was_kept,
                outcome,
            });
            thread::sleep(match outcome {
                Outcome::Status(200) => pause,
                _ => pause.max(Duration::from_millis(100)),
            });
        }
        sent
    })
}
