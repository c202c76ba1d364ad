//! A TCP proxy that can stall its open connections for good while new ones work.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicU32, Ordering},
    },
};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{
        TcpListener, TcpStream,
        tcp::{OwnedReadHalf, OwnedWriteHalf},
    },
    sync::watch,
};

/// Size of the copy buffer, in bytes.
const BUFFER_BYTES: usize = 16 * 1024;

/// Which bytes a stalled connection drops.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum StallDirection {
    /// Requests and responses.
    Both,
    /// Responses only.
    Responses,
}

/// A running proxy; it runs until the runtime shuts down.
#[derive(Debug)]
pub struct StallingProxy {
    local: SocketAddr,
    /// The newest stall; concerns the connections that are open when it is sent.
    stalls: watch::Sender<Option<StallDirection>>,
    accepted: Arc<AtomicU32>,
}

impl StallingProxy {
    /// Binds a free port on loopback and forwards its connections to `target`.
    pub async fn bind(target: SocketAddr) -> StallingProxy {
        StallingProxy::bind_at(SocketAddr::from(([127, 0, 0, 1], 0)), target).await
    }

    /// Binds `local` and forwards its connections to `target`.
    pub async fn bind_at(local: SocketAddr, target: SocketAddr) -> StallingProxy {
        let listener = TcpListener::bind(local).await.expect("bind the address");
        let local = listener.local_addr().expect("the local address");
        let (stalls, _) = watch::channel(None);
        let subscriber = stalls.clone();
        let accepted = Arc::new(AtomicU32::new(0));
        let count = accepted.clone();
        tokio::spawn(async move {
            while let Ok((client, _)) = listener.accept().await {
                count.fetch_add(1, Ordering::SeqCst);
                let Ok(server) = TcpStream::connect(target).await else {
                    continue;
                };
                forward(client, server, subscriber.subscribe());
            }
        });
        StallingProxy {
            local,
            stalls,
            accepted,
        }
    }

    /// Returns the address to connect to.
    pub fn local_addr(&self) -> SocketAddr {
        self.local
    }

    /// Returns the number of connections that it has accepted so far.
    pub fn accepted(&self) -> u32 {
        self.accepted.load(Ordering::SeqCst)
    }

    /// Stalls all open connections for good; new ones work.
    pub fn stall_open(&self, direction: StallDirection) {
        self.stalls.send_replace(Some(direction));
    }
}

fn forward(
    client: TcpStream,
    server: TcpStream,
    mut stalls: watch::Receiver<Option<StallDirection>>,
) {
    let _ = client.set_nodelay(true);
    let _ = server.set_nodelay(true);
    let (client_rdr, client_wtr) = client.into_split();
    let (server_rdr, server_wtr) = server.into_split();
    // Earlier stalls concern older connections only.
    stalls.mark_unchanged();
    tokio::spawn(copy(
        client_rdr,
        server_wtr,
        stalls.clone(),
        &[StallDirection::Both],
    ));
    tokio::spawn(copy(
        server_rdr,
        client_wtr,
        stalls,
        &[StallDirection::Both, StallDirection::Responses],
    ));
}

/// Copies bytes until a stall among `dropped_by` arrives; then drops them.
async fn copy(
    mut rdr: OwnedReadHalf,
    mut wtr: OwnedWriteHalf,
    mut stalls: watch::Receiver<Option<StallDirection>>,
    dropped_by: &'static [StallDirection],
) {
    let mut buf = vec![0; BUFFER_BYTES];
    let mut is_stalled = false;
    loop {
        tokio::select! {
            // Bytes that are sent after a stall has begun must not pass before it is noticed.
            biased;
            changed = stalls.changed(), if !is_stalled => {
                let stall = *stalls.borrow();
                is_stalled = changed.is_ok() && stall.is_some_and(|dir| dropped_by.contains(&dir));
            }
            read = rdr.read(&mut buf) => match read {
                Ok(n) if n > 0 => {
                    if !is_stalled && wtr.write_all(&buf[..n]).await.is_err() {
                        return;
                    }
                }
                // On a stalled connection neither end sees that the other has closed.
                _ if is_stalled => std::future::pending().await,
                _ => return,
            }
        }
    }
}
