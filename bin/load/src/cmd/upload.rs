//! `agatehill-load upload`: streams one large body.

use crate::client::{
    self, CUSTOMER_HEADER, DEADLINE_HEADER, HttpVersion, IDEMPOTENCY_KEY_HEADER, OUTCOME_HEADER,
    TRACE_PARENT_HEADER,
};
use bytes::Bytes;
use eyre::{Result, WrapErr};
use futures_util::stream;
use http::{HeaderValue, Method, Request, Uri};
use http_body_util::{BodyExt, StreamBody, combinators::BoxBody};
use hyper::body::Frame;
use rand::{Rng, SeedableRng, rngs::StdRng};
use serde::Deserialize;
use std::{
    convert::Infallible,
    sync::{Arc, Mutex, PoisonError},
    time::{Duration, Instant},
};

/// Size of a chunk of the body, in bytes.
const CHUNK_BYTES: usize = 64 * 1024;

/// Bytes in a mebibyte.
const MEBIBYTE: usize = 1024 * 1024;

/// Settings of an upload.
///
/// Succeeds if the backend server reports the size and the digest of the body that was sent.
#[derive(Debug, clap::Args)]
pub(crate) struct Args {
    /// Target URL, such as `http://127.0.0.1:7001/call/proevesal/uploads/1`.
    #[arg(long)]
    url: Uri,
    /// HTTP method.
    #[arg(long, default_value = "PUT")]
    method: Method,
    /// Size of the body, in MiB.
    #[arg(long, default_value_t = 64)]
    megabytes: usize,
    /// Pause before each chunk of 64 KiB, in milliseconds.
    #[arg(long, default_value_t = 0)]
    chunk_wait_ms: u64,
    /// Customer that makes the call.
    #[arg(long)]
    customer: Option<String>,
    /// Idempotency key.
    #[arg(long, default_value = "upload-1")]
    key: String,
    /// Remaining time that the call declares, in milliseconds.
    #[arg(long)]
    deadline_ms: Option<u64>,
    /// Uses HTTP/2 without TLS instead of HTTP/1.1.
    #[arg(long)]
    h2c: bool,
    /// Seed of the body.
    #[arg(long, default_value_t = 1)]
    seed: u64,
}

type UploadBody = BoxBody<Bytes, Infallible>;

/// Fields of a stand-in's response that describe the received body.
#[derive(Deserialize)]
struct StandInResponse {
    bytes: u64,
    blake3: String,
}

/// Sends the upload and compares the received body with the sent one.
pub(crate) async fn run(args: Args) -> Result<()> {
    let version = if args.h2c {
        HttpVersion::Http2
    } else {
        HttpVersion::Http1
    };
    let client = client::open(version);
    let hasher = Arc::new(Mutex::new(blake3::Hasher::new()));
    let started = Instant::now();
    let response = client
        .request(request(&args, hasher.clone())?)
        .await
        .wrap_err_with(|| format!("cannot send to {}", args.url))?;
    let (head, body) = response.into_parts();
    let body = body
        .collect()
        .await
        .wrap_err("the response is truncated")?
        .to_bytes();
    let outcome = head
        .headers
        .get(&OUTCOME_HEADER)
        .map_or("-", |o| o.to_str().unwrap_or("-"));
    if !head.status.is_success() {
        let text = String::from_utf8_lossy(&body);
        eyre::bail!("{} outcome={outcome}: {text}", head.status);
    }
    let received: StandInResponse =
        serde_json::from_slice(&body).wrap_err("the response is not from a stand-in")?;
    let sent = hasher.lock().unwrap_or_else(PoisonError::into_inner);
    let hash = sent.finalize().to_hex();
    if received.bytes != sent.count() || received.blake3 != hash.as_str() {
        let StandInResponse { bytes, blake3 } = received;
        eyre::bail!(
            "sent {} bytes, blake3 {hash}; the server received {bytes} bytes, blake3 {blake3}",
            sent.count()
        );
    }
    let seconds = started.elapsed().as_secs_f64();
    let rate = args.megabytes as f64 / seconds;
    println!(
        "uploaded bytes={} blake3={hash} outcome={outcome} seconds={seconds:.3} mib_per_second={rate:.1}",
        received.bytes
    );
    Ok(())
}

fn request(args: &Args, hasher: Arc<Mutex<blake3::Hasher>>) -> Result<Request<UploadBody>> {
    let mut rng = StdRng::seed_from_u64(args.seed);
    let trace = client::new_trace_parent(&mut rng);
    let mut request = Request::new(body(args, rng, hasher));
    *request.method_mut() = args.method.clone();
    *request.uri_mut() = args.url.clone();
    let headers = request.headers_mut();
    if let Some(customer) = &args.customer {
        headers.insert(CUSTOMER_HEADER, HeaderValue::try_from(customer)?);
    }
    if let Some(millis) = args.deadline_ms {
        headers.insert(DEADLINE_HEADER, millis.into());
    }
    headers.insert(IDEMPOTENCY_KEY_HEADER, HeaderValue::try_from(&args.key)?);
    headers.insert(TRACE_PARENT_HEADER, trace);
    Ok(request)
}

fn body(args: &Args, rng: StdRng, hasher: Arc<Mutex<blake3::Hasher>>) -> UploadBody {
    let chunks = args.megabytes * MEBIBYTE / CHUNK_BYTES;
    let wait = Duration::from_millis(args.chunk_wait_ms);
    let frames = stream::unfold((rng, chunks), move |(mut rng, remaining)| {
        let hasher = hasher.clone();
        async move {
            if remaining == 0 {
                return None;
            }
            if !wait.is_zero() {
                tokio::time::sleep(wait).await;
            }
            let mut chunk = vec![0; CHUNK_BYTES];
            rng.fill_bytes(&mut chunk);
            let mut hasher = hasher.lock().unwrap_or_else(PoisonError::into_inner);
            hasher.update(&chunk);
            Some((Ok(Frame::data(Bytes::from(chunk))), (rng, remaining - 1)))
        }
    });
    BodyExt::boxed(StreamBody::new(frames))
}
