//! `agatehill contract check`.

mod support;

use rstest::rstest;
use support::{WorkDir, contract};

#[test]
fn contracts_of_a_folder_are_listed_in_order() {
    let dir = WorkDir::open();
    dir.write("contracts/b.toml", &contract("sutravan", 2, 10));
    dir.write("contracts/a.toml", &contract("dansk", 7, 10));
    dir.write("contracts/README.md", "not a contract");
    let printed = dir.run("contract check contracts").expect_stdout(0);
    let expected = "contracts/a.toml: customer=dansk revision=7 operations=1\n\
                  contracts/b.toml: customer=sutravan revision=2 operations=1\n";
    assert_eq!(printed, expected);
    let json = dir.run("contract check contracts --json").expect_stdout(0);
    assert!(json.contains("\"customer\": \"dansk\""), "{json}");
}

#[test]
fn every_invalid_file_is_reported() {
    let dir = WorkDir::open();
    dir.write("contracts/a.toml", &contract("dansk", 0, 10));
    dir.write("contracts/b.toml", &contract("sutravan", 1, 0));
    dir.write("contracts/c.toml", &contract("other", 1, 10));
    let printed = dir.run("contract check contracts").expect_stderr(2);
    let expected = "agatehill: contract \"contracts/a.toml\": line 2: key \"revision\": must be above 0\n\
                  contract \"contracts/b.toml\": line 13: key \"operation[0].deadline_ms\": must be 1 to 3600000\n";
    assert_eq!(printed, expected);
}

#[rstest]
#[case::missing("contract check nowhere.toml", "cannot read \"nowhere.toml\": ")]
#[case::empty_folder("contract check empty", "no file ends in \".toml\"")]
#[case::duplicate_customer(
    "contract check one.toml two.toml",
    "contract \"two.toml\": customer \"dansk\" is already declared in \"one.toml\""
)]
fn invalid_paths_are_refused(#[case] args: &str, #[case] reason: &str) {
    let dir = WorkDir::open();
    dir.write("empty/note.txt", "");
    dir.write("one.toml", &contract("dansk", 1, 10));
    dir.write("two.toml", &contract("dansk", 2, 10));
    let printed = dir.run(args).expect_stderr(2);
    let expected = format!("agatehill: {reason}");
    assert!(printed.starts_with(&expected), "{printed}");
}

#[rstest]
#[case::no_path("contract check", "Usage: agatehill contract check")]
#[case::unknown_flag("contract check --fast x", "unexpected argument '--fast'")]
#[case::no_keeper("contract list", "--keeper <ADDR>")]
#[case::bad_address("contract list --keeper localhost", "invalid value 'localhost'")]
#[case::bad_customer(
    "contract get da/nsk --keeper 127.0.0.1:1",
    "customer \"da/nsk\" must be"
)]
fn invalid_command_line_is_explained(#[case] args: &str, #[case] reason: &str) {
    let printed = WorkDir::open().run(args).expect_stderr(2);
    assert!(printed.contains(reason), "{printed}");
}
