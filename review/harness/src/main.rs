//! Runs one case of the review. Exit code 1: the rule was broken; 0: it held; 2: the case could not run.
//! The case's folder is the current folder; `record.txt` is written there.

mod cases;
mod client;
mod config;
mod deployment;
mod http;
mod record;
mod server;

use record::Record;
use std::{panic, process, sync::Arc};

fn main() {
    let name = std::env::args().nth(1).unwrap_or_default();
    let has_trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    if !matches!(name.as_str(), "torture" | "config-torture") {
        deployment::end_after(std::time::Duration::from_secs(115));
    }
    let record = Arc::new(Record::open());
    let run = panic::AssertUnwindSafe(|| match name.as_str() {
        "low-priority" => cases::low_priority::run(&record, has_trouble),
        "early-leave" => cases::early_leave::run(&record, has_trouble),
        "kill-all" => cases::kill_all::run(&record, has_trouble),
        "start-hup" => cases::start_hup::run(&record, has_trouble),
        "torture" => cases::torture::run(&record, has_trouble),
        "config-torture" => cases::config_torture::run(&record, has_trouble),
        "stops" => cases::stops::run(&record, has_trouble),
        "read-back" => cases::read_back::run(&record, has_trouble),
        "quota" => cases::quota::run(&record, has_trouble),
        "formation" => cases::formation::run(&record, has_trouble),
        "resume" => cases::resume::run(&record, has_trouble),
        "founder" => cases::founder::run(&record, has_trouble),
        _ => panic!("unknown case {name:?}"),
    });
    let code = match panic::catch_unwind(run) {
        Ok(true) => 0,
        Ok(false) => 1,
        Err(_) => 2,
    };
    let verdict = [
        "the rule held",
        "the rule was broken",
        "the case could not run",
    ][code];
    record.write(verdict);
    println!("{name}: {verdict}");
    process::exit(i32::try_from(code).expect("a small number"));
}
