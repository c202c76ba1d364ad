//! What the clients of a process may hold: memory and descriptors, counted over all of its listeners.
//!
//! Each connection, and each body that is being received, is a [`ClientUsage`]. When memory or the descriptors of a
//! listener run out, the usage gives way that has held most for longest without getting on: its connection is
//! closed, or its request refused. A usage that is in use (a request that may run) never gives way. So a crowd
//! that holds what it has begun to send makes room for newcomers, and small requests are served beside it.

mod ledger;
mod report;
mod usage;

use ledger::{BudgetLedger, ListenerKey, ListenerLimits};
use parking_lot::Mutex;
use report::{GiveWayReport, show_totals};
use std::{
    pin::pin,
    sync::Arc,
    time::{Duration, Instant},
};
use tokio::{sync::Notify, time::timeout};

pub use usage::ClientUsage;

/// Memory that a connection is counted with from its start, in bytes: its task and its first buffers.
pub const CONNECTION_BYTES: usize = 8 * 1024;
/// Largest share of the memory that large bodies take up; the rest is for connections and small requests.
const BODY_SHARE: f64 = 0.5;
/// Time between two updates of the gauges.
const GAUGE_INTERVAL: Duration = Duration::from_secs(1);
/// Time between two looks for memory while a connection waits for it.
const ADMIT_RETRY_PAUSE: Duration = Duration::from_millis(20);

/// Limits of what the clients of a process hold together.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct BudgetLimits {
    /// Memory, in bytes.
    pub bytes_max: usize,
    /// Connections that listeners may have open beyond their own.
    pub shared_connections_max: usize,
}

/// The budget of a process; clones share it.
#[derive(Clone, Debug)]
pub struct ClientBudget {
    shared: Arc<SharedBudget>,
}

/// The part of a budget that one listener, or one kind of outgoing connection, draws on; clones share it.
#[derive(Clone, Debug)]
pub struct ListenerBudget {
    budget: ClientBudget,
    listener: ListenerKey,
}

#[derive(Debug)]
struct SharedBudget {
    opened: Instant,
    ledger: Mutex<BudgetLedger>,
    /// Notified when a connection has closed.
    closed: Notify,
    report: GiveWayReport,
}

impl ClientBudget {
    /// Returns a budget of which nothing is used.
    pub fn open(limits: BudgetLimits) -> ClientBudget {
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_precision_loss,
            clippy::cast_sign_loss,
            reason = "a share of a size in memory"
        )]
        let body_bytes_max = (limits.bytes_max as f64 * BODY_SHARE) as usize;
        ClientBudget {
            shared: Arc::new(SharedBudget {
                opened: Instant::now(),
                ledger: Mutex::new(BudgetLedger::open(limits, body_bytes_max)),
                closed: Notify::new(),
                report: GiveWayReport::default(),
            }),
        }
    }

    /// Returns a budget without limits.
    pub fn unlimited() -> ClientBudget {
        ClientBudget::open(BudgetLimits {
            bytes_max: usize::MAX,
            shared_connections_max: 0,
        })
    }

    /// Returns the part of the listener `name`, which may have `connections_max` connections open.
    pub fn listener(&self, name: &'static str, connections_max: usize) -> ListenerBudget {
        let own_connections = connections_max;
        self.add_listener(name, own_connections, ListenerLimits::default())
    }

    /// Returns the part of the listener `name`, which may have `own_connections` open, and more as long as some are left of
    /// those that listeners share.
    pub fn sharing_listener(&self, name: &'static str, own_connections: usize) -> ListenerBudget {
        let limits = ListenerLimits {
            may_share: true,
            ..ListenerLimits::default()
        };
        self.add_listener(name, own_connections, limits)
    }

    /// Returns the part of a listener that the process needs to do its work: its few connections are admitted though the
    /// memory is used up.
    pub fn essential_listener(&self, name: &'static str, connections_max: usize) -> ListenerBudget {
        let limits = ListenerLimits {
            is_essential: true,
            ..ListenerLimits::default()
        };
        self.add_listener(name, connections_max, limits)
    }

    fn add_listener(
        &self,
        name: &'static str,
        own_connections: usize,
        limits: ListenerLimits,
    ) -> ListenerBudget {
        let limits = ListenerLimits {
            own_connections,
            ..limits
        };
        ListenerBudget {
            budget: self.clone(),
            listener: self.shared.ledger.lock().add_listener(name, limits),
        }
    }

    /// Returns the memory that is counted, in bytes.
    pub fn used_bytes(&self) -> usize {
        self.shared.ledger.lock().used_bytes()
    }

    /// Updates the gauges, forever.
    pub async fn report(self) {
        loop {
            tokio::time::sleep(GAUGE_INTERVAL).await;
            let totals = self.shared.ledger.lock().totals();
            show_totals(&totals);
        }
    }

    fn now_ms(&self) -> u64 {
        u64::try_from(self.shared.opened.elapsed().as_millis()).unwrap_or(u64::MAX - 2)
    }
}

impl ListenerBudget {
    /// Returns the part of a listener of its own budget, without limits.
    pub fn unlimited() -> ListenerBudget {
        ListenerBudget::with_connections_max(usize::MAX)
    }

    /// Returns the part of a listener of its own budget, whose only limit is the number of its connections.
    pub fn with_connections_max(connections_max: usize) -> ListenerBudget {
        ClientBudget::unlimited().listener("only", connections_max)
    }

    /// Waits until a further connection may be open, for which another one gives way if need be. It counts as in use
    /// until [`ClientUsage::set_waiting`] is called.
    pub async fn admit(&self) -> ClientUsage {
        loop {
            let mut closed = pin!(self.budget.shared.closed.notified());
            // From now on, so that no connection closes unnoticed.
            closed.as_mut().enable();
            if let Some(usage) = self.try_admit() {
                return usage;
            }
            // Memory is also freed without a connection that closes.
            let _ = timeout(ADMIT_RETRY_PAUSE, closed).await;
        }
    }

    /// Does the same, but returns `None` if no connection can be opened at once.
    pub fn try_admit(&self) -> Option<ClientUsage> {
        let shared = &self.budget.shared;
        let now_ms = self.budget.now_ms();
        let mut ledger = shared.ledger.lock();
        let admitted = ledger.try_admit(self.listener, CONNECTION_BYTES, now_ms);
        let gave_way = ledger.take_gave_way();
        drop(ledger);
        shared.report.record(gave_way, now_ms);
        Some(ClientUsage::new(self.clone(), admitted?))
    }

    /// Returns the usage of a body that is being received, of which nothing is held yet; it may give way at once.
    pub fn body(&self) -> ClientUsage {
        let now_ms = self.budget.now_ms();
        let entry = self.budget.shared.ledger.lock().add_body(self.listener);
        let usage = ClientUsage::new(self.clone(), entry);
        usage.set_waiting_since(now_ms);
        usage
    }
}
