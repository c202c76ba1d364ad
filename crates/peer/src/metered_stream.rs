//! The server's end of a connection for framed messages: counts the memory of a message that has not arrived whole.

use crate::codec::{FRAME_HEADER_BYTES, MESSAGE_BYTES_MAX};
use agatehill_process::budget::{CONNECTION_BYTES, ClientUsage};
use std::{
    io,
    pin::Pin,
    task::{Context, Poll},
};
use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
};

/// Steps in which the memory of a message is counted, in bytes.
const COUNT_STEP: usize = 16 * 1024;

/// A stream that ends when its sender has to give way to others.
#[derive(Debug)]
pub(crate) struct MeteredStream {
    io: TcpStream,
    usage: ClientUsage,
    message: MessageProgress,
    /// Memory that is counted, in bytes.
    counted: usize,
}

/// How much of a message has arrived.
#[derive(Debug, Default)]
struct MessageProgress {
    header: [u8; FRAME_HEADER_BYTES],
    header_len: usize,
    /// Bytes after the header that have arrived.
    body_len: usize,
}

impl MessageProgress {
    /// Records that `bytes` have arrived; returns whether a message ends among them.
    fn record(&mut self, mut bytes: &[u8]) -> bool {
        let mut has_ended = false;
        while !bytes.is_empty() {
            let rest = self.take_header(bytes);
            let left = self.left().min(rest.len());
            self.body_len += left;
            bytes = &rest[left..];
            if self.header_len == FRAME_HEADER_BYTES && self.left() == 0 {
                *self = MessageProgress::default();
                has_ended = true;
            }
        }
        has_ended
    }

    /// Takes what is missing of the header; returns what follows.
    fn take_header<'a>(&mut self, bytes: &'a [u8]) -> &'a [u8] {
        let missing = (FRAME_HEADER_BYTES - self.header_len).min(bytes.len());
        let (header, rest) = bytes.split_at(missing);
        self.header[self.header_len..][..missing].copy_from_slice(header);
        self.header_len += missing;
        rest
    }

    /// Returns the bytes of the message that have not arrived; 0 before its header has.
    fn left(&self) -> usize {
        self.len() - self.body_len
    }

    /// Returns the length of the message, for all of which memory is reserved once its header has arrived; 0 before.
    fn len(&self) -> usize {
        if self.header_len < FRAME_HEADER_BYTES {
            return 0;
        }
        let len = u32::from_be_bytes(self.header);
        usize::try_from(len).unwrap_or(usize::MAX)
    }
}

impl MeteredStream {
    /// Returns `io`, which counts as `usage`.
    pub(crate) fn new(io: TcpStream, usage: ClientUsage) -> MeteredStream {
        usage.set_waiting();
        MeteredStream {
            io,
            usage,
            message: MessageProgress::default(),
            counted: CONNECTION_BYTES,
        }
    }

    /// Returns the socket, for its options.
    pub(crate) fn socket(&self) -> &TcpStream {
        &self.io
    }

    /// Counts `bytes` that have arrived; returns false if there is no room for them.
    fn record(&mut self, bytes: &[u8]) -> bool {
        if self.message.record(bytes) {
            // It is served: its next message is waited for.
            self.usage.set_waiting();
        }
        // The codec refuses a longer one.
        let len = self.message.len().min(MESSAGE_BYTES_MAX);
        let counted = CONNECTION_BYTES + len.next_multiple_of(COUNT_STEP);
        if counted == self.counted {
            return true;
        }
        let is_held = self.usage.try_hold(counted);
        if is_held {
            self.counted = counted;
        }
        is_held
    }
}

impl AsyncRead for MeteredStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.usage.poll_given_way(cx).is_ready() {
            return Poll::Ready(Err(given_way()));
        }
        let start = buf.filled().len();
        let read = Pin::new(&mut self.io).poll_read(cx, buf);
        if read.is_ready() && !self.record(&buf.filled()[start..]) {
            return Poll::Ready(Err(given_way()));
        }
        read
    }
}

impl AsyncWrite for MeteredStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.io).poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.io).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.io).poll_shutdown(cx)
    }
}

fn given_way() -> io::Error {
    io::Error::new(
        io::ErrorKind::ConnectionAborted,
        "the connection gives way to others",
    )
}
