//! Identities of requests and crashes.

use crate::{
    claim::RequestDigest,
    name::{CustomerName, DaemonName, Incarnation},
};
use serde::{Deserialize, Serialize};
use std::fmt;

/// Number of bytes that the fingerprints of a group and of its requests have in common.
const GROUP_BYTES: usize = 8;

/// Identifies all requests of a customer with the same content, whatever their request ids.
///
/// The request id is not included because the caller of a poison request may send it again under a
/// new one. Frequent requests of the same content are cleared by their own responses.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct RequestFingerprint([u8; 16]);

impl RequestFingerprint {
    /// Returns the fingerprint of the request of `customer` with the digest `digest`.
    pub fn of(customer: &CustomerName, digest: RequestDigest) -> RequestFingerprint {
        let mut hasher = blake3::Hasher::new();
        hasher.update(customer.as_str().as_bytes());
        hasher.update(digest.as_bytes());
        let hash = hasher.finalize();
        RequestFingerprint(hash.as_bytes()[..16].try_into().expect("sixteen bytes"))
    }
}

impl RequestFingerprint {
    /// Returns whether this is the fingerprint of `group` or of one of its requests.
    pub(super) fn is_in(self, group: RequestFingerprint) -> bool {
        self.0[..GROUP_BYTES] == group.0[..GROUP_BYTES]
    }
}

/// The fingerprint of a request that belongs to no customer.
impl From<RequestDigest> for RequestFingerprint {
    fn from(digest: RequestDigest) -> RequestFingerprint {
        RequestFingerprint(*digest.as_bytes())
    }
}

impl fmt::Display for RequestFingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}", u128::from_be_bytes(self.0))
    }
}

/// Identifies one crash of a backend server, before it happens.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct CrashId(u64);

impl CrashId {
    /// Returns the id of the crash number `sequence` in the run `incarnation` of `daemon`.
    pub fn of(daemon: &DaemonName, incarnation: Incarnation, sequence: u64) -> CrashId {
        let mut hasher = blake3::Hasher::new();
        hasher.update(&incarnation.0.to_le_bytes());
        hasher.update(&sequence.to_le_bytes());
        hasher.update(daemon.as_str().as_bytes());
        let hash = hasher.finalize();
        CrashId(u64::from_le_bytes(
            hash.as_bytes()[..8].try_into().expect("eight bytes"),
        ))
    }
}

/// What identifies a request whenever its caller sends it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct RequestContent {
    /// Identifies the requests with the same content.
    pub fingerprint: RequestFingerprint,
    /// Identifies the requests that differ in nothing but their query, if it has one.
    pub group: Option<RequestFingerprint>,
}

impl RequestContent {
    /// Returns the content of a request that belongs to a group. Its fingerprint begins with the first half
    /// of the group's, so that strikes tell which group a request belongs to.
    pub fn in_group(fingerprint: RequestFingerprint, group: RequestFingerprint) -> RequestContent {
        let mut bytes = fingerprint.0;
        bytes[..GROUP_BYTES].copy_from_slice(&group.0[..GROUP_BYTES]);
        RequestContent {
            fingerprint: RequestFingerprint(bytes),
            group: Some(group),
        }
    }

    /// Returns all fingerprints that are struck and cleared with the request.
    pub fn fingerprints(self) -> impl Iterator<Item = RequestFingerprint> {
        [self.fingerprint].into_iter().chain(self.group)
    }
}

/// The content of a request that belongs to no group.
impl From<RequestFingerprint> for RequestContent {
    fn from(fingerprint: RequestFingerprint) -> RequestContent {
        RequestContent {
            fingerprint,
            group: None,
        }
    }
}
