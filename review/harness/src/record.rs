//! What was sent, answered and run, with times since the start of the case.

use std::{
    fs::File,
    io::Write,
    sync::Mutex,
    time::{Duration, Instant},
};

/// A request at a server.
#[derive(Clone, Debug)]
pub struct Run {
    pub id: String,
    pub server: String,
    pub at: Duration,
}

pub struct Record {
    start: Instant,
    file: Mutex<File>,
    runs: Mutex<Vec<Run>>,
}

impl Record {
    /// Opens `record.txt` in the case's folder, which is the current folder.
    pub fn open() -> Record {
        Record {
            start: Instant::now(),
            file: Mutex::new(File::create("record.txt").expect("create record.txt")),
            runs: Mutex::default(),
        }
    }

    pub fn now(&self) -> Duration {
        self.start.elapsed()
    }

    pub fn write(&self, text: &str) {
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{:8.3} {text}", self.now().as_secs_f64());
    }

    /// Records that a server has begun to work on a request.
    pub fn run(&self, id: &str, server: &str) {
        let at = self.now();
        self.write(&format!("run {id} at {server}"));
        self.runs.lock().unwrap().push(Run {
            id: id.to_owned(),
            server: server.to_owned(),
            at,
        });
    }

    pub fn runs(&self) -> Vec<Run> {
        self.runs.lock().unwrap().clone()
    }
}
