//! Rate limits of teams over many processes, which report to each other in turn.

mod rate_support;

use std::time::Duration;

use limpet_gateway::rate::{
    AdmissionCounts,
    ProcessCounts,
    RateLimiter, //
};
use rate_support::{
    RATE_PER_S,
    TICK,
    exceeds_limit,
    team, //
};

/// Demand of a team over its rate, in multiples of the rate. The highest expected demand is lower: eight
/// times the usual demand, which is 1/1.6 of the rate.
const DEMAND_FACTOR: f64 = 6.0;

/// Scenario with many processes that report to each other in turn, and a team that exceeds its rate.
#[derive(Clone, Copy, Debug)]
struct ManyProcesses {
    /// Whether each process reports its admissions of a team near its limit to all processes in every round,
    /// not only to those whose turn it is to get a regular report.
    broadcasts_near_limit_admissions: bool,
    /// Number of processes that each process assumes after a restart until it has discovered the others.
    assumed_process_count: usize,
    /// Demand of the team, in multiples of its rate.
    demand_factor: f64,
}

impl ManyProcesses {
    const PROCESS_COUNT: usize = 64;
    /// Number of rounds until each process has reported to all others.
    const TURN_COUNT: usize = 4;
    /// Ticks between two rounds: 150 ms.
    const ROUND_TICKS: usize = 3;
    /// Tick at which all processes restart.
    const RESTART_TICK: usize = 150;
    /// Ticks until the processes have discovered each other again: 600 ms.
    const DISCOVERY_TICKS: usize = 12;

    /// Returns the requests admitted in each tick; all processes restart halfway.
    fn simulate(self) -> Vec<usize> {
        let mut limiters = self.start_limiters(true, Self::PROCESS_COUNT, Duration::ZERO);
        let mut admitted_counts = Vec::new();
        for tick in 0..300 {
            let now = TICK * tick as u32;
            if tick == Self::RESTART_TICK {
                limiters = self.start_limiters(false, self.assumed_process_count, now);
            }
            let discovered_tick = Self::RESTART_TICK + Self::DISCOVERY_TICKS;
            let is_discovery_over = !(Self::RESTART_TICK..discovered_tick).contains(&tick);
            if is_discovery_over && tick % Self::ROUND_TICKS == 0 {
                self.exchange_reports(&mut limiters, tick, now);
            }
            admitted_counts.push(self.admit_requests(&mut limiters, tick, now));
        }
        admitted_counts
    }

    /// Starts all processes; each knows or assumes `process_count` processes.
    fn start_limiters(
        self,
        is_first: bool,
        process_count: usize,
        now: Duration,
    ) -> Vec<RateLimiter> {
        let start_limiter = |_| {
            let mut limiter = RateLimiter::new(is_first);
            limiter.set_teams([team(RATE_PER_S)].iter(), now);
            let silent = if is_first { 0 } else { process_count - 1 };
            limiter.set_process_counts(
                ProcessCounts {
                    total: process_count,
                    silent,
                },
                now,
            );
            limiter
        };
        (0..Self::PROCESS_COUNT).map(start_limiter).collect()
    }

    /// Applies the reports of one round.
    fn exchange_reports(self, limiters: &mut [RateLimiter], tick: usize, now: Duration) {
        let round = tick / Self::ROUND_TICKS;
        let since = now.saturating_sub(TICK * Self::ROUND_TICKS as u32 * 2);
        let regular: Vec<_> = limiters.iter().map(RateLimiter::admissions).collect();
        let near_limit: Vec<_> = limiters
            .iter()
            .map(|limiter| limiter.near_limit_admissions_since(since))
            .collect();
        for (index, limiter) in limiters.iter_mut().enumerate() {
            let process_count = Self::PROCESS_COUNT;
            limiter.set_process_counts(
                ProcessCounts {
                    total: process_count,
                    silent: 0,
                },
                now,
            );
            for other in (0..process_count).filter(|other| *other != index) {
                let is_regular_turn =
                    (index + round) % Self::TURN_COUNT == other % Self::TURN_COUNT;
                let teams = match is_regular_turn {
                    true => regular[other].clone(),
                    false if self.broadcasts_near_limit_admissions => near_limit[other].clone(),
                    false => Vec::new(),
                };
                let admissions = AdmissionCounts {
                    is_complete: is_regular_turn,
                    teams,
                };
                let node = other + if tick < Self::RESTART_TICK { 0 } else { 1000 };
                limiter.apply_admissions(node as u64, &admissions, Duration::ZERO, now);
            }
        }
    }

    /// Sends the requests of one tick, spread over the processes; returns the number that are admitted.
    fn admit_requests(self, limiters: &mut [RateLimiter], tick: usize, now: Duration) -> usize {
        let request_count = (RATE_PER_S * self.demand_factor * TICK.as_secs_f64()) as usize;
        let first_request_index = tick * request_count;
        let process_indexes = (first_request_index..first_request_index + request_count)
            .map(|request_index| request_index * 7 % Self::PROCESS_COUNT);
        process_indexes
            .filter(|index| limiters[*index].admit("team", false, now).is_ok())
            .count()
    }
}

/// Guards against regular reports, which processes get in turn, that come too late for a team over its rate.
#[test]
fn many_processes_report_a_team_near_its_limit_at_once() {
    let scenario = ManyProcesses {
        broadcasts_near_limit_admissions: true,
        assumed_process_count: 16,
        demand_factor: DEMAND_FACTOR,
    };
    assert!(!exceeds_limit(&scenario.simulate()));
    let reports_in_turn_only = ManyProcesses {
        broadcasts_near_limit_admissions: false,
        ..scenario
    };
    assert!(
        exceeds_limit(&reports_in_turn_only.simulate()),
        "reports in turn alone exceed the limit"
    );
}

/// Guards against processes that each use a large share of the rate before they have discovered each
/// other, after all of them were killed.
#[test]
fn many_processes_stay_within_the_rate_over_a_restart() {
    let scenario = ManyProcesses {
        broadcasts_near_limit_admissions: true,
        assumed_process_count: 16,
        demand_factor: DEMAND_FACTOR,
    };
    assert!(!exceeds_limit(&scenario.simulate()));
    let assumes_one_other = ManyProcesses {
        assumed_process_count: 2,
        ..scenario
    };
    assert!(
        exceeds_limit(&assumes_one_other.simulate()),
        "processes that assume one other exceed the limit"
    );
}
