//! Accepts the connections of the services between agatehill's own processes.

use crate::metered_stream::MeteredStream;
use agatehill_process::budget::ListenerBudget;
use futures_util::{Stream, StreamExt};
use std::{future::Future, io, net::SocketAddr, pin::pin, time::Duration};
use tokio::{
    net::TcpListener,
    sync::watch,
    time::{sleep, timeout},
};

/// Pause after a failed accept.
const ACCEPT_RETRY_PAUSE: Duration = Duration::from_millis(50);

/// A running listener; when dropped, it stops and its connections end.
#[derive(Debug)]
pub(crate) struct PeerListener {
    addr: SocketAddr,
    _stop: watch::Sender<()>,
}

impl PeerListener {
    /// Serves each connection of `listener` within `budget` with `serve`.
    ///
    /// # Errors
    ///
    /// Fails if the listener's address can't be read.
    pub(crate) fn spawn<F, Fut>(
        listener: TcpListener,
        budget: ListenerBudget,
        serve: F,
    ) -> io::Result<PeerListener>
    where
        F: Fn(MeteredStream) -> Fut + Send + 'static,
        Fut: Future<Output = ()> + Send + 'static,
    {
        let addr = listener.local_addr()?;
        let (stop, stopped) = watch::channel(());
        tokio::spawn(accept(listener, budget, serve, stopped));
        Ok(PeerListener { addr, _stop: stop })
    }

    /// Returns the bound address.
    pub(crate) fn local_addr(&self) -> SocketAddr {
        self.addr
    }
}

/// Runs the calls of one connection until it ends, or no call has come for `idle_timeout`.
pub(crate) async fn run_calls<S>(calls: S, idle_timeout: Duration)
where
    S: Stream,
    S::Item: Future<Output = ()> + Send + 'static,
{
    let mut calls = pin!(calls);
    while let Ok(Some(call)) = timeout(idle_timeout, calls.next()).await {
        tokio::spawn(call);
    }
}

async fn accept<F, Fut>(
    listener: TcpListener,
    budget: ListenerBudget,
    serve: F,
    mut stopped: watch::Receiver<()>,
) where
    F: Fn(MeteredStream) -> Fut,
    Fut: Future<Output = ()> + Send + 'static,
{
    loop {
        let accepted = tokio::select! {
            _ = stopped.changed() => return,
            accepted = accept_one(&listener, &budget) => accepted,
        };
        match accepted {
            Ok(stream) => {
                tokio::spawn(until_stopped(serve(stream), stopped.clone()));
            }
            Err(_) => sleep(ACCEPT_RETRY_PAUSE).await,
        }
    }
}

async fn accept_one(listener: &TcpListener, budget: &ListenerBudget) -> io::Result<MeteredStream> {
    let (stream, _) = listener.accept().await?;
    let usage = budget.admit().await;
    Ok(MeteredStream::new(stream, usage))
}

async fn until_stopped(serving: impl Future<Output = ()>, mut stopped: watch::Receiver<()>) {
    tokio::select! {
        _ = stopped.changed() => {}
        () = serving => {}
    }
}
