//! Messages between a claimer and the claim table.

use crate::name::{CustomerName, DaemonName, Incarnation, RequestId};
use serde::{Deserialize, Serialize};
use std::fmt;

/// Largest answer, headers and body, that is stored whole for replay, in bytes.
pub const STORED_RESPONSE_BYTES_MAX: u64 = 16 * 1024;
/// Longest prefix of a request body that its digest covers, in bytes.
pub const DIGEST_BODY_BYTES_MAX: usize = 64 * 1024;
/// Longest span by which one tick ages the table, in seconds.
pub const TICK_SECONDS_MAX: u32 = 30;
/// Memory of one stored header besides its text, in bytes.
const HEADER_BYTES: usize = 48;

/// Names a request of a customer over all its attempts.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct ClaimKey {
    /// The customer.
    pub customer: CustomerName,
    /// The request id, the same in every resend.
    pub id: RequestId,
}

impl ClaimKey {
    /// Returns the hash that the table and the groups of keepers go by.
    pub fn hash(&self) -> KeyHash {
        let mut hasher = blake3::Hasher::new();
        hash_part(&mut hasher, self.customer.as_str().as_bytes());
        hash_part(&mut hasher, self.id.as_str().as_bytes());
        KeyHash(first_half(&hasher.finalize()))
    }
}

impl fmt::Display for ClaimKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.customer, self.id)
    }
}

/// A 128-bit hash of a [`ClaimKey`].
///
/// Two keys with one hash would share a claim: a mismatch, never a second run.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct KeyHash([u8; 16]);

impl KeyHash {
    /// Returns which of `group_count` groups of keepers holds the claim.
    pub fn group(self, group_count: u16) -> u16 {
        let word = u64::from_le_bytes(self.0[8..].try_into().expect("eight bytes"));
        (word % u64::from(group_count.max(1))) as u16
    }
}

/// A 128-bit digest of what a request asks for.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct RequestDigest([u8; 16]);

impl RequestDigest {
    /// Returns the bytes of the digest.
    pub fn as_bytes(&self) -> &[u8; 16] {
        &self.0
    }

    /// Returns the digest of a request whose body begins with `prefix`.
    ///
    /// `prefix` is the whole body, or its first [`DIGEST_BODY_BYTES_MAX`] bytes when it is longer,
    /// so that the body of an upload streams.
    pub fn of(method: &str, service: &str, path: &str, prefix: &[u8]) -> RequestDigest {
        let mut hasher = blake3::Hasher::new();
        for part in [method, service, path] {
            hash_part(&mut hasher, part.as_bytes());
        }
        hash_part(&mut hasher, prefix);
        RequestDigest(first_half(&hasher.finalize()))
    }
}

/// Names one claim of one run of a daemon; never used for two claims.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct ClaimOwner {
    /// The daemon at whose gate the request is to run.
    pub daemon: DaemonName,
    /// The run of that daemon.
    pub incarnation: Incarnation,
    /// Counts the claims of that run.
    pub sequence: u64,
}

/// The log position of a grant; a later grant of the same key has a larger one.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct FencingToken(pub u64);

/// Asks for a claim.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ClaimRequest {
    /// The request.
    pub key: ClaimKey,
    /// What it asks for.
    pub digest: RequestDigest,
    /// The claimer.
    pub owner: ClaimOwner,
    /// The caller's count of attempts, from 0.
    pub attempt: u32,
    /// Log time for which the claim is remembered, in seconds.
    pub remember_seconds: u32,
}

/// An answer that is stored for replay.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct StoredResponse {
    /// The HTTP status.
    pub status: u16,
    /// The headers that describe the body.
    pub headers: Vec<(String, Vec<u8>)>,
    /// The body.
    pub body: AnswerBody,
}

/// The body of a [`StoredResponse`].
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum AnswerBody {
    /// The whole body.
    Whole(Vec<u8>),
    /// The body was too large to store; the answer can't be replayed.
    TooLarge,
}

impl StoredResponse {
    /// Returns the answer as it is stored where `room` bytes are left: whole, or its status alone.
    pub fn truncated_to(self, room: u64) -> StoredResponse {
        if self.bytes() <= room.min(STORED_RESPONSE_BYTES_MAX) {
            return self;
        }
        StoredResponse {
            status: self.status,
            headers: Vec::new(),
            body: AnswerBody::TooLarge,
        }
    }

    /// Returns the memory that the answer takes, in bytes.
    pub fn bytes(&self) -> u64 {
        let header_bytes =
            |(name, value): &(String, Vec<u8>)| name.len() + value.len() + HEADER_BYTES;
        let headers: usize = self.headers.iter().map(header_bytes).sum();
        let body = match &self.body {
            AnswerBody::Whole(body) => body.len(),
            AnswerBody::TooLarge => 0,
        };
        (headers + body) as u64
    }
}

/// How a granted claim ended.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum ClaimOutcome {
    /// The request ran and its whole answer is known.
    Answered(StoredResponse),
    /// The request may have run.
    Unknown,
}

/// One change of a [`ClaimTable`].
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum ClaimCommand {
    /// Asks for the claim. A resend by the same owner gets the same grant.
    Claim(ClaimRequest),
    /// Asks how the claim stands, without asking for it.
    Query(ClaimRequest),
    /// The owner states that the request has not run under this claim and never will.
    ///
    /// Valid before, after and without the claim it withdraws: a late copy of the claim is refused,
    /// and so are earlier attempts, whose caller is told that the request has not run.
    Withdraw(ClaimRequest),
    /// The owner records how a granted claim ended.
    Finish {
        /// The request.
        key: ClaimKey,
        /// The grant that ended.
        token: FencingToken,
        /// How it ended.
        outcome: ClaimOutcome,
    },
    /// The runs of a daemon before an incarnation are over: what they still hold may have run.
    RetireRuns {
        /// The daemon.
        daemon: DaemonName,
        /// The first incarnation that keeps its claims.
        before: Incarnation,
    },
    /// Ages the table by time that the leader has measured on its own monotonic clock.
    Tick {
        /// The time since the leader's last tick; capped at [`TICK_SECONDS_MAX`].
        elapsed_seconds: u32,
    },
}

/// The reply to a [`ClaimCommand`].
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum ClaimReply {
    /// The claimer may run the request.
    Granted(FencingToken),
    /// The request ran; this was its answer.
    Replay(StoredResponse),
    /// Another claimer holds the claim.
    Running(ClaimOwner),
    /// The request may have run; it is never run again.
    Unknown,
    /// The key was used for another request.
    Mismatch,
    /// The claimer has withdrawn this very claim, or a later attempt of the request has.
    Withdrawn,
    /// The claimer's run counts as over; a run from this incarnation on does not.
    OwnerRetired(Incarnation),
    /// Nobody holds the claim.
    Absent,
    /// The table is full; nothing was claimed.
    Full,
    /// The command is done, now or by an earlier copy.
    Done,
    /// The grant is not in force any more; nothing was recorded.
    StaleToken,
}

impl ClaimReply {
    /// Returns whether every later copy of the claim gets this very reply, or a whole answer in
    /// place of an unknown one.
    pub fn is_final(&self) -> bool {
        matches!(
            self,
            ClaimReply::Replay(_) | ClaimReply::Unknown | ClaimReply::Mismatch
        )
    }
}

fn hash_part(hasher: &mut blake3::Hasher, part: &[u8]) {
    hasher.update(&(part.len() as u64).to_le_bytes());
    hasher.update(part);
}

fn first_half(hash: &blake3::Hash) -> [u8; 16] {
    hash.as_bytes()[..16].try_into().expect("sixteen bytes")
}
