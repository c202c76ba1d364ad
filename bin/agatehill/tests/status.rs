//! `agatehill status` and `agatehill dump`.

mod support;

use agatehill_tests::bed::{TestBed, ZONE, free_tcp};
use support::{WorkDir, contract};

#[test]
fn status_compares_contracts_and_reports_unreachable_processes() {
    let bed = TestBed::open(&[ZONE]);
    let keepers = bed.start_keepers();
    let other_bed = TestBed::open(&[ZONE]);
    let others = other_bed.start_keepers();
    let (one, two) = (keepers[0].addr("operator"), others[0].addr("operator"));
    let dir = WorkDir::open();
    dir.write("a.toml", &contract("dansk", 1, 10));
    dir.run_at(one, "contract apply a.toml").expect_stdout(0);

    let line = format!("{one}: keeper=keeper-0 zone=herning-1 contracts=dansk@1 servers=0\n");
    assert_eq!(dir.run(&format!("status {one}")).expect_stdout(0), line);
    let differs = dir.run(&format!("status {one} {two}")).expect_stdout(1);
    assert!(differs.starts_with(&line), "{differs}");
    let unused = free_tcp();
    let unreachable = dir.run(&format!("status {one} {unused}")).expect_stdout(3);
    assert!(
        unreachable.contains(&format!("{unused}: unreachable: ")),
        "{unreachable}"
    );
    let json = dir.run(&format!("status {one} --json")).expect_stdout(0);
    assert!(json.contains("\"state\": \"answered\""), "{json}");

    let dump = dir.run(&format!("dump {one}")).expect_stdout(0);
    assert!(dump.contains("\"keeper\": \"keeper-0\""), "{dump}");
    let none = dir.run(&format!("dump {unused}")).expect_stderr(3);
    assert!(
        none.starts_with(&format!("agatehill: no answer: {unused}: ")),
        "{none}"
    );
}
