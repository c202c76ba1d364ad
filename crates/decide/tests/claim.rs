//! Replies of the claim table: who may run a request, and what all others get.

use agatehill_decide::{
    claim::{
        ClaimCommand, ClaimKey, ClaimOutcome, ClaimOwner, ClaimReply, ClaimRequest, ClaimTable,
        FencingToken, RequestDigest, StoredBody, StoredResponse, TICK_SECONDS_MAX,
    },
    name::Incarnation,
    replicated_state::ReplicatedState,
};
use rstest::rstest;

const REMEMBER_SECONDS: u32 = 3_600;

fn key() -> ClaimKey {
    ClaimKey {
        customer: "dansk".try_into().unwrap(),
        id: "certificate-1".try_into().unwrap(),
    }
}

fn owner(daemon: &str, incarnation: u64) -> ClaimOwner {
    ClaimOwner {
        daemon: daemon.try_into().unwrap(),
        incarnation: Incarnation(incarnation),
        sequence: 1,
    }
}

fn claim(daemon: &str, incarnation: u64) -> ClaimCommand {
    ClaimCommand::Claim(ClaimRequest {
        key: key(),
        digest: RequestDigest::of("POST", "certdesk", "/certificates", b"body"),
        owner: owner(daemon, incarnation),
        attempt: 0,
        remember_seconds: REMEMBER_SECONDS,
    })
}

fn query(daemon: &str) -> ClaimCommand {
    let ClaimCommand::Claim(request) = claim(daemon, 1) else {
        unreachable!()
    };
    ClaimCommand::Query(request)
}

fn other_body(daemon: &str) -> ClaimCommand {
    let ClaimCommand::Claim(mut request) = claim(daemon, 1) else {
        unreachable!()
    };
    request.digest = RequestDigest::of("POST", "certdesk", "/certificates", b"other");
    ClaimCommand::Claim(request)
}

fn withdraw(daemon: &str) -> ClaimCommand {
    withdraw_attempt(daemon, 0)
}

fn withdraw_attempt(daemon: &str, attempt: u32) -> ClaimCommand {
    let ClaimCommand::Claim(mut request) = claim(daemon, 1) else {
        unreachable!()
    };
    request.attempt = attempt;
    ClaimCommand::Withdraw(request)
}

fn finish(token: u64, outcome: ClaimOutcome) -> ClaimCommand {
    ClaimCommand::Finish {
        key: key(),
        token: FencingToken(token),
        outcome,
    }
}

fn answered(token: u64) -> ClaimCommand {
    finish(token, ClaimOutcome::Answered(response(10)))
}

fn response(bytes: usize) -> StoredResponse {
    StoredResponse {
        status: 201,
        headers: vec![("content-type".to_owned(), b"text/plain".to_vec())],
        body: StoredBody::Whole(vec![7; bytes]),
    }
}

fn too_large() -> StoredResponse {
    StoredResponse {
        status: 201,
        headers: Vec::new(),
        body: StoredBody::TooLarge,
    }
}

fn retire(daemon: &str, before: u64) -> ClaimCommand {
    ClaimCommand::RetireRuns {
        daemon: daemon.try_into().unwrap(),
        before: Incarnation(before),
    }
}

fn granted(token: u64) -> ClaimReply {
    ClaimReply::Granted(FencingToken(token))
}

/// Applies `commands` at positions from 1 and returns the last reply.
fn apply_all(table: &mut ClaimTable, commands: Vec<ClaimCommand>) -> ClaimReply {
    let mut reply = ClaimReply::Done;
    for (idx, command) in commands.into_iter().enumerate() {
        reply = table.apply(idx as u64 + 1, command);
    }
    reply
}

#[rstest]
#[case::first(vec![claim("a", 1)], granted(1))]
#[case::retry_after_lost_reply(vec![claim("a", 1), claim("a", 1)], granted(1))]
#[case::second_owner(vec![claim("a", 1), claim("b", 1)], ClaimReply::Running(owner("a", 1)))]
#[case::other_request(vec![claim("a", 1), other_body("b")], ClaimReply::Mismatch)]
#[case::other_request_after_answer(vec![claim("a", 1), answered(1), other_body("b")], ClaimReply::Mismatch)]
#[case::replay(vec![claim("a", 1), answered(1), claim("b", 1)], ClaimReply::Replay(response(10)))]
#[case::finish_twice(vec![claim("a", 1), answered(1), answered(1)], ClaimReply::Done)]
#[case::finish_cannot_change(
    vec![claim("a", 1), answered(1), finish(1, ClaimOutcome::Unknown), claim("b", 1)],
    ClaimReply::Replay(response(10)))]
#[case::unknown_is_not_granted_again(vec![claim("a", 1), finish(1, ClaimOutcome::Unknown), claim("b", 1)], ClaimReply::Unknown)]
#[case::late_answer_replaces_unknown(
    vec![claim("a", 1), finish(1, ClaimOutcome::Unknown), answered(1), claim("b", 1)],
    ClaimReply::Replay(response(10)))]
#[case::large_answer_is_not_replayed(
    vec![claim("a", 1), finish(1, ClaimOutcome::Answered(response(20_000))), claim("b", 1)],
    ClaimReply::Replay(too_large()))]
#[case::withdrawn_runs_elsewhere(vec![claim("a", 1), withdraw("a"), claim("b", 1)], granted(3))]
#[case::late_copy_of_withdrawn_claim(vec![withdraw("a"), claim("a", 1)], ClaimReply::Withdrawn)]
#[case::late_copy_after_grant(vec![claim("a", 1), withdraw("a"), claim("a", 1)], ClaimReply::Withdrawn)]
#[case::second_withdrawal_keeps_the_next_claim(
    vec![claim("a", 1), withdraw("a"), claim("b", 1), withdraw("a"), claim("c", 1)],
    ClaimReply::Running(owner("b", 1)))]
#[case::earlier_attempt_after_withdrawal(vec![withdraw_attempt("b", 1), claim("a", 1)], ClaimReply::Withdrawn)]
#[case::withdrawal_while_another_owner_runs(vec![claim("a", 1), withdraw("b")], ClaimReply::Running(owner("a", 1)))]
#[case::finish_with_a_stale_token(
    vec![claim("a", 1), withdraw("a"), claim("b", 1), answered(1)],
    ClaimReply::StaleToken)]
#[case::finish_with_a_stale_token_changes_nothing(
    vec![claim("a", 1), withdraw("a"), claim("b", 1), answered(1), claim("c", 1)],
    ClaimReply::Running(owner("b", 1)))]
#[case::restarted_owner(vec![claim("a", 1), retire("a", 2), claim("b", 1)], ClaimReply::Unknown)]
#[case::late_copy_from_a_retired_run(vec![retire("a", 2), claim("a", 1)], ClaimReply::OwnerRetired(Incarnation(2)))]
#[case::retire_keeps_the_new_run(vec![claim("a", 2), retire("a", 2), claim("a", 2)], granted(1))]
#[case::retire_keeps_other_daemons(vec![claim("a", 1), retire("b", 2), claim("a", 1)], granted(1))]
#[case::withdraw_after_retire_is_too_late(
    vec![claim("a", 1), retire("a", 2), withdraw("a"), claim("b", 1)],
    ClaimReply::Unknown)]
#[case::query_of_absent_claim(vec![query("b")], ClaimReply::Absent)]
#[case::query_claims_nothing(vec![query("b"), claim("a", 1)], granted(2))]
#[case::query_of_running_claim(vec![claim("a", 1), query("b")], ClaimReply::Running(owner("a", 1)))]
#[case::query_of_answered_claim(vec![claim("a", 1), answered(1), query("b")], ClaimReply::Replay(response(10)))]
fn reply_to_the_last_command(#[case] commands: Vec<ClaimCommand>, #[case] reply: ClaimReply) {
    let mut table = ClaimTable::default();
    assert_eq!(apply_all(&mut table, commands), reply);
}

/// A lagging replica may reply without the log only if the reply is final or the owner asks again.
#[rstest]
#[case::absent(vec![], query("b"), None)]
#[case::free(vec![], claim("b", 1), None)]
#[case::own(vec![claim("b", 1)], claim("b", 1), None)]
#[case::finish(vec![claim("b", 1)], answered(1), None)]
#[case::running(vec![claim("a", 1)], claim("b", 1), Some(ClaimReply::Running(owner("a", 1))))]
#[case::answered(vec![claim("a", 1), answered(1)], claim("b", 1), Some(ClaimReply::Replay(response(10))))]
fn reply_without_log(
    #[case] commands: Vec<ClaimCommand>,
    #[case] next: ClaimCommand,
    #[case] reply: Option<ClaimReply>,
) {
    let mut table = ClaimTable::default();
    apply_all(&mut table, commands);
    assert_eq!(table.reply_without_log(&next), reply);
}

fn tick(elapsed_seconds: u32) -> ClaimCommand {
    ClaimCommand::Tick { elapsed_seconds }
}

#[test]
fn a_frozen_leader_or_a_clock_jump_adds_one_capped_tick() {
    let mut table = ClaimTable::default();
    apply_all(&mut table, vec![claim("a", 1), answered(1), tick(u32::MAX)]);
    assert_eq!(table.clock_seconds(), u64::from(TICK_SECONDS_MAX));
    let reply = table.apply(9, claim("b", 1));
    assert_eq!(reply, ClaimReply::Replay(response(10)));
}

#[test]
fn claims_expire_after_their_retention_and_free_all_memory() {
    let mut table = ClaimTable::default();
    apply_all(
        &mut table,
        vec![claim("a", 1), withdraw("a"), claim("b", 1), answered(3)],
    );
    let ticks = REMEMBER_SECONDS / TICK_SECONDS_MAX;
    apply_all(&mut table, vec![tick(TICK_SECONDS_MAX); ticks as usize - 1]);
    assert_eq!(table.len(), 1);
    apply_all(&mut table, vec![tick(TICK_SECONDS_MAX); 3]);
    assert!(table.is_empty());
    assert_eq!((table.bytes(), table.running_count()), (0, 0));
}

#[test]
fn a_full_table_refuses_new_claims_and_keeps_granted_ones() {
    let mut table = ClaimTable::with_bytes_max(300);
    assert_eq!(table.apply(1, claim("a", 1)), granted(1));
    assert_eq!(
        table.apply(2, finish(1, ClaimOutcome::Answered(response(200)))),
        ClaimReply::Done
    );
    assert_eq!(
        table.apply(3, claim("b", 1)),
        ClaimReply::Replay(too_large())
    );
    let ClaimCommand::Claim(mut next) = claim("b", 1) else {
        unreachable!()
    };
    next.key.id = "certificate-2".try_into().unwrap();
    assert_eq!(table.apply(4, ClaimCommand::Claim(next)), ClaimReply::Full);
}

#[test]
fn a_restored_snapshot_replies_like_the_table() {
    let mut table = ClaimTable::default();
    apply_all(
        &mut table,
        vec![claim("a", 1), withdraw("a"), claim("b", 1), answered(3)],
    );
    let bytes = postcard::to_stdvec(&table).unwrap();
    let mut copy: ClaimTable = postcard::from_bytes(&bytes).unwrap();
    assert_eq!(copy.apply(5, claim("c", 1)), table.apply(5, claim("c", 1)));
    assert_eq!(
        postcard::to_stdvec(&copy).unwrap(),
        postcard::to_stdvec(&table).unwrap()
    );
}
