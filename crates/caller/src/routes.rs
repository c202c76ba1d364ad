//! The route table in use; calls read it without a lock.

use agatehill_decide::route::RouteTable;
use arc_swap::{ArcSwap, Guard};
use std::sync::Arc;

/// A shared view of the newest route table.
#[derive(Clone, Debug, Default)]
pub struct RouteView {
    table: Arc<ArcSwap<RouteTable>>,
}

impl RouteView {
    /// Returns the newest table.
    pub fn load(&self) -> Guard<Arc<RouteTable>> {
        self.table.load()
    }

    /// Replaces the table.
    pub fn publish(&self, table: RouteTable) {
        self.table.store(Arc::new(table));
    }
}
