//! Measures processor time and memory of other processes from `/proc`.

use eyre::{OptionExt, Result, WrapErr};
use std::{fmt, fs, str::FromStr, time::Duration};

/// Clock ticks per second in `/proc/PID/stat` (`USER_HZ`).
const TICKS_PER_SECOND: u64 = 100;

/// Number of fields of `/proc/PID/stat` between the command name and the user time.
const FIELDS_BEFORE_TIMES: usize = 11;

/// A process to measure, written `NAME=PID`.
#[derive(Clone, Debug)]
pub(crate) struct WatchedProcess {
    name: String,
    pid: u32,
}

impl FromStr for WatchedProcess {
    type Err = String;

    fn from_str(text: &str) -> Result<WatchedProcess, String> {
        let invalid = || format!("\"{text}\" is not NAME=PID");
        let (name, pid) = text.split_once('=').ok_or_else(invalid)?;
        Ok(WatchedProcess {
            name: name.to_owned(),
            pid: pid.parse().map_err(|_| invalid())?,
        })
    }
}

/// Processor time since the start of a process, and its resident memory.
#[derive(Clone, Copy, Debug)]
struct ProcessSample {
    cpu: Duration,
    resident_kib: u64,
}

/// Measures processes from `open` to `finish`.
pub(crate) struct ProcessMonitor {
    processes: Vec<(WatchedProcess, ProcessSample)>,
}

/// Processor time used and resident memory at the end of a measurement.
#[derive(Clone, Debug)]
pub(crate) struct ProcessUsage {
    name: String,
    cpu: Duration,
    resident_kib: u64,
    duration: Duration,
    calls: u64,
}

impl ProcessMonitor {
    /// Takes the first sample of each process.
    ///
    /// # Errors
    ///
    /// The files of a process in `/proc` cannot be read.
    pub(crate) fn open(processes: &[WatchedProcess]) -> Result<ProcessMonitor> {
        let first = |process: &WatchedProcess| Ok((process.clone(), process.sample()?));
        Ok(ProcessMonitor {
            processes: processes.iter().map(first).collect::<Result<_>>()?,
        })
    }

    /// Takes the last sample and returns the usage since the first one, `duration` ago, over which
    /// `calls` calls were made.
    ///
    /// # Errors
    ///
    /// The files of a process in `/proc` cannot be read, as when it has ended.
    pub(crate) fn finish(self, duration: Duration, calls: u64) -> Result<Vec<ProcessUsage>> {
        let mut usages = Vec::new();
        for (process, first) in self.processes {
            let last = process.sample()?;
            usages.push(ProcessUsage {
                name: process.name,
                cpu: last.cpu.saturating_sub(first.cpu),
                resident_kib: last.resident_kib,
                duration,
                calls,
            });
        }
        Ok(usages)
    }
}

impl WatchedProcess {
    fn sample(&self) -> Result<ProcessSample> {
        let read = |file: &str| {
            let path = format!("/proc/{}/{file}", self.pid);
            fs::read_to_string(&path).wrap_err_with(|| format!("cannot read {path}"))
        };
        Ok(ProcessSample {
            cpu: parse_cpu(&read("stat")?).ok_or_eyre("/proc/PID/stat has no processor time")?,
            resident_kib: parse_resident_kib(&read("status")?)
                .ok_or_eyre("/proc/PID/status has no VmRSS")?,
        })
    }
}

impl fmt::Display for ProcessUsage {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let share = self.cpu.as_secs_f64() / self.duration.as_secs_f64();
        let resident = self.resident_kib as f64 / 1024.0;
        write!(
            f,
            "process {}: core={:.2}% resident={resident:.1} MiB",
            self.name,
            share * 100.0
        )?;
        if self.calls > 0 {
            let micros = self.cpu.as_secs_f64() * 1e6 / self.calls as f64;
            write!(f, " cpu_us_per_call={micros:.1}")?;
        }
        Ok(())
    }
}

/// Returns the sum of user and system time from the text of `/proc/PID/stat`.
fn parse_cpu(stat: &str) -> Option<Duration> {
    let (_, fields) = stat.rsplit_once(')')?;
    let mut times = fields.split_whitespace().skip(FIELDS_BEFORE_TIMES);
    let user: u64 = times.next()?.parse().ok()?;
    let system: u64 = times.next()?.parse().ok()?;
    Some(Duration::from_millis(
        (user + system) * 1_000 / TICKS_PER_SECOND,
    ))
}

/// Returns the resident memory from the text of `/proc/PID/status`, in KiB.
fn parse_resident_kib(status: &str) -> Option<u64> {
    let line = status
        .lines()
        .find_map(|line| line.strip_prefix("VmRSS:"))?;
    line.split_whitespace().next()?.parse().ok()
}
