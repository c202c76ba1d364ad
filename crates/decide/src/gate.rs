//! The gate of one backend server: which calls run on it now, wait or are refused.
//!
//! A call is admitted while the concurrency limit has room, waits in a short queue if it can still
//! finish in its remaining time, and is refused at once otherwise. Under pressure the gate lowers
//! its priority level. Everything that happens to queued calls comes out as [`GateEvent`]s, which
//! the driver takes after every call.

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
    /// A call that runs at the server.
    pub struct SlotKey;
    /// A call that waits at the gate.
    pub struct TicketKey;
}

/// Length of a window of measurement.
pub const MEASUREMENT_WINDOW: Duration = Duration::from_millis(100);
/// Windows that are made up for at most after a time without calls.
const WINDOWS_MAX: u32 = 50;
/// Time to come back after a refusal for want of capacity, before it is spread.
const COME_BACK_PRESSED: Duration = Duration::from_millis(1_000);
/// Time to come back after a refusal that another server may not share, before it is spread.
const COME_BACK_ELSEWHERE: Duration = Duration::from_millis(100);

/// Settings of a gate.
#[derive(Clone, Copy, Debug)]
pub struct GateConfig {
    /// Order of the queue.
    pub order: QueueOrder,
    /// Longest expected wait for which a call is queued.
    pub wait_max: Duration,
    /// Shortest wait in a window from which the gate counts as pressed.
    pub wait_target: Duration,
    /// Whether the priority level is used.
    pub use_level: bool,
    /// Whether calls of a chain that has work done already pass the level.
    pub exempt_nested: bool,
    /// Whether a starting server gets its calls by and by.
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
    is_full: bool,
    is_short: bool,
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
    hold: HoldEstimate,
    own: HoldEstimate,
    running: SlotMap<SlotKey, RunningCall>,
    queue: CallQueue,
    events: Vec<GateEvent>,
    window: GateWindow,
    window_end: MonoTime,
    counts: GateCounts,
}

impl ServerGate {
    /// Returns the gate of a server that serves with `slots` slots.
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

    /// Decides on `call`.
    pub fn offer(&mut self, call: GateCall, now: MonoTime) -> GateDecision {
        self.roll_windows(now);
        let offered = self.decide(call, now);
        match offered {
            Ok(decision) => decision,
            Err(reason) => GateDecision::Refuse(self.refuse(reason)),
        }
    }

    /// Ends the run in `slot`; `child_time` is what it spent waiting for child calls.
    pub fn finish(
        &mut self,
        slot: SlotKey,
        result: RunResult,
        child_time: Duration,
        now: MonoTime,
    ) {
        self.roll_windows(now);
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

    /// Takes a call out of the queue whose caller has gone away.
    pub fn cancel(&mut self, ticket: TicketKey) {
        self.queue.remove(ticket);
    }

    /// Takes a new announcement of the server.
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

    /// Does what is due at `now`.
    pub fn poll(&mut self, now: MonoTime) {
        self.roll_windows(now);
        for ticket in self.queue.overdue(Duration::ZERO, now) {
            self.refuse_ticket(ticket, RefusalReason::Deadline);
        }
        self.fill_slots(now);
    }

    /// Returns when [`ServerGate::poll`] is due next, `None` while nothing can change by itself.
    pub fn next_poll(&self) -> Option<MonoTime> {
        let is_idle = self.running.is_empty() && self.queue.len() == 0;
        if is_idle && self.level.level() == CallPriority::LOWEST {
            return None;
        }
        let deadline = self.queue.earliest_deadline().unwrap_or(self.window_end);
        Some(deadline.min(self.window_end))
    }

    /// Takes what has become of queued calls since the last time.
    pub fn take_events(&mut self) -> Vec<GateEvent> {
        std::mem::take(&mut self.events)
    }

    /// Returns the least important priority that is let in; it goes back on every answer.
    pub fn level(&self) -> CallPriority {
        match self.config.use_level {
            true => self.level.level(),
            false => CallPriority::LOWEST,
        }
    }

    /// Returns the state that the server announced last.
    pub fn state(&self) -> ServerState {
        self.state
    }

    /// Returns the load.
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

    /// Returns the counts.
    pub fn counts(&self) -> GateCounts {
        self.counts
    }

    /// Returns how long a call holds its slot.
    pub fn hold_time(&self) -> Duration {
        self.hold.mean()
    }

    fn decide(&mut self, call: GateCall, now: MonoTime) -> Result<GateDecision, RefusalReason> {
        match self.state {
            ServerState::Starting => return Err(RefusalReason::Starting),
            ServerState::Leaving => return Err(RefusalReason::Leaving),
            ServerState::Serving => {}
        }
        let passes = self.level.admits(call.priority);
        let is_spared = self.config.exempt_nested && call.is_nested;
        if self.config.use_level && !passes && !is_spared {
            return Err(RefusalReason::Level);
        }
        if call.deadline <= now + self.expected_hold() {
            self.window.is_short = true;
            return Err(RefusalReason::Deadline);
        }
        if self.has_room() && self.queue.len() == 0 {
            self.window.record_wait(Duration::ZERO);
            return Ok(GateDecision::Admit(self.start(now)));
        }
        self.enqueue(call, now)
    }

    fn enqueue(&mut self, call: GateCall, now: MonoTime) -> Result<GateDecision, RefusalReason> {
        self.window.is_full = true;
        let wait = self.expected_wait(self.queue.ahead_of(&call));
        if call.deadline <= now + wait + self.expected_hold() {
            self.window.is_short = true;
            return Err(RefusalReason::Deadline);
        }
        let yielding = match self.expected_wait(self.queue.len()) > self.config.wait_max {
            true => Some(self.yielding(call.priority)?),
            false => None,
        };
        // Taken in first, so that the key of the call that yields is not used again while its
        // event is still to be taken.
        let ticket = self.queue.push(call, now);
        if let Some(yielding) = yielding {
            self.refuse_ticket(yielding, RefusalReason::Full);
        }
        Ok(GateDecision::Queue(ticket))
    }

    /// Returns the queued call that gives way to one of `priority` at a full queue.
    fn yielding(&mut self, priority: CallPriority) -> Result<TicketKey, RefusalReason> {
        self.window.is_short = true;
        self.queue.last_below(priority).ok_or(RefusalReason::Full)
    }

    fn has_room(&self) -> bool {
        self.running.len() < self.limit.limit() as usize
    }

    /// Returns the time that a call is expected to run; zero at an idle server, so that an estimate
    /// that has become too long is corrected.
    fn expected_hold(&self) -> Duration {
        match self.running.is_empty() {
            true => Duration::ZERO,
            false => self.hold.mean(),
        }
    }

    fn expected_wait(&self, ahead: usize) -> Duration {
        let turns = (ahead + 1) as f64 / f64::from(self.limit.limit());
        self.hold.mean().mul_f64(turns)
    }

    fn start(&mut self, now: MonoTime) -> SlotKey {
        self.counts.admitted += 1;
        self.running.insert(RunningCall { since: now })
    }

    fn fill_slots(&mut self, now: MonoTime) {
        while self.has_room() {
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
            self.window.is_short = true;
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
            RefusalReason::Level => (&mut self.counts.refused_level, COME_BACK_PRESSED),
            RefusalReason::Deadline => (&mut self.counts.refused_deadline, COME_BACK_PRESSED),
            RefusalReason::Full => (&mut self.counts.refused_full, COME_BACK_PRESSED),
            RefusalReason::Starting | RefusalReason::Leaving => {
                (&mut self.counts.refused_state, COME_BACK_ELSEWHERE)
            }
        };
        *count += 1;
        GateRefusal {
            reason,
            level: self.level(),
            retry_after,
        }
    }

    fn roll_windows(&mut self, now: MonoTime) {
        let mut windows = 0;
        while self.window_end <= now {
            windows += 1;
            if windows > WINDOWS_MAX {
                self.window_end = now + MEASUREMENT_WINDOW;
                return;
            }
            self.window_end = self.window_end + MEASUREMENT_WINDOW;
            self.close_window();
        }
    }

    fn close_window(&mut self) {
        let window = std::mem::take(&mut self.window);
        self.limit.close_window(window.is_full);
        let has_waiting = self.queue.len() > 0;
        let is_standing = window.shortest_wait.map_or(has_waiting, |wait| {
            wait > self.config.wait_target.max(self.hold.mean() / 8)
        });
        let hold = self.hold.mean().max(Duration::from_micros(1));
        self.level.close_window(LevelWindow {
            capacity: f64::from(self.limit.limit()) * MEASUREMENT_WINDOW.div_duration_f64(hold),
            is_overloaded: window.is_short || is_standing,
            queued: self.queue.len() as f64,
        });
    }
}

fn micros(span: Duration) -> u64 {
    u64::try_from(span.as_micros()).unwrap_or(u64::MAX)
}
