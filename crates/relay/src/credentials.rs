//! The key that a request of a caller carries.

use http::{HeaderMap, HeaderValue, header::AUTHORIZATION};

/// Scheme of the `Authorization` header, in lower case.
const SCHEME: &str = "bearer";

/// What a request says of who sends it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Credentials<'a> {
    /// It carries no key.
    Absent,
    /// It carries this key.
    Key(&'a str),
    /// It carries several keys, or something else than a key.
    Malformed,
}

/// Returns the credentials in `headers`.
pub(crate) fn credentials(headers: &HeaderMap) -> Credentials<'_> {
    let mut values = headers.get_all(AUTHORIZATION).iter();
    match (values.next(), values.next()) {
        (None, _) => Credentials::Absent,
        (Some(value), None) => key(value).map_or(Credentials::Malformed, Credentials::Key),
        (Some(_), Some(_)) => Credentials::Malformed,
    }
}

fn key(value: &HeaderValue) -> Option<&str> {
    let (scheme, key) = value.to_str().ok()?.split_once(' ')?;
    let key = key.trim();
    let is_valid = scheme.eq_ignore_ascii_case(SCHEME) && !key.is_empty();
    is_valid.then_some(key)
}
