//! The example settings and contracts are accepted.

mod support;

use rstest::rstest;
use std::{fs, path::Path};
use support::WorkDir;

/// Returns the `.toml` files in the folder `examples/{folder}`.
fn toml_files(folder: &str) -> Vec<String> {
    let examples = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples");
    let entries = fs::read_dir(examples.join(folder)).unwrap();
    let paths = entries.map(|entry| entry.unwrap().path().display().to_string());
    paths.filter(|path| path.ends_with(".toml")).collect()
}

#[rstest]
#[case("settings check", "local", 3)]
#[case("settings check", "dansk/daemons", 6)]
#[case("settings check", "dansk/keepers", 6)]
#[case("settings check", "sutravan/daemons", 6)]
#[case("settings check", "sutravan/keepers", 6)]
#[case("contract check", "local/contracts", 1)]
#[case("contract check", "dansk/contracts", 1)]
#[case("contract check", "sutravan/contracts", 1)]
fn examples_are_accepted(#[case] command: &str, #[case] folder: &str, #[case] count: usize) {
    let files = toml_files(folder);
    let printed = WorkDir::open()
        .run(&format!("{command} {}", files.join(" ")))
        .expect_stdout(0);
    assert_eq!(printed.lines().count(), count, "{printed}");
}
