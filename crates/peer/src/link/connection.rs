//! One connection of a link, from the start of its setup on.

use super::{LinkClient, MessageFormat, RunningClient};
use crate::dial::dial;
use std::net::SocketAddr;
use tokio::{net::TcpStream, sync::watch};

/// A connection that is open, or is being opened; clones share it.
#[derive(Clone, Debug)]
pub(super) struct LinkConnection<C> {
    /// Its number among the connections of its link.
    pub(super) generation: u64,
    setup: watch::Receiver<ConnectionSetup<C>>,
}

#[derive(Clone, Debug)]
enum ConnectionSetup<C> {
    Pending,
    Failed,
    Done(RunningClient<C>),
}

impl<C: LinkClient> LinkConnection<C> {
    /// Starts to connect to `addr`. The setup goes on whoever waits for it.
    pub(super) fn open(
        addr: SocketAddr,
        format: MessageFormat,
        generation: u64,
    ) -> LinkConnection<C> {
        let (sender, setup) = watch::channel(ConnectionSetup::Pending);
        tokio::spawn(async move {
            let stream = dial(|| TcpStream::connect(addr)).await;
            sender.send_replace(match stream {
                Some(stream) => ConnectionSetup::Done(C::spawn(stream, format)),
                None => ConnectionSetup::Failed,
            });
        });
        LinkConnection { generation, setup }
    }

    /// Returns whether the setup has failed or the connection has ended since.
    pub(super) fn has_ended(&self) -> bool {
        match &*self.setup.borrow() {
            ConnectionSetup::Pending => false,
            ConnectionSetup::Failed => true,
            ConnectionSetup::Done(running) => running.dispatch.is_finished(),
        }
    }

    /// Waits for the setup; returns `None` if it fails.
    pub(super) async fn client(&self) -> Option<C> {
        let mut setup = self.setup.clone();
        let is_ended = |setup: &ConnectionSetup<C>| !matches!(setup, ConnectionSetup::Pending);
        let ended = setup.wait_for(is_ended).await.ok()?;
        match &*ended {
            ConnectionSetup::Done(running) => Some(running.client.clone()),
            ConnectionSetup::Pending | ConnectionSetup::Failed => None,
        }
    }
}
