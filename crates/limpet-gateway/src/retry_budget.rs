//! Budget of repeated sends, summed over a sliding window.

use std::{
    collections::VecDeque,
    time::Duration, //
};

/// Parts into which the window is cut.
const STEPS: u32 = 20;
/// Part of the allowed repeats that is used; the rest covers processes whose windows differ.
const USED_PART: f64 = 0.8;

/// Bounds of the repeated sends to one service over all processes.
#[derive(Clone, Copy, Debug)]
pub struct RetryLimits {
    /// Repeats for each first send.
    pub ratio: f64,
    /// Repeats beside those, in each window, over all processes.
    pub slack: f64,
    /// Length of the window.
    pub window: Duration,
}

#[derive(Clone, Copy, Debug)]
struct Step {
    index: u128,
    firsts: u32,
    repeats: u32,
}

/// Repeats of one service within the window, as one process sent them.
#[derive(Debug)]
pub struct RetryBudget {
    limits: RetryLimits,
    steps: VecDeque<Step>,
}

impl RetryBudget {
    /// Creates an unused budget.
    pub const fn new(limits: RetryLimits) -> Self {
        Self {
            limits,
            steps: VecDeque::new(),
        }
    }

    /// Notes a request for the service.
    pub fn record_request(&mut self, now: Duration) {
        self.step(now).firsts += 1;
    }

    /// Spends one repeat if the window has room; `processes` share the slack.
    pub fn try_spend(&mut self, processes: usize, now: Duration) -> bool {
        self.step(now);
        let firsts: u32 = self.steps.iter().map(|step| step.firsts).sum();
        let repeats: u32 = self.steps.iter().map(|step| step.repeats).sum();
        let slack = self.limits.slack / processes.max(1) as f64;
        let allowed = (f64::from(firsts) * self.limits.ratio + slack) * USED_PART;
        let is_allowed = f64::from(repeats) + 1.0 <= allowed;
        if is_allowed {
            self.step(now).repeats += 1;
        }
        is_allowed
    }

    /// Returns the newest step after dropping those that left the window.
    fn step(&mut self, now: Duration) -> &mut Step {
        let length = (self.limits.window / STEPS).max(Duration::from_millis(1));
        let index = now.as_nanos() / length.as_nanos();
        while self
            .steps
            .front()
            .is_some_and(|s| s.index + u128::from(STEPS) < index)
        {
            self.steps.pop_front();
        }
        if self.steps.back().is_none_or(|step| step.index != index) {
            self.steps.push_back(Step {
                index,
                firsts: 0,
                repeats: 0,
            });
        }
        let last = self.steps.len() - 1;
        &mut self.steps[last]
    }
}
