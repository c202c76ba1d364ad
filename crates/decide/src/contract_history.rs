//! The accepted contracts of all customers, as a replicated state.

use crate::{name::CustomerName, replicated_state::ReplicatedState};
use serde::{Deserialize, Serialize};
use std::{collections::BTreeMap, sync::Arc};

/// BLAKE3 digest of an accepted text.
pub type TextDigest = [u8; 32];

/// Returns the digest of `text`.
pub fn text_digest(text: &str) -> TextDigest {
    *blake3::hash(text.as_bytes()).as_bytes()
}

/// A contract revision that an operator proposes.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ContractPut {
    /// The customer whose contract it is.
    pub customer: CustomerName,
    /// The revision stated in `text`.
    pub revision: u64,
    /// The whole contract in TOML, already checked.
    pub text: Arc<str>,
}

/// An accepted revision of a contract.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct AcceptedRevision {
    /// The revision: the number of the customer's accepted change, from 1.
    pub revision: u64,
    /// Log position of the change.
    pub position: u64,
    /// Digest of the accepted text.
    pub digest: TextDigest,
}

/// The reply to a proposed revision.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum ContractReply {
    /// The revision is accepted; a retry with the same bytes gets the same reply.
    Accepted(AcceptedRevision),
    /// The revision was accepted earlier with another text.
    Conflict(AcceptedRevision),
    /// The revision isn't the next one.
    Gap {
        /// The latest accepted revision, 0 if there is none.
        current: u64,
    },
}

/// The accepted contract of one customer.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ContractRecord {
    /// Log position and digest of every accepted revision; index `i` is revision `i + 1`.
    revisions: Vec<(u64, TextDigest)>,
    /// The text of the latest revision.
    text: Arc<str>,
}

impl ContractRecord {
    /// Returns the latest accepted revision.
    pub fn latest(&self) -> AcceptedRevision {
        let revision = self.revisions.len() as u64;
        self.accepted(revision)
            .expect("a record holds at least one revision")
    }

    /// Returns the text of the latest accepted revision.
    pub fn text(&self) -> &Arc<str> {
        &self.text
    }

    /// Returns all accepted revisions, oldest first.
    pub fn revisions(&self) -> Vec<AcceptedRevision> {
        let count = self.revisions.len() as u64;
        (1..=count).filter_map(|rev| self.accepted(rev)).collect()
    }

    fn accepted(&self, revision: u64) -> Option<AcceptedRevision> {
        let idx = usize::try_from(revision.checked_sub(1)?).ok()?;
        let (position, digest) = *self.revisions.get(idx)?;
        Some(AcceptedRevision {
            revision,
            position,
            digest,
        })
    }
}

/// The accepted contracts of all customers.
///
/// Digest and position of every accepted revision are kept, so that a retry gets the original reply
/// after any number of later changes. The text is kept for the latest revision only.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct ContractHistory {
    records: BTreeMap<CustomerName, ContractRecord>,
    position: u64,
}

impl ContractHistory {
    /// Returns the log position of the latest accepted revision, 0 if there is none.
    pub fn position(&self) -> u64 {
        self.position
    }

    /// Returns the record of `customer`.
    pub fn get(&self, customer: &CustomerName) -> Option<&ContractRecord> {
        self.records.get(customer)
    }

    /// Returns all records, sorted by customer.
    pub fn iter(&self) -> impl Iterator<Item = (&CustomerName, &ContractRecord)> {
        self.records.iter()
    }

    /// Returns the records whose latest revision was accepted after log position `after`.
    pub fn changed_after(
        &self,
        after: u64,
    ) -> impl Iterator<Item = (&CustomerName, &ContractRecord)> {
        self.iter()
            .filter(move |(_, record)| record.latest().position > after)
    }

    fn accept(&mut self, position: u64, put: ContractPut) -> AcceptedRevision {
        let digest = text_digest(&put.text);
        let record = self.records.entry(put.customer).or_insert(ContractRecord {
            revisions: Vec::new(),
            text: put.text.clone(),
        });
        record.revisions.push((position, digest));
        record.text = put.text;
        self.position = position;
        record.latest()
    }
}

impl ReplicatedState for ContractHistory {
    type Command = ContractPut;
    type Reply = ContractReply;

    fn apply(&mut self, position: u64, put: ContractPut) -> ContractReply {
        let record = self.records.get(&put.customer);
        let current = record.map_or(0, |r| r.latest().revision);
        if let Some(accepted) = record.and_then(|r| r.accepted(put.revision)) {
            let same = accepted.digest == text_digest(&put.text);
            return if same {
                ContractReply::Accepted(accepted)
            } else {
                ContractReply::Conflict(accepted)
            };
        }
        if put.revision != current + 1 {
            return ContractReply::Gap { current };
        }
        ContractReply::Accepted(self.accept(position, put))
    }
}
