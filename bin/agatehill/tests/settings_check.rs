//! `agatehill settings check`.

mod support;

use rstest::rstest;
use support::WorkDir;

const DAEMON: &str = r#"
name = "herning-1-a"
region = "vest"
availability_zone = "herning-1"
keepers = ["127.0.0.1:7301"]
[listen]
caller = "127.0.0.1:7001"
forward = "127.0.0.1:7002"
announce = "127.0.0.1:7003"
operator = "127.0.0.1:7004"
gossip = "127.0.0.1:7005"
control = "127.0.0.1:7006"
"#;

const KEEPER: &str = r#"
name = "k1"
region = "vest"
availability_zone = "herning-1"
data_dir = "data"
claim_groups = 4
[listen]
operator = "127.0.0.1:7300"
peer = "127.0.0.1:7301"
[[keeper]]
name = "k1"
region = "vest"
availability_zone = "herning-1"
peer = "127.0.0.1:7301"
voter = true
"#;

#[test]
fn kind_of_settings_is_detected() {
    let dir = WorkDir::open();
    dir.write("daemon.toml", DAEMON);
    dir.write("keeper.toml", KEEPER);
    let printed = dir
        .run("settings check daemon.toml keeper.toml")
        .expect_stdout(0);
    let expected = "daemon.toml: daemon=herning-1-a zone=herning-1\n\
                  keeper.toml: keeper=k1 zone=herning-1\n";
    assert_eq!(printed, expected);
}

#[rstest]
#[case::unknown(
    "[listen]",
    "colour = 1\n[listen]",
    "",
    "line 6: key \"colour\": unknown field"
)]
#[case::contradiction(
    "7002",
    "7001",
    "",
    "line 8: key \"listen.forward\": 127.0.0.1:7001 is already"
)]
#[case::not_toml("[listen]", "[listen", "", "line 6: ")]
#[case::other_kind(
    "[listen]",
    "[listen]",
    "--kind keeper",
    "line 5: key \"keepers\": unknown field"
)]
fn errors_name_file_line_and_key(
    #[case] from: &str,
    #[case] to: &str,
    #[case] flags: &str,
    #[case] reason: &str,
) {
    let dir = WorkDir::open();
    dir.write("d.toml", &DAEMON.replacen(from, to, 1));
    let printed = dir
        .run(&format!("settings check d.toml {flags}"))
        .expect_stderr(2);
    let expected = format!("agatehill: settings \"d.toml\": {reason}");
    assert!(printed.starts_with(&expected), "{printed}");
}
