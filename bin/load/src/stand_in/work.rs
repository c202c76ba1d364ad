//! Handles one request at a stand-in.

use super::{
    StandIn,
    serve::{ResponseBody, full_body, json_response},
};
use crate::client::{DEADLINE_HEADER, IDEMPOTENCY_KEY_HEADER};
use bytes::Bytes;
use eyre::Result;
use futures_util::{StreamExt, stream};
use http::{
    HeaderMap, HeaderName, Request, Response, StatusCode,
    header::{CONTENT_LENGTH, CONTENT_TYPE, RETRY_AFTER},
};
use http_body_util::{BodyExt, StreamBody};
use hyper::body::{Body, Frame, Incoming};
use serde::Serialize;
use std::{io, process, time::Duration};
use tokio::{sync::SemaphorePermit, time};

/// Injects a fault into the request.
const FAULT_HEADER: HeaderName = HeaderName::from_static("agatehill-load-mark");

/// Retry-after of a shed request, in seconds.
const SHED_RETRY_SECONDS: u32 = 1;

/// Time from the first half of a truncated response to the error, so that this half is sent.
const TRUNCATION_DELAY: Duration = Duration::from_millis(50);

/// Body of a response, which identifies the request and describes its body.
#[derive(Serialize)]
struct StandInResponse<'a> {
    service: &'a str,
    path: &'a str,
    key: Option<&'a str>,
    bytes: u64,
    blake3: String,
    filling: String,
}

/// Fault to inject into a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum InjectedFault {
    None,
    Crash,
    TruncateResponse,
    Fail,
}

/// Runs `request` in a slot and returns the response.
pub(crate) async fn respond(
    stand_in: &StandIn,
    request: Request<Incoming>,
) -> Result<Response<ResponseBody>> {
    let Some(_slot) = acquire_slot(stand_in).await? else {
        stand_in.counter.record_shed();
        return shed_response();
    };
    let (head, body) = request.into_parts();
    let key = text_header(&head.headers, &IDEMPOTENCY_KEY_HEADER);
    let run = stand_in.counter.record_start(key);
    let fault = injected_fault(head.uri.path(), &head.headers);
    if fault == InjectedFault::Crash {
        process::abort();
    }
    let work = work(stand_in, &head, body);
    let result = match remaining_time(&head.headers) {
        Some(timeout) => time::timeout(timeout, work).await,
        None => Ok(work.await),
    };
    let Ok(response) = result else {
        return json_response(StatusCode::GATEWAY_TIMEOUT, &"deadline passed");
    };
    let response = response?;
    run.finish();
    match fault {
        InjectedFault::TruncateResponse => Ok(truncate(response)),
        InjectedFault::Fail => json_response(StatusCode::INTERNAL_SERVER_ERROR, &"injected fault"),
        InjectedFault::None | InjectedFault::Crash => Ok(response),
    }
}

async fn work(
    stand_in: &StandIn,
    head: &http::request::Parts,
    body: Incoming,
) -> Result<Response<ResponseBody>> {
    let digest = digest_body(body).await?;
    let duration = stand_in.draw_service_time();
    if !duration.is_zero() {
        time::sleep(duration).await;
    }
    if let Some(caller) = &stand_in.caller {
        let settings = &stand_in.settings;
        let calls = caller.call_all(&settings.calls, settings.is_parallel, &head.headers);
        if let Err(failure) = calls.await {
            return json_response(StatusCode::INTERNAL_SERVER_ERROR, &failure);
        }
    }
    let document = StandInResponse {
        service: stand_in.settings.service.as_str(),
        path: head.uri.path(),
        key: text_header(&head.headers, &IDEMPOTENCY_KEY_HEADER),
        bytes: digest.bytes,
        blake3: digest.hash.to_hex().to_string(),
        filling: "x".repeat(stand_in.settings.filling_bytes),
    };
    json_response(StatusCode::OK, &document)
}

async fn acquire_slot(stand_in: &StandIn) -> Result<Option<SemaphorePermit<'_>>> {
    if stand_in.settings.sheds {
        return Ok(stand_in.slots.try_acquire().ok());
    }
    Ok(Some(stand_in.slots.acquire().await?))
}

fn shed_response() -> Result<Response<ResponseBody>> {
    let response = Response::builder()
        .status(StatusCode::SERVICE_UNAVAILABLE)
        .header(RETRY_AFTER, SHED_RETRY_SECONDS);
    Ok(response.body(full_body(Bytes::new()))?)
}

struct BodyDigest {
    bytes: u64,
    hash: blake3::Hash,
}

/// Returns the size and the hash of `body` without holding it in memory.
async fn digest_body(mut body: Incoming) -> Result<BodyDigest> {
    let mut hasher = blake3::Hasher::new();
    let mut bytes = 0;
    while let Some(frame) = body.frame().await {
        if let Ok(data) = frame?.into_data() {
            bytes += data.len() as u64;
            hasher.update(&data);
        }
    }
    Ok(BodyDigest {
        bytes,
        hash: hasher.finalize(),
    })
}

/// Truncates the body to its first half, but announces the full length.
fn truncate(response: Response<ResponseBody>) -> Response<ResponseBody> {
    let length = response.body().size_hint().lower();
    let half = vec![b'x'; (length / 2) as usize];
    let first = stream::iter([Ok(Frame::data(Bytes::from(half)))]);
    let second = stream::once(async {
        time::sleep(TRUNCATION_DELAY).await;
        Err(io::Error::other("cut"))
    });
    let body = BodyExt::boxed(StreamBody::new(first.chain(second)));
    let mut response = response.map(|_| body);
    response.headers_mut().insert(CONTENT_LENGTH, length.into());
    response.headers_mut().remove(CONTENT_TYPE);
    response
}

fn injected_fault(path: &str, headers: &HeaderMap) -> InjectedFault {
    let from_header = text_header(headers, &FAULT_HEADER).into_iter();
    from_header
        .chain(path.split('/'))
        .find_map(|name| match name {
            "poison" => Some(InjectedFault::Crash),
            "cut" => Some(InjectedFault::TruncateResponse),
            "fail" => Some(InjectedFault::Fail),
            _ => None,
        })
        .unwrap_or(InjectedFault::None)
}

fn remaining_time(headers: &HeaderMap) -> Option<Duration> {
    let millis = text_header(headers, &DEADLINE_HEADER)?.parse().ok()?;
    Some(Duration::from_millis(millis))
}

/// Returns the value of header `name`; `None` if it is missing or not visible ASCII.
pub(crate) fn text_header<'a>(headers: &'a HeaderMap, name: &HeaderName) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}
