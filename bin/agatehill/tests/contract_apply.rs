//! `agatehill contract apply`, `get`, `list` and `log` against a running keeper.

mod support;

use agatehill_tests::bed::{TestBed, ZONE, free_tcp};
use support::{WorkDir, contract};

#[test]
fn only_contracts_that_differ_are_applied() {
    let bed = TestBed::open(&[ZONE]);
    let keepers = bed.start_keepers();
    let keeper = keepers[0].addr("operator");
    let dir = WorkDir::open();
    dir.write("contracts/a.toml", &contract("dansk", 1, 10));
    dir.write("contracts/b.toml", &contract("sutravan", 1, 10));

    let dry = dir
        .run_at(keeper, "contract apply contracts --dry-run")
        .expect_stdout(0);
    assert!(
        dry.starts_with("contracts/a.toml: differs customer=dansk revision=1\n"),
        "{dry}"
    );
    let list = dir.run_at(keeper, "contract list").expect_stdout(0);
    assert_eq!(list, "", "a dry run must not apply anything");

    let first = dir
        .run_at(keeper, "contract apply contracts")
        .expect_stdout(0);
    let expected = "contracts/a.toml: accepted customer=dansk revision=1\n\
                  contracts/b.toml: accepted customer=sutravan revision=1\n";
    assert_eq!(first, expected);

    dir.write("contracts/b.toml", &contract("sutravan", 2, 20));
    let second = dir
        .run_at(keeper, "contract apply contracts")
        .expect_stdout(0);
    let expected = "contracts/a.toml: unchanged customer=dansk revision=1\n\
                  contracts/b.toml: accepted customer=sutravan revision=2\n";
    assert_eq!(second, expected);
    let again = dir
        .run_at(keeper, "contract apply contracts")
        .expect_stdout(0);
    assert_eq!(again.matches("unchanged").count(), 2, "{again}");

    let text = dir.run_at(keeper, "contract get sutravan").expect_stdout(0);
    assert_eq!(text, contract("sutravan", 2, 20));
    let log = dir.run_at(keeper, "contract log sutravan").expect_stdout(0);
    assert_eq!(log.lines().count(), 2, "{log}");
    let list = dir.run_at(keeper, "contract list").expect_stdout(0);
    assert!(list.starts_with("customer=dansk revision=1 "), "{list}");
}

#[test]
fn conflicting_contracts_are_refused_and_others_applied() {
    let bed = TestBed::open(&[ZONE]);
    let keepers = bed.start_keepers();
    let keeper = keepers[0].addr("operator");
    let dir = WorkDir::open();
    dir.write("old.toml", &contract("dansk", 1, 10));
    dir.run_at(keeper, "contract apply old.toml")
        .expect_stdout(0);

    dir.write("contracts/a.toml", &contract("dansk", 1, 99));
    dir.write("contracts/b.toml", &contract("other", 5, 10));
    dir.write("contracts/c.toml", &contract("sutravan", 1, 10));
    let printed = dir
        .run_at(keeper, "contract apply contracts")
        .expect_stdout(1);
    let expected = "contracts/a.toml: refused customer=dansk revision=1: revision 1 is in force with another text\n\
                  contracts/b.toml: refused customer=other revision=5: the next revision of customer \"other\" is 1\n\
                  contracts/c.toml: accepted customer=sutravan revision=1\n";
    assert_eq!(printed, expected);
    let text = dir.run_at(keeper, "contract get dansk").expect_stdout(0);
    assert_eq!(text, contract("dansk", 1, 10));
    let missing = dir.run_at(keeper, "contract get other").expect_stderr(1);
    assert!(missing.contains("\"other\""), "{missing}");
}

#[test]
fn missing_answer_is_distinguished_from_refusal() {
    let dir = WorkDir::open();
    dir.write("a.toml", &contract("dansk", 1, 10));
    let unused = free_tcp();
    let printed = dir.run_at(unused, "contract apply a.toml").expect_stdout(3);
    let expected = format!("a.toml: unknown customer=dansk revision=1: no answer: {unused}:");
    assert!(printed.starts_with(&expected), "{printed}");
    let printed = dir.run_at(unused, "contract list").expect_stderr(3);
    let expected = format!("agatehill: no answer: {unused}:");
    assert!(printed.starts_with(&expected), "{printed}");
}
