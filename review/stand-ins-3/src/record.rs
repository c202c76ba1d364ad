//! The file `record.txt` of a case: what was sent, answered and run.

use std::{
    fs::File,
    io::Write,
    path::Path,
    sync::{Arc, Mutex},
    time::Instant,
};

/// Writes lines with the time since the start; clones share the file.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    started: Instant,
}

impl Record {
    /// Creates the file.
    pub fn create(path: &Path) -> Record {
        let file = File::create(path).expect("cannot create the record");
        Record {
            file: Arc::new(Mutex::new(file)),
            started: Instant::now(),
        }
    }

    /// Writes one line, also to the standard output.
    pub fn line(&self, text: impl AsRef<str>) {
        let line = self.write(text.as_ref());
        println!("{line}");
    }

    /// Writes one line to the file only.
    pub fn quiet(&self, text: impl AsRef<str>) {
        self.write(text.as_ref());
    }

    /// Returns the seconds since the start.
    pub fn seconds(&self) -> f64 {
        self.started.elapsed().as_secs_f64()
    }

    fn write(&self, text: &str) -> String {
        let line = format!("{:8.3} s  {text}", self.seconds());
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{line}");
        line
    }
}
