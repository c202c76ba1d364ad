//! A TCP relay whose open connections can go silent for good while new ones work.

use std::net::SocketAddr;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{
        TcpListener, TcpStream,
        tcp::{OwnedReadHalf, OwnedWriteHalf},
    },
    sync::watch,
};

/// Bytes passed on at a time.
const CHUNK_BYTES: usize = 16 * 1024;

/// What the relay loses on the connections that are open when it is told to.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum StallDirection {
    /// Bytes in both directions.
    Both,
    /// Bytes of the answers only.
    Responses,
}

/// A running relay.
#[derive(Debug)]
pub struct StallingProxy {
    local: SocketAddr,
    /// Number of the newest connection that is silent, and what it loses.
    silent: watch::Sender<Option<StallDirection>>,
}

impl StallingProxy {
    /// Binds a free port and relays to `target`.
    pub async fn bind(target: SocketAddr) -> StallingProxy {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let local = listener.local_addr().expect("a bound address");
        let (silent, _) = watch::channel(None);
        let losses = silent.clone();
        tokio::spawn(async move {
            while let Ok((near, _)) = listener.accept().await {
                let Ok(far) = TcpStream::connect(target).await else {
                    continue;
                };
                relay(near, far, losses.subscribe());
            }
        });
        StallingProxy { local, silent }
    }

    /// Returns the address to connect to.
    pub fn local_addr(&self) -> SocketAddr {
        self.local
    }

    /// Makes all open connections silent for good; new ones work.
    pub fn stall_open(&self, loss: StallDirection) {
        self.silent.send_replace(Some(loss));
    }
}

fn relay(near: TcpStream, far: TcpStream, mut losses: watch::Receiver<Option<StallDirection>>) {
    let _ = near.set_nodelay(true);
    let _ = far.set_nodelay(true);
    let (near_rdr, near_wtr) = near.into_split();
    let (far_rdr, far_wtr) = far.into_split();
    // What was lost before this connection opened concerns older ones.
    losses.mark_unchanged();
    tokio::spawn(pass(
        near_rdr,
        far_wtr,
        losses.clone(),
        &[StallDirection::Both],
    ));
    tokio::spawn(pass(
        far_rdr,
        near_wtr,
        losses,
        &[StallDirection::Both, StallDirection::Responses],
    ));
}

/// Passes bytes on until a loss among `lost_by` is told; then drops them.
async fn pass(
    mut rdr: OwnedReadHalf,
    mut wtr: OwnedWriteHalf,
    mut losses: watch::Receiver<Option<StallDirection>>,
    lost_by: &'static [StallDirection],
) {
    let mut buf = vec![0; CHUNK_BYTES];
    let mut is_silent = false;
    loop {
        tokio::select! {
            changed = losses.changed(), if !is_silent => {
                let loss = *losses.borrow();
                is_silent = changed.is_ok() && loss.is_some_and(|loss| lost_by.contains(&loss));
            }
            read = rdr.read(&mut buf) => match read {
                Ok(n) if n > 0 => {
                    if !is_silent && wtr.write_all(&buf[..n]).await.is_err() {
                        return;
                    }
                }
                // A silent connection tells neither end that the other has closed.
                _ if is_silent => std::future::pending().await,
                _ => return,
            }
        }
    }
}
