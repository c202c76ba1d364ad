//! The work of a stand-in on one request.

use super::{
    StandIn,
    serve::{AnswerBody, full, json},
};
use crate::client::{DEADLINE, REQUEST_ID};
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

/// Marks a request that does harm.
const MARK: HeaderName = HeaderName::from_static("agatehill-load-mark");

/// Seconds after which a shed request may come again.
const SHED_RETRY_SECONDS: u32 = 1;

/// Time in which the first half of an answer that is cut leaves the process.
const CUT_WAIT: Duration = Duration::from_millis(50);

/// What the stand-in answers.
#[derive(Serialize)]
struct Answer<'a> {
    service: &'a str,
    path: &'a str,
    key: Option<&'a str>,
    bytes: u64,
    blake3: String,
    filling: String,
}

/// How the answer ends.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum RequestMark {
    None,
    Poison,
    Cut,
    Fail,
}

/// Works on `request` and returns its answer.
pub(crate) async fn answer(
    stand_in: &StandIn,
    request: Request<Incoming>,
) -> Result<Response<AnswerBody>> {
    let Some(_slot) = take_slot(stand_in).await? else {
        stand_in.counts.shed();
        return shed();
    };
    let (head, body) = request.into_parts();
    let key = text_header(&head.headers, &REQUEST_ID);
    let run = stand_in.counts.start(key);
    let mark = mark_of(head.uri.path(), &head.headers);
    if mark == RequestMark::Poison {
        process::abort();
    }
    let work = work(stand_in, &head, body);
    let answered = match deadline(&head.headers) {
        Some(limit) => time::timeout(limit, work).await,
        None => Ok(work.await),
    };
    let Ok(response) = answered else {
        return json(StatusCode::GATEWAY_TIMEOUT, &"deadline passed");
    };
    let response = response?;
    run.finish();
    match mark {
        RequestMark::Cut => Ok(cut(response)),
        RequestMark::Fail => json(StatusCode::INTERNAL_SERVER_ERROR, &"failed as marked"),
        RequestMark::None | RequestMark::Poison => Ok(response),
    }
}

async fn work(
    stand_in: &StandIn,
    head: &http::request::Parts,
    body: Incoming,
) -> Result<Response<AnswerBody>> {
    let digest = digest(body).await?;
    let span = stand_in.draw_time();
    if !span.is_zero() {
        time::sleep(span).await;
    }
    if let Some(caller) = &stand_in.caller {
        let settings = &stand_in.settings;
        let calls = caller.call_all(&settings.calls, settings.parallel, &head.headers);
        if let Err(failure) = calls.await {
            return json(StatusCode::INTERNAL_SERVER_ERROR, &failure);
        }
    }
    let answer = Answer {
        service: stand_in.settings.service.as_str(),
        path: head.uri.path(),
        key: text_header(&head.headers, &REQUEST_ID),
        bytes: digest.bytes,
        blake3: digest.hash.to_hex().to_string(),
        filling: "x".repeat(stand_in.settings.answer_bytes),
    };
    json(StatusCode::OK, &answer)
}

async fn take_slot(stand_in: &StandIn) -> Result<Option<SemaphorePermit<'_>>> {
    if stand_in.settings.shed {
        return Ok(stand_in.slots.try_acquire().ok());
    }
    Ok(Some(stand_in.slots.acquire().await?))
}

fn shed() -> Result<Response<AnswerBody>> {
    let response = Response::builder()
        .status(StatusCode::SERVICE_UNAVAILABLE)
        .header(RETRY_AFTER, SHED_RETRY_SECONDS);
    Ok(response.body(full(Bytes::new()))?)
}

struct BodyDigest {
    bytes: u64,
    hash: blake3::Hash,
}

/// Counts and hashes `body` frame by frame, without keeping it.
async fn digest(mut body: Incoming) -> Result<BodyDigest> {
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

/// Breaks the body off half way, after its whole length was announced.
fn cut(response: Response<AnswerBody>) -> Response<AnswerBody> {
    let length = response.body().size_hint().lower();
    let half = vec![b'x'; (length / 2) as usize];
    let first = stream::iter([Ok(Frame::data(Bytes::from(half)))]);
    let second = stream::once(async {
        time::sleep(CUT_WAIT).await;
        Err(io::Error::other("cut"))
    });
    let body = BodyExt::boxed(StreamBody::new(first.chain(second)));
    let mut response = response.map(|_| body);
    response.headers_mut().insert(CONTENT_LENGTH, length.into());
    response.headers_mut().remove(CONTENT_TYPE);
    response
}

fn mark_of(path: &str, headers: &HeaderMap) -> RequestMark {
    let named = text_header(headers, &MARK).into_iter();
    named
        .chain(path.split('/'))
        .find_map(|word| match word {
            "poison" => Some(RequestMark::Poison),
            "cut" => Some(RequestMark::Cut),
            "fail" => Some(RequestMark::Fail),
            _ => None,
        })
        .unwrap_or(RequestMark::None)
}

fn deadline(headers: &HeaderMap) -> Option<Duration> {
    let millis = text_header(headers, &DEADLINE)?.parse().ok()?;
    Some(Duration::from_millis(millis))
}

/// Returns the value of header `name` if it is text.
pub(crate) fn text_header<'a>(headers: &'a HeaderMap, name: &HeaderName) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}
