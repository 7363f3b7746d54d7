//! Load of one target, as one process knows it.

use std::time::Duration;

use super::RejectionBackoff;
use crate::peer_load::{
    DecayedRate,
    MeanInFlight,
    ReportedTargetLoad,
    TARGET_REQUESTS_TIME, //
};

/// Multiple of the mean latency after which a target that replies to nothing counts as busy. Targets that pause reply
/// to nothing, while the slowest requests of a healthy one take about five times the mean.
const SILENCE_MEAN_FACTOR: u32 = 4;
/// Time over which the share of a target that returned grows to the usual one.
const SLOW_START_TIME: Duration = Duration::from_secs(2);
/// Share of a target that has just returned, relative to the usual one.
const START_SHARE_MIN: f64 = 0.1;
/// Age at which the reported requests in flight and rejections have half of their weight.
const REPORTED_HALF_LIFE: Duration = Duration::from_secs(1);

/// Load of one target: what this process sends, and what the others report.
#[derive(Clone, Copy, Debug)]
pub struct TargetLoad {
    in_flight: MeanInFlight,
    sent: DecayedRate,
    backoff: RejectionBackoff,
    /// Time since which the target has owed replies without giving one.
    silent_since: Option<Duration>,
    /// Time without a reply that is usual for the requests in flight.
    usual_silence: Duration,
    returned_at: Option<Duration>,
    reported: ReportedTargetLoad,
    reported_at: Duration,
}

impl Default for TargetLoad {
    fn default() -> Self {
        Self {
            in_flight: MeanInFlight::new(),
            sent: DecayedRate::over(TARGET_REQUESTS_TIME),
            backoff: RejectionBackoff::new(),
            silent_since: None,
            usual_silence: Duration::ZERO,
            returned_at: None,
            reported: ReportedTargetLoad::default(),
            reported_at: Duration::ZERO,
        }
    }
}

impl TargetLoad {
    /// Creates the state of a target without load.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records a request that is sent; [`TargetLoad::record_end`] must follow. `mean_latency` is that of its route.
    pub fn record_send(&mut self, mean_latency: Option<Duration>, now: Duration) {
        let usual_silence = mean_latency.unwrap_or(Duration::MAX / 8) * SILENCE_MEAN_FACTOR;
        self.usual_silence = match self.in_flight.count() {
            0 => usual_silence,
            _ => self.usual_silence.max(usual_silence),
        };
        self.silent_since.get_or_insert(now);
        self.in_flight.record_send(now);
        self.sent.record(1.0, now);
    }

    /// Records that a request ended, with or without a reply.
    pub fn record_end(&mut self, now: Duration) {
        self.in_flight.record_end(now);
        if self.in_flight.count() == 0 {
            self.silent_since = None;
        }
    }

    /// Records a reply, which shows that the target isn't paused. Call it before [`TargetLoad::record_end`].
    pub fn record_reply(&mut self, now: Duration) {
        self.silent_since = Some(now);
    }

    /// Records that the target ran a request.
    pub const fn record_accepted(&mut self) {
        self.backoff.record_accepted();
    }

    /// Records that the target rejected a request as full; `draw` is a random number from 0 to 1.
    pub fn record_rejection(&mut self, draw: f64, now: Duration) {
        self.backoff.record_rejection(draw, now);
    }

    /// Records that the target returned: it restarted, or replied after an ejection.
    pub const fn record_return(&mut self, now: Duration) {
        self.returned_at = Some(now);
    }

    /// Sets the load that the other processes report, which must be weighted by the ages of their reports.
    pub const fn set_reported(&mut self, reported: ReportedTargetLoad, now: Duration) {
        self.reported = reported;
        self.reported_at = now;
    }

    /// Returns the memory of rejections.
    pub const fn backoff(&self) -> &RejectionBackoff {
        &self.backoff
    }

    /// Returns the number of requests of this process in flight.
    pub const fn in_flight(&self) -> u32 {
        self.in_flight.count()
    }

    /// Returns the recent requests of this process, which weigh less the older they are.
    pub fn own_requests(&self, now: Duration) -> f64 {
        self.sent.weight_at(now)
    }

    /// Returns the recent requests of the other processes, which weigh less the older they are.
    pub fn reported_requests(&self, now: Duration) -> f64 {
        let age_s = now.saturating_sub(self.reported_at).as_secs_f64();
        self.reported.recent_requests * (-age_s / TARGET_REQUESTS_TIME.as_secs_f64()).exp()
    }

    /// Returns the time in flight of the recent requests of this process in seconds, all together.
    pub fn own_time_s(&self, now: Duration) -> f64 {
        self.in_flight.mean(now) * TARGET_REQUESTS_TIME.as_secs_f64()
    }

    /// Returns the time in flight of the recent requests of the other processes in seconds, all together.
    pub fn reported_time_s(&self, now: Duration) -> f64 {
        let age_s = now.saturating_sub(self.reported_at).as_secs_f64();
        self.reported.recent_time_s * (-age_s / TARGET_REQUESTS_TIME.as_secs_f64()).exp()
    }

    /// Returns the requests of the other processes in flight.
    pub fn reported_in_flight(&self, now: Duration) -> f64 {
        self.reported.in_flight * self.reported_weight(now)
    }

    /// Returns the share of rejected requests, from 0 to 1, that other processes report.
    pub fn reported_rejected_share(&self, now: Duration) -> f64 {
        self.reported.rejected_share * self.reported_weight(now)
    }

    /// Returns how long the target has owed replies without giving one, as a multiple of the usual time; 0 up to that.
    pub fn silence(&self, now: Duration) -> f64 {
        let silence = self
            .silent_since
            .map_or(Duration::ZERO, |since| now.saturating_sub(since));
        match silence > self.usual_silence && !self.usual_silence.is_zero() {
            true => silence.as_secs_f64() / self.usual_silence.as_secs_f64(),
            false => 0.0,
        }
    }

    /// Returns the part of its usual share that the target gets; less than 1 for a while after it returned.
    pub fn start_share(&self, now: Duration) -> f64 {
        self.returned_at.map_or(1.0, |returned_at| {
            let age_s = now.saturating_sub(returned_at).as_secs_f64();
            (age_s / SLOW_START_TIME.as_secs_f64()).clamp(START_SHARE_MIN, 1.0)
        })
    }

    /// Returns the weight of the reported load by the time since it was set.
    fn reported_weight(&self, now: Duration) -> f64 {
        let age_s = now.saturating_sub(self.reported_at).as_secs_f64();
        0.5_f64.powf(age_s / REPORTED_HALF_LIFE.as_secs_f64())
    }
}
