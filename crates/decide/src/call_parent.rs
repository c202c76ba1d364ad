//! Finds the running request on whose behalf a backend server makes a call.
//!
//! A call carries no reference to its parent request. What is known of it:
//!
//! - Its deadline is never later than its parent's. It is the same unless the call has a shorter time
//!   limit of its own, but for the transit time. A caller's own request has a later deadline than any
//!   running request, because no request is given more time than its route allows.
//! - A server that makes one call after the other sends the next one right after the response to the one
//!   before, mostly on the same connection.
//! - Routes that servers call are learned from calls with the deadline of their parent and from requests
//!   that follow each other so; connections that servers use are learned from the former.
//!
//! - A request that carries a key is a caller's own: servers have none.
//!
//! What is not told apart without keys: a caller that sends one request right after the other on one connection, each
//! with less time than requests that run on its host at every moment have left.
//!
//! Designed for overload of a service deep in the call graph: calls must keep the rank of their root at
//! every hop, also when many requests run at once and when the calls at the end of the chain have the
//! shortest time limit.

mod route_counts;

use crate::{gate_selection::RouteKey, time::MonoTime};
use route_counts::RouteCounts;
use slotmap::{SlotMap, new_key_type};
use std::{
    collections::{BTreeMap, HashMap, btree_map::Range},
    net::SocketAddr,
    time::Duration,
};

new_key_type! {
    /// Identifies a running request.
    pub struct ParentKey;
}

/// Time by which a call's deadline may seem to lie after its parent's: deadlines are sent as remaining
/// time, so the transit time is added.
const LATE_MAX: Duration = Duration::from_millis(60);
/// The same as long as nothing else shows that servers call the route: of many running requests, one has
/// a close deadline by chance.
const UNKNOWN_LATE_MAX: Duration = Duration::from_millis(5);
/// The same on a connection that servers use: a busy host may delay a call for long.
const SERVER_LATE_MAX: Duration = Duration::from_millis(500);
/// Time by which it may seem to lie before its parent's: remaining time is sent in whole milliseconds.
const EARLY_MAX: Duration = Duration::from_millis(3);
/// Time after a response in which the next request on the connection is taken for the parent's next call.
const NEXT_CALL_MAX: Duration = Duration::from_millis(30);
/// Most connections that are remembered.
const CONNECTIONS_MAX: usize = 4_096;

/// What calls inherit from the running request that makes them.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ParentRequest {
    /// Its route.
    pub route: RouteKey,
    /// Rank of the root request; 0 is the most important.
    pub rank: u32,
    /// Probability, 0 to 1, that the request is a retry or a call made by one.
    pub retry_share: f64,
}

/// What is known of a request's sender before its parent is sought.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CallSender {
    /// It may be a caller or the server on this host.
    Unknown,
    /// It is a caller: the request carries a key.
    Caller,
}

/// A request that may be a call of the server on this host.
#[derive(Clone, Copy, Debug)]
pub struct CallArrival {
    /// Its deadline.
    pub deadline: MonoTime,
    /// Its route.
    pub route: RouteKey,
    /// Address of the sender's end of the connection.
    pub connection: SocketAddr,
    /// What is known of its sender.
    pub sender: CallSender,
}

/// What shows that a request is a call of its parent.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ParentEvidence {
    /// It follows a call of the same parent on the same connection.
    Connection,
    /// It has the deadline of its parent.
    Deadline,
    /// Servers use its route or its connection. The parent is the likeliest of several.
    Learned,
}

impl ParentEvidence {
    /// Returns the name for log lines.
    pub fn as_str(self) -> &'static str {
        match self {
            ParentEvidence::Connection => "connection",
            ParentEvidence::Deadline => "deadline",
            ParentEvidence::Learned => "learned",
        }
    }
}

/// The parent of a call in flight.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CallParent {
    /// Identifies the parent.
    pub key: ParentKey,
    /// What the call inherits.
    pub request: ParentRequest,
    /// Calls of the parent that have been answered before.
    pub calls_answered: u32,
    /// What shows that it is the parent.
    pub evidence: ParentEvidence,
}

#[derive(Clone, Copy, Debug)]
struct RunningRequest {
    request: ParentRequest,
    deadline: MonoTime,
    /// Number of requests that have begun, this one included.
    number: u64,
    calls_in_flight: u32,
    calls_answered: u32,
}

/// The last request on a connection, which may be one of the server's.
#[derive(Clone, Copy, Debug)]
struct LastRequest {
    /// The parent, if the request is taken for a call.
    parent: Option<ParentKey>,
    /// Whether the connection has carried a call with the deadline of its parent.
    is_of_server: bool,
    /// When it was answered; `None` while it is in flight.
    answered_at: Option<MonoTime>,
}

impl LastRequest {
    /// Returns whether the parent's next call is expected at `now`.
    fn is_followed(&self, now: MonoTime) -> bool {
        let answered_at = self.answered_at;
        answered_at.is_some_and(|at| now.since(at) <= NEXT_CALL_MAX)
    }
}

/// The running requests of one backend server, and what is known of its calls.
#[derive(Clone, Debug, Default)]
pub struct ParentIndex {
    requests: SlotMap<ParentKey, RunningRequest>,
    /// The requests by deadline and number.
    by_deadline: BTreeMap<(MonoTime, u64), ParentKey>,
    last_number: u64,
    routes: HashMap<RouteKey, RouteCounts>,
    connections: HashMap<SocketAddr, LastRequest>,
}

impl ParentIndex {
    /// Adds a request that must end by `deadline`.
    pub fn insert(&mut self, deadline: MonoTime, request: ParentRequest) -> ParentKey {
        self.last_number += 1;
        let number = self.last_number;
        let key = self.requests.insert(RunningRequest {
            request,
            deadline,
            number,
            calls_in_flight: 0,
            calls_answered: 0,
        });
        self.by_deadline.insert((deadline, number), key);
        key
    }

    /// Removes a request that has ended.
    pub fn remove(&mut self, key: ParentKey) {
        if let Some(request) = self.requests.remove(key) {
            self.by_deadline.remove(&(request.deadline, request.number));
        }
    }

    /// Returns the parent of the call that arrives at `now`, which is in flight until
    /// [`ParentIndex::end_call`]; `None` for a caller's own request.
    pub fn begin_call(&mut self, call: CallArrival, now: MonoTime) -> Option<CallParent> {
        let last = self.connections.get(&call.connection);
        let late_max = match last.is_some_and(|last| last.is_of_server) {
            true => SERVER_LATE_MAX,
            false => LATE_MAX,
        };
        let latest = self.by_deadline.last_key_value();
        let is_in_time = latest.is_some_and(|((at, _), _)| *at + late_max >= call.deadline);
        let may_be_call = is_in_time && call.sender != CallSender::Caller;
        let counts = self.routes.entry(call.route).or_default();
        if !may_be_call {
            counts.record_own();
            self.connections.remove(&call.connection);
            return None;
        }
        if last.is_some_and(|last| last.is_followed(now)) {
            counts.record_follow_up();
        }
        let found = self.find(call, now);
        self.remember(call.connection, found, now);
        let (key, evidence) = found?;
        let parent = self.requests.get_mut(key)?;
        parent.calls_in_flight += 1;
        let (request, calls_answered) = (parent.request, parent.calls_answered);
        if evidence == ParentEvidence::Deadline {
            let counts = self.routes.entry(call.route).or_default();
            counts.record_call(request.route);
        }
        Some(CallParent {
            key,
            request: match evidence {
                ParentEvidence::Learned => self.with_expected_share(request, call),
                ParentEvidence::Connection | ParentEvidence::Deadline => request,
            },
            calls_answered,
            evidence,
        })
    }

    /// Records that a request on `connection` has been answered; `parent` is what
    /// [`ParentIndex::begin_call`] returned for it.
    pub fn end_call(&mut self, parent: Option<ParentKey>, connection: SocketAddr, now: MonoTime) {
        let request = parent.and_then(|parent| self.requests.get_mut(parent));
        if let Some(request) = request {
            request.calls_in_flight = request.calls_in_flight.saturating_sub(1);
            request.calls_answered += 1;
        }
        let last = self.connections.get_mut(&connection);
        if let Some(last) = last.filter(|last| last.parent == parent) {
            last.answered_at = Some(now);
        }
    }

    /// Returns the number of connections that are remembered.
    pub fn connection_count(&self) -> usize {
        self.connections.len()
    }

    fn find(&self, call: CallArrival, now: MonoTime) -> Option<(ParentKey, ParentEvidence)> {
        let last = self.connections.get(&call.connection);
        if let Some(key) = last.and_then(|last| self.next_call_of(last, call.deadline, now)) {
            return Some((key, ParentEvidence::Connection));
        }
        let is_of_server = last.is_some_and(|last| last.is_of_server);
        let counts = self.routes.get(&call.route);
        if !is_of_server && counts.is_some_and(RouteCounts::is_own) {
            return None;
        }
        let is_known = is_of_server || counts.is_some_and(RouteCounts::is_called);
        let late_max = match is_known {
            true => LATE_MAX,
            false => UNKNOWN_LATE_MAX,
        };
        if let Some(key) = self.same_deadline(call.deadline, late_max) {
            return Some((key, ParentEvidence::Deadline));
        }
        if !is_known {
            return None;
        }
        let key = self.likeliest(call)?;
        Some((key, ParentEvidence::Learned))
    }

    /// Returns the parent of the last call on a connection if its next call is expected now.
    fn next_call_of(
        &self,
        last: &LastRequest,
        deadline: MonoTime,
        now: MonoTime,
    ) -> Option<ParentKey> {
        let key = last.parent.filter(|_| last.is_followed(now))?;
        let parent = self.requests.get(key)?;
        let is_expected =
            parent.calls_in_flight == 0 && parent.deadline + SERVER_LATE_MAX >= deadline;
        is_expected.then_some(key)
    }

    /// Returns the request whose deadline is about `deadline`, `late_max` earlier at most; the nearest if
    /// there are several.
    fn same_deadline(&self, deadline: MonoTime, late_max: Duration) -> Option<ParentKey> {
        let before = self.between(deadline - late_max, deadline).next_back();
        let after = self.between(deadline, deadline + EARLY_MAX).next();
        before.or(after).map(|(_, key)| *key)
    }

    fn between(&self, from: MonoTime, to: MonoTime) -> Range<'_, (MonoTime, u64), ParentKey> {
        self.by_deadline.range((from, 0)..=(to, u64::MAX))
    }

    /// Returns the likeliest parent of a call whose time limit ends before that of its parent: the
    /// oldest without a call in flight, those first that have made none.
    fn likeliest(&self, call: CallArrival) -> Option<ParentKey> {
        let order = |(_, request): &(ParentKey, &RunningRequest)| {
            (
                request.calls_in_flight,
                request.calls_answered,
                request.number,
            )
        };
        let best = self.candidates(call).min_by_key(order);
        // A delayed call may seem to end after all of them.
        let latest = || self.by_deadline.values().next_back().copied();
        best.map(|(key, _)| key).or_else(latest)
    }

    /// Returns the requests that may make `call` by their deadline and route.
    fn candidates(&self, call: CallArrival) -> impl Iterator<Item = (ParentKey, &RunningRequest)> {
        let keys = self.by_deadline.range((call.deadline - LATE_MAX, 0)..);
        let candidates = keys.filter_map(|(_, key)| Some((*key, self.requests.get(*key)?)));
        let counts = self.routes.get(&call.route);
        candidates.filter(move |(_, candidate)| {
            counts.is_none_or(|counts| counts.is_parent(candidate.request.route))
        })
    }

    /// Returns `request` with the share of the possible parents of `call` that are retries.
    fn with_expected_share(&self, request: ParentRequest, call: CallArrival) -> ParentRequest {
        let (mut count, mut retries) = (0.0, 0.0);
        for (_, candidate) in self.candidates(call) {
            count += 1.0;
            retries += candidate.request.retry_share;
        }
        ParentRequest {
            retry_share: retries / f64::max(count, 1.0),
            ..request
        }
    }

    /// Remembers a connection that may be the server's. Connections close unnoticed, so that those
    /// without a request of lately are removed once there are too many.
    fn remember(
        &mut self,
        connection: SocketAddr,
        found: Option<(ParentKey, ParentEvidence)>,
        now: MonoTime,
    ) {
        let known = self.connections.get(&connection).copied();
        let is_full = self.connections.len() >= CONNECTIONS_MAX;
        if is_full && known.is_none() {
            self.connections.retain(|_, last| last.is_followed(now));
        }
        let has_deadline = found.is_some_and(|(_, by)| by == ParentEvidence::Deadline);
        let last = LastRequest {
            parent: found.map(|(key, _)| key),
            is_of_server: has_deadline || known.is_some_and(|known| known.is_of_server),
            answered_at: None,
        };
        if self.connections.len() < CONNECTIONS_MAX || known.is_some() {
            self.connections.insert(connection, last);
        }
    }
}
