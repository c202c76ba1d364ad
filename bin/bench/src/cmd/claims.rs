//! Cost of claims: log bytes, time to apply, memory and snapshots.

use crate::cost::{mean_nanos, measure_memory};
use agatehill_decide::{
    claim::{
        ClaimCommand, ClaimKey, ClaimOutcome, ClaimOwner, ClaimRequest, ClaimTable, FencingToken,
        RequestDigest, StoredBody, StoredResponse,
    },
    name::{CustomerName, DaemonName, Incarnation, RequestId},
    replicated_state::ReplicatedState,
};
use eyre::Result;
use std::time::Instant;

/// Time for which claims are remembered, in seconds.
const REMEMBER_SECONDS: u32 = 48 * 3600;

/// Memory of a table that never fills, in bytes.
const CLAIM_TABLE_BYTES_MAX: u64 = 1 << 40;

/// Measures claims at a keeper.
#[derive(clap::Args, Debug)]
pub(crate) struct Args {
    /// Number of claims.
    #[arg(long, default_value_t = 1_000_000)]
    claims: u64,
    /// Size of each stored answer, in bytes.
    #[arg(long, default_value_t = 200)]
    answer_bytes: usize,
}

/// Runs the command.
pub(crate) fn run(args: &Args) -> Result<()> {
    let Args {
        claims,
        answer_bytes,
    } = *args;
    let claim_log = postcard::to_allocvec(&claim(claims))?.len();
    let finish_log = postcard::to_allocvec(&finish(claims, answer_bytes))?.len();
    let made_nanos = mean_nanos(claims, claim);
    let finish_made_nanos = mean_nanos(claims, |number| finish(number, answer_bytes));
    let mut claim_nanos = 0.0;
    let mut finish_nanos = 0.0;
    let (table, bytes) = measure_memory(|| {
        let mut table = ClaimTable::with_bytes_max(CLAIM_TABLE_BYTES_MAX);
        claim_nanos = mean_nanos(claims, |number| table.apply(number + 1, claim(number)));
        finish_nanos = mean_nanos(claims, |number| {
            table.apply(claims + number + 1, finish(number, answer_bytes))
        });
        table
    })?;
    let started = Instant::now();
    let snapshot = postcard::to_allocvec(&table)?.len() as u64;
    println!(
        "claims={claims} answer_bytes={answer_bytes} claim_log_bytes={claim_log} \
         finish_log_bytes={finish_log} claim_ns={:.0} finish_ns={:.0} bytes_each={} \
         snapshot_bytes_each={} snapshot_ms={:.0}",
        claim_nanos - made_nanos,
        finish_nanos - finish_made_nanos,
        bytes / claims,
        snapshot / claims,
        started.elapsed().as_secs_f64() * 1e3
    );
    Ok(())
}

fn claim(number: u64) -> ClaimCommand {
    ClaimCommand::Claim(ClaimRequest {
        attempt: 0,
        key: key(number),
        digest: RequestDigest::of("POST", "gasdata", "/logbook/entries", &number.to_le_bytes()),
        owner: ClaimOwner {
            daemon: DaemonName::try_from("herning-1-gasdata").expect("the name is short and plain"),
            incarnation: Incarnation(1),
            sequence: number,
        },
        remember_seconds: REMEMBER_SECONDS,
    })
}

fn finish(number: u64, answer_bytes: usize) -> ClaimCommand {
    ClaimCommand::Finish {
        key: key(number),
        token: FencingToken(number + 1),
        outcome: ClaimOutcome::Answered(StoredResponse {
            status: 200,
            headers: vec![("content-type".to_owned(), b"application/json".to_vec())],
            body: StoredBody::Whole(vec![b'x'; answer_bytes]),
        }),
    }
}

fn key(number: u64) -> ClaimKey {
    ClaimKey {
        customer: CustomerName::try_from("dansk").expect("the name is short and plain"),
        id: RequestId::try_from(format!("entry-{number:016x}")).expect("the id is short and plain"),
    }
}
