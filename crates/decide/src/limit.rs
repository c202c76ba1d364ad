//! Concurrency limit of one backend server, from the time that its answers take.

use std::time::Duration;

/// How the limit follows what is measured.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LimitPolicy {
    /// The announced slots.
    Fixed,
    /// Falls in proportion as answers take longer than at low load, in the manner of Gradient2 of
    /// Netflix's concurrency-limits.
    Gradient,
    /// Falls a step when answers take longer, and keeps the step only if the throughput stays.
    Knee,
}

/// Share of the slots that a starting server begins with.
const RAMP_START: f64 = 0.3;
/// Growth of the limit a window while a server ramps up.
const RAMP_GROWTH: f64 = 1.35;
/// Growth of the limit a window after it was lowered.
const GROWTH: f64 = 1.1;
/// Share of the limit that is kept after the server itself shed a call.
const SHED_DECREASE: f64 = 0.9;
/// Share of the limit that is kept in a step of `Knee`.
const KNEE_DECREASE: f64 = 0.8;
/// Share of the throughput that must stay for a step of `Knee` to be kept.
const KNEE_THROUGHPUT: f64 = 0.95;
/// Times over the time at low load from which a server counts as slowed down.
const SLOW_RATIO: f64 = 1.5;
/// Windows that a step of `Knee` waits before it is judged.
const KNEE_WINDOWS: u32 = 3;
/// Windows without a step after one was taken back.
const KNEE_PAUSE: u32 = 20;
/// Share by which the time at low load drifts up a window, so that it can follow a change.
const BASELINE_DRIFT: f64 = 0.002;

/// Concurrency limit of one backend server, between 1 and its announced slots.
#[derive(Clone, Debug)]
pub struct SlotLimit {
    policy: LimitPolicy,
    slots: u32,
    limit: f64,
    is_ramping: bool,
    baseline: Option<f64>,
    window: LimitWindow,
    step: KneeStep,
}

#[derive(Clone, Copy, Debug, Default)]
struct LimitWindow {
    answers: u32,
    micros: f64,
    sheds: u32,
}

#[derive(Clone, Copy, Debug)]
enum KneeStep {
    Idle,
    Trying {
        windows: u32,
        from: f64,
        rate: f64,
        answers: u32,
    },
    Paused {
        windows: u32,
    },
}

impl SlotLimit {
    /// Returns the limit of a server that announced `slots`.
    pub fn new(policy: LimitPolicy, slots: u32) -> SlotLimit {
        let slots = slots.max(1);
        SlotLimit {
            policy,
            slots,
            limit: f64::from(slots),
            is_ramping: false,
            baseline: None,
            window: LimitWindow::default(),
            step: KneeStep::Idle,
        }
    }

    /// Returns the calls that may run at once.
    pub fn limit(&self) -> u32 {
        (self.limit as u32).clamp(1, self.slots)
    }

    /// Returns the announced slots.
    pub fn slots(&self) -> u32 {
        self.slots
    }

    /// Takes a new announcement of slots.
    pub fn set_slots(&mut self, slots: u32) {
        let slots = slots.max(1);
        if slots != self.slots {
            self.limit *= f64::from(slots) / f64::from(self.slots);
            self.slots = slots;
            self.clamp();
        }
    }

    /// Begins the ramp of a server that has just started.
    pub fn start_ramp(&mut self) {
        self.is_ramping = true;
        self.baseline = None;
        self.step = KneeStep::Idle;
        self.limit = f64::from(self.slots) * RAMP_START;
        self.clamp();
    }

    /// Returns whether the limit is on its way up after a start.
    pub fn is_ramping(&self) -> bool {
        self.is_ramping
    }

    /// Records an answer that took the server `own` time, its child calls not counted.
    pub fn record_answer(&mut self, own: Duration) {
        self.window.answers += 1;
        self.window.micros += own.as_micros() as f64;
    }

    /// Records that the server itself shed a call.
    pub fn record_shed(&mut self) {
        self.window.sheds += 1;
    }

    /// Ends a window of measurement; `is_full` tells whether the limit was reached in it.
    pub fn close_window(&mut self, is_full: bool) {
        let window = std::mem::take(&mut self.window);
        if window.sheds > 0 {
            self.limit *= SHED_DECREASE;
            self.is_ramping = false;
        } else if window.answers > 0 {
            let mean = window.micros / f64::from(window.answers);
            self.follow(mean, window.answers, is_full);
        }
        self.clamp();
    }

    fn follow(&mut self, mean: f64, answers: u32, is_full: bool) {
        let baseline = self.note_baseline(mean);
        let ratio = mean / baseline;
        if self.is_ramping {
            self.ramp(is_full);
            return;
        }
        match self.policy {
            LimitPolicy::Fixed => self.limit = f64::from(self.slots),
            LimitPolicy::Gradient => self.follow_gradient(ratio, is_full),
            LimitPolicy::Knee => self.follow_knee(mean, ratio, answers, is_full),
        }
    }

    fn note_baseline(&mut self, mean: f64) -> f64 {
        let drifted = self
            .baseline
            .map_or(mean, |old| old * (1.0 + BASELINE_DRIFT));
        let baseline = drifted.min(mean).max(1.0);
        self.baseline = Some(baseline);
        baseline
    }

    fn ramp(&mut self, is_full: bool) {
        if is_full {
            self.limit *= RAMP_GROWTH;
        }
        self.is_ramping = self.limit < f64::from(self.slots);
    }

    fn follow_gradient(&mut self, ratio: f64, is_full: bool) {
        if ratio > SLOW_RATIO {
            self.limit *= (SLOW_RATIO / ratio).max(0.5);
        } else if is_full {
            self.limit *= GROWTH;
        }
    }

    fn follow_knee(&mut self, mean: f64, ratio: f64, answers: u32, is_full: bool) {
        match self.step {
            KneeStep::Idle if ratio > SLOW_RATIO && is_full => {
                self.step = KneeStep::Trying {
                    windows: 0,
                    from: self.limit,
                    rate: f64::from(answers),
                    answers: 0,
                };
                self.limit *= KNEE_DECREASE;
            }
            KneeStep::Idle if is_full => self.limit *= GROWTH,
            KneeStep::Idle => {}
            KneeStep::Trying {
                windows,
                from,
                rate,
                answers: sum,
            } => {
                let windows = windows + 1;
                let answers = sum + answers;
                self.step = KneeStep::Trying {
                    windows,
                    from,
                    rate,
                    answers,
                };
                if windows > KNEE_WINDOWS {
                    self.judge_step(from, rate, f64::from(answers) / f64::from(windows), mean);
                }
            }
            KneeStep::Paused { windows: 0 } => self.step = KneeStep::Idle,
            KneeStep::Paused { windows } => {
                self.step = KneeStep::Paused {
                    windows: windows - 1,
                }
            }
        }
    }

    fn judge_step(&mut self, from: f64, rate_before: f64, rate: f64, mean: f64) {
        if rate >= rate_before * KNEE_THROUGHPUT {
            self.step = KneeStep::Idle;
            return;
        }
        self.limit = from;
        self.baseline = Some(mean);
        self.step = KneeStep::Paused {
            windows: KNEE_PAUSE,
        };
    }

    fn clamp(&mut self) {
        self.limit = self.limit.clamp(1.0, f64::from(self.slots));
    }
}

/// Running estimate of how long a call holds its slot.
#[derive(Clone, Copy, Debug, Default)]
pub struct HoldEstimate {
    micros: Option<f64>,
}

impl HoldEstimate {
    /// Weight of a new sample.
    const WEIGHT: f64 = 0.02;

    /// Records that a call held its slot for `span`.
    pub fn record(&mut self, span: Duration) {
        let sample = span.as_micros() as f64;
        let micros = match self.micros {
            None => sample,
            Some(old) => old + (sample - old) * Self::WEIGHT,
        };
        self.micros = Some(micros);
    }

    /// Returns the estimate, zero before the first sample.
    pub fn mean(&self) -> Duration {
        Duration::from_micros(self.micros.unwrap_or(0.0) as u64)
    }
}
