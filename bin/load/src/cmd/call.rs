//! `agatehill-load call`: sends one call.

use crate::client::{
    self, CUSTOMER_HEADER, DEADLINE_HEADER, HttpClient, HttpVersion, IDEMPOTENCY_KEY_HEADER,
};
use bytes::Bytes;
use eyre::Result;
use http::{HeaderMap, HeaderValue, Method, Request, StatusCode, Uri, header::RETRY_AFTER};
use http_body_util::{BodyExt, Full};
use std::time::{Duration, Instant};

/// Pause before a call is sent again.
const RESEND_DELAY: Duration = Duration::from_millis(250);

/// Name prefix of the headers that are printed.
const HEADER_PREFIX: &str = "agatehill-";

/// Sends one call and prints status, headers and body of the response.
#[derive(Debug, clap::Args)]
pub(crate) struct Args {
    /// Target URL, such as `http://127.0.0.1:7001/call/techreg/certificates/1`.
    #[arg(long)]
    url: Uri,
    /// HTTP method.
    #[arg(long, default_value = "GET")]
    method: Method,
    /// Customer that makes the call.
    #[arg(long)]
    customer: Option<String>,
    /// Idempotency key.
    #[arg(long)]
    key: Option<String>,
    /// Remaining time that the call declares, in milliseconds.
    #[arg(long)]
    deadline_ms: Option<u64>,
    /// Request body.
    #[arg(long, default_value = "")]
    body: String,
    /// Time for which a failed call is sent again, in seconds.
    #[arg(long, default_value_t = 0)]
    wait_seconds: u64,
}

struct CallResponse {
    status: StatusCode,
    headers: HeaderMap,
    body: Bytes,
}

/// Sends the call and prints the response.
///
/// # Errors
///
/// The call got no response or a status other than success.
pub(crate) async fn run(args: Args) -> Result<()> {
    let client = client::open(HttpVersion::Http1);
    let deadline = Instant::now() + Duration::from_secs(args.wait_seconds);
    loop {
        let sent = send(&client, &args).await;
        let has_succeeded = matches!(&sent, Ok(response) if response.status.is_success());
        if has_succeeded || Instant::now() >= deadline {
            return print(sent?);
        }
        tokio::time::sleep(RESEND_DELAY).await;
    }
}

async fn send(client: &HttpClient<Full<Bytes>>, args: &Args) -> Result<CallResponse> {
    let (head, body) = client.request(request(args)?).await?.into_parts();
    Ok(CallResponse {
        status: head.status,
        headers: head.headers,
        body: body.collect().await?.to_bytes(),
    })
}

fn request(args: &Args) -> Result<Request<Full<Bytes>>> {
    let mut request = Request::new(Full::from(args.body.clone()));
    *request.method_mut() = args.method.clone();
    *request.uri_mut() = args.url.clone();
    let headers = request.headers_mut();
    if let Some(customer) = &args.customer {
        headers.insert(CUSTOMER_HEADER, HeaderValue::try_from(customer)?);
    }
    if let Some(key) = &args.key {
        headers.insert(IDEMPOTENCY_KEY_HEADER, HeaderValue::try_from(key)?);
    }
    if let Some(millis) = args.deadline_ms {
        headers.insert(DEADLINE_HEADER, millis.into());
    }
    Ok(request)
}

fn print(response: CallResponse) -> Result<()> {
    println!("{}", response.status);
    for (name, value) in &response.headers {
        if name.as_str().starts_with(HEADER_PREFIX) || name == RETRY_AFTER {
            println!("{name}: {}", String::from_utf8_lossy(value.as_bytes()));
        }
    }
    println!("{}", String::from_utf8_lossy(&response.body));
    if !response.status.is_success() {
        eyre::bail!("the call did not succeed");
    }
    Ok(())
}
