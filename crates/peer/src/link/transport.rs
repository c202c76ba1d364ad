//! Transports of control messages over TCP.

use crate::{
    codec::{PostcardCodec, message_framing},
    metered_stream::MeteredStream,
};
use socket2::{SockRef, TcpKeepalive};
use std::time::Duration;
use tokio::{
    io::{AsyncRead, AsyncWrite},
    net::TcpStream,
};
use tokio_serde::{Deserializer, Serializer};
use tokio_util::codec::{Framed, LengthDelimitedCodec};

/// Idle time after which the kernel sends the first keep-alive probe.
const KEEPALIVE_TIME: Duration = Duration::from_secs(2);
/// Time between two keep-alive probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);

/// Returns a tarpc transport over `stream` with messages in postcard.
pub fn postcard_transport<In, Out>(
    stream: TcpStream,
) -> tarpc::serde_transport::Transport<TcpStream, In, Out, PostcardCodec>
where
    In: serde::de::DeserializeOwned,
    Out: serde::Serialize,
{
    codec_transport(stream, PostcardCodec)
}

/// Returns a tarpc transport over `stream` with messages in `codec`.
pub(crate) fn codec_transport<In, Out, C>(
    stream: TcpStream,
    codec: C,
) -> tarpc::serde_transport::Transport<TcpStream, In, Out, C>
where
    In: serde::de::DeserializeOwned,
    Out: serde::Serialize,
    C: Deserializer<In> + Serializer<Out>,
{
    set_options(&stream);
    framed(stream, codec)
}

/// Returns the server's end of such a transport over `stream`.
pub(crate) fn served_transport<In, Out, C>(
    stream: MeteredStream,
    codec: C,
) -> tarpc::serde_transport::Transport<MeteredStream, In, Out, C>
where
    In: serde::de::DeserializeOwned,
    Out: serde::Serialize,
    C: Deserializer<In> + Serializer<Out>,
{
    set_options(stream.socket());
    framed(stream, codec)
}

fn set_options(stream: &TcpStream) {
    // Otherwise small messages wait for the peer's delayed acknowledgement.
    let _ = stream.set_nodelay(true);
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE_TIME)
        .with_interval(KEEPALIVE_INTERVAL);
    // An error is ignored: without probes, the time limits of requests detect a dead connection.
    let _ = SockRef::from(stream).set_tcp_keepalive(&keepalive);
}

fn framed<S, In, Out, C>(stream: S, codec: C) -> tarpc::serde_transport::Transport<S, In, Out, C>
where
    S: AsyncRead + AsyncWrite,
    In: serde::de::DeserializeOwned,
    Out: serde::Serialize,
    C: Deserializer<In> + Serializer<Out>,
{
    let frames: Framed<S, LengthDelimitedCodec> = Framed::new(stream, message_framing());
    tarpc::serde_transport::new(frames, codec)
}
