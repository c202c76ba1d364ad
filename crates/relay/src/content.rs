//! The content of a request, which stays the same when its caller sends it again under a new id.

use agatehill_backend::at_most_once::read_prefix;
use agatehill_decide::{
    claim::{DIGEST_BODY_BYTES_MAX, RequestDigest},
    quarantine::{RequestContent, RequestFingerprint},
};
use agatehill_peer::body::CallBody;
use http::{HeaderValue, Request, header::HOST, request::Parts};
use std::io;

/// Returns what identifies a request by its host, method, path, query and body, and the body unchanged.
/// Requests that differ in nothing but their query form a group. Costs a hash of up to
/// [`DIGEST_BODY_BYTES_MAX`] bytes of the body, and a second one with a query.
///
/// The service and the calling service are not part of it: a change of the configuration may route
/// the same content elsewhere, and it may come again through another host.
///
/// # Errors
///
/// The sender aborted the body.
pub(crate) async fn identify(
    head: &Parts,
    body: CallBody,
) -> io::Result<(RequestContent, CallBody)> {
    let (bytes, body) = match body.buffered_bytes() {
        Some(bytes) => (bytes, body),
        None => read_prefix(body, DIGEST_BODY_BYTES_MAX).await?,
    };
    let prefix = &bytes[..bytes.len().min(DIGEST_BODY_BYTES_MAX)];
    let (host, method) = (host(head), head.method.as_str());
    let path = head.uri.path_and_query().map_or("/", |path| path.as_str());
    let fingerprint = RequestFingerprint::from(RequestDigest::of(method, &host, path, prefix));
    if head.uri.query().is_none() {
        return Ok((fingerprint.into(), body));
    }
    // No method contains a space, so that no request has the fingerprint of a group.
    let method = format!("{method} with any query");
    let group = RequestDigest::of(&method, &host, head.uri.path(), prefix);
    let content = RequestContent::in_group(fingerprint, group.into());
    Ok((content, body))
}

/// Returns what identifies `req`, and the request unchanged.
///
/// # Errors
///
/// The sender aborted the body.
pub(crate) async fn identify_request(
    req: Request<CallBody>,
) -> io::Result<(RequestContent, Request<CallBody>)> {
    let (head, body) = req.into_parts();
    let (content, body) = identify(&head, body).await?;
    Ok((content, Request::from_parts(head, body)))
}

/// Returns the host that the request names, in lower case; empty without one.
fn host(head: &Parts) -> String {
    let named = head.headers.get(HOST).map(HeaderValue::as_bytes);
    let host = named.or_else(|| head.uri.host().map(str::as_bytes));
    String::from_utf8_lossy(host.unwrap_or_default()).to_lowercase()
}
