//! Gate levels known at the entry, where calls are shed that a gate further down would refuse.

use agatehill_decide::{
    level::{LevelTable, PathLevels, ServiceHash},
    name::{CustomerName, ServiceName},
    priority::CallPriority,
    time::MonoTime,
};
use parking_lot::{Mutex, MutexGuard};
use std::{
    hash::{DefaultHasher, Hash, Hasher},
    sync::Arc,
};

/// Identifies an operation of a contract.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct OperationKey(u64);

impl OperationKey {
    /// Returns the key of the operation of `customer` at `service` with this method and path
    /// template.
    pub fn of(
        customer: &CustomerName,
        service: &ServiceName,
        method: &str,
        path: &str,
    ) -> OperationKey {
        let mut hasher = DefaultHasher::new();
        (customer, service, method, path).hash(&mut hasher);
        OperationKey(hasher.finish())
    }
}

/// The gate levels reported to an entry, shared between its tasks.
#[derive(Clone, Debug, Default)]
pub struct EntryLevels {
    table: Arc<Mutex<LevelTable<OperationKey, ServiceHash>>>,
}

impl EntryLevels {
    /// Records the levels that came back with the response to a root call of `operation`.
    pub fn record(&self, operation: OperationKey, levels: &PathLevels, now: MonoTime) {
        let mut table = self.lock();
        for known in levels.iter() {
            table.record(operation, known.service, known.level, now);
        }
    }

    /// Returns whether the gates on the path of `operation` would admit a root call of `priority`.
    pub fn admits(&self, operation: OperationKey, priority: CallPriority, now: MonoTime) -> bool {
        priority <= self.lock().level(&operation, now)
    }

    /// Removes expired levels and returns the others, lowest first.
    pub fn list(&self, now: MonoTime) -> Vec<(ServiceHash, CallPriority)> {
        let mut table = self.lock();
        table.prune(now);
        let mut levels: Vec<_> = table.iter(now).map(|(key, level)| (*key, level)).collect();
        levels.sort_by_key(|(service, level)| (*level, *service));
        levels
    }

    fn lock(&self) -> MutexGuard<'_, LevelTable<OperationKey, ServiceHash>> {
        self.table.lock()
    }
}
