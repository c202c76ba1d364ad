//! Messages about quotas between daemons: one header in a request to another host's gate, and one in
//! its response. A daemon that doesn't know a message declines it; one that knows none of them answers
//! as to a request without a context, which reads as declined.

use agatehill_decide::{name::AccountName, quota::QuotaReply};
use http::{HeaderMap, HeaderName, HeaderValue};
use std::time::Duration;

/// Carries a [`QuotaCommand`] or a [`QuotaOutcome`].
pub(crate) const QUOTA: HeaderName = HeaderName::from_static("agatehill-quota");

/// A message to the host that hands out an account's tokens in its zone.
#[derive(Clone, Debug, PartialEq)]
pub(super) enum QuotaCommand {
    /// Asks for a token.
    Take {
        /// The account.
        account: AccountName,
    },
    /// Asks for tokens for another zone.
    Lend {
        /// The account.
        account: AccountName,
        /// Number of tokens.
        amount: u32,
    },
}

/// The reply to a [`QuotaCommand`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum QuotaOutcome {
    /// There is a token after this time.
    Granted {
        /// Zero if there is one now.
        wait: Duration,
    },
    /// The account has reached its limit.
    Denied {
        /// Time after which there is room.
        retry_after: Duration,
    },
    /// Tokens are lent.
    Lent {
        /// Their number.
        amount: u32,
    },
    /// This host can't tell; another one has to be asked.
    Declined,
}

/// Error for an outcome that is no reply to a request for a token.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) struct NotAReply;

impl QuotaCommand {
    pub(super) fn write(&self, headers: &mut HeaderMap) {
        let text = match self {
            QuotaCommand::Take { account } => format!("take {account}"),
            QuotaCommand::Lend { account, amount } => format!("lend {account} {amount}"),
        };
        insert(headers, &text);
    }

    /// Reads a command; returns `None` if it is malformed or of a later build.
    pub(super) fn read(headers: &HeaderMap) -> Option<QuotaCommand> {
        let mut fields = headers.get(QUOTA)?.to_str().ok()?.split(' ');
        let verb = fields.next()?;
        let account = AccountName::try_from(fields.next()?).ok()?;
        match verb {
            "take" => Some(QuotaCommand::Take { account }),
            "lend" => Some(QuotaCommand::Lend {
                account,
                amount: fields.next()?.parse().ok()?,
            }),
            _ => None,
        }
    }
}

impl QuotaOutcome {
    pub(super) fn write(self, headers: &mut HeaderMap) {
        let text = match self {
            QuotaOutcome::Granted { wait } => format!("granted {}", wait.as_micros()),
            QuotaOutcome::Denied { retry_after } => {
                format!("denied {}", retry_after.as_micros())
            }
            QuotaOutcome::Lent { amount } => format!("lent {amount}"),
            QuotaOutcome::Declined => "declined".to_owned(),
        };
        insert(headers, &text);
    }

    /// Reads an outcome; returns `None` if it is malformed or of a later build.
    pub(super) fn read(headers: &HeaderMap) -> Option<QuotaOutcome> {
        let mut fields = headers.get(QUOTA)?.to_str().ok()?.split(' ');
        let verb = fields.next()?;
        let mut number = || fields.next()?.parse().ok();
        match verb {
            "granted" => Some(QuotaOutcome::Granted {
                wait: Duration::from_micros(number()?),
            }),
            "denied" => Some(QuotaOutcome::Denied {
                retry_after: Duration::from_micros(number()?),
            }),
            "lent" => Some(QuotaOutcome::Lent {
                amount: u32::try_from(number()?).ok()?,
            }),
            "declined" => Some(QuotaOutcome::Declined),
            _ => None,
        }
    }
}

impl From<QuotaReply> for QuotaOutcome {
    fn from(reply: QuotaReply) -> QuotaOutcome {
        match reply {
            QuotaReply::Granted { wait } => QuotaOutcome::Granted { wait },
            QuotaReply::Denied { retry_after } => QuotaOutcome::Denied { retry_after },
        }
    }
}

impl TryFrom<QuotaOutcome> for QuotaReply {
    type Error = NotAReply;

    fn try_from(outcome: QuotaOutcome) -> Result<QuotaReply, NotAReply> {
        match outcome {
            QuotaOutcome::Granted { wait } => Ok(QuotaReply::Granted { wait }),
            QuotaOutcome::Denied { retry_after } => Ok(QuotaReply::Denied { retry_after }),
            QuotaOutcome::Lent { .. } | QuotaOutcome::Declined => Err(NotAReply),
        }
    }
}

fn insert(headers: &mut HeaderMap, text: &str) {
    let value = HeaderValue::try_from(text).expect("names and numbers are valid in a header value");
    headers.insert(QUOTA, value);
}
