//! Finds out whether a backend server has crashed.

use std::{io, net::SocketAddr, time::Duration};
use tokio::{
    io::AsyncReadExt,
    net::TcpStream,
    time::{sleep, timeout},
};

/// Time limit for the connection that probes a server.
const PROBE_TIMEOUT: Duration = Duration::from_millis(250);
/// Most connections of one probe. A server at its limit of connections resets each of them.
const PROBE_CONNECTIONS_MAX: u32 = 5;
/// Pause between two connections of one probe.
const PROBE_PAUSE: Duration = Duration::from_millis(10);

/// Returns whether nothing listens at `addr` any more.
///
/// The kernel closes the sockets of a dying process one by one, so its listener may still accept a
/// connection after that of the call was closed. A connection therefore counts only if it stays
/// open for `open_time`.
pub(crate) async fn is_down(addr: SocketAddr, open_time: Duration) -> bool {
    for _ in 0..PROBE_CONNECTIONS_MAX {
        let connected = timeout(PROBE_TIMEOUT, TcpStream::connect(addr)).await;
        match connected {
            Ok(Ok(stream)) => {
                if !closes_within(stream, open_time).await {
                    return false;
                }
            }
            Ok(Err(e)) if e.kind() == io::ErrorKind::ConnectionReset => {}
            Ok(Err(e)) => return e.kind() == io::ErrorKind::ConnectionRefused,
            Err(_) => return false,
        }
        sleep(PROBE_PAUSE).await;
    }
    false
}

/// Returns whether the server closes `stream`, on which nothing was sent, within `open_time`.
async fn closes_within(mut stream: TcpStream, open_time: Duration) -> bool {
    timeout(open_time, stream.read(&mut [0])).await.is_ok()
}
