//! Open-loop load: calls start at their intended times, whether or not earlier ones have ended.
//!
//! Latency counts from the intended start, so that a stall shows in every call that it delays; see
//! Gil Tene, "How NOT to Measure Latency", on coordinated omission.

pub(crate) mod call;
pub(crate) mod mix;
pub(crate) mod report;
pub(crate) mod schedule;
