//! A client on a host: one kept connection to the host's `outbound` address.

use crate::{
    http::{read_body, read_head},
    record::Record,
};
use std::{
    io::Write,
    net::{SocketAddr, TcpStream},
    sync::Arc,
    time::Duration,
};

/// How a request ended for its client.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Outcome {
    Status(u16),
    /// The connection ended without an answer after the request had been sent.
    Closed,
    /// No connection could be opened, or the request could not be sent.
    NotSent,
}

pub struct Client {
    addr: SocketAddr,
    stream: Option<(TcpStream, Vec<u8>)>,
    /// Whether the last request went over a connection that had carried one before.
    pub was_kept: bool,
    /// Further header lines.
    pub headers: &'static str,
    record: Arc<Record>,
}

impl Client {
    pub fn new(addr: SocketAddr, record: Arc<Record>) -> Client {
        Client {
            addr,
            stream: None,
            was_kept: false,
            headers: "",
            record,
        }
    }

    /// Sends a request and waits for its answer; `line` is the method and the path.
    pub fn send(&mut self, line: &str, id: &str, deadline_ms: u32, body: &str) -> Outcome {
        let outcome = self.exchange(line, id, deadline_ms, body);
        self.record
            .write(&format!("request {id} ({line}): {outcome:?}"));
        outcome
    }

    fn exchange(&mut self, line: &str, id: &str, deadline_ms: u32, body: &str) -> Outcome {
        self.was_kept = self.stream.is_some();
        let (mut stream, mut buf) = match self.stream.take() {
            Some(kept) => kept,
            None => match TcpStream::connect_timeout(&self.addr, Duration::from_secs(1)) {
                Ok(stream) => (stream, Vec::new()),
                Err(_) => return Outcome::NotSent,
            },
        };
        let _ = stream.set_nodelay(true);
        let _ =
            stream.set_read_timeout(Some(Duration::from_millis(u64::from(deadline_ms) + 1_000)));
        let request = format!(
            "{line} HTTP/1.1\r\nHost: a.example\r\nX-Agatehill-Request-Id: {id}\r\nX-Agatehill-Deadline-Ms: {deadline_ms}\r\nContent-Length: {}\r\n{}\r\n{body}",
            body.len(),
            self.headers
        );
        if stream.write_all(request.as_bytes()).is_err() {
            return Outcome::NotSent;
        }
        let Some(head) = read_head(&mut stream, &mut buf) else {
            return Outcome::Closed;
        };
        if read_body(&mut stream, &mut buf, &head).is_none() {
            return Outcome::Closed;
        }
        if !head
            .header("connection")
            .is_some_and(|value| value.eq_ignore_ascii_case("close"))
        {
            self.stream = Some((stream, buf));
        }
        Outcome::Status(
            head.line
                .split(' ')
                .nth(1)
                .and_then(|status| status.parse().ok())
                .unwrap_or(0),
        )
    }
}
