//! Queues of messages from this keeper's replicas to other keepers.

use agatehill_decide::{
    name::KeeperName,
    replica::{ReplicaEnvelope, ReplicaMessage},
};
use metrics::counter;
use std::{
    collections::HashMap,
    future::Future,
    sync::{Arc, RwLock},
    time::Duration,
};
use tokio::sync::{Semaphore, mpsc};

/// Most messages queued for one keeper; further ones are dropped.
const QUEUE_MAX: usize = 4_096;
/// Most messages in one request.
const BATCH_MAX: usize = 256;
/// Most requests in flight to one keeper.
const IN_FLIGHT_MAX: usize = 8;
/// Base timeout of a request; large ones get more. Shorter than the election timeout, so that a
/// stalled connection is replaced before the leader is.
const DELIVER_TIMEOUT: Duration = Duration::from_millis(400);
/// Lowest throughput of a connection that the timeout allows for, in bytes per millisecond.
const MIN_BYTES_PER_MS: usize = 2_000;

/// A link to one other keeper.
pub trait ReplicaLink: Send + Sync + 'static {
    /// Delivers messages within `timeout`. They may get lost: replicas retransmit.
    fn deliver(
        &self,
        envelopes: Vec<ReplicaEnvelope>,
        timeout: Duration,
    ) -> impl Future<Output = ()> + Send;
}

/// Queues of messages to the other keepers; clones share the queues.
#[derive(Clone)]
pub struct PeerOutbox {
    group: u16,
    queues: Arc<RwLock<HashMap<KeeperName, mpsc::Sender<ReplicaEnvelope>>>>,
}

impl PeerOutbox {
    /// Returns an outbox without keepers.
    pub fn open() -> PeerOutbox {
        PeerOutbox {
            group: 0,
            queues: Arc::default(),
        }
    }

    /// Opens a queue to the keeper `name` over `link`, unless it has one already.
    pub fn add_keeper<L: ReplicaLink>(&self, name: &KeeperName, link: Arc<L>) {
        let mut queues = self.queues.write().expect("no holder of the lock panics");
        if queues.contains_key(name) {
            return;
        }
        let (queue, queued) = mpsc::channel(QUEUE_MAX);
        tokio::spawn(send_queued(link, queued));
        queues.insert(name.clone(), queue);
    }

    /// Returns an outbox for `group` that shares these queues.
    pub fn for_group(&self, group: u16) -> PeerOutbox {
        PeerOutbox {
            group,
            queues: self.queues.clone(),
        }
    }

    /// Returns the group of this outbox.
    pub fn group(&self) -> u16 {
        self.group
    }

    /// Queues a message; drops it if the queue is full or the keeper has no queue.
    pub fn send(&self, envelope: ReplicaEnvelope) {
        let queues = self.queues.read().expect("no holder of the lock panics");
        let queue = queues.get(&envelope.to);
        let is_queued = queue.is_some_and(|queue| queue.try_send(envelope).is_ok());
        if !is_queued {
            counter!("agatehill_replica_messages_dropped").increment(1);
        }
    }
}

async fn send_queued<L: ReplicaLink>(link: Arc<L>, mut queued: mpsc::Receiver<ReplicaEnvelope>) {
    let permits = Arc::new(Semaphore::new(IN_FLIGHT_MAX));
    loop {
        let mut batch = Vec::new();
        if queued.recv_many(&mut batch, BATCH_MAX).await == 0 {
            return;
        }
        let permit = permits.clone().acquire_owned().await;
        let link = link.clone();
        tokio::spawn(async move {
            let _permit = permit;
            let bytes: usize = batch.iter().map(envelope_bytes).sum();
            let extra = u64::try_from(bytes / MIN_BYTES_PER_MS).unwrap_or(u64::MAX);
            let timeout = DELIVER_TIMEOUT + Duration::from_millis(extra);
            counter!("agatehill_replica_messages_sent").increment(batch.len() as u64);
            link.deliver(batch, timeout).await;
        });
    }
}

/// Returns the size of a message's entries or snapshot chunk, in bytes; the rest is small.
fn envelope_bytes(envelope: &ReplicaEnvelope) -> usize {
    match &envelope.message {
        ReplicaMessage::AppendEntries { entries, .. } => {
            entries.iter().map(|e| e.payload.bytes()).sum()
        }
        ReplicaMessage::InstallSnapshot { chunk, .. } => chunk.len(),
        _ => 0,
    }
}
