//! Call chains: what the calls of a request in flight on a host inherit from it.
//!
//! Backend servers propagate `traceparent` without changes to their code, so a daemon finds the parent
//! of a call among the requests in flight on its host by the trace-id. The table is generic over the
//! chain's retry budget, a handle that is cheap to clone and that the child calls share.

use crate::{
    name::{ChainId, CustomerName},
    priority::CallPriority,
    time::MonoTime,
};
use slotmap::{SlotMap, new_key_type};
use std::{
    collections::HashMap,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
};

/// Number of tables over which a [`ChainIndex`] distributes chains, to keep lock contention low.
const SHARDS: usize = 16;

new_key_type! {
    /// Identifies a request in flight in one [`ChainTable`].
    pub struct ChainRecordKey;
}

/// What child calls inherit from a request in flight.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ChainRecord<B> {
    /// The chain that the request belongs to.
    pub chain: ChainId,
    /// The customer whose contract applies to the whole chain.
    pub customer: CustomerName,
    /// The priority, assigned at the root.
    pub priority: CallPriority,
    /// Time at which the root's caller stops waiting.
    pub deadline: MonoTime,
    /// The retry budget of the chain.
    pub budget: B,
}

/// A chain's retry budget, as needed to choose between two parents.
pub trait ChainBudget: Clone {
    /// Returns the number of remaining retries.
    fn remaining(&self) -> u32;
}

/// Why a call has no parent on this host.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ParentError {
    /// No request of this chain is in flight: the call is a root.
    Missing,
    /// Requests of this chain are in flight for several customers, or none for the customer named.
    Ambiguous,
}

/// Requests in flight on a host, by chain.
#[derive(Clone, Debug)]
pub struct ChainTable<B> {
    records: SlotMap<ChainRecordKey, ChainRecord<B>>,
    by_chain: HashMap<ChainId, Vec<ChainRecordKey>>,
}

impl<B> Default for ChainTable<B> {
    fn default() -> ChainTable<B> {
        ChainTable {
            records: SlotMap::with_key(),
            by_chain: HashMap::new(),
        }
    }
}

impl<B: ChainBudget> ChainTable<B> {
    /// Adds a request that starts to run.
    pub fn enter(&mut self, record: ChainRecord<B>) -> ChainRecordKey {
        let chain = record.chain;
        let key = self.records.insert(record);
        self.by_chain.entry(chain).or_default().push(key);
        key
    }

    /// Removes a request that has ended.
    pub fn leave(&mut self, key: ChainRecordKey) {
        let Some(record) = self.records.remove(key) else {
            return;
        };
        let Some(parents) = self.by_chain.get_mut(&record.chain) else {
            return;
        };
        parents.retain(|other| *other != key);
        if parents.is_empty() {
            self.by_chain.remove(&record.chain);
        }
    }

    /// Returns what a call of `chain` inherits.
    ///
    /// If several requests of the chain are in flight, the call may belong to any of them. It gets
    /// the earliest deadline, the least important priority and the smallest budget. If the call
    /// names a `customer`, only the requests of that customer count.
    ///
    /// # Errors
    ///
    /// Returns a [`ParentError`] if there is no parent or if the parents differ in customer.
    pub fn parent(
        &self,
        chain: ChainId,
        customer: Option<&CustomerName>,
    ) -> Result<ChainRecord<B>, ParentError> {
        let parents = self.by_chain.get(&chain).ok_or(ParentError::Missing)?;
        let named = |record: &&ChainRecord<B>| customer.is_none_or(|name| *name == record.customer);
        let mut records = parents.iter().map(|key| &self.records[*key]).filter(named);
        let first = records.next().ok_or(ParentError::Ambiguous)?.clone();
        records.try_fold(first, most_conservative)
    }

    /// Returns the number of requests in flight.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Returns whether no request is in flight.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }
}

/// Combines two possible parents: earliest deadline, least important priority, smallest budget.
fn most_conservative<B: ChainBudget>(
    one: ChainRecord<B>,
    other: &ChainRecord<B>,
) -> Result<ChainRecord<B>, ParentError> {
    if one.customer != other.customer {
        return Err(ParentError::Ambiguous);
    }
    let budget = if other.budget.remaining() < one.budget.remaining() {
        other.budget.clone()
    } else {
        one.budget
    };
    Ok(ChainRecord {
        priority: one.priority.max(other.priority),
        deadline: one.deadline.min(other.deadline),
        budget,
        ..one
    })
}

/// Requests in flight on a host by chain, shared between threads.
#[derive(Clone, Debug)]
pub struct ChainIndex<B> {
    shards: Arc<[Mutex<ChainTable<B>>; SHARDS]>,
}

impl<B: ChainBudget> Default for ChainIndex<B> {
    fn default() -> ChainIndex<B> {
        ChainIndex {
            shards: Arc::new(std::array::from_fn(|_| Mutex::default())),
        }
    }
}

impl<B: ChainBudget> ChainIndex<B> {
    /// Adds a request that starts to run; dropping the guard removes it.
    pub fn enter(&self, record: ChainRecord<B>) -> ChainGuard<B> {
        let chain = record.chain;
        let key = self.shard(chain).enter(record);
        ChainGuard {
            index: self.clone(),
            chain,
            key,
        }
    }

    /// Returns what a call of `chain` inherits; see [`ChainTable::parent`].
    ///
    /// # Errors
    ///
    /// Returns a [`ParentError`] if there is no parent or if the parents differ in customer.
    pub fn parent(
        &self,
        chain: ChainId,
        customer: Option<&CustomerName>,
    ) -> Result<ChainRecord<B>, ParentError> {
        self.shard(chain).parent(chain, customer)
    }

    /// Returns the number of requests in flight.
    pub fn len(&self) -> usize {
        self.shards.iter().map(|shard| lock(shard).len()).sum()
    }

    /// Returns whether no request is in flight.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    fn shard(&self, chain: ChainId) -> MutexGuard<'_, ChainTable<B>> {
        lock(&self.shards[(chain.0 % SHARDS as u128) as usize])
    }
}

/// Keeps a request in a [`ChainIndex`] until dropped.
#[derive(Debug)]
pub struct ChainGuard<B: ChainBudget> {
    index: ChainIndex<B>,
    chain: ChainId,
    key: ChainRecordKey,
}

impl<B: ChainBudget> Drop for ChainGuard<B> {
    fn drop(&mut self) {
        self.index.shard(self.chain).leave(self.key);
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
