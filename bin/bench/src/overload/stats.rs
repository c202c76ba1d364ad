//! Counters of a simulation and the figures computed from them.

use super::{
    call::RequestRecord,
    deployment::DeploymentSpec,
    scenario::{DISTURBANCE_END, DISTURBANCE_START, IdealRate, SIMULATION_END, ScenarioSpec},
};
use agatehill_decide::{contract::RequestClass, time::MonoTime};
use std::time::Duration;

/// Length of the intervals that arrivals are grouped by.
const BUCKET_LENGTH: Duration = Duration::from_millis(100);
/// Number of consecutive buckets that must reach [`RECOVERED_SHARE`] for recovered service.
const RECOVERED_BUCKETS: usize = 10;
/// Share of arrivals that must be answered in normal service.
const RECOVERED_SHARE: f64 = 0.95;

/// Figures of one simulation.
#[derive(Clone, Copy, Debug)]
pub(crate) struct SimulationFigures {
    /// Complete answers during the disturbance, relative to a perfect overload control.
    pub(crate) goodput: f64,
    /// Goodput of the requests that reach the deepest service.
    pub(crate) deep_goodput: f64,
    /// Share of the requests arrived during the disturbance that were answered, by class.
    pub(crate) answered: [f64; 3],
    /// Share of server time spent on requests that were never answered.
    pub(crate) wasted: f64,
    /// Largest number of runs of a request at one service.
    pub(crate) runs_max: u16,
    /// Largest number of retries of a request, resends included.
    pub(crate) retries_max: u32,
    /// Runs of all requests, relative to the runs that the answered ones need without retries.
    pub(crate) amplification: f64,
    /// Time from [`ScenarioSpec::recovery_start`] to normal service; `None` if it was not reached.
    pub(crate) recovery: Option<Duration>,
}

/// Counts the answers that callers receive during the disturbance.
pub(super) struct AnswerCounter {
    /// Complete answers.
    answers: u64,
    /// Answers among them that needed the deepest service.
    deep_answers: u64,
}

impl AnswerCounter {
    pub(super) fn new() -> AnswerCounter {
        AnswerCounter {
            answers: 0,
            deep_answers: 0,
        }
    }

    /// Counts an answer received at `now`.
    pub(super) fn count_answer(&mut self, is_deep: bool, now: MonoTime) {
        let at = now.since(MonoTime::ZERO);
        let is_counted = (DISTURBANCE_START..DISTURBANCE_END).contains(&at);
        self.answers += u64::from(is_counted);
        self.deep_answers += u64::from(is_counted && is_deep);
    }

    /// Computes the figures of the simulation that handled `requests`.
    pub(super) fn figures(
        &self,
        requests: &[RequestRecord],
        deployment: &DeploymentSpec,
        scenario: &ScenarioSpec,
    ) -> SimulationFigures {
        let runs: f64 = requests
            .iter()
            .map(|r| f64::from(r.runs_by_service.iter().sum::<u16>()))
            .sum();
        let steps = |r: &RequestRecord| deployment.chains[r.chain].services.len() as f64;
        let needed: f64 = requests.iter().filter(|r| r.is_answered).map(steps).sum();
        let ideal = ideal_answers(deployment, scenario);
        SimulationFigures {
            goodput: self.answers as f64 / ideal.all,
            deep_goodput: self.deep_answers as f64 / ideal.deep,
            answered: [
                RequestClass::Critical,
                RequestClass::Normal,
                RequestClass::Background,
            ]
            .map(|class| answered_share(requests, deployment, class)),
            wasted: wasted_share(requests),
            runs_max: requests
                .iter()
                .flat_map(|r| r.runs_by_service)
                .max()
                .unwrap_or(0),
            retries_max: requests.iter().map(|r| r.retries).max().unwrap_or(0),
            amplification: runs / needed.max(1.0),
            recovery: recovery_time(requests, scenario),
        }
    }
}

/// Returns the number of answers of a perfect overload control during the disturbance.
fn ideal_answers(deployment: &DeploymentSpec, scenario: &ScenarioSpec) -> IdealRate {
    let buckets = (DISTURBANCE_END - DISTURBANCE_START).as_millis() / BUCKET_LENGTH.as_millis();
    let mut sum = IdealRate::default();
    for idx in 0..buckets {
        let rate = scenario.ideal_rate(deployment, DISTURBANCE_START + BUCKET_LENGTH * idx as u32);
        sum.all += rate.all * BUCKET_LENGTH.as_secs_f64();
        sum.deep += rate.deep * BUCKET_LENGTH.as_secs_f64();
    }
    sum
}

fn answered_share(
    requests: &[RequestRecord],
    deployment: &DeploymentSpec,
    class: RequestClass,
) -> f64 {
    let is_counted = |r: &&RequestRecord| {
        let at = r.arrived.since(MonoTime::ZERO);
        deployment.chains[r.chain].class == class
            && (DISTURBANCE_START..DISTURBANCE_END).contains(&at)
    };
    let all = requests.iter().filter(is_counted).count();
    let answered = requests
        .iter()
        .filter(is_counted)
        .filter(|r| r.is_answered)
        .count();
    answered as f64 / all.max(1) as f64
}

fn wasted_share(requests: &[RequestRecord]) -> f64 {
    let all: Duration = requests.iter().map(|r| r.server_time).sum();
    let wasted: Duration = requests
        .iter()
        .filter(|r| !r.is_answered)
        .map(|r| r.server_time)
        .sum();
    wasted.as_secs_f64() / all.as_secs_f64().max(f64::MIN_POSITIVE)
}

/// Returns the time until the first of [`RECOVERED_BUCKETS`] consecutive buckets with normal
/// service.
fn recovery_time(requests: &[RequestRecord], scenario: &ScenarioSpec) -> Option<Duration> {
    let from = scenario.recovery_start();
    // Requests that arrive in the last seconds may not have been answered yet.
    let until = SIMULATION_END - Duration::from_secs(4);
    let count = ((until - from).as_millis() / BUCKET_LENGTH.as_millis()) as usize;
    let mut buckets = vec![(0u32, 0u32); count];
    for request in requests {
        let at = request.arrived.since(MonoTime::ZERO);
        if at < from || at >= until {
            continue;
        }
        let idx = ((at - from).as_millis() / BUCKET_LENGTH.as_millis()) as usize;
        buckets[idx].0 += 1;
        buckets[idx].1 += u32::from(request.is_answered);
    }
    let is_normal = |b: &(u32, u32)| f64::from(b.1) >= f64::from(b.0) * RECOVERED_SHARE;
    let is_recovered = |w: &[(u32, u32)]| w.iter().all(is_normal);
    let idx = buckets.windows(RECOVERED_BUCKETS).position(is_recovered)?;
    Some(BUCKET_LENGTH * idx as u32)
}
