//! Sums over the targets of a service, against which the load of each one is measured.

use super::{
    Candidate,
    choice::CROSS_ZONE_COST, //
};
use crate::peer_load::TARGET_REQUESTS_TIME;

/// Load of the own zone's targets, relative to the mean of the service, from which its preference is reduced.
const ZONE_LOAD_PREFERRED: f64 = 1.0;
/// Load of the own zone's targets, relative to the mean of the service, from which it isn't preferred.
const ZONE_LOAD_MAX: f64 = 1.15;

/// Requests of mean time that are added to those of a target before its speed is computed. At one request per second, a
/// target has five recent ones, whose times vary by half of their mean. With 2, chance made more of the runs over 34
/// targets uneven; with 4, one with speeds from 0.8 to 1.3 had a busiest target of 1.32 times the mean time in use.
const SPEED_PRIOR_REQUESTS: f64 = 3.0;
/// Limits of the speed of a target, relative to the mean of its service.
const SPEED_RANGE: (f64, f64) = (0.25, 1.5);
/// Part of the time by the reports, relative to the mean, that counts in the cost of an idle service. Smaller
/// differences are noise: if they decided, all processes would turn to the same targets at once, and at two thirds of
/// the slots in use, requests waited 235 ms.
const TIME_COST_PART: f64 = 0.85;

/// Added cost of a target that got twice its share of the recent requests, if this process sent few of them.
const REQUESTS_COST: f64 = 1.0;
/// Recent own requests to each target at which that cost is halved.
const OWN_REQUESTS_MANY: f64 = 10.0;
/// Limits of the excess of recent requests over their share, relative to it. A target that got few, because it was
/// full or paused, must not get all requests once it is back.
const REQUESTS_EXCESS_RANGE: (f64, f64) = (-0.5, 2.0);
/// Decrease of the weight of a target by recent requests beyond its share, relative to the share. With 8, processes
/// overshoot before they hear of each other; with 4, single runs of 30 s over 34 targets reached 1.25 times the mean.
const REQUESTS_GAIN: f64 = 6.0;
/// Part of the slots in use at which the gain is halved. Corrections overshoot by what is sent before others hear of it.
/// Where many slots are in use, requests queue for that: at two thirds, they waited 79 ms with a constant gain.
const REQUESTS_GAIN_USE: f64 = 0.25;
/// Largest decrease of the weight of a target by requests in flight beyond the mean, for each of its slots.
const IN_FLIGHT_GAIN_MAX: f64 = 1.0;
/// Time in flight at which this decrease is reached. Requests that are much shorter have ended before others hear of
/// them: a target that paused would be avoided when it is idle again.
const IN_FLIGHT_TIME_S: f64 = 1.0;
/// Smallest part of its share that the load of a target leaves it, so that a false report doesn't empty it.
const BALANCE_MIN: f64 = 0.1;
/// Largest weight that a target of mean speed gets for its lack of load, relative to one of mean load. Requests that a
/// slow target lacks are not made up for, since they would come in bursts and queue.
const BALANCE_MAX: f64 = 3.0;

/// Sums over the targets of a service.
pub(super) struct LoadSums {
    /// Number of targets that accept requests.
    target_count: f64,
    slots: f64,
    /// Sum of the slots of all targets, each multiplied by the speed of its target.
    capacity: f64,
    requests: f64,
    own_requests: f64,
    in_flight: f64,
    /// Mean time of a request in seconds; 0 if it is unknown.
    mean_time_s: f64,
    /// Part of the slots in use.
    use_share: f64,
    /// Decrease of the weight by requests in flight beyond the mean, for each slot.
    in_flight_gain: f64,
    /// Added cost of a target in another zone.
    cross_zone_cost: f64,
}

impl LoadSums {
    pub(super) fn new(candidates: &[Candidate]) -> Self {
        let (mut target_count, mut slots) = (0.0, 0.0);
        let (mut requests, mut own_requests) = (0.0, 0.0);
        let (mut in_flight, mut time_s) = (0.0, 0.0);
        let (mut zone_slots, mut zone_requests) = (0.0, 0.0);
        for candidate in candidates {
            target_count += f64::from(u8::from(candidate.slots > 0.0));
            slots += candidate.slots;
            requests += candidate.requests();
            own_requests += candidate.own_requests;
            in_flight += candidate.own_in_flight + candidate.reported_in_flight;
            time_s += candidate.time_s;
            if candidate.is_own_zone {
                zone_slots += candidate.slots;
                zone_requests += candidate.requests();
            }
        }
        let zone_load = match zone_slots > 0.0 && requests > 0.0 {
            true => (zone_requests / zone_slots) / (requests / slots),
            false => 0.0,
        };
        let window_s = TARGET_REQUESTS_TIME.as_secs_f64();
        // The mean number in flight is the rate times the mean time in flight.
        let time_in_flight_s = match requests > 0.0 {
            true => in_flight * window_s / requests,
            false => 0.0,
        };
        let preference = (ZONE_LOAD_MAX - zone_load) / (ZONE_LOAD_MAX - ZONE_LOAD_PREFERRED);
        let mut sums = Self {
            target_count,
            slots,
            capacity: 0.0,
            requests,
            own_requests,
            in_flight,
            mean_time_s: match requests > 0.0 {
                true => time_s / requests,
                false => 0.0,
            },
            use_share: time_s / window_s / slots.max(1.0),
            in_flight_gain: (time_in_flight_s / IN_FLIGHT_TIME_S).min(IN_FLIGHT_GAIN_MAX),
            cross_zone_cost: CROSS_ZONE_COST * preference.clamp(0.0, 1.0),
        };
        let capacities = candidates.iter().map(|one| one.slots * sums.speed(one));
        sums.capacity = capacities.sum();
        sums
    }

    /// Returns the part of the recent requests that this process sent; 1 if nobody sent any.
    pub(super) fn own_share(&self) -> f64 {
        match self.requests > 0.0 {
            true => self.own_requests / self.requests,
            false => 1.0,
        }
    }

    /// Returns the speed of a target by the time of its recent requests, relative to the mean of the service.
    ///
    /// Without requests it returns to 1. Requests that a target rejects or fails end soon, so one that does so doesn't
    /// count as fast. A target that got the longer requests of a service by chance counts as slow for
    /// as long as they are recent: it is busier indeed.
    fn speed(&self, candidate: &Candidate) -> f64 {
        if self.mean_time_s <= 0.0 {
            return 1.0;
        }
        let prior_s = SPEED_PRIOR_REQUESTS * self.mean_time_s;
        let requests = candidate.requests() + SPEED_PRIOR_REQUESTS;
        let speed = requests * self.mean_time_s / (candidate.time_s + prior_s);
        let (speed_min, speed_max) = SPEED_RANGE;
        let speed_max = (speed_max / candidate.health_cost.max(1.0)).max(1.0);
        speed.clamp(speed_min, speed_max)
    }

    /// Returns the cost of a request to a target by the time that it is expected to take: as this process observed, or
    /// if the reports show that the target is much slower than the mean, by these.
    pub(super) fn time_cost(&self, candidate: &Candidate) -> f64 {
        // The more slots are in use, the more times vary by waiting.
        let reported_cost = TIME_COST_PART / (1.0 + self.use_share) / self.speed(candidate);
        let load = candidate.own_in_flight / candidate.slots + candidate.silence;
        candidate.health_cost.max(reported_cost) * (1.0 + load)
    }

    /// Returns the cost of a request to a target, relative to an idle and healthy one.
    ///
    /// The counts matter where a process knows little else: it avoids a slow target by its own observations if it sends
    /// many requests, and must then not turn to it because it lacks requests.
    pub(super) fn cost(&self, candidate: &Candidate) -> f64 {
        let (excess_min, excess_max) = REQUESTS_EXCESS_RANGE;
        let excess = self.excess(candidate).clamp(excess_min, excess_max) - excess_min;
        let own_requests = self.own_requests / self.target_count.max(1.0);
        let requests_cost = REQUESTS_COST / (1.0 + own_requests / OWN_REQUESTS_MANY);
        let mut cost = self.time_cost(candidate) + requests_cost * excess;
        if !candidate.is_own_zone {
            cost += self.cross_zone_cost;
        }
        cost
    }

    /// Returns how often a target is drawn, relative to a healthy one of mean speed and load per slot.
    pub(super) fn draw_weight(&self, candidate: &Candidate) -> f64 {
        let speed = self.speed(candidate);
        let in_flight = (candidate.own_in_flight + candidate.reported_in_flight) / candidate.slots
            - self.in_flight / self.slots.max(1.0);
        let gain = REQUESTS_GAIN / (1.0 + (self.use_share / REQUESTS_GAIN_USE).powi(2));
        let balance_max = 1.0 + (BALANCE_MAX - 1.0) * speed.min(1.0);
        let balance = (1.0 - gain * self.excess(candidate) - self.in_flight_gain * in_flight)
            .clamp(BALANCE_MIN, balance_max);
        let zone = match candidate.is_own_zone {
            true => 1.0,
            false => 1.0 / (1.0 + self.cross_zone_cost),
        };
        // If only bad targets are drawn, one of them is chosen, so they must be drawn rarely.
        let health = candidate.health_cost.max(1.0).powi(2);
        candidate.slots * speed * candidate.start_share * balance * zone / health
    }

    /// Returns the recent requests to a target beyond its share by slots and speed, relative to that share.
    fn excess(&self, candidate: &Candidate) -> f64 {
        let share = candidate.slots * self.speed(candidate) / self.capacity.max(f64::MIN_POSITIVE);
        match self.requests * share > 0.0 {
            true => candidate.requests() / (self.requests * share) - 1.0,
            false => 0.0,
        }
    }
}
