//! Postcard codec for tarpc transports.

use bytes::{Bytes, BytesMut};
use serde::{Serialize, de::DeserializeOwned};
use std::{io, pin::Pin};
use tokio_serde::{Deserializer, Serializer};
use tokio_util::codec::LengthDelimitedCodec;

/// Largest message, in bytes.
pub const MESSAGE_BYTES_MAX: usize = 16 << 20;

/// Size of the length before each message, in bytes.
pub(crate) const FRAME_HEADER_BYTES: usize = 4;

/// Encodes and decodes messages as postcard.
#[derive(Clone, Copy, Debug, Default)]
pub struct PostcardCodec;

impl<T: Serialize> Serializer<T> for PostcardCodec {
    type Error = io::Error;

    fn serialize(self: Pin<&mut Self>, item: &T) -> io::Result<Bytes> {
        let buf = postcard::to_stdvec(item).map_err(io::Error::other)?;
        Ok(buf.into())
    }
}

impl<T: DeserializeOwned> Deserializer<T> for PostcardCodec {
    type Error = io::Error;

    fn deserialize(self: Pin<&mut Self>, src: &BytesMut) -> io::Result<T> {
        postcard::from_bytes(src).map_err(|e| io::Error::new(io::ErrorKind::InvalidData, e))
    }
}

/// Decodes a message that takes up all of `src`.
pub(crate) fn decode_all<T: DeserializeOwned>(src: &[u8]) -> io::Result<T> {
    let invalid = |text: String| io::Error::new(io::ErrorKind::InvalidData, text);
    let (message, rest) =
        postcard::take_from_bytes(src).map_err(|error| invalid(error.to_string()))?;
    match rest.len() {
        0 => Ok(message),
        len => Err(invalid(format!("{len} bytes follow the message"))),
    }
}

/// Returns the codec that frames tarpc messages on a byte stream by a length prefix.
pub fn message_framing() -> LengthDelimitedCodec {
    LengthDelimitedCodec::builder()
        .length_field_length(FRAME_HEADER_BYTES)
        .max_frame_length(MESSAGE_BYTES_MAX)
        .new_codec()
}
