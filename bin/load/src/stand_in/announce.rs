//! Announces a stand-in to the daemon on its host.

use super::{ServerState, StandIn};
use crate::client::{self, HttpClient, HttpVersion};
use agatehill_decide::name::ServiceName;
use bytes::Bytes;
use eyre::Result;
use http::{Request, header::CONTENT_TYPE};
use http_body_util::Full;
use serde::Serialize;
use std::{net::SocketAddr, sync::Arc, time::Duration};
use tokio::{task::JoinHandle, time};

/// Time between two announcements, and the timeout of each.
const ANNOUNCE_INTERVAL: Duration = Duration::from_secs(1);

#[derive(Serialize)]
struct Announcement<'a> {
    service: &'a ServiceName,
    address: SocketAddr,
    slots: usize,
    connections: usize,
    state: ServerState,
}

/// Spawns a task that announces `stand_in` to the daemon at `daemon` until it is aborted.
pub(crate) fn spawn(daemon: SocketAddr, stand_in: Arc<StandIn>) -> JoinHandle<()> {
    tokio::spawn(async move {
        let client = client::open(HttpVersion::Http1);
        let mut leaving = stand_in.leaving.subscribe();
        loop {
            // If the daemon does not run yet, the next announcement reaches it.
            let _ = announce(&client, daemon, &stand_in).await;
            tokio::select! {
                () = time::sleep(ANNOUNCE_INTERVAL) => {}
                _ = leaving.changed() => {}
            }
        }
    })
}

async fn announce(
    client: &HttpClient<Full<Bytes>>,
    daemon: SocketAddr,
    stand_in: &StandIn,
) -> Result<()> {
    let announcement = Announcement {
        service: &stand_in.settings.service,
        address: stand_in.address,
        slots: stand_in.settings.reported_slots,
        connections: stand_in.settings.connections,
        state: stand_in.state(),
    };
    let request = Request::post(format!("http://{daemon}/announce"))
        .header(CONTENT_TYPE, "application/json")
        .body(Full::from(serde_json::to_vec(&announcement)?))?;
    time::timeout(ANNOUNCE_INTERVAL, client.request(request)).await??;
    Ok(())
}
