//! Claims at keepers that are killed one after the other.

use agatehill_decide::{
    claim::{
        ClaimCommand, ClaimKey, ClaimOutcome, ClaimOwner, ClaimReply, ClaimRequest, RequestDigest,
        StoredBody, StoredResponse,
    },
    name::{CustomerName, DaemonName, Incarnation, RequestId},
};
use agatehill_peer::keeper_client::KeeperClient;
use agatehill_tests::{
    bed::{SETTLE_LIMIT, TestBed, ZONE},
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

fn answer(number: u64) -> StoredResponse {
    StoredResponse {
        status: 201,
        headers: Vec::new(),
        body: StoredBody::Whole(number.to_le_bytes().into()),
    }
}

async fn run(client: &KeeperClient, command: ClaimCommand) -> ClaimReply {
    client.claim(&command, SETTLE_LIMIT).await.unwrap()
}

/// Claims `number` for another daemon until it no longer runs, and returns the reply.
///
/// A keeper that is behind may still call it running, by the first owner; that one asks again.
async fn settled(client: &KeeperClient, number: u64) -> ClaimReply {
    let running = ClaimReply::Running(request(number, "daemon-1").owner);
    let end = tokio::time::Instant::now() + SETTLE_LIMIT;
    loop {
        let reply = run(client, ClaimCommand::Claim(request(number, "daemon-2"))).await;
        if reply != running || tokio::time::Instant::now() > end {
            return reply;
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

/// Kills keeper `idx` and starts it again while `work` runs.
async fn disturb<T>(
    bed: &TestBed,
    guards: &mut [ProcessGuard],
    idx: usize,
    work: impl Future<Output = T>,
) -> T {
    guards[idx].kill();
    let done = work.await;
    guards[idx] = bed.start_keeper(idx);
    done
}

#[tokio::test(flavor = "multi_thread")]
async fn a_claim_has_one_holder_and_one_answer_through_kills() {
    let bed = TestBed::open(&[ZONE; 3]);
    let mut guards = bed.start_keepers();
    let peers = bed.keepers.iter().map(|keeper| keeper.peer).collect();
    let client = KeeperClient::spawn(peers);
    let mut grants = Vec::new();
    for number in 0..REQUESTS {
        let reply = run(&client, ClaimCommand::Claim(request(number, "daemon-1"))).await;
        let ClaimReply::Granted(token) = reply else {
            panic!("request {number} is not granted: {reply:?}");
        };
        grants.push(token);
    }
    for idx in 0..3 {
        let resend = async {
            for (number, token) in (0..).zip(&grants) {
                let first = request(number, "daemon-1");
                let again = run(&client, ClaimCommand::Claim(first.clone())).await;
                assert_eq!(again, ClaimReply::Granted(*token));
                let other = run(&client, ClaimCommand::Claim(request(number, "daemon-2"))).await;
                assert_eq!(other, ClaimReply::Running(first.owner));
            }
        };
        disturb(&bed, &mut guards, idx, resend).await;
    }
    for idx in 0..3 {
        let finish = async {
            for (number, token) in (0..).zip(&grants) {
                let command = ClaimCommand::Finish {
                    key: request(number, "daemon-1").key,
                    token: *token,
                    outcome: ClaimOutcome::Answered(answer(number)),
                };
                assert_eq!(run(&client, command).await, ClaimReply::Done);
                assert_eq!(
                    settled(&client, number).await,
                    ClaimReply::Replay(answer(number))
                );
            }
        };
        disturb(&bed, &mut guards, idx, finish).await;
    }
}
