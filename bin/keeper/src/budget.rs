//! Divides what the clients of a keeper may hold among its listeners.

use agatehill_config::KeeperLimits;
use agatehill_process::budget::{BudgetLimits, ClientBudget, ListenerBudget};

/// Bytes of a megabyte.
const MB: u64 = 1_000_000;
/// Connections of operators.
const OPERATOR_CONNECTIONS_MAX: usize = 64;

/// The budgets of a keeper's listeners.
#[derive(Clone)]
pub(crate) struct KeeperBudget {
    pub(crate) all: ClientBudget,
    pub(crate) operators: ListenerBudget,
    /// Daemons and other keepers.
    pub(crate) peers: ListenerBudget,
}

impl KeeperBudget {
    /// Returns the budgets of a keeper with these limits.
    pub(crate) fn open(limits: &KeeperLimits) -> KeeperBudget {
        let bytes = limits.client_memory_mb.saturating_mul(MB);
        let all = ClientBudget::open(BudgetLimits {
            bytes_max: usize::try_from(bytes).unwrap_or(usize::MAX),
            shared_connections_max: 0,
        });
        KeeperBudget {
            operators: all.listener("operators", OPERATOR_CONNECTIONS_MAX),
            peers: all.listener("peers", limits.connections_max),
            all,
        }
    }
}
