//! Commands and replies of the claim table.

use crate::name::{CustomerName, DaemonName, Incarnation, RequestId};
use serde::{Deserialize, Serialize};
use std::fmt;

/// Largest response, headers and body together, that is stored whole for replay, in bytes.
pub const STORED_RESPONSE_BYTES_MAX: u64 = 16 * 1024;
/// Longest prefix of a request body that its digest covers, in bytes.
pub const DIGEST_BODY_BYTES_MAX: usize = 64 * 1024;
/// Longest log time that one tick adds, in seconds.
pub const TICK_SECONDS_MAX: u32 = 30;
/// Memory of one stored header in addition to its text, in bytes.
const HEADER_BYTES: usize = 48;

/// Identifies a request of a customer across all its attempts.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct ClaimKey {
    /// The customer.
    pub customer: CustomerName,
    /// The request id, the same in every retry.
    pub id: RequestId,
}

impl ClaimKey {
    /// Returns the hash by which the table and the keeper groups identify the request.
    pub fn hash(&self) -> KeyHash {
        let mut hasher = blake3::Hasher::new();
        hash_field(&mut hasher, self.customer.as_str().as_bytes());
        hash_field(&mut hasher, self.id.as_str().as_bytes());
        KeyHash(truncate(&hasher.finalize()))
    }
}

impl fmt::Display for ClaimKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.customer, self.id)
    }
}

/// A 128-bit hash of a [`ClaimKey`].
///
/// Two keys with the same hash would share a claim. The second request would be refused with
/// [`ClaimReply::Mismatch`] and never run.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct KeyHash([u8; 16]);

impl KeyHash {
    /// Returns which of `group_count` keeper groups holds the claim.
    pub fn group(self, group_count: u16) -> u16 {
        let word = u64::from_le_bytes(self.0[8..].try_into().expect("eight bytes"));
        (word % u64::from(group_count.max(1))) as u16
    }
}

/// A 128-bit digest of a request's content.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct RequestDigest([u8; 16]);

impl RequestDigest {
    /// Returns the digest as bytes.
    pub fn as_bytes(&self) -> &[u8; 16] {
        &self.0
    }

    /// Returns the digest of a request whose body begins with `prefix`.
    ///
    /// `prefix` is the whole body, or its first [`DIGEST_BODY_BYTES_MAX`] bytes if it is longer, so
    /// that the body of an upload can be streamed.
    pub fn of(method: &str, service: &str, path: &str, prefix: &[u8]) -> RequestDigest {
        let mut hasher = blake3::Hasher::new();
        for part in [method, service, path] {
            hash_field(&mut hasher, part.as_bytes());
        }
        hash_field(&mut hasher, prefix);
        RequestDigest(truncate(&hasher.finalize()))
    }
}

/// Identifies one claim of one run of a daemon; never used for two claims.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct ClaimOwner {
    /// The daemon whose gate is to run the request.
    pub daemon: DaemonName,
    /// The run of that daemon.
    pub incarnation: Incarnation,
    /// Number of the claim within that run.
    pub sequence: u64,
}

/// The fencing token of a grant: its log position. A later grant of the same key has a larger one.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct FencingToken(pub u64);

/// A request for a claim.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ClaimRequest {
    /// The request to claim.
    pub key: ClaimKey,
    /// Digest of its content.
    pub digest: RequestDigest,
    /// The owner that asks for the claim.
    pub owner: ClaimOwner,
    /// Number of the caller's attempt, from 0.
    pub attempt: u32,
    /// Log time for which the claim is remembered, in seconds.
    pub remember_seconds: u32,
}

/// A response that is stored for replay.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct StoredResponse {
    /// The HTTP status.
    pub status: u16,
    /// The headers that describe the body.
    pub headers: Vec<(String, Vec<u8>)>,
    /// The body.
    pub body: StoredBody,
}

/// The body of a [`StoredResponse`].
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum StoredBody {
    /// The whole body.
    Whole(Vec<u8>),
    /// The body was too large to store, so the response can't be replayed.
    TooLarge,
}

impl StoredResponse {
    /// Returns the response as it is stored if `free_bytes` are left: whole, or its status alone.
    pub fn truncated_to(self, free_bytes: u64) -> StoredResponse {
        if self.bytes() <= free_bytes.min(STORED_RESPONSE_BYTES_MAX) {
            return self;
        }
        StoredResponse {
            status: self.status,
            headers: Vec::new(),
            body: StoredBody::TooLarge,
        }
    }

    /// Returns the memory that the response uses, in bytes.
    pub fn bytes(&self) -> u64 {
        let header_bytes =
            |(name, value): &(String, Vec<u8>)| name.len() + value.len() + HEADER_BYTES;
        let headers: usize = self.headers.iter().map(header_bytes).sum();
        let body = match &self.body {
            StoredBody::Whole(body) => body.len(),
            StoredBody::TooLarge => 0,
        };
        (headers + body) as u64
    }
}

/// How a granted claim ended.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum ClaimOutcome {
    /// The request ran and its whole response is available.
    Answered(StoredResponse),
    /// The request may have run.
    Unknown,
}

/// A command of a [`ClaimTable`](super::ClaimTable).
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum ClaimCommand {
    /// Asks for the claim. A retry by the same owner returns the same grant.
    Claim(ClaimRequest),
    /// Returns the state of the claim without asking for it.
    Query(ClaimRequest),
    /// The owner states that the request has not run under this claim and never will.
    ///
    /// Valid before, after and without the claim that it withdraws. A delayed copy of the claim is
    /// refused, and so are earlier attempts of the request; their caller learns that the request
    /// has not run.
    Withdraw(ClaimRequest),
    /// The owner records how a granted claim ended.
    Finish {
        /// The claimed request.
        key: ClaimKey,
        /// The fencing token of the grant that ended.
        token: FencingToken,
        /// How it ended.
        outcome: ClaimOutcome,
    },
    /// The runs of a daemon before an incarnation have ended; requests whose claims they still hold
    /// may have run.
    RetireRuns {
        /// The daemon.
        daemon: DaemonName,
        /// The first incarnation that keeps its claims.
        before: Incarnation,
    },
    /// Advances the log time by a time that the leader has measured on its monotonic clock.
    Tick {
        /// Time since the leader's previous tick, in seconds; the table caps it at
        /// [`TICK_SECONDS_MAX`].
        elapsed_seconds: u32,
    },
}

/// The reply to a [`ClaimCommand`].
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum ClaimReply {
    /// The owner may run the request.
    Granted(FencingToken),
    /// The request ran; this was its response.
    Replay(StoredResponse),
    /// Another owner holds the claim.
    Running(ClaimOwner),
    /// The request may have run; it is never run again.
    Unknown,
    /// The key was used for a request with another digest.
    Mismatch,
    /// The owner has withdrawn this claim, or a later attempt of the request was withdrawn.
    Withdrawn,
    /// The owner's run has been retired; runs from this incarnation on have not.
    OwnerRetired(Incarnation),
    /// The claim doesn't exist.
    Absent,
    /// The table is full and nothing was claimed.
    Full,
    /// The command was executed, now or by an earlier copy.
    Done,
    /// The grant is no longer in force and nothing was recorded.
    StaleToken,
}

impl ClaimReply {
    /// Returns whether every later copy of the claim gets this reply as well, or a response in
    /// place of [`ClaimReply::Unknown`].
    pub fn is_final(&self) -> bool {
        matches!(
            self,
            ClaimReply::Replay(_) | ClaimReply::Unknown | ClaimReply::Mismatch
        )
    }
}

fn hash_field(hasher: &mut blake3::Hasher, part: &[u8]) {
    hasher.update(&(part.len() as u64).to_le_bytes());
    hasher.update(part);
}

fn truncate(hash: &blake3::Hash) -> [u8; 16] {
    hash.as_bytes()[..16].try_into().expect("sixteen bytes")
}
