//! A crowd of connections that send the same bytes, and that open again once they are closed.

use std::{
    io::{ErrorKind, Read, Write},
    net::{SocketAddr, TcpStream},
    thread,
    time::{Duration, Instant},
};

/// Most bytes that one write takes.
const WRITE_BYTES: usize = 16 * 1024;
/// Bytes that one connection sends at most.
const BYTES_MAX: usize = 4 << 20;
/// Pause after a round in which no connection took anything.
const ROUND_PAUSE: Duration = Duration::from_millis(5);
/// Longest wait for a response to a request of its own.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(10);
/// Time for a connection to be established; a full queue of new ones drops it.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(20);
/// Streams that a connection over HTTP/2 begins.
const STREAMS: u32 = 40;
/// Bytes of a frame of data over HTTP/2.
const FRAME_BYTES: usize = 16_384;

/// What one connection sends: first `start`, then `repeated` over and over, `bytes_max` bytes in all.
#[derive(Clone)]
pub struct CrowdScript {
    name: &'static str,
    start: Vec<u8>,
    repeated: Vec<u8>,
    bytes_max: usize,
}

impl std::fmt::Debug for CrowdScript {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(self.name)
    }
}

impl CrowdScript {
    /// Heads without an end.
    pub fn endless_head() -> CrowdScript {
        CrowdScript::new("endless head", HEAD_START, &[b'a'; 1024], BYTES_MAX)
    }

    /// Heads whose last line doesn't come.
    pub fn unfinished_head(len: usize) -> CrowdScript {
        CrowdScript::new("unfinished head", HEAD_START, &[b'a'; 1024], len)
    }

    /// Empty lines in place of a request.
    pub fn empty_lines() -> CrowdScript {
        CrowdScript::new("empty lines", "", &b"\r\n".repeat(512), BYTES_MAX)
    }

    /// Requests whose body of `len` bytes lacks the last one; `head` is all that comes before the length.
    pub fn unfinished_body(head: &str, len: usize) -> CrowdScript {
        let start = format!("{head}content-length: {len}\r\n\r\n");
        CrowdScript::whole("unfinished body", &start, len - 1)
    }

    /// Messages that announce `len` bytes and lack the last of them.
    pub fn unfinished_message(len: u32) -> CrowdScript {
        let mut script = CrowdScript::new("unfinished message", "", &[0; 1024], len as usize);
        script.start = len.to_be_bytes().to_vec();
        script
    }

    /// Requests whose body has no end, in chunks of `len` bytes; `head` is all that comes before its framing.
    pub fn endless_chunks(head: &str, len: usize) -> CrowdScript {
        let start = format!("{head}{CHUNKED}");
        let chunk = [format!("{len:x}\r\n").as_bytes(), &vec![b'a'; len], b"\r\n"].concat();
        let repeated = chunk.repeat((1024 / len).max(1));
        CrowdScript::new("endless chunks", &start, &repeated, BYTES_MAX)
    }

    /// Bodies without an end over HTTP/2, as many at once as a connection may have.
    pub fn http2_bodies() -> CrowdScript {
        let mut script = CrowdScript::new("bodies over h2c", "", &[], 0);
        script.start = http2_bytes();
        script.bytes_max = script.start.len();
        script
    }

    /// Connections that send nothing.
    pub fn silent() -> CrowdScript {
        CrowdScript::new("nothing", "", &[], 0)
    }

    /// Whole requests whose body of `len` bytes is in chunks of `chunk` bytes; `head` is all that comes before its framing.
    pub fn whole_chunks(head: &str, len: usize, chunk: usize) -> CrowdScript {
        let mut script = CrowdScript::endless_chunks(head, chunk);
        let body = script.repeated.repeat(len / chunk);
        script.name = "whole chunks";
        script.start.extend_from_slice(&body);
        script.start.extend_from_slice(b"0\r\n\r\n");
        script.bytes_max = script.start.len();
        script
    }

    /// Whole requests: `head`, all of it, and `body_len` bytes.
    pub fn whole(name: &'static str, head: &str, body_len: usize) -> CrowdScript {
        let bytes_max = head.len() + body_len;
        CrowdScript::new(name, head, &[b'a'; 1024], bytes_max)
    }

    fn new(name: &'static str, start: &str, repeated: &[u8], bytes_max: usize) -> CrowdScript {
        CrowdScript {
            name,
            start: start.as_bytes().to_vec(),
            repeated: repeated.to_vec(),
            bytes_max,
        }
    }

    /// Sends the request on a connection of its own; returns the status of the response.
    pub fn send_alone(&self, addr: SocketAddr) -> Option<u16> {
        let mut stream = TcpStream::connect(addr).ok()?;
        stream.set_read_timeout(Some(RESPONSE_TIMEOUT)).unwrap();
        stream.set_write_timeout(Some(RESPONSE_TIMEOUT)).unwrap();
        stream.write_all(&self.bytes_from(0, self.bytes_max)).ok()?;
        let mut head = [0; 12];
        stream.read_exact(&mut head).ok()?;
        std::str::from_utf8(&head[9..]).ok()?.parse().ok()
    }

    /// Returns at most `len` bytes after the first `sent`.
    fn bytes_from(&self, sent: usize, len: usize) -> Vec<u8> {
        let end = self.bytes_max.min(sent + len);
        let start = self.start.iter().skip(sent);
        let skipped = sent.saturating_sub(self.start.len());
        let offset = skipped % self.repeated.len().max(1);
        let repeated = self.repeated.iter().cycle().skip(offset);
        let bytes = start.chain(repeated).take(end.saturating_sub(sent));
        bytes.copied().collect()
    }
}

/// Start of a head, up to the value of a header.
const HEAD_START: &str = "GET /a/x HTTP/1.1\r\nhost: a.example\r\nx-a: ";
/// End of a head whose body is in chunks.
const CHUNKED: &str = "transfer-encoding: chunked\r\n\r\n";

/// Returns the start of a connection over HTTP/2 with [`STREAMS`] bodies, as far as windows allow (RFC 9113).
fn http2_bytes() -> Vec<u8> {
    let mut bytes = b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n".to_vec();
    bytes.extend(http2_frame(4, 0, 0, &[]));
    let mut block = vec![0x83, 0x86];
    for (index, value) in [(0x04, "/a/x"), (0x01, "a.example")] {
        block.push(index);
        block.push(u8::try_from(value.len()).unwrap());
        block.extend_from_slice(value.as_bytes());
    }
    let streams = (0..STREAMS).map(|idx| 2 * idx + 1);
    for stream in streams.clone() {
        bytes.extend(http2_frame(1, 4, stream, &block));
    }
    for stream in streams {
        bytes.extend(http2_frame(0, 0, stream, &[b'a'; FRAME_BYTES]));
    }
    bytes
}

/// Returns a frame over HTTP/2.
fn http2_frame(kind: u8, flags: u8, stream: u32, payload: &[u8]) -> Vec<u8> {
    let len = u32::try_from(payload.len()).unwrap().to_be_bytes();
    let stream = stream.to_be_bytes();
    [&len[1..], &[kind, flags], &stream, payload].concat()
}

/// One connection of a crowd.
#[derive(Debug)]
struct CrowdMember {
    stream: Option<TcpStream>,
    sent: usize,
}

/// The connections; they stay open until it is dropped.
#[derive(Debug)]
pub struct Crowd {
    addr: SocketAddr,
    script: CrowdScript,
    members: Vec<CrowdMember>,
}

impl Crowd {
    /// Returns a crowd of `count` connections, none of which is open yet.
    pub fn open(addr: SocketAddr, script: CrowdScript, count: usize) -> Crowd {
        let members = (0..count).map(|_| CrowdMember {
            stream: None,
            sent: 0,
        });
        Crowd {
            addr,
            script,
            members: members.collect(),
        }
    }

    /// Opens what is closed, and sends, until `end`.
    pub fn send_until(&mut self, end: Instant) {
        while Instant::now() < end {
            let mut is_idle = true;
            for member in &mut self.members {
                if Instant::now() >= end {
                    return;
                }
                is_idle &= !member.send(self.addr, &self.script);
            }
            if is_idle {
                thread::sleep(ROUND_PAUSE);
            }
        }
    }
}

impl CrowdMember {
    /// Sends what the connection takes at once, on a new one if it is closed; returns whether it took something.
    fn send(&mut self, addr: SocketAddr, script: &CrowdScript) -> bool {
        let Some(stream) = &mut self.stream else {
            return self.connect(addr);
        };
        // A response, which nobody reads to its end, or the end of the connection.
        match stream.read(&mut [0; 1024]) {
            Err(error) if error.kind() == ErrorKind::WouldBlock => {}
            Ok(read) if read > 0 => {}
            Ok(_) | Err(_) => {
                self.stream = None;
                return true;
            }
        }
        let bytes = script.bytes_from(self.sent, WRITE_BYTES);
        if bytes.is_empty() {
            return false;
        }
        match stream.write(&bytes) {
            Ok(written) => {
                self.sent += written;
                true
            }
            Err(error) if error.kind() == ErrorKind::WouldBlock => false,
            Err(_) => {
                self.stream = None;
                true
            }
        }
    }

    fn connect(&mut self, addr: SocketAddr) -> bool {
        let Ok(stream) = TcpStream::connect_timeout(&addr, CONNECT_TIMEOUT) else {
            return false;
        };
        stream.set_nonblocking(true).unwrap();
        self.stream = Some(stream);
        self.sent = 0;
        true
    }
}
