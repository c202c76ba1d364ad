//! Divides what the clients of a daemon may hold among its listeners.

use agatehill_config::CallLimits;
use agatehill_process::budget::{BudgetLimits, ClientBudget, ListenerBudget};

/// Bytes of a megabyte.
const MB: u64 = 1_000_000;
/// Connections of backend servers, and of operators.
const LOCAL_CONNECTIONS_MAX: usize = 64;
/// Connections for control messages of other daemons.
const CONTROL_CONNECTIONS_MAX: usize = 1_024;

/// The budgets of a daemon's listeners.
pub(crate) struct DaemonBudget {
    pub(crate) all: ClientBudget,
    pub(crate) callers: ListenerBudget,
    pub(crate) daemons: ListenerBudget,
    pub(crate) servers: ListenerBudget,
    pub(crate) operators: ListenerBudget,
    pub(crate) control: ListenerBudget,
}

impl DaemonBudget {
    /// Returns the budgets of a daemon with these limits.
    pub(crate) fn open(limits: &CallLimits) -> DaemonBudget {
        let bytes = limits.client_memory_mb.saturating_mul(MB);
        let all = ClientBudget::open(BudgetLimits {
            bytes_max: usize::try_from(bytes).unwrap_or(usize::MAX),
            shared_connections_max: 0,
        });
        DaemonBudget {
            callers: all.listener("callers", limits.connections_max),
            daemons: all.listener("daemons", limits.connections_max),
            servers: all.listener("servers", LOCAL_CONNECTIONS_MAX),
            operators: all.listener("operators", LOCAL_CONNECTIONS_MAX),
            control: all.listener("control", CONTROL_CONNECTIONS_MAX),
            all,
        }
    }
}
