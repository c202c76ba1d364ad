//! Measures claims: size in the replicated log, time to apply, memory and snapshot size.

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

/// Retention of the claims, in seconds.
const REMEMBER_SECONDS: u32 = 48 * 3600;

/// Memory limit of the table, in bytes; out of reach, so that no claim is refused.
const CLAIM_TABLE_BYTES_MAX: u64 = 1 << 40;

/// Measures a keeper's claim table: bytes in the log and in snapshots, time and memory per claim.
#[derive(clap::Args, Debug)]
pub(crate) struct Args {
    /// Number of claims.
    #[arg(long, default_value_t = 1_000_000)]
    claims: u64,
    /// Body size of each stored response, in bytes.
    #[arg(long, default_value_t = 200)]
    answer_bytes: usize,
}

/// Fills a claim table with finished claims and prints the figures.
pub(crate) fn run(args: &Args) -> Result<()> {
    let Args {
        claims,
        answer_bytes,
    } = *args;
    let claim_log_bytes = postcard::to_allocvec(&claim_command(claims))?.len();
    let finish_log_bytes = postcard::to_allocvec(&finish_command(claims, answer_bytes))?.len();
    let claim_build_nanos = mean_nanos(claims, claim_command);
    let finish_build_nanos = mean_nanos(claims, |number| finish_command(number, answer_bytes));
    let mut claim_nanos = 0.0;
    let mut finish_nanos = 0.0;
    let (table, bytes) = measure_memory(|| {
        let mut table = ClaimTable::with_bytes_max(CLAIM_TABLE_BYTES_MAX);
        claim_nanos = mean_nanos(claims, |number| {
            table.apply(number + 1, claim_command(number))
        });
        finish_nanos = mean_nanos(claims, |number| {
            table.apply(claims + number + 1, finish_command(number, answer_bytes))
        });
        table
    })?;
    let started = Instant::now();
    let snapshot = postcard::to_allocvec(&table)?.len() as u64;
    println!(
        "claims={claims} answer_bytes={answer_bytes} claim_log_bytes={claim_log_bytes} \
         finish_log_bytes={finish_log_bytes} claim_ns={:.0} finish_ns={:.0} bytes_each={} \
         snapshot_bytes_each={} snapshot_ms={:.0}",
        claim_nanos - claim_build_nanos,
        finish_nanos - finish_build_nanos,
        bytes / claims,
        snapshot / claims,
        started.elapsed().as_secs_f64() * 1e3
    );
    Ok(())
}

fn claim_command(number: u64) -> ClaimCommand {
    ClaimCommand::Claim(ClaimRequest {
        attempt: 0,
        key: claim_key(number),
        digest: RequestDigest::of("POST", "gasdata", "/logbook/entries", &number.to_le_bytes()),
        owner: ClaimOwner {
            daemon: DaemonName::try_from("herning-1-gasdata").expect("the name is valid"),
            incarnation: Incarnation(1),
            sequence: number,
        },
        remember_seconds: REMEMBER_SECONDS,
    })
}

fn finish_command(number: u64, answer_bytes: usize) -> ClaimCommand {
    ClaimCommand::Finish {
        key: claim_key(number),
        token: FencingToken(number + 1),
        outcome: ClaimOutcome::Answered(StoredResponse {
            status: 200,
            headers: vec![("content-type".to_owned(), b"application/json".to_vec())],
            body: StoredBody::Whole(vec![b'x'; answer_bytes]),
        }),
    }
}

fn claim_key(number: u64) -> ClaimKey {
    ClaimKey {
        customer: CustomerName::try_from("dansk").expect("the name is valid"),
        id: RequestId::try_from(format!("entry-{number:016x}")).expect("the id is valid"),
    }
}
