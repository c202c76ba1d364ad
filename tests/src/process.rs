//! Processes of a test.

use nix::{
    sys::signal::{Signal, kill},
    unistd::Pid,
};
use std::{
    collections::HashMap,
    ffi::OsStr,
    io::{BufRead, BufReader},
    net::SocketAddr,
    path::PathBuf,
    process::{Child, Command, ExitStatus, Stdio},
    sync::mpsc,
    thread,
    time::{Duration, Instant},
};

/// Time for a process to say that it is ready.
const READY_LIMIT: Duration = Duration::from_secs(30);
/// Pause between two looks at a process that is expected to end.
const EXIT_POLL: Duration = Duration::from_millis(10);

/// A process that is killed when dropped.
#[derive(Debug)]
pub struct ProcessGuard {
    child: Child,
    addresses: HashMap<String, SocketAddr>,
}

impl ProcessGuard {
    /// Starts the workspace's binary `name` and waits for its `ready KEY=ADDR …` line.
    pub fn start_ready<S: AsRef<OsStr>>(name: &str, args: &[S]) -> ProcessGuard {
        let mut guard = ProcessGuard::start(name, args);
        guard.wait_ready();
        guard
    }

    /// Starts the workspace's binary `name` without waiting; [`ProcessGuard::wait_ready`] follows.
    pub fn start<S: AsRef<OsStr>>(name: &str, args: &[S]) -> ProcessGuard {
        let path = binary(name);
        let child = Command::new(&path)
            .args(args)
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .spawn()
            .unwrap_or_else(|e| panic!("cannot start {}: {e}", path.display()));
        ProcessGuard {
            child,
            addresses: HashMap::new(),
        }
    }

    /// Waits for the `ready` line.
    pub fn wait_ready(&mut self) {
        let stdout = self
            .child
            .stdout
            .take()
            .expect("stdout is piped and read once");
        let (tx, rx) = mpsc::channel();
        thread::spawn(move || {
            // Reads on to the end, so that the process never blocks on a full pipe.
            for line in BufReader::new(stdout).lines().map_while(Result::ok) {
                let _ = tx.send(line);
            }
        });
        let line = rx
            .recv_timeout(READY_LIMIT)
            .expect("the process says that it is ready");
        self.addresses = parse_ready(&line);
    }

    /// Returns the address that the process gave as `key`.
    pub fn addr(&self, key: &str) -> SocketAddr {
        let known = &self.addresses;
        *known
            .get(key)
            .unwrap_or_else(|| panic!("no address {key:?} in {known:?}"))
    }

    /// Returns the process id.
    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    /// Sends `signal`.
    pub fn signal(&self, signal: Signal) {
        let pid = Pid::from_raw(i32::try_from(self.child.id()).expect("process ids are positive"));
        // The process may have ended by itself.
        let _ = kill(pid, signal);
    }

    /// Kills the process at once and waits for its end.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Waits until the process ends by itself, `limit` at most.
    pub fn wait_exit(&mut self, limit: Duration) -> Option<ExitStatus> {
        let end = Instant::now() + limit;
        loop {
            if let Ok(Some(status)) = self.child.try_wait() {
                return Some(status);
            }
            if Instant::now() > end {
                return None;
            }
            thread::sleep(EXIT_POLL);
        }
    }
}

impl Drop for ProcessGuard {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Returns the path of the workspace's binary `name`, built beside the running test.
pub fn binary(name: &str) -> PathBuf {
    let test = std::env::current_exe().expect("a test knows its own path");
    let deps = test.parent().expect("tests lie in target/PROFILE/deps");
    deps.parent()
        .expect("tests lie in target/PROFILE/deps")
        .join(name)
}

fn parse_ready(line: &str) -> HashMap<String, SocketAddr> {
    let rest = line
        .strip_prefix("ready ")
        .unwrap_or_else(|| panic!("not a ready line: {line:?}"));
    let pairs = rest
        .split_whitespace()
        .filter_map(|pair| pair.split_once('='));
    pairs
        .filter_map(|(key, addr)| Some((key.to_owned(), addr.parse().ok()?)))
        .collect()
}
