//! Memory and time that an item costs.

use eyre::{OptionExt, Result, WrapErr};
use std::{fs, hint, time::Instant};

/// Size of a memory page; `statm` counts pages.
const PAGE_BYTES: u64 = 4096;

const NANOS_PER_SECOND: f64 = 1e9;

/// Returns the resident memory of this process, in bytes.
pub(crate) fn resident_bytes() -> Result<u64> {
    let text = fs::read_to_string("/proc/self/statm").wrap_err("cannot read /proc/self/statm")?;
    let pages = text
        .split_whitespace()
        .nth(1)
        .ok_or_eyre("/proc/self/statm has no field for the resident size")?;
    Ok(pages.parse::<u64>()? * PAGE_BYTES)
}

/// Builds a value; returns it with the growth of resident memory, in bytes.
pub(crate) fn measure_memory<T>(build: impl FnOnce() -> T) -> Result<(T, u64)> {
    let before = resident_bytes()?;
    let value = build();
    Ok((value, resident_bytes()?.saturating_sub(before)))
}

/// Calls `step` with each number below `count`; returns the mean time of a call, in nanoseconds.
pub(crate) fn mean_nanos<T>(count: u64, mut step: impl FnMut(u64) -> T) -> f64 {
    let started = Instant::now();
    for number in 0..count {
        hint::black_box(step(number));
    }
    started.elapsed().as_secs_f64() * NANOS_PER_SECOND / count as f64
}
