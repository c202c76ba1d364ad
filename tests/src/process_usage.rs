//! What a process uses, as the kernel counts it.

use std::{
    fs, thread,
    time::{Duration, Instant},
};

/// Time between two counts of descriptors.
const COUNT_INTERVAL: Duration = Duration::from_millis(20);

/// Returns the peak resident memory of the process `pid`, in KiB.
pub fn peak_memory(pid: u32) -> u64 {
    let status = fs::read_to_string(format!("/proc/{pid}/status")).expect("the process runs");
    let line = status.lines().find(|line| line.starts_with("VmHWM:"));
    let size = line.and_then(|line| line.split_whitespace().nth(1));
    let size = size.and_then(|text| text.parse().ok());
    size.expect("the kernel states the peak")
}

/// Counts the descriptors that the process `pid` has open until `end`; returns the most.
pub fn most_descriptors(pid: u32, end: Instant) -> usize {
    let mut most = 0;
    while Instant::now() < end {
        let open = fs::read_dir(format!("/proc/{pid}/fd")).map_or(0, Iterator::count);
        most = most.max(open);
        thread::sleep(COUNT_INTERVAL);
    }
    most
}
