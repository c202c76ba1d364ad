//! What is counted during a run, and the figures worked out from it.

use super::{
    call::RequestRecord,
    deployment::DeploymentSpec,
    scenario::{DISTURBANCE_END, DISTURBANCE_START, IdealRate, SIMULATION_END, ScenarioSpec},
};
use agatehill_decide::{contract::RequestClass, time::MonoTime};
use std::time::Duration;

/// Length of one bucket of arrivals.
const BUCKET_LENGTH: Duration = Duration::from_millis(100);
/// Buckets in a row that must reach [`RECOVERED_SHARE`] for service to count as recovered.
const RECOVERED_BUCKETS: usize = 10;
/// Share of arrivals that are answered in normal service.
const RECOVERED_SHARE: f64 = 0.95;

/// Figures of one run.
#[derive(Clone, Copy, Debug)]
pub(crate) struct SimulationFigures {
    /// Whole answers during the disturbance over those of perfect control.
    pub(crate) goodput: f64,
    /// The same for requests that reach the deepest service.
    pub(crate) deep_goodput: f64,
    /// Share of requests that arrived during the disturbance and were answered, by class.
    pub(crate) answered: [f64; 3],
    /// Share of server time spent on requests that were never answered.
    pub(crate) wasted: f64,
    /// Most runs of one request at one service.
    pub(crate) runs_max: u16,
    /// Most retries of one request, resends included.
    pub(crate) retries_max: u32,
    /// Runs at all services over those of requests that need no retry.
    pub(crate) amplification: f64,
    /// Time from the end of the disturbance to normal service; `None` if it was not reached.
    pub(crate) recovery: Option<Duration>,
}

/// Counters of one run.
pub(super) struct AnswerCounter {
    /// Whole answers during the disturbance.
    answers: u64,
    /// Those that took a run of the deepest service.
    deep_answers: u64,
}

impl AnswerCounter {
    pub(super) fn new() -> AnswerCounter {
        AnswerCounter {
            answers: 0,
            deep_answers: 0,
        }
    }

    pub(super) fn count_answer(&mut self, is_deep: bool, now: MonoTime) {
        let at = now.since(MonoTime::ZERO);
        let is_counted = (DISTURBANCE_START..DISTURBANCE_END).contains(&at);
        self.answers += u64::from(is_counted);
        self.deep_answers += u64::from(is_counted && is_deep);
    }

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

fn recovery_time(requests: &[RequestRecord], scenario: &ScenarioSpec) -> Option<Duration> {
    let from = scenario.recovery_start();
    // Requests that arrive in the last seconds have had no time for an answer.
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
    let stays = |w: &[(u32, u32)]| w.iter().all(is_normal);
    let idx = buckets.windows(RECOVERED_BUCKETS).position(stays)?;
    Some(BUCKET_LENGTH * idx as u32)
}
