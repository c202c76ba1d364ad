//! Bounds the memory that the buffered bodies of all requests take up together.

use std::sync::{
    Arc,
    atomic::{AtomicUsize, Ordering},
};

/// Bytes of each body that need no reservation.
const UNRESERVED_BYTES: usize = 16 * 1024;

/// The memory that is free for buffered bodies; clones share it.
#[derive(Clone, Debug)]
pub struct BufferBudget {
    free: Arc<AtomicUsize>,
}

/// What one body has reserved; dropping it frees that.
#[derive(Debug)]
pub struct BufferReservation {
    budget: BufferBudget,
    bytes: usize,
}

impl BufferBudget {
    /// Returns a budget of `bytes` beyond the first 16 KiB of each body.
    pub fn open(bytes: usize) -> BufferBudget {
        BufferBudget {
            free: Arc::new(AtomicUsize::new(bytes)),
        }
    }

    /// Returns an empty reservation.
    pub fn reservation(&self) -> BufferReservation {
        BufferReservation {
            budget: self.clone(),
            bytes: 0,
        }
    }

    fn try_take(&self, bytes: usize) -> bool {
        let (set, fetch) = (Ordering::Relaxed, Ordering::Relaxed);
        let taken = self
            .free
            .fetch_update(set, fetch, |free| free.checked_sub(bytes));
        taken.is_ok()
    }
}

impl BufferReservation {
    /// Reserves memory for a body of which `len` bytes have arrived; returns whether there is enough. Those that find
    /// too little are counted.
    pub fn try_hold(&mut self, len: usize) -> bool {
        let needed = len.saturating_sub(UNRESERVED_BYTES);
        let more = needed.saturating_sub(self.bytes);
        if !self.budget.try_take(more) {
            metrics::counter!("agatehill_relay_bodies_refused").increment(1);
            return false;
        }
        self.bytes += more;
        true
    }
}

impl Drop for BufferReservation {
    fn drop(&mut self) {
        self.budget.free.fetch_add(self.bytes, Ordering::Relaxed);
    }
}
