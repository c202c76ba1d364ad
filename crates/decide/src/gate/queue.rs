//! The queue of a gate.

use super::{GateCall, TicketKey};
use crate::{priority::CallPriority, time::MonoTime};
use slotmap::SlotMap;
use std::{collections::BTreeMap, time::Duration};

/// Order in which calls of one class leave the queue; a more important class always leaves first.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum QueueOrder {
    /// First in, first out.
    Fifo,
    /// Last in, first out.
    Lifo,
    /// Earliest deadline first.
    EarliestDeadline,
    /// Most important call first.
    Priority,
}

#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct OrderKey {
    class: u16,
    rank: u64,
    sequence: u64,
}

#[derive(Clone, Copy, Debug)]
pub(super) struct QueuedCall {
    pub(super) call: GateCall,
    pub(super) since: MonoTime,
    key: OrderKey,
}

/// Calls that wait for a slot, in the order in which they leave the queue.
#[derive(Clone, Debug)]
pub(super) struct CallQueue {
    order: QueueOrder,
    sequence: u64,
    calls: SlotMap<TicketKey, QueuedCall>,
    sorted: BTreeMap<OrderKey, TicketKey>,
}

impl CallQueue {
    pub(super) fn new(order: QueueOrder) -> CallQueue {
        CallQueue {
            order,
            sequence: 0,
            calls: SlotMap::with_key(),
            sorted: BTreeMap::new(),
        }
    }

    pub(super) fn len(&self) -> usize {
        self.calls.len()
    }

    pub(super) fn push(&mut self, call: GateCall, now: MonoTime) -> TicketKey {
        let key = self.key_of(&call);
        self.sequence += 1;
        let ticket = self.calls.insert(QueuedCall {
            call,
            since: now,
            key,
        });
        self.sorted.insert(key, ticket);
        ticket
    }

    pub(super) fn remove(&mut self, ticket: TicketKey) -> Option<QueuedCall> {
        let queued = self.calls.remove(ticket)?;
        self.sorted.remove(&queued.key);
        Some(queued)
    }

    pub(super) fn first(&self) -> Option<TicketKey> {
        self.sorted.values().next().copied()
    }

    /// Returns one of the least important calls if it is less important than `priority`.
    pub(super) fn least_important_below(&self, priority: CallPriority) -> Option<TicketKey> {
        let (ticket, queued) = self.calls.iter().max_by_key(|(_, q)| q.call.priority)?;
        (queued.call.priority > priority).then_some(ticket)
    }

    /// Returns the number of queued calls that would leave before `call`.
    pub(super) fn ahead_of(&self, call: &GateCall) -> usize {
        let key = self.key_of(call);
        self.sorted.range(..key).count()
    }

    pub(super) fn tickets(&self) -> Vec<TicketKey> {
        self.sorted.values().copied().collect()
    }

    /// Returns the calls that could not finish by their deadline if they started now and took `hold`.
    pub(super) fn overdue(&self, hold: Duration, now: MonoTime) -> Vec<TicketKey> {
        let is_overdue = |ticket: &&TicketKey| self.calls[**ticket].call.deadline <= now + hold;
        self.sorted.values().filter(is_overdue).copied().collect()
    }

    pub(super) fn earliest_deadline(&self) -> Option<MonoTime> {
        self.calls.values().map(|q| q.call.deadline).min()
    }

    fn key_of(&self, call: &GateCall) -> OrderKey {
        let rank = match self.order {
            QueueOrder::Fifo => 0,
            QueueOrder::Lifo => u64::MAX - self.sequence,
            QueueOrder::EarliestDeadline => call.deadline.as_micros(),
            QueueOrder::Priority => u64::from(call.priority.0),
        };
        OrderKey {
            class: call.priority.class().rank(),
            rank,
            sequence: self.sequence,
        }
    }
}
