//! Versions of the service configuration: one accepted successor per version, retries and reads.

use agatehill_decide::{
    config_history::{ConfigCommand, ConfigHistory, ConfigPut, ConfigReply},
    replicated_state::ReplicatedState,
};
use rstest::rstest;

fn put(base_version: u64, version: u64, text: &str) -> ConfigCommand {
    ConfigCommand::Put(ConfigPut {
        base_version,
        version,
        text: text.into(),
    })
}

fn book(commands: &[ConfigCommand]) -> ConfigHistory {
    let mut book = ConfigHistory::default();
    for (position, command) in commands.iter().enumerate() {
        book.apply(position as u64, command.clone());
    }
    book
}

#[rstest]
#[case::first(&[], put(0, 2, "a"), ConfigReply::Accepted, 2)]
#[case::successor(&[put(0, 2, "a")], put(2, 7, "b"), ConfigReply::Accepted, 7)]
#[case::retry(&[put(0, 2, "a")], put(0, 2, "a"), ConfigReply::Accepted, 2)]
#[case::retry_after_later_versions(
    &[put(0, 2, "a"), put(2, 7, "b")], put(0, 2, "a"), ConfigReply::Accepted, 7
)]
#[case::loser_of_a_race(
    &[put(0, 2, "a"), put(2, 7, "b")], put(2, 8, "c"), ConfigReply::Stale { current: 7 }, 7
)]
#[case::same_version_other_document(
    &[put(0, 2, "a"), put(2, 7, "b")], put(2, 7, "c"), ConfigReply::Stale { current: 7 }, 7
)]
#[case::not_above(
    &[put(0, 2, "a")], put(2, 2, "b"), ConfigReply::NotAbove { current: 2 }, 2
)]
#[case::below(&[put(0, 5, "a")], put(5, 3, "b"), ConfigReply::NotAbove { current: 5 }, 5)]
#[case::base_ahead(&[put(0, 5, "a")], put(6, 7, "b"), ConfigReply::Stale { current: 5 }, 5)]
fn reply_and_version_after_a_proposal(
    #[case] before: &[ConfigCommand],
    #[case] next: ConfigCommand,
    #[case] reply: ConfigReply,
    #[case] version: u64,
) {
    let mut book = book(before);
    assert_eq!(book.apply(99, next), reply);
    assert_eq!(book.version(), version);
}

#[test]
fn a_read_returns_the_current_document() {
    let mut book = book(&[put(0, 2, "a"), put(2, 7, "b"), put(2, 8, "c")]);
    let ConfigReply::Current(Some(text)) = book.apply(99, ConfigCommand::Read) else {
        panic!("the read returned no document");
    };
    assert_eq!((text.version, text.text.as_ref()), (7, "b"));
}

#[test]
fn a_retry_is_acknowledged_after_hundreds_of_changes_and_a_snapshot() {
    let mut commands = vec![put(0, 1, "first")];
    commands.extend((1..400).map(|version| put(version, version + 1, "next")));
    let book = book(&commands);
    let stored = postcard::to_stdvec(&book).unwrap();
    let mut book: ConfigHistory = postcard::from_bytes(&stored).unwrap();
    assert_eq!(book.apply(999, commands[0].clone()), ConfigReply::Accepted);
    assert_eq!(book.version(), 400);
}
