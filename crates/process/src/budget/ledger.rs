//! All usages of a budget, and the choice of the one that gives way.

use super::BudgetLimits;
use futures_util::task::AtomicWaker;
use slotmap::{SecondaryMap, SlotMap, new_key_type};
use std::{
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    task::{Context, Poll},
};

new_key_type! {
    /// Identifies a usage.
    pub(super) struct UsageKey;
    /// Identifies a listener.
    pub(super) struct ListenerKey;
}

/// Bytes of each body that its own share of the memory doesn't limit, so that small requests are served beside large
/// ones that are in use.
const SMALL_BODY_BYTES: usize = 32 * 1024;
/// Part of the memory that usages which have given way may still hold when others take their place.
const DROPPING_PARTS: usize = 8;
/// Value of [`UsageState::waits_since_ms`] of a usage that must not give way.
const BUSY: u64 = u64::MAX;
/// Value of [`UsageState::waits_since_ms`] of a usage that has given way.
const GIVEN_WAY: u64 = u64::MAX - 1;

/// Why a usage has given way.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum GiveWayReason {
    /// The memory of the process.
    Memory,
    /// The connections of its listener.
    Connections,
}

/// A usage that has given way.
#[derive(Clone, Copy, Debug)]
pub(super) struct GaveWay {
    /// Name of its listener.
    pub(super) listener: &'static str,
    pub(super) reason: GiveWayReason,
}

/// The part of a usage that its owner reads without a lock.
#[derive(Debug)]
pub(super) struct UsageState {
    /// Milliseconds from the start of the budget, or [`BUSY`] or [`GIVEN_WAY`].
    waits_since_ms: AtomicU64,
    waker: AtomicWaker,
}

/// Limits of one listener.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct ListenerLimits {
    /// Connections that no other listener takes.
    pub(super) own_connections: usize,
    /// Whether it may use the connections that listeners share.
    pub(super) may_share: bool,
    /// Whether its connections are admitted though the memory is used up.
    pub(super) is_essential: bool,
}

/// One usage.
#[derive(Debug)]
struct UsageEntry {
    listener: ListenerKey,
    is_connection: bool,
    bytes: usize,
    /// What it held when it gave way, until its owner drops it.
    dropping_bytes: usize,
    state: Arc<UsageState>,
}

impl UsageEntry {
    /// Returns whether it is a body that counts in the share of the bodies.
    fn is_large_body(&self) -> bool {
        !self.is_connection && shared_bytes(self.bytes) > 0
    }
}

/// One listener.
#[derive(Debug)]
struct ListenerEntry {
    name: &'static str,
    connections: usize,
    limits: ListenerLimits,
}

/// What the clients of one listener hold.
#[derive(Clone, Copy, Debug)]
pub(super) struct ListenerTotals {
    pub(super) name: &'static str,
    pub(super) connections: usize,
    pub(super) bytes: usize,
}

impl ListenerEntry {
    /// Returns how many of its connections use descriptors that listeners share.
    fn shared_connections(&self) -> usize {
        self.connections.saturating_sub(self.limits.own_connections)
    }
}

/// The usages of a budget.
#[derive(Debug)]
pub(super) struct BudgetLedger {
    bytes_max: usize,
    body_bytes_max: usize,
    /// Connections that listeners may have open beyond their own.
    shared_connections_max: usize,
    bytes: usize,
    body_bytes: usize,
    /// What usages that have given way still hold, until they are polled.
    dropping_bytes: usize,
    usages: SlotMap<UsageKey, UsageEntry>,
    listeners: SlotMap<ListenerKey, ListenerEntry>,
    gave_way: Vec<GaveWay>,
}

impl UsageState {
    fn open() -> Arc<UsageState> {
        Arc::new(UsageState {
            waits_since_ms: AtomicU64::new(BUSY),
            waker: AtomicWaker::new(),
        })
    }

    pub(super) fn set_waiting_since(&self, now_ms: u64) {
        self.change_to(now_ms);
    }

    pub(super) fn set_busy(&self) -> bool {
        self.change_to(BUSY)
    }

    pub(super) fn has_given_way(&self) -> bool {
        self.waits_since_ms.load(Ordering::Acquire) == GIVEN_WAY
    }

    pub(super) fn poll_given_way(&self, cx: &mut Context<'_>) -> Poll<()> {
        if self.has_given_way() {
            return Poll::Ready(());
        }
        self.waker.register(cx.waker());
        match self.has_given_way() {
            true => Poll::Ready(()),
            false => Poll::Pending,
        }
    }

    /// Changes the value unless the usage has given way.
    fn change_to(&self, value: u64) -> bool {
        let (set, fetch) = (Ordering::AcqRel, Ordering::Acquire);
        let changed = self
            .waits_since_ms
            .fetch_update(set, fetch, |before| (before != GIVEN_WAY).then_some(value));
        changed.is_ok()
    }

    /// Returns since when the usage waits; `None` if it must not or can't give way.
    fn waits_since(&self) -> Option<u64> {
        let since = self.waits_since_ms.load(Ordering::Acquire);
        (since < GIVEN_WAY).then_some(since)
    }

    /// Makes a usage that has waited since `since` give way; returns false if it is in use by now.
    fn give_way(&self, since: u64) -> bool {
        let (success, failure) = (Ordering::AcqRel, Ordering::Acquire);
        let changed = self
            .waits_since_ms
            .compare_exchange(since, GIVEN_WAY, success, failure);
        if changed.is_ok() {
            self.waker.wake();
        }
        changed.is_ok()
    }
}

impl BudgetLedger {
    pub(super) fn open(limits: BudgetLimits, body_bytes_max: usize) -> BudgetLedger {
        BudgetLedger {
            bytes_max: limits.bytes_max,
            body_bytes_max,
            shared_connections_max: limits.shared_connections_max,
            bytes: 0,
            body_bytes: 0,
            dropping_bytes: 0,
            usages: SlotMap::with_key(),
            listeners: SlotMap::with_key(),
            gave_way: Vec::new(),
        }
    }

    pub(super) fn add_listener(
        &mut self,
        name: &'static str,
        limits: ListenerLimits,
    ) -> ListenerKey {
        self.listeners.insert(ListenerEntry {
            name,
            connections: 0,
            limits,
        })
    }

    pub(super) fn used_bytes(&self) -> usize {
        self.bytes
    }

    /// Returns what the clients of each listener hold.
    pub(super) fn totals(&self) -> Vec<ListenerTotals> {
        let mut bytes = SecondaryMap::new();
        for usage in self.usages.values() {
            *bytes
                .entry(usage.listener)
                .expect("listeners stay")
                .or_insert(0) += usage.bytes;
        }
        let listeners = self.listeners.iter();
        let totals = listeners.map(|(key, entry)| ListenerTotals {
            name: entry.name,
            connections: entry.connections,
            bytes: bytes.get(key).copied().unwrap_or(0),
        });
        totals.collect()
    }

    /// Returns the usages that have given way since the last call.
    pub(super) fn take_gave_way(&mut self) -> Vec<GaveWay> {
        std::mem::take(&mut self.gave_way)
    }

    /// Adds a connection of `listener` with `bytes`. Returns `None` if there is no room; at a listener with too many
    /// connections one gives way, whose place is free once it has closed.
    pub(super) fn try_admit(
        &mut self,
        listener: ListenerKey,
        bytes: usize,
        now_ms: u64,
    ) -> Option<(UsageKey, Arc<UsageState>)> {
        if !self.may_connect(listener) {
            let chosen = self.choose(now_ms, |entry| self.shares_with(entry.listener, listener));
            self.end(chosen, GiveWayReason::Connections);
            return None;
        }
        let is_essential = self.listeners[listener].limits.is_essential;
        if !self.make_room(bytes, None, now_ms) && !is_essential {
            return None;
        }
        let entry = &mut self.listeners[listener];
        entry.connections += 1;
        self.bytes += bytes;
        Some(self.add(listener, true, bytes))
    }

    /// Returns whether `listener` may have a further connection: one of its own, or one of those that all share.
    fn may_connect(&self, listener: ListenerKey) -> bool {
        let entry = &self.listeners[listener];
        if entry.connections < entry.limits.own_connections {
            return true;
        }
        let listeners = self.listeners.values();
        let shared: usize = listeners.map(ListenerEntry::shared_connections).sum();
        entry.limits.may_share && shared < self.shared_connections_max
    }

    /// Returns whether a connection of `other` may give way to one of `listener`: one of its own, or one of those that
    /// both may use.
    fn shares_with(&self, other: ListenerKey, listener: ListenerKey) -> bool {
        let may_share = self.listeners[listener].limits.may_share;
        other == listener || may_share && self.listeners[other].shared_connections() > 0
    }

    /// Adds a body that is received at `listener`.
    pub(super) fn add_body(&mut self, listener: ListenerKey) -> (UsageKey, Arc<UsageState>) {
        self.add(listener, false, 0)
    }

    /// Changes the bytes of a usage; returns false if there is no room.
    pub(super) fn try_hold(&mut self, key: UsageKey, bytes: usize, now_ms: u64) -> bool {
        let entry = &self.usages[key];
        let (before, is_body) = (entry.bytes, !entry.is_connection);
        if entry.state.has_given_way() {
            return false;
        }
        let more = bytes.saturating_sub(before);
        if more > 0 && !self.make_room(more, Some(key), now_ms) {
            return false;
        }
        let shared_before = shared_bytes(before);
        let more_shared = shared_bytes(bytes).saturating_sub(shared_before);
        if is_body && more_shared > 0 && !self.make_body_room(more_shared, key, now_ms) {
            return false;
        }
        self.usages[key].bytes = bytes;
        self.bytes = self.bytes + bytes - before;
        if is_body {
            self.body_bytes = self.body_bytes + shared_bytes(bytes) - shared_before;
        }
        true
    }

    /// Removes a usage; returns whether it was a connection.
    pub(super) fn remove(&mut self, key: UsageKey) -> bool {
        let entry = self.usages.remove(key).expect("a usage is removed once");
        self.bytes -= entry.bytes;
        self.dropping_bytes -= entry.dropping_bytes;
        if !entry.is_connection {
            self.body_bytes -= shared_bytes(entry.bytes);
            return false;
        }
        self.listeners[entry.listener].connections -= 1;
        true
    }

    fn add(
        &mut self,
        listener: ListenerKey,
        is_connection: bool,
        bytes: usize,
    ) -> (UsageKey, Arc<UsageState>) {
        let state = UsageState::open();
        let key = self.usages.insert(UsageEntry {
            listener,
            is_connection,
            bytes,
            dropping_bytes: 0,
            state: state.clone(),
        });
        (key, state)
    }

    /// Makes usages give way until `more` bytes are free; returns false if none is left that can, if it would have to be
    /// `asking`, which is refused in place of others that hold less, or if too many are yet to be polled.
    fn make_room(&mut self, more: usize, asking: Option<UsageKey>, now_ms: u64) -> bool {
        while self.bytes_max.saturating_sub(self.bytes) < more {
            if self.dropping_bytes > self.bytes_max / DROPPING_PARTS {
                return false;
            }
            let chosen = self.choose(now_ms, |_| true);
            let is_asking = chosen.is_some_and(|(key, _)| Some(key) == asking);
            if is_asking || !self.end(chosen, GiveWayReason::Memory) {
                return false;
            }
        }
        true
    }

    /// Does the same for the share of the memory that bodies may take up.
    fn make_body_room(&mut self, more: usize, asking: UsageKey, now_ms: u64) -> bool {
        while self.body_bytes_max.saturating_sub(self.body_bytes) < more {
            if self.dropping_bytes > self.bytes_max / DROPPING_PARTS {
                return false;
            }
            let chosen = self.choose(now_ms, UsageEntry::is_large_body);
            let is_asking = chosen.is_some_and(|(key, _)| key == asking);
            if is_asking || !self.end(chosen, GiveWayReason::Memory) {
                return false;
            }
        }
        true
    }

    /// Returns the usage with the largest product of bytes and time among those for which `may` holds.
    fn choose(&self, now_ms: u64, may: impl Fn(&UsageEntry) -> bool) -> Option<(UsageKey, u64)> {
        let may = self.usages.iter().filter(|(_, entry)| may(entry));
        let waiting = may.filter_map(|(key, entry)| {
            let since = entry.state.waits_since()?;
            let waited = u128::from(now_ms.saturating_sub(since) + 1);
            Some((waited * entry.bytes as u128, key, since))
        });
        let (_, key, since) = waiting.max_by_key(|(product, ..)| *product)?;
        Some((key, since))
    }

    /// Ends a usage that waits since the given time. Its bytes count as free, though its owner drops them only when it is
    /// polled.
    fn end(&mut self, chosen: Option<(UsageKey, u64)>, reason: GiveWayReason) -> bool {
        let Some((key, since)) = chosen else {
            return false;
        };
        let entry = &mut self.usages[key];
        if !entry.state.give_way(since) {
            // In use by now; another one can be chosen.
            return true;
        }
        let (bytes, is_body) = (std::mem::take(&mut entry.bytes), !entry.is_connection);
        entry.dropping_bytes = bytes;
        self.dropping_bytes += bytes;
        let listener = self.listeners[entry.listener].name;
        self.bytes -= bytes;
        if is_body {
            self.body_bytes -= shared_bytes(bytes);
        }
        self.gave_way.push(GaveWay { listener, reason });
        true
    }
}

/// Returns how much of a body of `bytes` counts in the share of the bodies.
fn shared_bytes(bytes: usize) -> usize {
    bytes.saturating_sub(SMALL_BODY_BYTES)
}
