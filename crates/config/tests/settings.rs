//! Which settings files are accepted, and the errors of the others.

use agatehill_config::{DaemonSettings, KeeperSettings, SettingsCheck, SettingsError, load};
use rstest::rstest;
use serde::de::DeserializeOwned;
use std::fs;

const DAEMON: &str = r#"
name = "herning-1-a"
region = "vest"
availability_zone = "herning-1"
keepers = ["127.0.0.1:7301", "127.0.0.2:7301"]

[listen]
caller = "0.0.0.0:7001"
forward = "127.0.0.1:7002"
announce = "127.0.0.1:7003"
operator = "127.0.0.1:7004"
gossip = "127.0.0.1:7005"
control = "127.0.0.1:7006"

[[seed]]
gossip = "127.0.0.2:7005"
control = "127.0.0.2:7006"

[limits]
body_bytes_max = 4096
connections_max = 10

[log]
level = "warn"
target = "stderr"
format = "text"
"#;

const KEEPER: &str = r#"
name = "k1"
region = "vest"
availability_zone = "herning-1"
data_dir = "/var/lib/agatehill"
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

[[keeper]]
name = "k2"
region = "oest"
availability_zone = "ringsted-1"
peer = "127.0.0.2:7301"
voter = false
"#;

fn load_text<T: DeserializeOwned + SettingsCheck>(text: &str) -> Result<T, SettingsError> {
    let dir = tempfile::tempdir().unwrap();
    let file = dir.path().join("settings.toml");
    fs::write(&file, text).unwrap();
    load(&file)
}

/// Loads `text` with `from` replaced by `to`, expects an error and returns its text after the file
/// name.
fn load_error<T: DeserializeOwned + SettingsCheck>(text: &str, from: &str, to: &str) -> String {
    assert!(text.contains(from), "{from:?} is not in the settings");
    let error = load_text::<T>(&text.replacen(from, to, 1)).err().unwrap();
    let message = error.to_string();
    let (file, rest) = message.split_once("settings.toml\": ").unwrap();
    assert!(file.starts_with("settings \""), "{message}");
    rest.to_owned()
}

#[test]
fn complete_settings_are_read() {
    let daemon: DaemonSettings = load_text(DAEMON).unwrap();
    assert_eq!(daemon.seeds.len(), 1);
    assert_eq!(daemon.limits.body_bytes_max, 4096);
    let keeper: KeeperSettings = load_text(KEEPER).unwrap();
    assert!(!keeper.keepers[1].voter);
}

#[test]
fn optional_tables_have_defaults_and_port_0_may_repeat() {
    let (required, _) = DAEMON.split_once("[[seed]]").unwrap();
    let ports = ["7001", "7002", "7003", "7004", "7005", "7006"];
    let text = ports
        .iter()
        .fold(required.to_owned(), |text, port| text.replace(port, "0"));
    let daemon: DaemonSettings = load_text(&text).unwrap();
    assert!(daemon.seeds.is_empty());
    assert_eq!(daemon.limits.body_bytes_max, 1 << 30);
}

#[rstest]
#[case::unknown_key(
    "name =",
    "colour = 1\nname =",
    "line 2: key \"colour\": unknown field"
)]
#[case::unknown_table(
    "[listen]",
    "[listen]\nhttp = 1",
    "line 8: key \"listen.http\": unknown field"
)]
#[case::missing_key("name = \"herning-1-a\"", "", "key \"name\": missing field")]
#[case::missing_in_table(
    "control = \"127.0.0.2:7006\"",
    "",
    "line 15: key \"seed[0].control\": missing field"
)]
#[case::not_toml("[limits]", "[limits", "line 19: ")]
#[case::host_name("0.0.0.0:7001", "localhost:7001", "line 8: key \"listen.caller\": ")]
#[case::bad_name(
    "\"vest\"",
    "\"ve st\"",
    "line 3: key \"region\": region \"ve st\" must be"
)]
#[case::no_keeper(
    "[\"127.0.0.1:7301\", \"127.0.0.2:7301\"]",
    "[]",
    "line 5: key \"keepers\": names no keeper"
)]
#[case::keeper_twice(
    "127.0.0.2:7301",
    "127.0.0.1:7301",
    "line 5: key \"keepers[1]\": 127.0.0.1:7301 is already the value of \"keepers[0]\""
)]
#[case::listen_twice(
    "127.0.0.1:7004",
    "127.0.0.1:7003",
    "line 11: key \"listen.operator\": 127.0.0.1:7003 is already the value of \"listen.announce\""
)]
#[case::unreachable(
    "127.0.0.1:7005",
    "0.0.0.0:7005",
    "line 12: key \"listen.gossip\": 0.0.0.0:7005 must be an address that peers can connect to"
)]
#[case::seed_without_port(
    "127.0.0.2:7006",
    "127.0.0.2:0",
    "line 17: key \"seed[0].control\": 127.0.0.2:0 must have the port"
)]
#[case::no_body("4096", "0", "line 20: key \"limits.body_bytes_max\": must be above 0")]
#[case::no_connections(
    "= 10",
    "= 0",
    "line 21: key \"limits.connections_max\": must be above 0"
)]
#[case::no_client_memory(
    "connections_max = 10",
    "client_memory_mb = 0",
    "line 21: key \"limits.client_memory_mb\": must be above 0"
)]
#[case::negative("4096", "-1", "line 20: key \"limits.body_bytes_max\": invalid value")]
#[case::log_level(
    "\"warn\"",
    "\"loud\"",
    "line 24: key \"log.level\": unknown variant `loud`"
)]
fn errors_in_daemon_settings_name_line_and_key(
    #[case] from: &str,
    #[case] to: &str,
    #[case] reason: &str,
) {
    let message = load_error::<DaemonSettings>(DAEMON, from, to);
    assert!(
        message.starts_with(reason),
        "{message:?} does not start with {reason:?}"
    );
}

#[rstest]
#[case::no_groups("= 4", "= 0", "line 6: key \"claim_groups\": must be 1 to 1024")]
#[case::no_client_memory(
    "claim_groups = 4",
    "claim_groups = 4\n[limits]\nclient_memory_mb = 0",
    "line 8: key \"limits.client_memory_mb\": must be above 0"
)]
#[case::no_voter(
    "voter = true",
    "voter = false",
    "line 12: key \"keeper\": 0 keepers vote"
)]
#[case::name_twice(
    "name = \"k2\"",
    "name = \"k1\"",
    "line 20: key \"keeper[1].name\": keeper \"k1\" is listed twice"
)]
#[case::not_listed(
    "name = \"k1\"",
    "name = \"k9\"",
    "line 2: key \"name\": \"k9\" is not in the list of keepers"
)]
#[case::other_zone(
    "availability_zone = \"herning-1\"\ndata",
    "availability_zone = \"esbjerg-2\"\ndata",
    "line 15: key \"keeper[0].availability_zone\": differs from the keeper's availability zone"
)]
#[case::other_port(
    "peer = \"127.0.0.1:7301\"\nvoter",
    "peer = \"127.0.0.1:7309\"\nvoter",
    "line 16: key \"keeper[0].peer\": differs from \"listen.peer\" 127.0.0.1:7301"
)]
#[case::no_data_dir("/var/lib/agatehill", "", "line 5: key \"data_dir\": is empty")]
fn errors_in_keeper_settings_name_line_and_key(
    #[case] from: &str,
    #[case] to: &str,
    #[case] reason: &str,
) {
    let message = load_error::<KeeperSettings>(KEEPER, from, to);
    assert!(
        message.starts_with(reason),
        "{message:?} does not start with {reason:?}"
    );
}

#[test]
fn error_names_the_missing_file() {
    let error = load::<DaemonSettings>("no/such.toml".as_ref()).unwrap_err();
    let message = error.to_string();
    assert!(
        message.starts_with("cannot read \"no/such.toml\": "),
        "{message}"
    );
}
