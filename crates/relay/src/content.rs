//! The content of a request, which stays the same when its caller sends it again under a new id.

use agatehill_backend::at_most_once::read_prefix;
use agatehill_decide::{
    claim::{DIGEST_BODY_BYTES_MAX, RequestDigest},
    quarantine::RequestFingerprint,
};
use agatehill_peer::body::CallBody;
use http::{HeaderValue, Request, header::HOST, request::Parts};
use std::io;

/// Returns the fingerprint of the request's host, method, path, query and body, and the body
/// unchanged. Costs a hash of up to [`DIGEST_BODY_BYTES_MAX`] bytes of the body.
///
/// The service and the calling service are not part of it: a change of the configuration may route
/// the same content elsewhere, and it may come again through another host.
///
/// # Errors
///
/// The sender aborted the body.
pub(crate) async fn fingerprint(
    head: &Parts,
    body: CallBody,
) -> io::Result<(RequestFingerprint, CallBody)> {
    let (bytes, body) = match body.buffered_bytes() {
        Some(bytes) => (bytes, body),
        None => read_prefix(body, DIGEST_BODY_BYTES_MAX).await?,
    };
    let prefix = &bytes[..bytes.len().min(DIGEST_BODY_BYTES_MAX)];
    let path = head.uri.path_and_query().map_or("/", |path| path.as_str());
    let digest = RequestDigest::of(head.method.as_str(), &host(head), path, prefix);
    Ok((digest.into(), body))
}

/// Returns the fingerprint of `req` and the request unchanged.
///
/// # Errors
///
/// The sender aborted the body.
pub(crate) async fn fingerprint_request(
    req: Request<CallBody>,
) -> io::Result<(RequestFingerprint, Request<CallBody>)> {
    let (head, body) = req.into_parts();
    let (fingerprint, body) = fingerprint(&head, body).await?;
    Ok((fingerprint, Request::from_parts(head, body)))
}

/// Returns the host that the request names, in lower case; empty without one.
fn host(head: &Parts) -> String {
    let named = head.headers.get(HOST).map(HeaderValue::as_bytes);
    let host = named.or_else(|| head.uri.host().map(str::as_bytes));
    String::from_utf8_lossy(host.unwrap_or_default()).to_lowercase()
}
