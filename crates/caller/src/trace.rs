//! The `traceparent` header of W3C Trace Context, level 1.

use agatehill_decide::name::ChainId;
use http::HeaderValue;

/// Length of a version 00 header, in bytes.
const TRACEPARENT_BYTES: usize = 55;

/// Returns the trace-id of a `traceparent` value, or `None` when it is malformed.
pub fn parse(value: &HeaderValue) -> Option<ChainId> {
    let text = value.to_str().ok()?;
    if text.len() < TRACEPARENT_BYTES || !text.is_ascii() {
        return None;
    }
    let mut fields = text.split('-');
    let version = fields.next().filter(|s| is_hex(s, 2) && *s != "ff")?;
    let trace = fields.next().filter(|s| is_hex(s, 32))?;
    let parent = fields.next().filter(|s| is_hex(s, 16))?;
    fields.next().filter(|s| is_hex(s, 2))?;
    if version == "00" && fields.next().is_some() {
        return None;
    }
    let chain = u128::from_str_radix(trace, 16).ok()?;
    let parent = u64::from_str_radix(parent, 16).ok()?;
    (chain != 0 && parent != 0).then_some(ChainId(chain))
}

/// Returns the `traceparent` value of a new chain whose first call is `span`.
pub fn format(chain: ChainId, span: u64) -> HeaderValue {
    let text = format!("00-{:032x}-{:016x}-01", chain.0, span.max(1));
    HeaderValue::try_from(text).expect("hexadecimal digits and dashes make a header value")
}

fn is_hex(text: &str, len: usize) -> bool {
    let is_digit = |b: u8| b.is_ascii_digit() || (b'a'..=b'f').contains(&b);
    text.len() == len && text.bytes().all(is_digit)
}
