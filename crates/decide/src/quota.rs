//! Limits on the requests of client accounts, kept on all daemons together.
//!
//! A limit is divided evenly between availability zones. In each zone one daemon, the account's owner,
//! hands out its tokens: see [`QuotaLedger`] and [`owner_order`].

mod ledger;
mod owner;

pub use self::{
    ledger::{LedgerOptions, QuotaLedger, QuotaReply, QuotaTolerance, TOKEN_LIFETIME, WAIT_MAX},
    owner::{OwnerBackoff, owner_order},
};
