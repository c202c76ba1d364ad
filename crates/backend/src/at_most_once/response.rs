//! Reads request prefixes and responses, and converts responses from and to their stored form.

use agatehill_decide::claim::{STORED_RESPONSE_BYTES_MAX, StoredBody, StoredResponse};
use agatehill_peer::{body::CallBody, headers::strip_call_headers};
use bytes::{Bytes, BytesMut};
use futures_util::{StreamExt, stream};
use http::{HeaderMap, HeaderName, HeaderValue, Response, StatusCode, header::CONTENT_LENGTH};
use http_body::Frame;
use http_body_util::{BodyExt, StreamBody};
use std::{io, pin::pin};

/// Reads `body` until more than `limit` bytes have arrived or it ends; returns what was read, and
/// the complete body.
///
/// # Errors
///
/// The sender aborted the body.
pub async fn read_prefix(mut body: CallBody, limit: usize) -> io::Result<(Bytes, CallBody)> {
    let mut prefix = BytesMut::new();
    loop {
        if prefix.len() > limit {
            let prefix = prefix.freeze();
            return Ok((prefix.clone(), chained(prefix, body)));
        }
        match body.frame().await.transpose()?.map(Frame::into_data) {
            Some(Ok(data)) => prefix.extend_from_slice(&data),
            // Trailers are dropped.
            Some(Err(_)) => {}
            None => break,
        }
    }
    let prefix = prefix.freeze();
    Ok((prefix.clone(), CallBody::buffered(prefix)))
}

/// Reads a response until it ends or is too large to store; returns it with its stored form.
///
/// # Errors
///
/// The backend server aborted the response.
pub async fn collect_response(
    response: Response<CallBody>,
) -> io::Result<(Response<CallBody>, StoredResponse)> {
    let (mut parts, body) = response.into_parts();
    strip_call_headers(&mut parts.headers);
    let limit = usize::try_from(STORED_RESPONSE_BYTES_MAX).unwrap_or(usize::MAX);
    let (prefix, body) = read_prefix(body, limit).await?;
    let stored_body = match &body {
        CallBody::Buffered(_) => StoredBody::Whole(prefix.to_vec()),
        CallBody::Stream(_) => StoredBody::TooLarge,
    };
    let stored = StoredResponse {
        status: parts.status.as_u16(),
        headers: stored_headers(&parts.headers),
        body: stored_body,
    };
    Ok((
        Response::from_parts(parts, body),
        stored.truncated_to(u64::MAX),
    ))
}

/// Returns the HTTP response of a stored response.
pub fn replayed_response(stored: StoredResponse) -> Response<CallBody> {
    let body = match stored.body {
        StoredBody::Whole(body) => body,
        StoredBody::TooLarge => Vec::new(),
    };
    let mut response = Response::new(CallBody::buffered(body.into()));
    *response.status_mut() = StatusCode::from_u16(stored.status).unwrap_or(StatusCode::OK);
    for (name, value) in stored.headers {
        let name = HeaderName::try_from(name);
        if let (Ok(name), Ok(value)) = (name, HeaderValue::from_bytes(&value)) {
            response.headers_mut().append(name, value);
        }
    }
    response
}

fn stored_headers(headers: &HeaderMap) -> Vec<(String, Vec<u8>)> {
    let kept = headers.iter().filter(|(name, _)| **name != CONTENT_LENGTH);
    kept.map(|(name, value)| (name.to_string(), value.as_bytes().to_vec()))
        .collect()
}

fn chained(prefix: Bytes, rest: CallBody) -> CallBody {
    let first = stream::iter([Ok(Frame::data(prefix))]);
    let rest = stream::unfold(rest, |mut rest| async move {
        let frame = pin!(&mut rest).frame().await?;
        Some((frame, rest))
    });
    CallBody::Stream(BodyExt::boxed_unsync(StreamBody::new(first.chain(rest))))
}
