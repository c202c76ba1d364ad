//! Codecs of the messages to keepers, in the format of the build at the other end.

use super::{
    control::{FleetControlRequest, FleetControlResponse},
    first_format::{FirstRequest, FirstResponse},
};
use crate::{codec::decode_all, link::MessageFormat};
use bytes::{Bytes, BytesMut};
use serde::Serialize;
use std::{io, pin::Pin};
use tarpc::{ClientMessage, Request, Response};
use tokio_serde::{Deserializer, Serializer};

/// Codec of a keeper: reads both formats, and replies in the format that it has read last.
#[derive(Clone, Copy, Debug)]
pub(super) struct KeeperCodec {
    format: MessageFormat,
}

/// Codec of a daemon or keeper that calls another keeper in a format that the link has chosen.
#[derive(Clone, Copy, Debug)]
pub(super) struct CallerCodec {
    pub(super) format: MessageFormat,
}

impl KeeperCodec {
    pub(super) fn new() -> KeeperCodec {
        KeeperCodec {
            format: MessageFormat::Present,
        }
    }
}

impl Deserializer<ClientMessage<FleetControlRequest>> for KeeperCodec {
    type Error = io::Error;

    fn deserialize(
        mut self: Pin<&mut Self>,
        src: &BytesMut,
    ) -> io::Result<ClientMessage<FleetControlRequest>> {
        let present = decode_all::<ClientMessage<FleetControlRequest>>(src);
        let error = match present {
            Ok(message) => {
                // A cancellation is the same in both formats.
                if matches!(message, ClientMessage::Request(_)) {
                    self.format = MessageFormat::Present;
                }
                return Ok(message);
            }
            Err(error) => error,
        };
        let first = decode_all::<ClientMessage<FirstRequest>>(src);
        let Some(message) = first.ok().and_then(from_first) else {
            return Err(unknown_format(error));
        };
        self.format = MessageFormat::First;
        Ok(message)
    }
}

impl Serializer<Response<FleetControlResponse>> for KeeperCodec {
    type Error = io::Error;

    fn serialize(self: Pin<&mut Self>, item: &Response<FleetControlResponse>) -> io::Result<Bytes> {
        match self.format {
            MessageFormat::Present => encode(item),
            MessageFormat::First => encode(&Response {
                request_id: item.request_id,
                message: item
                    .message
                    .as_ref()
                    .map(FirstResponse::from)
                    .map_err(Clone::clone),
            }),
        }
    }
}

impl Serializer<ClientMessage<FleetControlRequest>> for CallerCodec {
    type Error = io::Error;

    fn serialize(
        self: Pin<&mut Self>,
        item: &ClientMessage<FleetControlRequest>,
    ) -> io::Result<Bytes> {
        match (self.format, item) {
            (MessageFormat::First, ClientMessage::Request(request)) => {
                encode(&ClientMessage::Request(Request {
                    context: request.context,
                    id: request.id,
                    message: FirstRequest::from(&request.message),
                }))
            }
            _ => encode(item),
        }
    }
}

impl Deserializer<Response<FleetControlResponse>> for CallerCodec {
    type Error = io::Error;

    fn deserialize(
        self: Pin<&mut Self>,
        src: &BytesMut,
    ) -> io::Result<Response<FleetControlResponse>> {
        match self.format {
            MessageFormat::Present => decode_all(src).map_err(unknown_format),
            MessageFormat::First => {
                let first = decode_all::<Response<FirstResponse>>(src).map_err(unknown_format)?;
                Ok(Response {
                    request_id: first.request_id,
                    message: first.message.map(FleetControlResponse::from),
                })
            }
        }
    }
}

fn from_first(message: ClientMessage<FirstRequest>) -> Option<ClientMessage<FleetControlRequest>> {
    let ClientMessage::Request(request) = message else {
        return None;
    };
    Some(ClientMessage::Request(Request {
        context: request.context,
        id: request.id,
        message: request.message.try_into().ok()?,
    }))
}

fn encode<T: Serialize>(item: &T) -> io::Result<Bytes> {
    let buf = postcard::to_stdvec(item).map_err(io::Error::other)?;
    Ok(buf.into())
}

/// Counts a message that can't be read, and names the formats that can.
fn unknown_format(error: io::Error) -> io::Error {
    metrics::counter!("agatehill_peer_unreadable_messages").increment(1);
    let text = format!(
        "a message to a keeper is in neither format {} nor {}: {error}",
        MessageFormat::First,
        MessageFormat::Present
    );
    io::Error::new(io::ErrorKind::InvalidData, text)
}
