//! Sends the messages of this keeper's replicas to other keepers.

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

/// Messages that wait for a connection before further ones are dropped.
const QUEUE_MAX: usize = 4_096;
/// Most messages in one request.
const BATCH_MAX: usize = 256;
/// Most requests without an answer.
const IN_FLIGHT_MAX: usize = 8;
/// Time limit of a request; shorter than an election, so that a silent connection is replaced
/// before the leader is.
const DELIVER_TIMEOUT: Duration = Duration::from_millis(400);
/// Least throughput that a connection is granted, in bytes a millisecond.
const MIN_BYTES_PER_MS: usize = 2_000;

/// A way to one other keeper.
pub trait ReplicaLink: Send + Sync + 'static {
    /// Delivers messages within `timeout`; they may get lost, the replicas send them again.
    fn deliver(
        &self,
        envelopes: Vec<ReplicaEnvelope>,
        timeout: Duration,
    ) -> impl Future<Output = ()> + Send;
}

/// Queues of messages to the other keepers; clones share them.
#[derive(Clone)]
pub struct PeerOutbox {
    group: u16,
    queues: Arc<RwLock<HashMap<KeeperName, mpsc::Sender<ReplicaEnvelope>>>>,
}

impl PeerOutbox {
    /// Opens an outbox without keepers.
    pub fn open() -> PeerOutbox {
        PeerOutbox {
            group: 0,
            queues: Arc::default(),
        }
    }

    /// Opens the queue of the keeper `name`, unless there is one already.
    pub fn add_keeper<L: ReplicaLink>(&self, name: &KeeperName, link: Arc<L>) {
        let mut queues = self.queues.write().expect("no holder of the lock panics");
        if queues.contains_key(name) {
            return;
        }
        let (queue, waiting) = mpsc::channel(QUEUE_MAX);
        tokio::spawn(pump(link, waiting));
        queues.insert(name.clone(), queue);
    }

    /// Returns the same queues for the messages of `group`.
    pub fn for_group(&self, group: u16) -> PeerOutbox {
        PeerOutbox {
            group,
            queues: self.queues.clone(),
        }
    }

    /// Returns the group that it is for.
    pub fn group(&self) -> u16 {
        self.group
    }

    /// Sends a message; it is dropped if too many wait or the keeper has no queue.
    pub fn send(&self, envelope: ReplicaEnvelope) {
        let queues = self.queues.read().expect("no holder of the lock panics");
        let queue = queues.get(&envelope.to);
        let is_sent = queue.is_some_and(|queue| queue.try_send(envelope).is_ok());
        if !is_sent {
            counter!("agatehill_replica_messages_dropped").increment(1);
        }
    }
}

async fn pump<L: ReplicaLink>(link: Arc<L>, mut waiting: mpsc::Receiver<ReplicaEnvelope>) {
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
            let extra = u64::try_from(bytes / MIN_BYTES_PER_MS).unwrap_or(u64::MAX);
            let timeout = DELIVER_TIMEOUT + Duration::from_millis(extra);
            counter!("agatehill_replica_messages_sent").increment(batch.len() as u64);
            link.deliver(batch, timeout).await;
        });
    }
}

/// Returns the size of what makes a message large, in bytes.
fn envelope_bytes(envelope: &ReplicaEnvelope) -> usize {
    match &envelope.message {
        ReplicaMessage::AppendEntries { entries, .. } => {
            entries.iter().map(|e| e.payload.bytes()).sum()
        }
        ReplicaMessage::InstallSnapshot { chunk, .. } => chunk.len(),
        _ => 0,
    }
}
