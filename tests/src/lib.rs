//! Harness for tests over real processes.
