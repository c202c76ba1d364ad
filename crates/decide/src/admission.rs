//! Admission of requests to one backend server: as many as it has slots run, a few wait, the rest
//! is turned away at once.
//!
//! Answers the load pattern of a scarce service deep in the call graph: a queue there only makes
//! every caller above late. So a request waits no longer than it can and still be answered in time;
//! the more important ones go first, in the order of their arrival.

use crate::time::MonoTime;
use slotmap::{SlotMap, new_key_type};
use std::{collections::BTreeMap, time::Duration};

new_key_type! {
    /// A request that waits.
    pub struct WaitKey;
}

/// Weight of a new sample of how long a request holds its slot.
const HOLD_WEIGHT: f64 = 0.05;
/// Estimate before the first sample.
const HOLD_FIRST: Duration = Duration::from_millis(50);

/// A request that asks for a slot.
#[derive(Clone, Copy, Debug)]
pub struct AdmissionRequest {
    /// Rank; 0 is the most important.
    pub rank: u32,
    /// Latest useful start.
    pub start_by: MonoTime,
}

/// What becomes of it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Admission {
    /// Run it now.
    Run,
    /// It waits until [`SlotAdmission::release`] names it.
    Wait(WaitKey),
    /// Refuse it; `retry_after` tells when there should be room.
    Refuse {
        /// Expected time until there is room.
        retry_after: Duration,
    },
}

#[derive(Clone, Copy, Debug)]
struct WaitingAsk {
    ask: AdmissionRequest,
    order: u64,
    since: MonoTime,
}

/// The slots of one backend server and the requests that wait for them.
#[derive(Debug)]
pub struct SlotAdmission {
    slots: u32,
    running: u32,
    hold: Duration,
    next_order: u64,
    waiting: SlotMap<WaitKey, WaitingAsk>,
    /// The same, the first to run first.
    queue: BTreeMap<(u32, u64), WaitKey>,
}

impl SlotAdmission {
    /// Returns the admission to a server with `slots` slots.
    pub fn new(slots: u32) -> SlotAdmission {
        SlotAdmission {
            slots: slots.max(1),
            running: 0,
            hold: HOLD_FIRST,
            next_order: 0,
            waiting: SlotMap::with_key(),
            queue: BTreeMap::new(),
        }
    }

    /// Sets the number of slots.
    pub fn set_slots(&mut self, slots: u32) {
        self.slots = slots.max(1);
    }

    /// Returns the requests that run.
    pub fn running(&self) -> u32 {
        self.running
    }

    /// Returns the requests that wait.
    pub fn queued(&self) -> usize {
        self.queue.len()
    }

    /// Decides on `ask`.
    pub fn offer(&mut self, ask: AdmissionRequest, now: MonoTime) -> Admission {
        if self.running < self.slots && self.queue.is_empty() {
            self.running += 1;
            return Admission::Run;
        }
        let ahead = self.queue.range(..(ask.rank + 1, 0)).count();
        let wait = self
            .expected_wait(ahead)
            .max(self.oldest_wait(ask.rank, now));
        if now + wait > ask.start_by {
            let retry_after = self.expected_wait(self.queue.len());
            return Admission::Refuse { retry_after };
        }
        let order = self.next_order;
        self.next_order += 1;
        let key = self.waiting.insert(WaitingAsk {
            ask,
            order,
            since: now,
        });
        self.queue.insert((ask.rank, order), key);
        Admission::Wait(key)
    }

    /// Gives a slot back after `held`, if that tells how long requests take; returns the requests
    /// that run from now on and those that can't start in time any more.
    pub fn release(&mut self, held: Option<Duration>, now: MonoTime) -> DequeuedRequests {
        self.running = self.running.saturating_sub(1);
        if let Some(held) = held {
            let old = self.hold.as_secs_f64();
            let sample = held.as_secs_f64();
            self.hold = Duration::from_secs_f64(old + (sample - old) * HOLD_WEIGHT);
        }
        self.start_queued(now)
    }

    /// Takes a request out of the queue.
    pub fn withdraw(&mut self, key: WaitKey) {
        if let Some(waiting) = self.waiting.remove(key) {
            self.queue.remove(&(waiting.ask.rank, waiting.order));
        }
    }

    /// Starts what may run.
    pub fn start_queued(&mut self, now: MonoTime) -> DequeuedRequests {
        let mut turn = DequeuedRequests::default();
        while self.running < self.slots {
            let Some((_, key)) = self.queue.pop_first() else {
                break;
            };
            let waiting = self.waiting.remove(key);
            if waiting.is_some_and(|w| w.ask.start_by < now) {
                turn.expired.push(key);
                continue;
            }
            self.running += 1;
            turn.started.push(key);
        }
        turn
    }

    /// Empties the queue, for a server that takes no more work.
    pub fn clear(&mut self) -> Vec<WaitKey> {
        self.queue.clear();
        self.waiting.drain().map(|(key, _)| key).collect()
    }

    /// Returns how long the first request of `rank` has waited. Where more important ones keep coming,
    /// that tells more than the number of those ahead.
    fn oldest_wait(&self, rank: u32, now: MonoTime) -> Duration {
        let mut same = self.queue.range((rank, 0)..(rank + 1, 0));
        let oldest = same.next().and_then(|(_, key)| self.waiting.get(*key));
        oldest.map_or(Duration::ZERO, |waiting| now.since(waiting.since))
    }

    fn expected_wait(&self, ahead: usize) -> Duration {
        let turns = (ahead + 1) as f64 / f64::from(self.slots);
        self.hold.mul_f64(turns)
    }
}

/// What becomes of requests that waited.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct DequeuedRequests {
    /// They run.
    pub started: Vec<WaitKey>,
    /// They can't start in time.
    pub expired: Vec<WaitKey>,
}
