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

fn history_of(commands: &[ConfigCommand]) -> ConfigHistory {
    let mut history = ConfigHistory::default();
    for (position, command) in commands.iter().enumerate() {
        history.apply(position as u64, command.clone());
    }
    history
}

#[rstest]
#[case::first(&[], put(0, 2, "a"), ConfigReply::Accepted, 2)]
#[case::successor(&[put(0, 2, "a")], put(2, 7, "b"), ConfigReply::Accepted, 7)]
#[case::retry(&[put(0, 2, "a")], put(0, 2, "a"), ConfigReply::Accepted, 2)]
#[case::retry_after_later_versions(
    &[put(0, 2, "a"), put(2, 7, "b")], put(0, 2, "a"), ConfigReply::Accepted, 7
)]
#[case::later_of_two_concurrent_proposals(
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
    let mut history = history_of(before);
    assert_eq!(history.apply(99, next), reply);
    assert_eq!(history.version(), version);
}

#[test]
fn a_read_returns_the_current_document() {
    let mut history = history_of(&[put(0, 2, "a"), put(2, 7, "b"), put(2, 8, "c")]);
    let ConfigReply::Current(Some(config)) = history.apply(99, ConfigCommand::Read) else {
        panic!("the read returned no document");
    };
    assert_eq!((config.version, config.text.as_ref()), (7, "b"));
}

#[test]
fn a_retry_is_acknowledged_after_hundreds_of_changes_and_a_snapshot() {
    let mut commands = vec![put(0, 1, "first")];
    commands.extend((1..400).map(|version| put(version, version + 1, "next")));
    let history = history_of(&commands);
    let stored = postcard::to_stdvec(&history).unwrap();
    let mut history: ConfigHistory = postcard::from_bytes(&stored).unwrap();
    assert_eq!(
        history.apply(999, commands[0].clone()),
        ConfigReply::Accepted
    );
    assert_eq!(history.version(), 400);
}
