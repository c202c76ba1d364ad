//! Sends the messages of this keeper's replicas to other keepers.

use agatehill_decide::{
    name::KeeperName,
    replica::{ReplicaEnvelope, ReplicaMessage},
};
use agatehill_peer::keeper_client::KeeperLink;
use metrics::counter;
use std::{collections::HashMap, sync::Arc, time::Duration};
use tokio::sync::{Semaphore, mpsc};

/// Messages that wait for a connection before further ones are dropped.
const QUEUE_MAX: usize = 4_096;
/// Most messages in one request.
const BATCH_MAX: usize = 256;
/// Most requests without an answer.
const IN_FLIGHT_MAX: usize = 8;
/// Time limit of a request; shorter than an election, so that a silent connection is replaced
/// before the leader is.
const DELIVER_SPAN: Duration = Duration::from_millis(400);
/// Least throughput that a connection is granted, in bytes a millisecond.
const BYTES_PER_MS: usize = 2_000;

/// Queues of messages to the other keepers.
#[derive(Clone)]
pub(crate) struct PeerOutbox {
    group: u16,
    queues: Arc<HashMap<KeeperName, mpsc::Sender<ReplicaEnvelope>>>,
}

impl PeerOutbox {
    /// Opens queues over `links`.
    pub(crate) fn spawn(links: &HashMap<KeeperName, Arc<KeeperLink>>) -> PeerOutbox {
        let queue = |(name, link): (&KeeperName, &Arc<KeeperLink>)| {
            let (queue, waiting) = mpsc::channel(QUEUE_MAX);
            tokio::spawn(pump(link.clone(), waiting));
            (name.clone(), queue)
        };
        PeerOutbox {
            group: 0,
            queues: Arc::new(links.iter().map(queue).collect()),
        }
    }

    /// Returns the same queues for the messages of `group`.
    pub(crate) fn of_group(&self, group: u16) -> PeerOutbox {
        PeerOutbox {
            group,
            queues: self.queues.clone(),
        }
    }

    /// Returns the group that it is for.
    pub(crate) fn group(&self) -> u16 {
        self.group
    }

    /// Sends a message; it is dropped if too many wait.
    pub(crate) fn send(&self, envelope: ReplicaEnvelope) {
        let Some(queue) = self.queues.get(&envelope.to) else {
            return;
        };
        if queue.try_send(envelope).is_err() {
            counter!("agatehill_replica_messages_dropped").increment(1);
        }
    }
}

async fn pump(link: Arc<KeeperLink>, mut waiting: mpsc::Receiver<ReplicaEnvelope>) {
    let permits = Arc::new(Semaphore::new(IN_FLIGHT_MAX));
    loop {
        let mut batch = Vec::new();
        if waiting.recv_many(&mut batch, BATCH_MAX).await == 0 {
            return;
        }
        let permit = permits.clone().acquire_owned().await;
        let link = link.clone();
        tokio::spawn(async move {
            let _permit = permit;
            let bytes: usize = batch.iter().map(envelope_bytes).sum();
            let extra = u64::try_from(bytes / BYTES_PER_MS).unwrap_or(u64::MAX);
            let span = DELIVER_SPAN + Duration::from_millis(extra);
            counter!("agatehill_replica_messages_sent").increment(batch.len() as u64);
            // What is lost here the replicas send again.
            let _ = link
                .call(span, |client, ctx| async move {
                    client.deliver(ctx, batch).await
                })
                .await;
        });
    }
}

/// Returns the size of what makes a message large, in bytes.
fn envelope_bytes(envelope: &ReplicaEnvelope) -> usize {
    match &envelope.message {
        ReplicaMessage::Append { entries, .. } => entries.iter().map(|e| e.payload.bytes()).sum(),
        ReplicaMessage::Install { part, .. } => part.len(),
        _ => 0,
    }
}
