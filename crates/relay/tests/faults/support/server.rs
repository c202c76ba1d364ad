//! A backend server whose faults the test selects.

use super::service;
use agatehill_decide::server_tracker::ServerHeartbeat;
use socket2::SockRef;
use std::{
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicU32, Ordering},
    },
    time::Duration,
};
use tokio::{
    io::{AsyncRead, AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
};

/// What a backend server does with a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum ServerBehavior {
    /// Runs it and responds.
    Respond,
    /// Runs it and responds with a server error.
    Fail,
    /// Rejects it without running it.
    Shed,
    /// Rejects it, because it is not the expected server.
    Misdirected,
    /// Runs it and resets the connection.
    Reset,
    /// Runs it and closes the connection.
    Close,
    /// Runs it and closes the connection in the middle of the response.
    Truncate,
    /// Runs it and sends bytes that are no HTTP response.
    Garble,
    /// Runs it and responds with the id of another request.
    ForeignId,
    /// Runs it and responds without the seal header.
    Unsealed,
    /// Runs it and responds with a content encoding.
    Encoded,
    /// Runs it and sends a second response after the first.
    ExtraResponse,
    /// Runs it and sends a second copy of the connection's last response, then its own.
    LateCopy,
    /// Runs it and responds without a content length.
    Unframed,
    /// Runs it, responds without a content length and resets the connection in the middle of the
    /// body.
    UnframedReset,
    /// Runs it at once, responds without a content length before it has read the body, and resets the connection in the
    /// middle of the response.
    EarlyReset {
        /// Time from the start of the response to the reset, in milliseconds.
        after_ms: u64,
        /// Size of the part that is sent, in bytes.
        part_bytes: usize,
    },
    /// Runs it and responds with a status that no answer has.
    NoStatus,
    /// Runs it and sends nothing until the connection closes.
    Silent,
    /// Rejects it before it reads the body.
    RejectEarly,
    /// Runs it, and lists in `Connection` the headers by which its response is known.
    ListsHeaders,
    /// Runs it and sends bytes without end until the connection closes.
    Endless(EndlessBytes),
}

/// Which part of a response goes on without end.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum EndlessBytes {
    StatusLine,
    HeaderLine,
    HeaderLines,
    InformationalResponses,
    BodyWithLength,
    BodyWithoutLength,
    Chunks,
    ChunkExtension,
    Trailers,
    /// A body of few bytes a second.
    SlowBody,
    /// A head of few bytes a second.
    SlowHead,
}

impl EndlessBytes {
    /// Returns how the response to the request `id` begins, and what is repeated after it.
    fn parts(self, id: &str) -> (String, Vec<u8>) {
        let head = format!("HTTP/1.1 200 OK\r\nx-id: {id}\r\nx-seal: s-{id}\r\n");
        let chunked = format!("{head}transfer-encoding: chunked\r\n\r\n");
        let letters = vec![b'a'; 16 * 1024];
        match self {
            EndlessBytes::StatusLine => ("HTTP/1.1 200 ".to_owned(), letters),
            EndlessBytes::HeaderLine => (format!("{head}x-a: "), letters),
            EndlessBytes::HeaderLines => (head, b"x-a: b\r\n".repeat(512)),
            EndlessBytes::InformationalResponses => {
                (String::new(), b"HTTP/1.1 102 x\r\n\r\n".repeat(64))
            }
            EndlessBytes::BodyWithLength => (
                format!("{head}content-length: 1000000000000\r\n\r\n"),
                letters,
            ),
            EndlessBytes::BodyWithoutLength => (format!("{head}\r\n"), letters),
            EndlessBytes::Chunks => (chunked, b"4\r\naaaa\r\n".repeat(1_000)),
            EndlessBytes::ChunkExtension => (format!("{chunked}4;a="), letters),
            EndlessBytes::Trailers => (format!("{chunked}0\r\n"), b"x-a: b\r\n".repeat(512)),
            EndlessBytes::SlowBody => {
                (format!("{head}content-length: 1000000\r\n\r\n"), vec![b'a'])
            }
            EndlessBytes::SlowHead => (format!("{head}x-a: "), vec![b'a']),
        }
    }

    /// Sends until the connection closes.
    async fn send(self, stream: &mut TcpStream, id: &str) {
        let (start, repeated) = self.parts(id);
        let mut sent = stream.write_all(start.as_bytes()).await;
        while sent.is_ok() {
            tokio::time::sleep(Duration::from_millis(2)).await;
            sent = stream.write_all(&repeated).await;
        }
    }
}

/// A backend server with a fault that the test selects.
pub(crate) struct TestServer {
    pub(crate) id: String,
    pub(crate) address: SocketAddr,
    behavior: Arc<Mutex<ServerBehavior>>,
    runs: Arc<AtomicU32>,
    bodies: Arc<Mutex<Vec<Vec<u8>>>>,
    cancelled: Arc<AtomicU32>,
}

impl TestServer {
    pub(crate) async fn spawn(id: &str) -> TestServer {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let server = TestServer {
            id: id.to_owned(),
            address: listener.local_addr().unwrap(),
            behavior: Arc::new(Mutex::new(ServerBehavior::Respond)),
            runs: Arc::default(),
            bodies: Arc::default(),
            cancelled: Arc::default(),
        };
        let shared = (
            server.behavior.clone(),
            server.runs.clone(),
            server.bodies.clone(),
            server.cancelled.clone(),
        );
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let (behavior, runs, bodies, cancelled) = shared.clone();
                tokio::spawn(async move {
                    if serve(stream, behavior, runs, bodies).await == ServeEnd::Cancelled {
                        cancelled.fetch_add(1, Ordering::Relaxed);
                    }
                });
            }
        });
        server
    }

    pub(crate) fn set_behavior(&self, behavior: ServerBehavior) {
        *self.behavior.lock().unwrap() = behavior;
    }

    /// Returns the number of requests that it has run.
    pub(crate) fn runs(&self) -> u32 {
        self.runs.load(Ordering::Relaxed)
    }

    /// Returns the number of requests whose connection closed while they ran.
    pub(crate) fn cancelled(&self) -> u32 {
        self.cancelled.load(Ordering::Relaxed)
    }

    /// Returns the bodies of the requests that it has run.
    pub(crate) fn bodies(&self) -> Vec<Vec<u8>> {
        self.bodies.lock().unwrap().clone()
    }

    pub(crate) fn heartbeat(&self, sequence: u64) -> ServerHeartbeat {
        ServerHeartbeat {
            id: self.id.clone(),
            started_ms: 1,
            sequence,
            service: service(),
            address: self.address,
            slots: 2,
            is_leaving: false,
            slow_start_left: Duration::ZERO,
        }
    }
}

async fn serve(
    mut stream: TcpStream,
    behavior: Arc<Mutex<ServerBehavior>>,
    runs: Arc<AtomicU32>,
    bodies: Arc<Mutex<Vec<Vec<u8>>>>,
) -> ServeEnd {
    let mut buf = Vec::new();
    let mut last_id = None;
    while let Some(head) = read_head(&mut stream, &mut buf).await {
        let behavior = *behavior.lock().unwrap();
        let id = header(&head, "x-id").unwrap_or_default();
        if behavior == ServerBehavior::RejectEarly {
            let text =
                format!("HTTP/1.1 503 x\r\nx-id: {id}\r\nx-unrun: 1\r\ncontent-length: 0\r\n\r\n");
            let _ = stream.write_all(text.as_bytes()).await;
        }
        if let ServerBehavior::EarlyReset {
            after_ms,
            part_bytes,
        } = behavior
        {
            runs.fetch_add(1, Ordering::Relaxed);
            let delay = Duration::from_millis(after_ms);
            respond_and_reset(&mut stream, &id, part_bytes, delay).await;
            return ServeEnd::Closed;
        }
        let Some(body) = read_body(&mut stream, &mut buf, &head).await else {
            return ServeEnd::Closed;
        };
        match behavior {
            ServerBehavior::RejectEarly => continue,
            ServerBehavior::Shed | ServerBehavior::Misdirected => {}
            _ => {
                runs.fetch_add(1, Ordering::Relaxed);
                bodies.lock().unwrap().push(body);
            }
        }
        if behavior == ServerBehavior::Silent {
            // The daemon sends nothing more on this connection, so a read ends when it closes.
            let _ = stream.read(&mut [0]).await;
            return ServeEnd::Cancelled;
        }
        if let ServerBehavior::Endless(bytes) = behavior {
            bytes.send(&mut stream, &id).await;
            return ServeEnd::Cancelled;
        }
        if let Some(last_id) = last_id
            .as_deref()
            .filter(|_| behavior == ServerBehavior::LateCopy)
        {
            send_response(&mut stream, ServerBehavior::Respond, last_id).await;
        }
        if !send_response(&mut stream, behavior, &id).await {
            return ServeEnd::Closed;
        }
        last_id = Some(id);
    }
    ServeEnd::Closed
}

/// How a connection to a backend server ended.
#[derive(Eq, PartialEq)]
enum ServeEnd {
    /// Between two requests, or by the server.
    Closed,
    /// By the daemon, while a request ran.
    Cancelled,
}

/// Sends the start of a response without a content length, and resets the connection `delay` later.
async fn respond_and_reset(stream: &mut TcpStream, id: &str, part_bytes: usize, delay: Duration) {
    let text = format!("HTTP/1.1 200 OK\r\nx-id: {id}\r\nx-seal: s-{id}\r\n\r\n");
    let _ = stream.write_all(text.as_bytes()).await;
    let _ = stream.write_all(&vec![b'a'; part_bytes]).await;
    tokio::time::sleep(delay).await;
    let _ = SockRef::from(&*stream).set_linger(Some(Duration::ZERO));
}

/// Responds by `behavior`; returns whether the connection stays open.
async fn send_response(stream: &mut TcpStream, behavior: ServerBehavior, id: &str) -> bool {
    let complete = |id: &str, status: &str, extra: &str| {
        format!(
            "HTTP/1.1 {status}\r\nx-id: {id}\r\nx-seal: s-{id}\r\n{extra}content-length: 5\r\n\r\nhello"
        )
    };
    let text = match behavior {
        ServerBehavior::Respond | ServerBehavior::LateCopy => complete(id, "200 OK", ""),
        ServerBehavior::Fail => complete(id, "500 x", ""),
        ServerBehavior::Shed => {
            format!("HTTP/1.1 503 x\r\nx-id: {id}\r\nx-unrun: 1\r\ncontent-length: 0\r\n\r\n")
        }
        ServerBehavior::Misdirected => {
            format!("HTTP/1.1 421 x\r\nx-id: {id}\r\ncontent-length: 0\r\n\r\n")
        }
        ServerBehavior::Truncate => complete(id, "200 OK", "").replace("length: 5", "length: 50"),
        ServerBehavior::Garble => "once upon a time\r\n\r\n".to_owned(),
        ServerBehavior::ForeignId => complete("another", "200 OK", ""),
        ServerBehavior::Unsealed => complete(id, "200 OK", "").replace("x-seal", "x-other"),
        ServerBehavior::Encoded => complete(id, "200 OK", "content-encoding: gzip\r\n"),
        ServerBehavior::ListsHeaders => complete(
            id,
            "200 OK",
            "connection: x-seal, x-id, content-length, x-own\r\nx-own: 1\r\n",
        ),
        ServerBehavior::ExtraResponse => complete(id, "200 OK", "") + &complete(id, "200 OK", ""),
        ServerBehavior::Unframed | ServerBehavior::UnframedReset => {
            format!("HTTP/1.1 200 OK\r\nx-id: {id}\r\nx-seal: s-{id}\r\n\r\nhello")
        }
        ServerBehavior::NoStatus => complete(id, "000 x", ""),
        ServerBehavior::Reset
        | ServerBehavior::Close
        | ServerBehavior::EarlyReset { .. }
        | ServerBehavior::RejectEarly
        | ServerBehavior::Endless(_)
        | ServerBehavior::Silent => String::new(),
    };
    let _ = stream.write_all(text.as_bytes()).await;
    if behavior == ServerBehavior::UnframedReset {
        // Otherwise the reset discards the response before the daemon reads it.
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    if matches!(
        behavior,
        ServerBehavior::Reset | ServerBehavior::UnframedReset
    ) {
        let _ = SockRef::from(&*stream).set_linger(Some(Duration::ZERO));
        return false;
    }
    !matches!(
        behavior,
        ServerBehavior::Close
            | ServerBehavior::Truncate
            | ServerBehavior::Unframed
            | ServerBehavior::Garble
    )
}

pub(super) async fn read_head(
    stream: &mut (impl AsyncRead + Unpin),
    buf: &mut Vec<u8>,
) -> Option<String> {
    loop {
        if let Some(end) = buf.windows(4).position(|w| w == b"\r\n\r\n") {
            let head = buf.drain(..end + 4).collect::<Vec<_>>();
            return String::from_utf8(head).ok();
        }
        if stream.read_buf(buf).await.ok()? == 0 {
            return None;
        }
    }
}

async fn read_body(stream: &mut TcpStream, buf: &mut Vec<u8>, head: &str) -> Option<Vec<u8>> {
    let len: usize = header(head, "content-length").map_or(0, |text| text.parse().unwrap());
    while buf.len() < len {
        if stream.read_buf(buf).await.ok()? == 0 {
            return None;
        }
    }
    Some(buf.drain(..len).collect())
}

pub(crate) fn header(head: &str, name: &str) -> Option<String> {
    let lines = head.lines().filter_map(|line| line.split_once(':'));
    let mut found = lines.filter(|(key, _)| key.eq_ignore_ascii_case(name));
    Some(found.next()?.1.trim().to_owned())
}
