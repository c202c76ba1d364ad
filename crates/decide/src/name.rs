//! Validated names and identifiers.

use serde::{Deserialize, Serialize};
use std::{borrow::Borrow, fmt, sync::Arc};

/// Longest name or request id, in bytes.
pub const NAME_BYTES_MAX: usize = 64;

/// The error for a name that is empty, too long or contains a character outside `[A-Za-z0-9._-]`.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct NameError {
    kind: &'static str,
    text: String,
}

impl fmt::Display for NameError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let NameError { kind, text } = self;
        write!(
            f,
            "{kind} {text:?} must be 1 to {NAME_BYTES_MAX} characters of [A-Za-z0-9._-]"
        )
    }
}

impl std::error::Error for NameError {}

macro_rules! checked_name {
    ($(#[$doc:meta])* $name:ident, $kind:literal) => {
        $(#[$doc])*
        #[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
        #[serde(try_from = "String", into = "String")]
        pub struct $name(Arc<str>);

        impl $name {
            /// Returns the name as text.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl Borrow<str> for $name {
            fn borrow(&self) -> &str {
                &self.0
            }
        }

        impl TryFrom<&str> for $name {
            type Error = NameError;

            fn try_from(text: &str) -> Result<$name, NameError> {
                if is_name(text) {
                    return Ok($name(text.into()));
                }
                Err(NameError { kind: $kind, text: text.chars().take(NAME_BYTES_MAX).collect() })
            }
        }

        impl TryFrom<String> for $name {
            type Error = NameError;

            fn try_from(text: String) -> Result<$name, NameError> {
                $name::try_from(text.as_str())
            }
        }

        impl From<$name> for String {
            fn from(name: $name) -> String {
                name.0.as_ref().to_owned()
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }
    };
}

checked_name!(
    /// Names a customer.
    CustomerName,
    "customer"
);
checked_name!(
    /// Names a client account of the service configuration.
    AccountName,
    "account"
);
checked_name!(
    /// Names a service, the unit that backend servers announce.
    ServiceName,
    "service"
);
checked_name!(
    /// Names an availability zone.
    ZoneName,
    "zone"
);
checked_name!(
    /// Names a region, a group of availability zones.
    RegionName,
    "region"
);
checked_name!(
    /// Names a daemon; unique in the installation.
    DaemonName,
    "daemon"
);
checked_name!(
    /// Names a keeper; unique in the installation.
    KeeperName,
    "keeper"
);
checked_name!(
    /// Identifies one request of a customer; the same in every retry.
    RequestId,
    "idempotency-key"
);

/// Identifies a call chain: the trace-id of W3C Trace Context.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct ChainId(pub u128);

impl fmt::Display for ChainId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}", self.0)
    }
}

/// Identifies one run of a process; later runs have larger numbers. For a replica it identifies the
/// disk instead, and the numbers have no order.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
pub struct Incarnation(pub u64);

fn is_name(text: &str) -> bool {
    let allowed = |b: u8| b.is_ascii_alphanumeric() || matches!(b, b'.' | b'_' | b'-');
    (1..=NAME_BYTES_MAX).contains(&text.len()) && text.bytes().all(allowed)
}
