//! Contract of the claim table: who may run a request, and what everybody else is told.

use agatehill_decide::{
    claim::{
        AnswerBody, ClaimCommand, ClaimKey, ClaimOutcome, ClaimOwner, ClaimReply, ClaimRequest,
        ClaimTable, FencingToken, RequestDigest, StoredResponse, TICK_SECONDS_MAX,
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

fn look(daemon: &str) -> ClaimCommand {
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
    finish(token, ClaimOutcome::Answered(answer(10)))
}

fn answer(bytes: usize) -> StoredResponse {
    StoredResponse {
        status: 201,
        headers: vec![("content-type".to_owned(), b"text/plain".to_vec())],
        body: AnswerBody::Whole(vec![7; bytes]),
    }
}

fn too_large() -> StoredResponse {
    StoredResponse {
        status: 201,
        headers: Vec::new(),
        body: AnswerBody::TooLarge,
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
fn run(table: &mut ClaimTable, commands: Vec<ClaimCommand>) -> ClaimReply {
    let mut reply = ClaimReply::Done;
    for (idx, command) in commands.into_iter().enumerate() {
        reply = table.apply(idx as u64 + 1, command);
    }
    reply
}

#[rstest]
#[case::first(vec![claim("a", 1)], granted(1))]
#[case::resend_after_lost_reply(vec![claim("a", 1), claim("a", 1)], granted(1))]
#[case::twin_elsewhere(vec![claim("a", 1), claim("b", 1)], ClaimReply::Running(owner("a", 1)))]
#[case::other_request(vec![claim("a", 1), other_body("b")], ClaimReply::Mismatch)]
#[case::other_request_after_answer(vec![claim("a", 1), answered(1), other_body("b")], ClaimReply::Mismatch)]
#[case::replay(vec![claim("a", 1), answered(1), claim("b", 1)], ClaimReply::Replay(answer(10)))]
#[case::finish_twice(vec![claim("a", 1), answered(1), answered(1)], ClaimReply::Done)]
#[case::finish_cannot_change(
    vec![claim("a", 1), answered(1), finish(1, ClaimOutcome::Unknown), claim("b", 1)],
    ClaimReply::Replay(answer(10)))]
#[case::unknown_never_again(vec![claim("a", 1), finish(1, ClaimOutcome::Unknown), claim("b", 1)], ClaimReply::Unknown)]
#[case::late_answer_settles_unknown(
    vec![claim("a", 1), finish(1, ClaimOutcome::Unknown), answered(1), claim("b", 1)],
    ClaimReply::Replay(answer(10)))]
#[case::large_answer_is_not_replayed(
    vec![claim("a", 1), finish(1, ClaimOutcome::Answered(answer(20_000))), claim("b", 1)],
    ClaimReply::Replay(too_large()))]
#[case::withdrawn_runs_elsewhere(vec![claim("a", 1), withdraw("a"), claim("b", 1)], granted(3))]
#[case::late_copy_of_withdrawn_claim(vec![withdraw("a"), claim("a", 1)], ClaimReply::Withdrawn)]
#[case::late_copy_after_grant(vec![claim("a", 1), withdraw("a"), claim("a", 1)], ClaimReply::Withdrawn)]
#[case::withdraw_twice_spares_the_next(
    vec![claim("a", 1), withdraw("a"), claim("b", 1), withdraw("a"), claim("c", 1)],
    ClaimReply::Running(owner("b", 1)))]
#[case::earlier_attempt_after_not_run(vec![withdraw_attempt("b", 1), claim("a", 1)], ClaimReply::Withdrawn)]
#[case::withdraw_tells_of_a_twin(vec![claim("a", 1), withdraw("b")], ClaimReply::Running(owner("a", 1)))]
#[case::finish_for_a_lost_fence(
    vec![claim("a", 1), withdraw("a"), claim("b", 1), answered(1)],
    ClaimReply::StaleToken)]
#[case::finish_for_a_lost_fence_changes_nothing(
    vec![claim("a", 1), withdraw("a"), claim("b", 1), answered(1), claim("c", 1)],
    ClaimReply::Running(owner("b", 1)))]
#[case::restarted_owner(vec![claim("a", 1), retire("a", 2), claim("b", 1)], ClaimReply::Unknown)]
#[case::late_copy_of_a_run_that_is_over(vec![retire("a", 2), claim("a", 1)], ClaimReply::OwnerRetired(Incarnation(2)))]
#[case::restart_spares_the_new_run(vec![claim("a", 2), retire("a", 2), claim("a", 2)], granted(1))]
#[case::restart_spares_other_daemons(vec![claim("a", 1), retire("b", 2), claim("a", 1)], granted(1))]
#[case::withdraw_after_retire_is_too_late(
    vec![claim("a", 1), retire("a", 2), withdraw("a"), claim("b", 1)],
    ClaimReply::Unknown)]
#[case::look_at_nothing(vec![look("b")], ClaimReply::Absent)]
#[case::look_takes_nothing(vec![look("b"), claim("a", 1)], granted(2))]
#[case::look_at_running(vec![claim("a", 1), look("b")], ClaimReply::Running(owner("a", 1)))]
#[case::look_at_answer(vec![claim("a", 1), answered(1), look("b")], ClaimReply::Replay(answer(10)))]
fn replies(#[case] commands: Vec<ClaimCommand>, #[case] reply: ClaimReply) {
    let mut table = ClaimTable::default();
    assert_eq!(run(&mut table, commands), reply);
}

/// Only what is final or is asked again may be told without the log.
#[rstest]
#[case::absent(vec![], look("b"), None)]
#[case::free(vec![], claim("b", 1), None)]
#[case::own(vec![claim("b", 1)], claim("b", 1), None)]
#[case::finish(vec![claim("b", 1)], answered(1), None)]
#[case::running(vec![claim("a", 1)], claim("b", 1), Some(ClaimReply::Running(owner("a", 1))))]
#[case::answered(vec![claim("a", 1), answered(1)], claim("b", 1), Some(ClaimReply::Replay(answer(10))))]
fn settled(
    #[case] commands: Vec<ClaimCommand>,
    #[case] next: ClaimCommand,
    #[case] reply: Option<ClaimReply>,
) {
    let mut table = ClaimTable::default();
    run(&mut table, commands);
    assert_eq!(table.reply_without_log(&next), reply);
}

fn tick(elapsed_seconds: u32) -> ClaimCommand {
    ClaimCommand::Tick { elapsed_seconds }
}

#[test]
fn a_frozen_leader_or_a_clock_jump_ages_by_one_capped_tick() {
    let mut table = ClaimTable::default();
    run(&mut table, vec![claim("a", 1), answered(1), tick(u32::MAX)]);
    assert_eq!(table.clock_seconds(), u64::from(TICK_SECONDS_MAX));
    let reply = table.apply(9, claim("b", 1));
    assert_eq!(reply, ClaimReply::Replay(answer(10)));
}

#[test]
fn claims_are_kept_for_their_time_and_all_memory_comes_back() {
    let mut table = ClaimTable::default();
    run(
        &mut table,
        vec![claim("a", 1), withdraw("a"), claim("b", 1), answered(3)],
    );
    let ticks = REMEMBER_SECONDS / TICK_SECONDS_MAX;
    run(&mut table, vec![tick(TICK_SECONDS_MAX); ticks as usize - 1]);
    assert_eq!(table.len(), 1);
    run(&mut table, vec![tick(TICK_SECONDS_MAX); 3]);
    assert!(table.is_empty());
    assert_eq!((table.bytes(), table.running_count()), (0, 0));
}

#[test]
fn a_full_table_refuses_new_claims_and_keeps_what_it_promised() {
    let mut table = ClaimTable::with_bytes_max(300);
    assert_eq!(table.apply(1, claim("a", 1)), granted(1));
    assert_eq!(
        table.apply(2, finish(1, ClaimOutcome::Answered(answer(200)))),
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
fn a_snapshot_replies_as_the_table_does() {
    let mut table = ClaimTable::default();
    run(
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
