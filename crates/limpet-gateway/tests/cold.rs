//! What cold targets get from many processes that do not know of each other's requests.

use std::time::Duration;

use limpet_gateway::target::ColdGate;
use proptest::prelude::*;

/// Allowed beyond the stated rate, by the users' rule.
const EXCESS: f64 = 1.5;
const SLACK: f64 = 5.0;
const TICK: Duration = Duration::from_millis(20);
/// Ticks in the window of the rule, a second.
const WINDOW_TICKS: usize = 50;

/// What happens to a cold target.
#[derive(Clone, Debug)]
struct Course {
    /// Place of each process in its period.
    places: Vec<f64>,
    rate_per_s: f64,
    /// Ticks in which no process has a request for it.
    idle_ticks: std::ops::Range<usize>,
}

/// Plays eight seconds in which every process sends what its gate lets through; returns the requests
/// of each tick.
fn play(course: &Course) -> Vec<usize> {
    let part_per_s = course.rate_per_s / course.places.len() as f64;
    let mut gates: Vec<ColdGate> = course.places.iter().copied().map(ColdGate::new).collect();
    for gate in &mut gates {
        gate.set_cold(Duration::from_secs(60), Duration::ZERO);
    }
    let mut sent = Vec::new();
    for tick in 0..400 {
        let now = TICK * tick as u32;
        let mut sum = 0;
        for gate in &mut gates {
            if !course.idle_ticks.contains(&tick) && gate.has_room(part_per_s, now) {
                gate.spend(part_per_s, now);
                sum += 1;
            }
        }
        sent.push(sum);
    }
    sent
}

fn worst_second(sent: &[usize]) -> usize {
    let sums = sent.windows(WINDOW_TICKS).map(|w| w.iter().sum());
    sums.max().unwrap_or(0)
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(200))]

    /// Guards against crashing a cold target by the sum of what single processes send, also right after
    /// a time without requests.
    #[test]
    fn processes_together_stay_within_the_rate_of_a_cold_target(
        places in prop::collection::vec(0.0_f64..1.0, 1..300),
        rate_per_s in 4.0_f64..60.0,
        idle_from in 0_usize..200,
        idle_for in 0_usize..200,
    ) {
        let idle_ticks = idle_from..idle_from + idle_for;
        let sent = play(&Course { places, rate_per_s, idle_ticks });
        let bound = rate_per_s * EXCESS + SLACK;
        prop_assert!(worst_second(&sent) as f64 <= bound, "{} of {bound}", worst_second(&sent));
    }
}

/// Guards against turns left over from an idle time, with the smallest case that broke the bound when each
/// process kept its token.
#[test]
fn processes_do_not_send_all_at_once_after_an_idle_time() {
    let sent = play(&Course {
        places: (0..42).map(|index| f64::from(index) / 42.0).collect(),
        rate_per_s: 4.0,
        idle_ticks: 58..251,
    });
    assert!(
        worst_second(&sent) <= 11,
        "{} in a second",
        worst_second(&sent)
    );
}

/// Guards against a limit that keeps requests from a cold target altogether.
#[test]
fn cold_target_gets_a_third_of_what_it_bears() {
    let course = Course {
        places: (0..67).map(|index| f64::from(index) / 67.0).collect(),
        rate_per_s: 20.0,
        idle_ticks: 0..0,
    };
    let sent: usize = play(&course).iter().sum();
    assert!(sent as f64 >= 20.0 * 8.0 / 3.0, "{sent} requests in 8 s");
}
