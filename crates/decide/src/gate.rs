//! The gate of one backend server: decides which calls run now, wait or are refused.
//!
//! A call is admitted while fewer calls run than the concurrency limit allows. Otherwise it waits in
//! a short queue if it can still finish in its remaining time, and is refused at once if it can't.
//! An overloaded gate lowers its priority level and refuses less important calls. What happens to
//! queued calls is reported as [`GateEvent`]s, which the driver takes after each method call.

mod call;
mod queue;

use crate::{
    level::{LevelControl, LevelWindow},
    limit::{ConcurrencyLimit, HoldEstimate},
    priority::CallPriority,
    time::MonoTime,
};
pub use call::{
    GateCall, GateCounts, GateDecision, GateEvent, GateLoad, GateRefusal, RefusalReason, RunResult,
    ServerState,
};
use queue::CallQueue;
pub use queue::QueueOrder;
use slotmap::{SlotMap, new_key_type};
use std::time::Duration;

new_key_type! {
    /// Identifies a call that runs at the server.
    pub struct SlotKey;
    /// Identifies a call that waits at the gate.
    pub struct TicketKey;
}

/// Length of a measurement window.
pub const MEASUREMENT_WINDOW: Duration = Duration::from_millis(100);
/// Maximum number of windows that are closed one by one after a time without calls; the rest are
/// skipped.
const CATCH_UP_WINDOWS_MAX: u32 = 50;
/// Retry-after of a refusal for lack of capacity, before jitter.
const RETRY_AFTER_OVERLOADED: Duration = Duration::from_millis(1_000);
/// Retry-after of a refusal by a server that is starting or leaving, before jitter; another server
/// may accept the call.
const RETRY_AFTER_NOT_SERVING: Duration = Duration::from_millis(100);

/// Settings of a gate.
#[derive(Clone, Copy, Debug)]
pub struct GateConfig {
    /// Order of the queue.
    pub order: QueueOrder,
    /// Expected wait above which the queue is full.
    pub wait_max: Duration,
    /// Shortest wait in a window above which the gate counts as overloaded; an eighth of the hold
    /// time if that is longer.
    pub wait_target: Duration,
    /// Whether calls that are less important than the priority level are refused.
    pub use_level: bool,
    /// Whether nested calls are exempt from the level, as work was already done for their chain.
    pub exempt_nested: bool,
    /// Whether the limit of a server that has just started rises gradually.
    pub use_slow_start: bool,
}

impl Default for GateConfig {
    fn default() -> GateConfig {
        GateConfig {
            order: QueueOrder::Fifo,
            wait_max: Duration::from_millis(50),
            wait_target: Duration::from_millis(5),
            use_level: true,
            exempt_nested: true,
            use_slow_start: true,
        }
    }
}

#[derive(Clone, Copy, Debug)]
struct RunningCall {
    since: MonoTime,
}

#[derive(Clone, Copy, Debug, Default)]
struct GateWindow {
    /// Whether the concurrency limit was reached.
    is_limit_reached: bool,
    /// Whether calls were refused for lack of time or queue space.
    is_capacity_short: bool,
    shortest_wait: Option<Duration>,
}

impl GateWindow {
    fn record_wait(&mut self, wait: Duration) {
        let shortest = self.shortest_wait.map_or(wait, |old| old.min(wait));
        self.shortest_wait = Some(shortest);
    }
}

/// The gate of one backend server.
#[derive(Clone, Debug)]
pub struct ServerGate {
    config: GateConfig,
    state: ServerState,
    limit: ConcurrencyLimit,
    level: LevelControl,
    /// Time for which calls hold their slots.
    hold: HoldEstimate,
    /// The same without the time spent waiting for child calls.
    own: HoldEstimate,
    running: SlotMap<SlotKey, RunningCall>,
    queue: CallQueue,
    events: Vec<GateEvent>,
    window: GateWindow,
    window_end: MonoTime,
    counts: GateCounts,
}

impl ServerGate {
    /// Returns the gate of a serving server with `slots` slots.
    pub fn new(config: GateConfig, slots: u32, now: MonoTime) -> ServerGate {
        ServerGate {
            config,
            state: ServerState::Serving,
            limit: ConcurrencyLimit::new(slots),
            level: LevelControl::default(),
            hold: HoldEstimate::default(),
            own: HoldEstimate::default(),
            running: SlotMap::with_key(),
            queue: CallQueue::new(config.order),
            events: Vec::new(),
            window: GateWindow::default(),
            window_end: now + MEASUREMENT_WINDOW,
            counts: GateCounts::default(),
        }
    }

    /// Admits, queues or refuses `call`.
    pub fn offer(&mut self, call: GateCall, now: MonoTime) -> GateDecision {
        self.close_due_windows(now);
        let offered = self.decide(call, now);
        match offered {
            Ok(decision) => decision,
            Err(reason) => GateDecision::Refuse(self.refuse(reason)),
        }
    }

    /// Ends the call that runs in `slot` and fills the slot from the queue.
    ///
    /// `child_time` is the time that the call spent waiting for child calls.
    pub fn finish(
        &mut self,
        slot: SlotKey,
        result: RunResult,
        child_time: Duration,
        now: MonoTime,
    ) {
        self.close_due_windows(now);
        let Some(call) = self.running.remove(slot) else {
            return;
        };
        let held = now.since(call.since);
        match result {
            RunResult::Answered => {
                self.hold.record(held);
                self.own.record(held.saturating_sub(child_time));
            }
            RunResult::Shed => self.limit.record_shed(),
            RunResult::Failed | RunResult::Lost | RunResult::Cancelled => {}
        }
        self.fill_slots(now);
    }

    /// Removes a call from the queue after its caller went away.
    pub fn cancel(&mut self, ticket: TicketKey) {
        self.queue.remove(ticket);
    }

    /// Applies the state and the number of slots that the server announced.
    pub fn apply_announcement(&mut self, state: ServerState, slots: u32, now: MonoTime) {
        self.limit.set_slots(slots);
        let old = std::mem::replace(&mut self.state, state);
        if old == ServerState::Starting
            && state == ServerState::Serving
            && self.config.use_slow_start
        {
            self.limit.begin_slow_start();
        }
        if state != ServerState::Serving {
            self.refuse_queue();
        }
        self.fill_slots(now);
    }

    /// Closes windows, refuses queued calls past their deadline and fills free slots.
    pub fn poll(&mut self, now: MonoTime) {
        self.close_due_windows(now);
        for ticket in self.queue.overdue(Duration::ZERO, now) {
            self.refuse_ticket(ticket, RefusalReason::Deadline);
        }
        self.fill_slots(now);
    }

    /// Returns when [`ServerGate::poll`] is due next, `None` while nothing changes with time.
    pub fn next_poll(&self) -> Option<MonoTime> {
        let is_idle = self.running.is_empty() && self.queue.len() == 0;
        if is_idle && self.level.level() == CallPriority::LOWEST {
            return None;
        }
        let deadline = self.queue.earliest_deadline().unwrap_or(self.window_end);
        Some(deadline.min(self.window_end))
    }

    /// Returns and removes the events since the last call.
    pub fn take_events(&mut self) -> Vec<GateEvent> {
        std::mem::take(&mut self.events)
    }

    /// Returns the least important priority that is admitted; every response carries it.
    pub fn level(&self) -> CallPriority {
        match self.config.use_level {
            true => self.level.level(),
            false => CallPriority::LOWEST,
        }
    }

    /// Returns the state that the server last announced.
    pub fn state(&self) -> ServerState {
        self.state
    }

    /// Returns the present load.
    pub fn load(&self) -> GateLoad {
        GateLoad {
            running: self.running.len() as u32,
            queued: self.queue.len() as u32,
            limit: self.limit.limit(),
            level: self.level(),
            hold_micros: micros(self.hold.mean()),
            own_micros: micros(self.own.mean()),
        }
    }

    /// Returns the counts since the gate was created.
    pub fn counts(&self) -> GateCounts {
        self.counts
    }

    /// Returns the mean time for which a call holds its slot.
    pub fn hold_time(&self) -> Duration {
        self.hold.mean()
    }

    fn decide(&mut self, call: GateCall, now: MonoTime) -> Result<GateDecision, RefusalReason> {
        match self.state {
            ServerState::Starting => return Err(RefusalReason::Starting),
            ServerState::Leaving => return Err(RefusalReason::Leaving),
            ServerState::Serving => {}
        }
        let is_admitted = self.level.admits(call.priority);
        let is_exempt = self.config.exempt_nested && call.is_nested;
        if self.config.use_level && !is_admitted && !is_exempt {
            return Err(RefusalReason::Level);
        }
        if call.deadline <= now + self.expected_hold() {
            self.window.is_capacity_short = true;
            return Err(RefusalReason::Deadline);
        }
        if self.has_free_slot() && self.queue.len() == 0 {
            self.window.record_wait(Duration::ZERO);
            return Ok(GateDecision::Admit(self.start(now)));
        }
        self.enqueue(call, now)
    }

    fn enqueue(&mut self, call: GateCall, now: MonoTime) -> Result<GateDecision, RefusalReason> {
        self.window.is_limit_reached = true;
        let wait = self.expected_wait(self.queue.ahead_of(&call));
        if call.deadline <= now + wait + self.expected_hold() {
            self.window.is_capacity_short = true;
            return Err(RefusalReason::Deadline);
        }
        let evicted = match self.expected_wait(self.queue.len()) > self.config.wait_max {
            true => Some(self.select_evicted(call.priority)?),
            false => None,
        };
        // Queued before the eviction, so that the evicted call's key is not reused while its event
        // has not been taken yet.
        let ticket = self.queue.push(call, now);
        if let Some(evicted) = evicted {
            self.refuse_ticket(evicted, RefusalReason::Full);
        }
        Ok(GateDecision::Queue(ticket))
    }

    /// Returns the call to evict from a full queue for a call of `priority`; fails if no queued call is
    /// less important.
    fn select_evicted(&mut self, priority: CallPriority) -> Result<TicketKey, RefusalReason> {
        self.window.is_capacity_short = true;
        self.queue
            .least_important_below(priority)
            .ok_or(RefusalReason::Full)
    }

    fn has_free_slot(&self) -> bool {
        self.running.len() < self.limit.limit() as usize
    }

    /// Returns the time for which a call is expected to run.
    ///
    /// Zero at an idle server: an estimate that is too long would otherwise refuse every call and
    /// never be corrected.
    fn expected_hold(&self) -> Duration {
        match self.running.is_empty() {
            true => Duration::ZERO,
            false => self.hold.mean(),
        }
    }

    fn expected_wait(&self, ahead: usize) -> Duration {
        let rounds = (ahead + 1) as f64 / f64::from(self.limit.limit());
        self.hold.mean().mul_f64(rounds)
    }

    fn start(&mut self, now: MonoTime) -> SlotKey {
        self.counts.admitted += 1;
        self.running.insert(RunningCall { since: now })
    }

    fn fill_slots(&mut self, now: MonoTime) {
        while self.has_free_slot() {
            let Some(ticket) = self.queue.first() else {
                return;
            };
            self.start_ticket(ticket, now);
        }
    }

    fn start_ticket(&mut self, ticket: TicketKey, now: MonoTime) {
        let hold = self.expected_hold();
        let Some(queued) = self.queue.remove(ticket) else {
            return;
        };
        self.window.record_wait(now.since(queued.since));
        if queued.call.deadline <= now + hold {
            self.window.is_capacity_short = true;
            let refusal = self.refuse(RefusalReason::Deadline);
            self.events.push(GateEvent::Refused { ticket, refusal });
            return;
        }
        let slot = self.start(now);
        self.events.push(GateEvent::Admitted { ticket, slot });
    }

    fn refuse_queue(&mut self) {
        let reason = match self.state {
            ServerState::Starting => RefusalReason::Starting,
            ServerState::Serving | ServerState::Leaving => RefusalReason::Leaving,
        };
        for ticket in self.queue.tickets() {
            self.refuse_ticket(ticket, reason);
        }
    }

    fn refuse_ticket(&mut self, ticket: TicketKey, reason: RefusalReason) {
        if self.queue.remove(ticket).is_some() {
            let refusal = self.refuse(reason);
            self.events.push(GateEvent::Refused { ticket, refusal });
        }
    }

    fn refuse(&mut self, reason: RefusalReason) -> GateRefusal {
        let (count, retry_after) = match reason {
            RefusalReason::Level => (&mut self.counts.refused_level, RETRY_AFTER_OVERLOADED),
            RefusalReason::Deadline => (&mut self.counts.refused_deadline, RETRY_AFTER_OVERLOADED),
            RefusalReason::Full => (&mut self.counts.refused_full, RETRY_AFTER_OVERLOADED),
            RefusalReason::Starting | RefusalReason::Leaving => {
                (&mut self.counts.refused_state, RETRY_AFTER_NOT_SERVING)
            }
        };
        *count += 1;
        GateRefusal {
            reason,
            level: self.level(),
            retry_after,
        }
    }

    fn close_due_windows(&mut self, now: MonoTime) {
        let mut windows = 0;
        while self.window_end <= now {
            windows += 1;
            if windows > CATCH_UP_WINDOWS_MAX {
                self.window_end = now + MEASUREMENT_WINDOW;
                return;
            }
            self.window_end = self.window_end + MEASUREMENT_WINDOW;
            self.close_window();
        }
    }

    fn close_window(&mut self) {
        let window = std::mem::take(&mut self.window);
        self.limit.close_window(window.is_limit_reached);
        let has_queued = self.queue.len() > 0;
        let has_standing_queue = window.shortest_wait.map_or(has_queued, |wait| {
            wait > self.config.wait_target.max(self.hold.mean() / 8)
        });
        let hold = self.hold.mean().max(Duration::from_micros(1));
        self.level.close_window(LevelWindow {
            capacity: f64::from(self.limit.limit()) * MEASUREMENT_WINDOW.div_duration_f64(hold),
            is_overloaded: window.is_capacity_short || has_standing_queue,
            queued: self.queue.len() as f64,
        });
    }
}

fn micros(span: Duration) -> u64 {
    u64::try_from(span.as_micros()).unwrap_or(u64::MAX)
}
