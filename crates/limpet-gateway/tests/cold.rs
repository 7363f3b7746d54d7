//! Rate of requests that a cold target gets from many processes that do not coordinate.

use std::{
    net::SocketAddr,
    time::Duration, //
};

use limpet_decide::cold_share;
use limpet_gateway::target::ColdRateLimiter;
use proptest::prelude::*;

/// Multiple of the target's rate limit that the requirement allows in any second.
const RATE_FACTOR_MAX: f64 = 1.5;
/// Number of requests that the requirement allows in addition in any second.
const EXTRA_REQUESTS_MAX: f64 = 5.0;
const TICK: Duration = Duration::from_millis(20);
/// Number of ticks in the window of the requirement, one second.
const WINDOW_TICKS: usize = 50;

/// Load on a cold target.
#[derive(Clone, Debug)]
struct Scenario {
    /// Offset of each process's clock as a fraction of its send interval.
    phases: Vec<f64>,
    /// Rate limit of the target.
    rate_per_s: f64,
    /// Ticks in which no process has a request for the target.
    idle_ticks: std::ops::Range<usize>,
}

/// Returns the send interval of each process: their order is their rank.
fn send_intervals(scenario: &Scenario) -> Vec<Option<Duration>> {
    let process_count = scenario.phases.len();
    let ranks = 0..process_count;
    ranks
        .map(|rank| cold_share::send_interval(scenario.rate_per_s, rank, process_count))
        .collect()
}

/// Returns the send interval of each process if all had the same share of half the rate: a broken variant,
/// in which the sum depends on when the processes send.
fn equal_send_intervals(scenario: &Scenario) -> Vec<Option<Duration>> {
    let process_count = scenario.phases.len();
    let interval_s = process_count as f64 / (scenario.rate_per_s * 0.5);
    vec![Some(Duration::from_secs_f64(interval_s)); process_count]
}

/// Simulates eight seconds in which every process sends what its limiter allows; returns the number of
/// requests in each tick.
fn simulate(scenario: &Scenario, send_intervals: &[Option<Duration>]) -> Vec<usize> {
    let mut limiters = vec![ColdRateLimiter::new(); scenario.phases.len()];
    for limiter in &mut limiters {
        limiter.set_cold(Duration::from_secs(60), Duration::ZERO);
    }
    let mut sent_counts = Vec::new();
    for tick in 0..400 {
        let mut sent_count = 0;
        let processes = limiters.iter_mut().zip(send_intervals);
        for ((limiter, send_interval), phase) in processes.zip(&scenario.phases) {
            let clock_offset = send_interval.unwrap_or_default().mul_f64(*phase);
            let now = TICK * tick as u32 + clock_offset;
            let has_request = !scenario.idle_ticks.contains(&tick);
            if has_request && limiter.allows_request(*send_interval, now) {
                limiter.record_request(now);
                sent_count += 1;
            }
        }
        sent_counts.push(sent_count);
    }
    sent_counts
}

/// Returns the number of requests per tick with the send intervals of the product.
fn simulate_shares(scenario: &Scenario) -> Vec<usize> {
    simulate(scenario, &send_intervals(scenario))
}

/// Returns the number of requests in the busiest window of one second.
fn max_requests_per_second(sent_counts: &[usize]) -> usize {
    let window_sums = sent_counts
        .windows(WINDOW_TICKS)
        .map(|window| window.iter().sum());
    window_sums.max().unwrap_or(0)
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(200))]

    /// Guards against overloading a cold target by the sum of all processes' requests, also right after an
    /// idle period.
    #[test]
    fn processes_together_stay_within_the_rate_of_a_cold_target(
        phases in prop::collection::vec(0.0_f64..1.0, 1..300),
        rate_per_s in 4.0_f64..60.0,
        idle_from in 0_usize..200,
        idle_for in 0_usize..200,
    ) {
        let idle_ticks = idle_from..idle_from + idle_for;
        let sent_counts = simulate_shares(&Scenario { phases, rate_per_s, idle_ticks });
        let request_count_max = rate_per_s * RATE_FACTOR_MAX + EXTRA_REQUESTS_MAX;
        prop_assert!(
            max_requests_per_second(&sent_counts) as f64 <= request_count_max,
            "{} of {request_count_max}",
            max_requests_per_second(&sent_counts)
        );
    }
}

/// Guards against processes whose send times cluster by chance. The case is one that the property test
/// above found.
#[test]
fn processes_with_clustered_phases_stay_within_the_rate_of_a_cold_target() {
    let rate_per_s = 24.796830660230853;
    let sent_counts = simulate_shares(&Scenario {
        phases: vec![
            0.0,
            0.0,
            0.0,
            0.8185496494338058,
            0.2020475783906509,
            0.0,
            0.0,
            0.0,
            0.0,
            0.0,
            0.8474497152197238,
            0.8384114381775446,
            0.0,
            0.0,
            0.0,
            0.0,
            0.1862015133795407,
            0.21584040944909308,
            0.2272106612261751,
            0.0,
            0.0,
            0.0,
            0.0,
            0.0,
            0.0,
            0.0,
            0.8011941028639058,
            0.11790600425137704,
            0.17520534591460366,
            0.21398927907273974,
            0.20465455992030746,
            0.2503923579345027,
            0.0,
            0.0,
            0.0,
            0.24957748760967652,
            0.0,
            0.0,
            0.8140106954168593,
            0.0,
            0.0,
            0.11132688272979376,
            0.23742069279138386,
            0.859575155138485,
            0.8117781089244527,
            0.860138562147625,
            0.7812925305015361,
            0.791295964440624,
            0.0,
            0.0,
            0.0,
            0.0,
            0.0,
            0.18745526059942372,
            0.0,
            0.0,
            0.8098062738511781,
            0.0,
            0.0,
            0.21143747593987774,
            0.0,
            0.0,
            0.0,
            0.14862207421776755,
            0.0,
            0.0,
            0.1423675553301737,
            0.0,
            0.8267588557105296,
            0.0,
            0.7905378656950243,
            0.0,
            0.0,
            0.8080900456301915,
            0.0,
            0.0,
            0.0,
            0.8044710519751831,
            0.0,
            0.1926341213982734,
            0.0,
            0.0,
            0.0,
            0.11674608753204682,
            0.22264294034127602,
            0.19687397155372502,
            0.0,
            0.0,
            0.0,
            0.8241914099519962,
            0.8605856111513759,
            0.0,
            0.0,
            0.0,
            0.8040552978122866,
            0.0,
            0.0,
            0.0,
            0.0,
            0.0,
            0.0,
            0.25729363458056054,
            0.2566081989842571,
            0.0,
            0.0,
            0.8018294226554585,
            0.0,
            0.0,
            0.0,
            0.8173333889551908,
            0.0,
            0.2311421992606198,
        ],
        rate_per_s,
        idle_ticks: 1..1,
    });
    let request_count_max = rate_per_s * RATE_FACTOR_MAX + EXTRA_REQUESTS_MAX;
    assert!(
        max_requests_per_second(&sent_counts) as f64 <= request_count_max,
        "{} of {request_count_max}",
        max_requests_per_second(&sent_counts)
    );
}

/// Guards against a burst after an idle period from processes that keep unused send times. This is the
/// smallest case that exceeded the bound when unused send times did not expire.
#[test]
fn processes_do_not_send_all_at_once_after_an_idle_period() {
    let sent_counts = simulate_shares(&Scenario {
        phases: (0..42).map(|index| f64::from(index) / 42.0).collect(),
        rate_per_s: 4.0,
        idle_ticks: 58..251,
    });
    assert!(
        max_requests_per_second(&sent_counts) <= 11,
        "{} in a second",
        max_requests_per_second(&sent_counts)
    );
}

/// Guards against a limit so low that a cold target gets hardly any requests.
#[test]
fn cold_target_gets_a_third_of_its_rate() {
    let scenario = Scenario {
        phases: (0..67).map(|index| f64::from(index) / 67.0).collect(),
        rate_per_s: 20.0,
        idle_ticks: 0..0,
    };
    let sent_count: usize = simulate_shares(&scenario).iter().sum();
    assert!(
        sent_count as f64 >= 20.0 * 8.0 / 3.0,
        "{sent_count} requests in 8 s"
    );
}

/// Guards against a simulation that cannot show an excess: with equal shares the processes exceed the bound.
#[test]
fn equal_shares_exceed_the_rate_of_a_cold_target() {
    let scenario = Scenario {
        phases: vec![0.0; 200],
        rate_per_s: 24.0,
        idle_ticks: 0..0,
    };
    let sent_counts = simulate(&scenario, &equal_send_intervals(&scenario));
    assert!(max_requests_per_second(&sent_counts) > 41);
}

/// Guards against an excess while the processes do not all know each other: each misses a tenth of them.
#[test]
fn processes_with_partial_views_stay_within_the_rate_of_a_cold_target() {
    let process_count = 300_u16;
    let processes: Vec<SocketAddr> = (0..process_count)
        .map(|index| SocketAddr::from(([10, 0, (index >> 8) as u8, index as u8], 7102)))
        .collect();
    let rate_per_s = 20.0;
    let mut intervals = Vec::new();
    for (index, own) in processes.iter().enumerate() {
        let is_known = |other: usize| other != index && !(index * 7 + other).is_multiple_of(10);
        let others = (0..processes.len()).filter(|other| is_known(*other));
        let others: Vec<SocketAddr> = others.map(|other| processes[other]).collect();
        let rank = cold_share::rank("t-1", *own, others.iter().copied());
        intervals.push(cold_share::send_interval(
            rate_per_s,
            rank,
            others.len() + 1,
        ));
    }
    let scenario = Scenario {
        phases: vec![0.0; processes.len()],
        rate_per_s,
        idle_ticks: 0..0,
    };
    let request_count_max = rate_per_s * RATE_FACTOR_MAX + EXTRA_REQUESTS_MAX;
    let busiest = max_requests_per_second(&simulate(&scenario, &intervals));
    assert!(
        busiest as f64 <= request_count_max,
        "{busiest} of {request_count_max}"
    );
}
