//! Claims stay consistent while the keepers are killed one after the other.

use agatehill_decide::{
    claim::{
        ClaimCommand, ClaimKey, ClaimOutcome, ClaimOwner, ClaimReply, ClaimRequest, RequestDigest,
        StoredBody, StoredResponse,
    },
    name::{CustomerName, DaemonName, Incarnation, RequestId},
};
use agatehill_peer::keeper_client::KeeperClient;
use agatehill_tests::{
    bed::{SETTLE_TIMEOUT, TestBed, ZONE},
    process::ProcessGuard,
};
use std::time::Duration;

const REQUESTS: u64 = 24;

fn request(number: u64, daemon: &str) -> ClaimRequest {
    ClaimRequest {
        attempt: 0,
        key: ClaimKey {
            customer: CustomerName::try_from("dansk").unwrap(),
            id: RequestId::try_from(format!("entry-{number}")).unwrap(),
        },
        digest: RequestDigest::of("POST", "gasdata", "/logbook/entries", b"entry"),
        owner: ClaimOwner {
            daemon: DaemonName::try_from(daemon).unwrap(),
            incarnation: Incarnation(1),
            sequence: number,
        },
        remember_seconds: 3_600,
    }
}

fn response(number: u64) -> StoredResponse {
    StoredResponse {
        status: 201,
        headers: Vec::new(),
        body: StoredBody::Whole(number.to_le_bytes().into()),
    }
}

async fn run(client: &KeeperClient, command: ClaimCommand) -> ClaimReply {
    client.claim(&command, SETTLE_TIMEOUT).await.unwrap()
}

/// Claims `number` for another daemon until it no longer runs, and returns the reply.
///
/// A keeper that lags behind may still report it as running at the first owner.
async fn claim_until_finished(client: &KeeperClient, number: u64) -> ClaimReply {
    let running = ClaimReply::Running(request(number, "daemon-1").owner);
    let deadline = tokio::time::Instant::now() + SETTLE_TIMEOUT;
    loop {
        let reply = run(client, ClaimCommand::Claim(request(number, "daemon-2"))).await;
        if reply != running || tokio::time::Instant::now() > deadline {
            return reply;
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

/// Runs `work` while keeper `idx` is down, then starts the keeper again.
async fn with_keeper_down<T>(
    bed: &TestBed,
    guards: &mut [ProcessGuard],
    idx: usize,
    work: impl Future<Output = T>,
) -> T {
    guards[idx].kill();
    let result = work.await;
    guards[idx] = bed.start_keeper(idx);
    result
}

#[tokio::test(flavor = "multi_thread")]
async fn a_claim_keeps_one_owner_and_one_response_while_keepers_are_killed() {
    let bed = TestBed::open(&[ZONE; 3]);
    let mut guards = bed.start_keepers();
    let peers = bed.keepers.iter().map(|keeper| keeper.peer).collect();
    let client = KeeperClient::open(peers);
    let mut tokens = Vec::new();
    for number in 0..REQUESTS {
        let reply = run(&client, ClaimCommand::Claim(request(number, "daemon-1"))).await;
        let ClaimReply::Granted(token) = reply else {
            panic!("request {number} is not granted: {reply:?}");
        };
        tokens.push(token);
    }
    for idx in 0..3 {
        let resend = async {
            for (number, token) in (0..).zip(&tokens) {
                let first = request(number, "daemon-1");
                let again = run(&client, ClaimCommand::Claim(first.clone())).await;
                assert_eq!(again, ClaimReply::Granted(*token));
                let other = run(&client, ClaimCommand::Claim(request(number, "daemon-2"))).await;
                assert_eq!(other, ClaimReply::Running(first.owner));
            }
        };
        with_keeper_down(&bed, &mut guards, idx, resend).await;
    }
    for idx in 0..3 {
        let finish = async {
            for (number, token) in (0..).zip(&tokens) {
                let command = ClaimCommand::Finish {
                    key: request(number, "daemon-1").key,
                    token: *token,
                    outcome: ClaimOutcome::Answered(response(number)),
                };
                assert_eq!(run(&client, command).await, ClaimReply::Done);
                assert_eq!(
                    claim_until_finished(&client, number).await,
                    ClaimReply::Replay(response(number))
                );
            }
        };
        with_keeper_down(&bed, &mut guards, idx, finish).await;
    }
}
