//! A small HTTP/1.1 client.

use std::{
    io::{self, Read, Write},
    net::{SocketAddr, TcpStream},
    time::Duration,
};

/// A request: its request line, headers and body.
pub type Request = (String, Vec<(String, String)>, Vec<u8>);

/// A complete response.
#[derive(Clone, Debug)]
pub struct Response {
    pub status: u16,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Response {
    /// Returns the value of the header `name`, in lower case.
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut headers = self.headers.iter();
        headers.find(|(n, _)| n == name).map(|(_, v)| v.as_str())
    }

    /// Returns the body as text.
    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

/// A connection that carries requests one after the other.
pub struct Connection {
    pub stream: TcpStream,
    buf: Vec<u8>,
}

impl Connection {
    /// Connects to `addr`; reads and writes time out after `timeout`.
    pub fn open(addr: SocketAddr, timeout: Duration) -> io::Result<Connection> {
        let stream = TcpStream::connect_timeout(&addr, timeout.min(Duration::from_secs(1)))?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(timeout))?;
        stream.set_write_timeout(Some(timeout))?;
        Ok(Connection {
            stream,
            buf: Vec::new(),
        })
    }

    /// Wraps an accepted stream.
    pub fn accepted(stream: TcpStream) -> Connection {
        let _ = stream.set_nodelay(true);
        Connection {
            stream,
            buf: Vec::new(),
        }
    }

    /// Sends `bytes`.
    pub fn send(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes)
    }

    /// Reads one response.
    pub fn read_response(&mut self) -> io::Result<Response> {
        let head = self.read_head()?;
        let mut lines = head.split("\r\n");
        let status = lines.next().unwrap_or_default().split(' ').nth(1);
        let status = status.and_then(|text| text.parse().ok());
        let status = status.ok_or_else(|| io::Error::other(format!("no status line: {head:?}")))?;
        let headers = parse_headers(lines);
        let body = match body_length(&headers) {
            BodyLength::Bytes(len) => self.read_bytes(len)?,
            BodyLength::Chunked => self.read_chunked()?,
            BodyLength::Absent if status == 204 || status == 304 => Vec::new(),
            BodyLength::Absent => self.read_to_end()?,
        };
        Ok(Response {
            status,
            headers,
            body,
        })
    }

    /// Reads a request; returns its request line, headers and body, or `None` at the end of the connection.
    pub fn read_request(&mut self) -> io::Result<Option<Request>> {
        let head = match self.read_head() {
            Ok(head) => head,
            Err(error) if error.kind() == io::ErrorKind::UnexpectedEof => return Ok(None),
            Err(error) => return Err(error),
        };
        let mut lines = head.split("\r\n");
        let line = lines.next().unwrap_or_default().to_owned();
        let headers = parse_headers(lines);
        let body = match body_length(&headers) {
            BodyLength::Bytes(len) => self.read_bytes(len)?,
            BodyLength::Chunked => self.read_chunked()?,
            BodyLength::Absent => Vec::new(),
        };
        Ok(Some((line, headers, body)))
    }

    fn read_head(&mut self) -> io::Result<String> {
        loop {
            if let Some(at) = find(&self.buf, b"\r\n\r\n") {
                let head = self.buf.drain(..at + 4).collect::<Vec<_>>();
                return Ok(String::from_utf8_lossy(&head[..at]).into_owned());
            }
            self.fill()?;
        }
    }

    fn read_bytes(&mut self, len: usize) -> io::Result<Vec<u8>> {
        while self.buf.len() < len {
            self.fill()?;
        }
        Ok(self.buf.drain(..len).collect())
    }

    fn read_line(&mut self) -> io::Result<String> {
        loop {
            if let Some(at) = find(&self.buf, b"\r\n") {
                let line = self.buf.drain(..at + 2).collect::<Vec<_>>();
                return Ok(String::from_utf8_lossy(&line[..at]).into_owned());
            }
            self.fill()?;
        }
    }

    fn read_chunked(&mut self) -> io::Result<Vec<u8>> {
        let mut body = Vec::new();
        loop {
            let line = self.read_line()?;
            let size = line.split(';').next().unwrap_or_default().trim();
            let size = usize::from_str_radix(size, 16).map_err(io::Error::other)?;
            if size == 0 {
                while !self.read_line()?.is_empty() {}
                return Ok(body);
            }
            body.extend(self.read_bytes(size)?);
            self.read_line()?;
        }
    }

    fn read_to_end(&mut self) -> io::Result<Vec<u8>> {
        loop {
            match self.fill() {
                Ok(()) => {}
                Err(error) if error.kind() == io::ErrorKind::UnexpectedEof => {
                    return Ok(std::mem::take(&mut self.buf));
                }
                Err(error) => return Err(error),
            }
        }
    }

    fn fill(&mut self) -> io::Result<()> {
        let mut part = [0; 64 * 1024];
        match self.stream.read(&mut part)? {
            0 => Err(io::ErrorKind::UnexpectedEof.into()),
            len => {
                self.buf.extend_from_slice(&part[..len]);
                Ok(())
            }
        }
    }
}

enum BodyLength {
    Bytes(usize),
    Chunked,
    Absent,
}

fn body_length(headers: &[(String, String)]) -> BodyLength {
    let value = |name: &str| headers.iter().find(|(n, _)| n == name).map(|(_, v)| v);
    if value("transfer-encoding").is_some_and(|v| v.to_lowercase().contains("chunked")) {
        return BodyLength::Chunked;
    }
    let length = value("content-length").and_then(|v| v.trim().parse().ok());
    length.map_or(BodyLength::Absent, BodyLength::Bytes)
}

fn parse_headers<'a>(lines: impl Iterator<Item = &'a str>) -> Vec<(String, String)> {
    let pairs = lines.filter_map(|line| line.split_once(':'));
    pairs
        .map(|(name, value)| (name.trim().to_lowercase(), value.trim().to_owned()))
        .collect()
}

fn find(buf: &[u8], pattern: &[u8]) -> Option<usize> {
    buf.windows(pattern.len()).position(|part| part == pattern)
}

/// Sends one JSON call over a new connection and reads the response.
pub fn call(
    addr: SocketAddr,
    method: &str,
    path: &str,
    body: &str,
    timeout: Duration,
) -> io::Result<Response> {
    let mut connection = Connection::open(addr, timeout)?;
    let head = format!(
        "{method} {path} HTTP/1.1\r\nHost: {addr}\r\nContent-Type: application/json\r\n\
         Content-Length: {}\r\nConnection: close\r\n\r\n",
        body.len()
    );
    connection.send(head.as_bytes())?;
    connection.send(body.as_bytes())?;
    connection.read_response()
}
