//! Cost of one more item, in memory and time.

use eyre::{OptionExt, Result, WrapErr};
use std::{fs, hint, time::Instant};

/// Memory of a page, in bytes.
const PAGE_BYTES: u64 = 4096;

/// Nanoseconds of a second.
const NANOS_PER_SECOND: f64 = 1e9;

/// Returns the resident memory of this process, in bytes.
pub(crate) fn resident_bytes() -> Result<u64> {
    let text = fs::read_to_string("/proc/self/statm").wrap_err("cannot read /proc/self/statm")?;
    let pages = text
        .split_whitespace()
        .nth(1)
        .ok_or_eyre("/proc/self/statm has no resident size")?;
    Ok(pages.parse::<u64>()? * PAGE_BYTES)
}

/// Builds a value and returns it with the resident memory that it added, in bytes.
pub(crate) fn measure_memory<T>(build: impl FnOnce() -> T) -> Result<(T, u64)> {
    let before = resident_bytes()?;
    let value = build();
    Ok((value, resident_bytes()?.saturating_sub(before)))
}

/// Runs `step` for the numbers below `count` and returns the mean time of one, in nanoseconds.
pub(crate) fn mean_nanos<T>(count: u64, mut step: impl FnMut(u64) -> T) -> f64 {
    let started = Instant::now();
    for number in 0..count {
        hint::black_box(step(number));
    }
    started.elapsed().as_secs_f64() * NANOS_PER_SECOND / count as f64
}
