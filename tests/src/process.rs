//! Starts, signals and kills the processes of a test.

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

/// Longest wait for a process's `ready` line.
const READY_TIMEOUT: Duration = Duration::from_secs(30);
/// Pause between two checks whether a process has ended.
const EXIT_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// A child process that is killed on drop.
#[derive(Debug)]
pub struct ProcessGuard {
    child: Child,
    addresses: HashMap<String, SocketAddr>,
}

impl ProcessGuard {
    /// Starts the workspace's binary `name` and waits for its line `ready KEY=ADDR …`.
    pub fn start_ready<S: AsRef<OsStr>>(name: &str, args: &[S]) -> ProcessGuard {
        let mut guard = ProcessGuard::start(name, args);
        guard.wait_ready();
        guard
    }

    /// Starts the workspace's binary `name`; [`ProcessGuard::wait_ready`] waits for its addresses.
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

    /// Waits for the `ready` line and takes the addresses from it; may be called once.
    pub fn wait_ready(&mut self) {
        let stdout = self.child.stdout.take().expect("wait_ready is called once");
        let (tx, rx) = mpsc::channel();
        thread::spawn(move || {
            // Reads until the end of the stream, so that the process never blocks on a full pipe.
            for line in BufReader::new(stdout).lines().map_while(Result::ok) {
                let _ = tx.send(line);
            }
        });
        let line = rx
            .recv_timeout(READY_TIMEOUT)
            .expect("the process prints a ready line in time");
        self.addresses = parse_ready(&line);
    }

    /// Returns the address under `key` in the `ready` line; panics if there is none.
    pub fn addr(&self, key: &str) -> SocketAddr {
        let addresses = &self.addresses;
        *addresses
            .get(key)
            .unwrap_or_else(|| panic!("no address {key:?} in {addresses:?}"))
    }

    /// Returns the process id.
    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    /// Sends `signal` to the process.
    pub fn signal(&self, signal: Signal) {
        let pid = Pid::from_raw(i32::try_from(self.child.id()).expect("a process id fits an i32"));
        // Fails if the process has already ended.
        let _ = kill(pid, signal);
    }

    /// Sends SIGKILL and waits for the end of the process.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Waits for the process to end; `None` if it still runs after `timeout`.
    pub fn wait_exit(&mut self, timeout: Duration) -> Option<ExitStatus> {
        let deadline = Instant::now() + timeout;
        loop {
            if let Ok(Some(status)) = self.child.try_wait() {
                return Some(status);
            }
            if Instant::now() > deadline {
                return None;
            }
            thread::sleep(EXIT_POLL_INTERVAL);
        }
    }
}

impl Drop for ProcessGuard {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Returns the path of the workspace's binary `name` in the target folder of the running test.
pub fn binary(name: &str) -> PathBuf {
    let test = std::env::current_exe().expect("the path of the test binary");
    let deps = test
        .parent()
        .expect("test binaries are in target/PROFILE/deps");
    deps.parent()
        .expect("test binaries are in target/PROFILE/deps")
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
