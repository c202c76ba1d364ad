//! The part of HTTP/1.1 that the stand-ins need.

use std::{io::Read, net::TcpStream};

/// First line and headers of a message.
pub struct Head {
    pub line: String,
    headers: Vec<(String, String)>,
}

impl Head {
    pub fn header(&self, name: &str) -> Option<String> {
        let found = self.headers.iter().find(|(key, _)| key == name);
        found.map(|(_, value)| value.clone())
    }
}

/// Reads a head; `None` at the end of the connection.
pub fn read_head(stream: &mut TcpStream, buf: &mut Vec<u8>) -> Option<Head> {
    loop {
        if let Some(end) = find(buf, b"\r\n\r\n") {
            let text = String::from_utf8_lossy(&buf[..end]).into_owned();
            buf.drain(..end + 4);
            let mut lines = text.split("\r\n");
            let line = lines.next()?.to_owned();
            let headers = lines.filter_map(|line| line.split_once(':'));
            let headers =
                headers.map(|(key, value)| (key.to_ascii_lowercase(), value.trim().to_owned()));
            return Some(Head {
                line,
                headers: headers.collect(),
            });
        }
        fill(stream, buf)?;
    }
}

/// Reads the body that follows `head`; `None` if it is cut.
pub fn read_body(stream: &mut TcpStream, buf: &mut Vec<u8>, head: &Head) -> Option<Vec<u8>> {
    if head
        .header("transfer-encoding")
        .is_some_and(|value| value.contains("chunked"))
    {
        let mut body = Vec::new();
        loop {
            let line = read_line(stream, buf)?;
            let size = usize::from_str_radix(line.split(';').next()?.trim(), 16).ok()?;
            if size == 0 {
                while !read_line(stream, buf)?.is_empty() {}
                return Some(body);
            }
            body.extend(take(stream, buf, size)?);
            read_line(stream, buf)?;
        }
    }
    let length = head
        .header("content-length")
        .and_then(|value| value.parse().ok())
        .unwrap_or(0);
    take(stream, buf, length)
}

fn read_line(stream: &mut TcpStream, buf: &mut Vec<u8>) -> Option<String> {
    loop {
        if let Some(end) = find(buf, b"\r\n") {
            let line = String::from_utf8_lossy(&buf[..end]).into_owned();
            buf.drain(..end + 2);
            return Some(line);
        }
        fill(stream, buf)?;
    }
}

fn take(stream: &mut TcpStream, buf: &mut Vec<u8>, length: usize) -> Option<Vec<u8>> {
    while buf.len() < length {
        fill(stream, buf)?;
    }
    Some(buf.drain(..length).collect())
}

fn fill(stream: &mut TcpStream, buf: &mut Vec<u8>) -> Option<()> {
    let mut chunk = [0; 16 * 1024];
    match stream.read(&mut chunk) {
        Ok(read) if read > 0 => {
            buf.extend_from_slice(&chunk[..read]);
            Some(())
        }
        _ => None,
    }
}

fn find(buf: &[u8], pattern: &[u8]) -> Option<usize> {
    buf.windows(pattern.len())
        .position(|window| window == pattern)
}
