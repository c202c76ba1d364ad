//! The contracts in force at this daemon; calls read them without a lock.

use agatehill_decide::{
    contract::{ContractSpec, ContractTable},
    name::CustomerName,
};
use arc_swap::ArcSwap;
use std::sync::Arc;

/// A shared view of the contracts in force.
#[derive(Clone, Debug, Default)]
pub struct ContractView {
    table: Arc<ArcSwap<ContractTable>>,
}

impl ContractView {
    /// Returns the contract of `customer`.
    pub fn get(&self, customer: &CustomerName) -> Option<Arc<ContractSpec>> {
        self.table.load().get(customer).cloned()
    }

    /// Puts those of `specs` in force that are newer than the present contract; returns their
    /// number.
    ///
    /// A concurrent update of the table makes this one start over on the newer table.
    pub fn apply(&self, specs: &[Arc<ContractSpec>]) -> usize {
        let mut applied = 0;
        self.table.rcu(|old| {
            let mut table = ContractTable::clone(old);
            applied = specs
                .iter()
                .filter(|spec| table.apply((*spec).clone()))
                .count();
            table
        });
        applied
    }

    /// Returns all contracts in force.
    pub fn list(&self) -> Vec<Arc<ContractSpec>> {
        self.table.load().iter().cloned().collect()
    }
}
