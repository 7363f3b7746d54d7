//! Rate limits of teams over processes whose reports are late, incomplete or missing.

mod rate_support;

use std::time::Duration;

use limpet_gateway::rate::{
    AdmissionCounts,
    ProcessCounts,
    RateLimiter,
    TeamAdmissions,
    TeamTokens, //
};
use proptest::prelude::*;
use rate_support::{
    RATE_PER_S,
    TICK,
    exceeds_limit,
    team, //
};

/// Number of ticks between two reports of a process, including the transfer of a report.
const REPORT_TICKS: usize = 4;
/// Demand on several processes, and the faults among them.
#[derive(Clone, Debug)]
struct Scenario {
    /// Requests that each process gets in a tick.
    demand: Vec<usize>,
    /// Processes below this index are separated from the rest during `partition_ticks`.
    partition_index: usize,
    partition_ticks: std::ops::Range<usize>,
    /// Whether each process notices which others are silent and leaves their shares of the rate unused.
    detects_silence: bool,
    /// Tick at which all processes restart.
    restart_tick: usize,
}

/// Simulates a scenario and returns the requests admitted in each tick.
fn simulate(scenario: &Scenario) -> Vec<usize> {
    let process_count = scenario.demand.len();
    let start_limiter = |is_first: bool, now: Duration| {
        let mut limiter = RateLimiter::new(is_first);
        limiter.set_teams([team(RATE_PER_S)].iter(), now);
        limiter.set_process_counts(
            ProcessCounts {
                total: process_count,
                silent: 0,
            },
            now,
        );
        limiter
    };
    let mut limiters: Vec<RateLimiter> = (0..process_count)
        .map(|_| start_limiter(true, Duration::ZERO))
        .collect();
    let mut first_node = 0_u64;
    let mut admitted_counts = Vec::new();
    for tick in 0..400 {
        let now = TICK * tick as u32;
        if tick == scenario.restart_tick {
            first_node += 100;
            limiters = (0..process_count)
                .map(|_| start_limiter(false, now))
                .collect();
        }
        let is_partitioned = scenario.partition_ticks.contains(&tick);
        let is_connected = |a: usize, b: usize| {
            !is_partitioned || (a < scenario.partition_index) == (b < scenario.partition_index)
        };
        // Silence is detected one report period after the partition began.
        let is_detected = is_partitioned && tick >= scenario.partition_ticks.start + REPORT_TICKS;
        for (index, limiter) in limiters.iter_mut().enumerate() {
            let silent_count = (0..process_count)
                .filter(|other| !is_connected(index, *other))
                .count();
            let silent = if scenario.detects_silence && is_detected {
                silent_count
            } else {
                0
            };
            limiter.set_process_counts(
                ProcessCounts {
                    total: process_count,
                    silent,
                },
                now,
            );
        }
        if tick % REPORT_TICKS == 0 {
            let reports: Vec<_> = limiters.iter().map(RateLimiter::admissions).collect();
            for (index, limiter) in limiters.iter_mut().enumerate() {
                for (other, teams) in reports.iter().enumerate() {
                    if index != other && is_connected(index, other) {
                        let node = first_node + other as u64;
                        let admissions = AdmissionCounts {
                            is_complete: true,
                            teams: teams.clone(),
                        };
                        limiter.apply_admissions(node, &admissions, Duration::ZERO, now);
                    }
                }
            }
        }
        let mut admitted_count = 0;
        for (limiter, demand) in limiters.iter_mut().zip(&scenario.demand) {
            admitted_count += (0..*demand)
                .filter(|_| limiter.admit("team", false, now).is_ok())
                .count();
        }
        admitted_counts.push(admitted_count);
    }
    admitted_counts
}

fn scenario() -> impl Strategy<Value = Scenario> {
    let demand = proptest::collection::vec(0_usize..3, 2..8);
    (
        demand,
        0_usize..8,
        50_usize..200,
        20_usize..200,
        150_usize..1000,
    )
        .prop_map(
            |(demand, partition_index, partition_start, partition_length, restart_tick)| Scenario {
                demand,
                partition_index,
                partition_ticks: partition_start..partition_start + partition_length,
                detects_silence: true,
                restart_tick,
            },
        )
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(128))]

    /// Guards against admitting more than rate and burst over partitions and restarts of all processes.
    #[test]
    fn processes_together_stay_within_the_rate(scenario in scenario()) {
        prop_assert!(!exceeds_limit(&simulate(&scenario)));
    }
}

/// Returns a scenario in which a partition separates two halves of the processes for a long time.
fn even_partition(detects_silence: bool) -> Scenario {
    Scenario {
        demand: vec![3; 6],
        partition_index: 3,
        partition_ticks: 60..360,
        detects_silence,
        restart_tick: usize::MAX,
    }
}

/// Shows that the check can fail: two sides that each use the whole rate exceed the limit.
#[test]
fn partitions_that_each_use_the_whole_rate_exceed_the_limit() {
    assert!(exceeds_limit(&simulate(&even_partition(false))));
    assert!(!exceeds_limit(&simulate(&even_partition(true))));
}

/// Guards against refusing a team that stays within its rate in steady state.
#[test]
fn team_within_its_rate_is_not_refused() {
    let mut scenario = even_partition(true);
    scenario.demand = vec![1, 0, 0, 0, 0, 0];
    scenario.partition_ticks = 0..0;
    let admitted_counts = simulate(&scenario);
    assert!(
        admitted_counts
            .iter()
            .all(|request_count| *request_count == 1),
        "20/s of 40/s were refused"
    );
}

/// Guards against a lower limit that applies only after the tokens of the former one are spent.
#[test]
fn lowered_limit_applies_at_once() {
    let mut limiter = RateLimiter::new(true);
    limiter.set_teams([team(1000.0)].iter(), Duration::ZERO);
    let mut lowered = team(1.0);
    lowered.burst = 2.0;
    limiter.set_teams([lowered].iter(), Duration::ZERO);
    let admitted_count = (0..50)
        .filter(|_| limiter.admit("team", false, Duration::ZERO).is_ok())
        .count();
    assert_eq!(admitted_count, 2);
}

/// Guards against a refusal whose retry time is too short.
#[test]
fn refusal_returns_the_time_until_a_token_is_available() {
    let mut limiter = RateLimiter::new(true);
    limiter.set_teams([team(RATE_PER_S)].iter(), Duration::ZERO);
    let wait = (0..200)
        .find_map(|_| limiter.admit("team", false, Duration::ZERO).err())
        .unwrap();
    assert!(limiter.admit("team", false, wait).is_ok());
}

fn admissions(is_complete: bool, admitted_counts: &[(&str, u64)]) -> AdmissionCounts {
    let to_admissions = |(team, admitted): &(&str, u64)| TeamAdmissions {
        team: (*team).into(),
        admitted: *admitted,
    };
    AdmissionCounts {
        is_complete,
        teams: admitted_counts.iter().map(to_admissions).collect(),
    }
}

/// Returns the number of tokens that are left after reports of one other process.
fn tokens_left_after(reports: &[AdmissionCounts]) -> usize {
    let mut limiter = RateLimiter::new(true);
    limiter.set_teams([team(RATE_PER_S)].iter(), Duration::ZERO);
    for admissions in reports {
        limiter.apply_admissions(7, admissions, Duration::ZERO, Duration::ZERO);
    }
    (0..100)
        .filter(|_| limiter.admit("team", false, Duration::ZERO).is_ok())
        .count()
}

/// Guards against deducting what another process admitted before its first report, and against not
/// deducting what it admitted since; the burst is 40.
#[test]
fn only_new_admissions_are_deducted() {
    assert_eq!(
        tokens_left_after(&[admissions(true, &[("team", 1000)])]),
        40
    );
    assert_eq!(
        tokens_left_after(&[
            admissions(true, &[("team", 1000)]),
            admissions(false, &[("team", 1010)])
        ]),
        30
    );
    assert_eq!(
        tokens_left_after(&[admissions(true, &[]), admissions(false, &[("team", 10)])]),
        30
    );
    assert_eq!(
        tokens_left_after(&[admissions(false, &[]), admissions(false, &[("team", 1000)])]),
        40
    );
    let repeated = admissions(false, &[("team", 1010)]);
    assert_eq!(
        tokens_left_after(&[
            admissions(true, &[("team", 1000)]),
            repeated.clone(),
            repeated
        ]),
        30
    );
}

/// Guards against a process that joins with tokens that others have spent, or with none. It may receive
/// the tokens before or after the teams.
#[test]
fn joining_process_adopts_the_remaining_tokens() {
    let mut running = RateLimiter::new(true);
    running.set_teams([team(RATE_PER_S)].iter(), Duration::ZERO);
    for _ in 0..30 {
        running.admit("team", false, Duration::ZERO).unwrap();
    }
    let team_tokens = running.team_tokens(Duration::ZERO);
    for has_teams_first in [false, true] {
        let mut joining = RateLimiter::new(false);
        if has_teams_first {
            joining.set_teams([team(RATE_PER_S)].iter(), Duration::ZERO);
        }
        joining.adopt_tokens(&team_tokens, Duration::ZERO);
        joining.set_teams([team(RATE_PER_S)].iter(), Duration::ZERO);
        let admitted_count = (0..100)
            .filter(|_| joining.admit("team", false, Duration::ZERO).is_ok())
            .count();
        assert_eq!(admitted_count, 10);
    }
}

/// Guards against a malformed report that fills the tokens of a team.
#[test]
fn adopted_tokens_must_be_numbers() {
    let team = team(10.0);
    for tokens in [f64::NAN, f64::INFINITY, f64::NEG_INFINITY] {
        let mut limiter = RateLimiter::new(false);
        limiter.set_teams([&team].into_iter(), Duration::ZERO);
        let adopted = TeamTokens {
            team: team.name.clone(),
            tokens,
        };
        limiter.adopt_tokens(&[adopted], Duration::ZERO);
        assert!(limiter.admit(&team.name, false, Duration::ZERO).is_err());
        // It is not locked out either.
        assert!(
            limiter
                .admit("team-a", false, Duration::from_secs(1))
                .is_ok()
        );
    }
}

/// Guards against refusals within the rate after operators have lowered it: the load of the quiet day of a site with
/// six processes, on which one team sends twice its lowered rate and is the only one that is refused.
#[test]
fn team_over_its_lowered_rate_gets_that_rate() {
    let process_count = 6;
    let (lowered_per_s, lowered_tick) = (RATE_PER_S / 2.0, 30);
    let mut limiters: Vec<RateLimiter> = (0..process_count)
        .map(|_| {
            let mut limiter = RateLimiter::new(true);
            limiter.set_teams([team(RATE_PER_S)].iter(), Duration::ZERO);
            let counts = ProcessCounts {
                total: process_count,
                silent: 0,
            };
            limiter.set_process_counts(counts, Duration::ZERO);
            limiter
        })
        .collect();
    let tick_count = 680;
    let mut admitted_count = 0;
    for tick in 0..tick_count {
        let now = TICK * tick as u32;
        if tick == lowered_tick {
            for limiter in &mut limiters {
                limiter.set_teams([team(lowered_per_s)].iter(), now);
            }
        }
        if tick % REPORT_TICKS == 0 {
            let reports: Vec<_> = limiters.iter().map(RateLimiter::admissions).collect();
            for (index, limiter) in limiters.iter_mut().enumerate() {
                for (other, teams) in reports
                    .iter()
                    .enumerate()
                    .filter(|(other, _)| *other != index)
                {
                    let admissions = AdmissionCounts {
                        is_complete: true,
                        teams: teams.clone(),
                    };
                    limiter.apply_admissions(other as u64, &admissions, Duration::ZERO, now);
                }
            }
        }
        // Two requests a tick of 50 ms, at processes in turn: the former rate, twice the lowered one.
        for request in 0..2 {
            let limiter = &mut limiters[(tick * 2 + request) % process_count];
            admitted_count += usize::from(limiter.admit("team", false, now).is_ok());
        }
    }
    let lowered_time = TICK * (tick_count - lowered_tick) as u32;
    let owed_count = lowered_per_s * lowered_time.as_secs_f64();
    assert!(
        admitted_count as f64 >= owed_count,
        "{admitted_count} admitted of {owed_count} within the lowered rate"
    );
}
