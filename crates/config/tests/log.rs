//! What the log says of a panic.

use agatehill_config::{
    LogSettings,
    log::{LogFormat, LogLevel, init},
};
use std::{fs, thread};

/// Guards against a panic that only standard error tells of, which nobody collects.
#[test]
fn a_panic_is_an_error_line_with_its_place() {
    let dir = tempfile::tempdir().unwrap();
    let target = dir.path().join("log");
    init(&LogSettings {
        level: LogLevel::Error,
        target: target.clone(),
        format: LogFormat::Json,
    })
    .unwrap();
    let panicked = thread::spawn(|| panic!("no slot left")).join();
    assert!(panicked.is_err());
    let text = fs::read_to_string(target).unwrap();
    assert!(text.contains(r#""level":"error""#), "{text}");
    assert!(text.contains("tests/log.rs:"), "{text}");
    assert!(text.contains("no slot left"), "{text}");
}
