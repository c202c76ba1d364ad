//! Admission of requests to one backend server: each slot runs one request, a few requests wait, and
//! the rest are refused at once.
//!
//! Designed for a scarce service deep in the call graph, where a long queue only delays every caller
//! above it. A request is queued only if it is expected to start early enough to be answered in
//! time. Queued requests start by importance, and in order of arrival within the same importance.

use crate::time::MonoTime;
use slotmap::{SlotMap, new_key_type};
use std::{collections::BTreeMap, time::Duration};

new_key_type! {
    /// Identifies a queued request.
    pub struct WaitKey;
}

/// Weight of a new sample in the estimated time for which a request holds its slot.
const HOLD_WEIGHT: f64 = 0.05;
/// Estimated hold time before the first sample.
const HOLD_INITIAL: Duration = Duration::from_millis(50);

/// A request for a slot.
#[derive(Clone, Copy, Debug)]
pub struct AdmissionRequest {
    /// Importance; 0 is the most important.
    pub rank: u64,
    /// Latest time at which it is still useful to start.
    pub start_by: MonoTime,
}

/// The decision on an [`AdmissionRequest`].
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Admission {
    /// The request has a slot and runs now.
    Run,
    /// The request is queued until [`DequeuedRequests`] contains its key.
    Wait(WaitKey),
    /// The request is refused.
    Refuse {
        /// Expected time until the requests queued now have started.
        retry_after: Duration,
    },
}

#[derive(Clone, Copy, Debug)]
struct QueuedRequest {
    request: AdmissionRequest,
    order: u64,
    since: MonoTime,
}

/// The slots of one backend server and the requests queued for them.
#[derive(Debug)]
pub struct SlotAdmission {
    slots: u32,
    running: u32,
    hold: Duration,
    next_order: u64,
    waiting: SlotMap<WaitKey, QueuedRequest>,
    /// Keys of `waiting` by rank and order of arrival; the first entry starts next.
    queue: BTreeMap<(u64, u64), WaitKey>,
}

impl SlotAdmission {
    /// Returns the admission of a server with `slots` slots, at least one.
    pub fn new(slots: u32) -> SlotAdmission {
        SlotAdmission {
            slots: slots.max(1),
            running: 0,
            hold: HOLD_INITIAL,
            next_order: 0,
            waiting: SlotMap::with_key(),
            queue: BTreeMap::new(),
        }
    }

    /// Sets the number of slots, at least one.
    pub fn set_slots(&mut self, slots: u32) {
        self.slots = slots.max(1);
    }

    /// Returns the number of running requests.
    pub fn running(&self) -> u32 {
        self.running
    }

    /// Returns the number of queued requests.
    pub fn queued(&self) -> usize {
        self.queue.len()
    }

    /// Runs, queues or refuses `request`.
    pub fn offer(&mut self, request: AdmissionRequest, now: MonoTime) -> Admission {
        if self.running < self.slots && self.queue.is_empty() {
            self.running += 1;
            return Admission::Run;
        }
        let ahead = self.queue.range(..=(request.rank, u64::MAX)).count();
        let wait = self
            .expected_wait(ahead)
            .max(self.oldest_wait(request.rank, now));
        if now + wait > request.start_by {
            let retry_after = self.expected_wait(self.queue.len());
            return Admission::Refuse { retry_after };
        }
        let order = self.next_order;
        self.next_order += 1;
        let key = self.waiting.insert(QueuedRequest {
            request,
            order,
            since: now,
        });
        self.queue.insert((request.rank, order), key);
        Admission::Wait(key)
    }

    /// Releases a slot and starts queued requests in its place.
    ///
    /// `held` is the time for which the slot was held; `None` if it is no sample of how long
    /// requests take.
    pub fn release(&mut self, held: Option<Duration>, now: MonoTime) -> DequeuedRequests {
        self.running = self.running.saturating_sub(1);
        if let Some(held) = held {
            let old = self.hold.as_secs_f64();
            let sample = held.as_secs_f64();
            self.hold = Duration::from_secs_f64(old + (sample - old) * HOLD_WEIGHT);
        }
        self.start_queued(now)
    }

    /// Removes a request from the queue.
    pub fn withdraw(&mut self, key: WaitKey) {
        if let Some(waiting) = self.waiting.remove(key) {
            self.queue.remove(&(waiting.request.rank, waiting.order));
        }
    }

    /// Starts queued requests while slots are free and drops those past their latest start.
    pub fn start_queued(&mut self, now: MonoTime) -> DequeuedRequests {
        let mut dequeued = DequeuedRequests::default();
        while self.running < self.slots {
            let Some((_, key)) = self.queue.pop_first() else {
                break;
            };
            let waiting = self.waiting.remove(key);
            if waiting.is_some_and(|w| w.request.start_by < now) {
                dequeued.expired.push(key);
                continue;
            }
            self.running += 1;
            dequeued.started.push(key);
        }
        dequeued
    }

    /// Empties the queue of a server that accepts no more requests.
    pub fn clear(&mut self) -> Vec<WaitKey> {
        self.queue.clear();
        self.waiting.drain().map(|(key, _)| key).collect()
    }

    /// Returns how long the oldest queued request of `rank` has waited.
    ///
    /// While more important requests keep arriving, this is a better estimate than the number of
    /// requests ahead.
    fn oldest_wait(&self, rank: u64, now: MonoTime) -> Duration {
        let mut same_rank = self.queue.range((rank, 0)..=(rank, u64::MAX));
        let oldest = same_rank.next().and_then(|(_, key)| self.waiting.get(*key));
        oldest.map_or(Duration::ZERO, |waiting| now.since(waiting.since))
    }

    fn expected_wait(&self, ahead: usize) -> Duration {
        let rounds = (ahead + 1) as f64 / f64::from(self.slots);
        self.hold.mul_f64(rounds)
    }
}

/// Requests that left the queue.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct DequeuedRequests {
    /// Requests that run from now on.
    pub started: Vec<WaitKey>,
    /// Requests that can no longer start in time.
    pub expired: Vec<WaitKey>,
}
