//! A virtual clock with an event queue ordered by time.

use agatehill_decide::time::MonoTime;
use std::{cmp::Reverse, collections::BinaryHeap, time::Duration};

/// A virtual clock and its pending events.
pub(super) struct EventClock<E> {
    now: MonoTime,
    sequence: u64,
    heap: BinaryHeap<Reverse<TimedEvent<E>>>,
}

/// A pending event; events of the same time are ordered by `sequence`.
struct TimedEvent<E> {
    at: MonoTime,
    sequence: u64,
    event: E,
}

impl<E> EventClock<E> {
    pub(super) fn new() -> EventClock<E> {
        EventClock {
            now: MonoTime::ZERO,
            sequence: 0,
            heap: BinaryHeap::new(),
        }
    }

    pub(super) fn now(&self) -> MonoTime {
        self.now
    }

    /// Schedules `event` after `delay`.
    pub(super) fn schedule_after(&mut self, delay: Duration, event: E) {
        self.schedule_at(self.now + delay, event);
    }

    /// Schedules `event` at a time.
    pub(super) fn schedule_at(&mut self, at: MonoTime, event: E) {
        self.sequence += 1;
        let sequence = self.sequence;
        self.heap.push(Reverse(TimedEvent {
            at,
            sequence,
            event,
        }));
    }

    /// Removes the next event, sets the clock to its time and returns it; `None` if there is none
    /// before `end`.
    pub(super) fn next_before(&mut self, end: MonoTime) -> Option<E> {
        let Reverse(next) = self.heap.pop()?;
        self.now = next.at;
        (next.at < end).then_some(next.event)
    }
}

impl<E> TimedEvent<E> {
    fn key(&self) -> (MonoTime, u64) {
        (self.at, self.sequence)
    }
}

impl<E> PartialEq for TimedEvent<E> {
    fn eq(&self, other: &TimedEvent<E>) -> bool {
        self.key() == other.key()
    }
}

impl<E> Eq for TimedEvent<E> {}

impl<E> PartialOrd for TimedEvent<E> {
    fn partial_cmp(&self, other: &TimedEvent<E>) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl<E> Ord for TimedEvent<E> {
    fn cmp(&self, other: &TimedEvent<E>) -> std::cmp::Ordering {
        self.key().cmp(&other.key())
    }
}
