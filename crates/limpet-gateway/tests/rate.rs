//! Rates of teams summed over processes that hear each other late, partly or not at all.

use std::time::Duration;

use limpet_gateway::rate::{
    AdmissionCounts,
    ProcessCounts,
    RateLimiter,
    TeamAdmissions, //
};
use limpet_types::deployment::Team;
use proptest::prelude::*;

const RATE_PER_S: f64 = 40.0;
const BURST: f64 = 40.0;
const TICK: Duration = Duration::from_millis(50);
/// Ticks between two reports, plus the way.
const REPORT_TICKS: usize = 4;
/// Window and bound of the users' rule.
const WINDOW_TICKS: usize = 100;
const EXCESS: f64 = 0.25;
const SLACK: f64 = 20.0;

fn team(rate_per_s: f64) -> Team {
    Team {
        name: "team".into(),
        api_keys: Vec::new(),
        priority: None,
        rate_per_s,
        burst: BURST,
    }
}

/// What happens to a fleet.
#[derive(Clone, Debug)]
struct Course {
    /// Requests that each process gets in a tick.
    demand: Vec<usize>,
    /// Processes before this index are cut off from the others, in these ticks.
    cut_at: usize,
    cut_ticks: std::ops::Range<usize>,
    /// Whether processes notice who is silent.
    notices_silence: bool,
    /// Tick at which all processes start again.
    restart_tick: usize,
}

/// Plays a course and returns the requests admitted in each tick.
fn play(course: &Course) -> Vec<usize> {
    let processes = course.demand.len();
    let start = |is_first: bool, now: Duration| {
        let mut ledger = RateLimiter::new(is_first);
        ledger.set_teams([team(RATE_PER_S)].iter(), now);
        ledger.set_process_counts(
            ProcessCounts {
                total: processes,
                silent: 0,
            },
            now,
        );
        ledger
    };
    let mut ledgers: Vec<RateLimiter> = (0..processes)
        .map(|_| start(true, Duration::ZERO))
        .collect();
    let mut incarnation = 0_u64;
    let mut admitted = Vec::new();
    for tick in 0..400 {
        let now = TICK * tick as u32;
        if tick == course.restart_tick {
            incarnation += 100;
            ledgers = (0..processes).map(|_| start(false, now)).collect();
        }
        let is_cut = course.cut_ticks.contains(&tick);
        let hears = |a: usize, b: usize| !is_cut || (a < course.cut_at) == (b < course.cut_at);
        // Silence is noticed one report period after the cut began.
        let knows_cut = is_cut && tick >= course.cut_ticks.start + REPORT_TICKS;
        for (index, ledger) in ledgers.iter_mut().enumerate() {
            let silent = (0..processes).filter(|other| !hears(index, *other)).count();
            let silent = if course.notices_silence && knows_cut {
                silent
            } else {
                0
            };
            ledger.set_process_counts(
                ProcessCounts {
                    total: processes,
                    silent,
                },
                now,
            );
        }
        if tick % REPORT_TICKS == 0 {
            let teams: Vec<_> = ledgers.iter().map(RateLimiter::admissions).collect();
            for (index, ledger) in ledgers.iter_mut().enumerate() {
                for (other, teams) in teams.iter().enumerate() {
                    if index != other && hears(index, other) {
                        let node = incarnation + other as u64;
                        let admissions = AdmissionCounts {
                            is_complete: true,
                            teams: teams.clone(),
                        };
                        ledger.apply_admissions(node, &admissions, Duration::ZERO, now);
                    }
                }
            }
        }
        let mut sum = 0;
        for (ledger, demand) in ledgers.iter_mut().zip(&course.demand) {
            sum += (0..*demand)
                .filter(|_| ledger.admit("team", false, now).is_ok())
                .count();
        }
        admitted.push(sum);
    }
    admitted
}

fn breaks_the_bound(admitted: &[usize]) -> bool {
    let window_s = TICK.as_secs_f64() * WINDOW_TICKS as f64;
    let bound = (RATE_PER_S * window_s + BURST) * (1.0 + EXCESS) + SLACK;
    admitted
        .windows(WINDOW_TICKS)
        .any(|window| window.iter().sum::<usize>() as f64 > bound)
}

fn course() -> impl Strategy<Value = Course> {
    let demand = proptest::collection::vec(0_usize..3, 2..8);
    (
        demand,
        0_usize..8,
        50_usize..200,
        20_usize..200,
        150_usize..1000,
    )
        .prop_map(|(demand, cut_at, cut_from, cut_for, restart_tick)| Course {
            demand,
            cut_at,
            cut_ticks: cut_from..cut_from + cut_for,
            notices_silence: true,
            restart_tick,
        })
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(128))]

    /// Guards against more than rate and burst over cuts and restarts of the whole fleet.
    #[test]
    fn fleet_stays_within_the_rate(course in course()) {
        prop_assert!(!breaks_the_bound(&play(&course)));
    }
}

fn even_cut(notices_silence: bool) -> Course {
    Course {
        demand: vec![3; 6],
        cut_at: 3,
        cut_ticks: 60..360,
        notices_silence,
        restart_tick: usize::MAX,
    }
}

/// Shows that the check can fail: two sides that each take the whole rate pass the bound.
#[test]
fn sides_that_take_over_each_others_part_break_the_bound() {
    assert!(breaks_the_bound(&play(&even_cut(false))));
    assert!(!breaks_the_bound(&play(&even_cut(true))));
}

/// Guards against refusing a team that stays within its rate in steady state.
#[test]
fn team_within_its_rate_is_not_refused() {
    let mut course = even_cut(true);
    course.demand = vec![1, 0, 0, 0, 0, 0];
    course.cut_ticks = 0..0;
    let admitted = play(&course);
    assert!(
        admitted.iter().all(|requests| *requests == 1),
        "20/s of 40/s were refused"
    );
}

/// Guards against a limit that a new text lowers but the level does not.
#[test]
fn lowered_limit_binds_at_once() {
    let mut ledger = RateLimiter::new(true);
    ledger.set_teams([team(1000.0)].iter(), Duration::ZERO);
    let mut low = team(1.0);
    low.burst = 2.0;
    ledger.set_teams([low].iter(), Duration::ZERO);
    let admitted = (0..50)
        .filter(|_| ledger.admit("team", false, Duration::ZERO).is_ok())
        .count();
    assert_eq!(admitted, 2);
}

/// Guards against a refusal that names a time too short to be true.
#[test]
fn refusal_tells_when_a_token_comes() {
    let mut ledger = RateLimiter::new(true);
    ledger.set_teams([team(RATE_PER_S)].iter(), Duration::ZERO);
    let wait = (0..200)
        .find_map(|_| ledger.admit("team", false, Duration::ZERO).err())
        .unwrap();
    assert!(ledger.admit("team", false, wait).is_ok());
}

fn admissions(is_complete: bool, admitted: &[(&str, u64)]) -> AdmissionCounts {
    let count = |(team, admitted): &(&str, u64)| TeamAdmissions {
        team: (*team).into(),
        admitted: *admitted,
    };
    AdmissionCounts {
        is_complete,
        teams: admitted.iter().map(count).collect(),
    }
}

fn left_after(reports: &[AdmissionCounts]) -> usize {
    let mut ledger = RateLimiter::new(true);
    ledger.set_teams([team(RATE_PER_S)].iter(), Duration::ZERO);
    for admissions in reports {
        ledger.apply_admissions(7, admissions, Duration::ZERO, Duration::ZERO);
    }
    (0..100)
        .filter(|_| ledger.admit("team", false, Duration::ZERO).is_ok())
        .count()
}

/// Guards against debits for what another process admitted long ago, and against none for what it
/// admitted since; the burst is 40.
#[test]
fn only_what_was_admitted_since_is_taken_out() {
    assert_eq!(left_after(&[admissions(true, &[("team", 1000)])]), 40);
    assert_eq!(
        left_after(&[
            admissions(true, &[("team", 1000)]),
            admissions(false, &[("team", 1010)])
        ]),
        30
    );
    assert_eq!(
        left_after(&[admissions(true, &[]), admissions(false, &[("team", 10)])]),
        30
    );
    assert_eq!(
        left_after(&[admissions(false, &[]), admissions(false, &[("team", 1000)])]),
        40
    );
    let twice = admissions(false, &[("team", 1010)]);
    assert_eq!(
        left_after(&[admissions(true, &[("team", 1000)]), twice.clone(), twice]),
        30
    );
}

/// What a pressing team asks, in multiples of its rate: the users' days have up to eight times its usual
/// requests, which are 1/1.6 of its rate, and this is more.
const WANTED: f64 = 6.0;

/// A large fleet whose processes report to each other in turn, under a team that presses.
#[derive(Clone, Copy, Debug)]
struct LargeFleet {
    /// Whether processes tell at once what a pressing team got.
    tells_pressed: bool,
    /// Processes that one expects after a restart until it has met them.
    expected: usize,
    /// What the team asks, in multiples of its rate.
    wanted: f64,
}

impl LargeFleet {
    const PROCESSES: usize = 64;
    const TURNS: usize = 4;
    /// Ticks between two rounds: 150 ms.
    const ROUND_TICKS: usize = 3;
    const RESTART_TICK: usize = 150;
    /// Ticks until the processes have met again: 600 ms.
    const MEET_TICKS: usize = 12;

    /// Returns what is admitted in each tick; all processes restart in the middle.
    fn play(self) -> Vec<usize> {
        let mut ledgers = self.start(true, Self::PROCESSES, Duration::ZERO);
        let mut admitted = Vec::new();
        for tick in 0..300 {
            let now = TICK * tick as u32;
            if tick == Self::RESTART_TICK {
                ledgers = self.start(false, self.expected, now);
            }
            let met_tick = Self::RESTART_TICK + Self::MEET_TICKS;
            let has_met = !(Self::RESTART_TICK..met_tick).contains(&tick);
            if has_met && tick % Self::ROUND_TICKS == 0 {
                self.report(&mut ledgers, tick, now);
            }
            admitted.push(self.admit(&mut ledgers, tick, now));
        }
        admitted
    }

    fn start(self, is_first: bool, processes: usize, now: Duration) -> Vec<RateLimiter> {
        let start = |_| {
            let mut ledger = RateLimiter::new(is_first);
            ledger.set_teams([team(RATE_PER_S)].iter(), now);
            let silent = if is_first { 0 } else { processes - 1 };
            ledger.set_process_counts(
                ProcessCounts {
                    total: processes,
                    silent,
                },
                now,
            );
            ledger
        };
        (0..Self::PROCESSES).map(start).collect()
    }

    fn report(self, ledgers: &mut [RateLimiter], tick: usize, now: Duration) {
        let round = tick / Self::ROUND_TICKS;
        let since = now.saturating_sub(TICK * Self::ROUND_TICKS as u32 * 2);
        let regular: Vec<_> = ledgers.iter().map(RateLimiter::admissions).collect();
        let pressed: Vec<_> = ledgers
            .iter()
            .map(|l| l.near_limit_admissions_since(since))
            .collect();
        for (index, ledger) in ledgers.iter_mut().enumerate() {
            let processes = Self::PROCESSES;
            ledger.set_process_counts(
                ProcessCounts {
                    total: processes,
                    silent: 0,
                },
                now,
            );
            for other in (0..processes).filter(|other| *other != index) {
                let is_turn = (index + round) % Self::TURNS == other % Self::TURNS;
                let teams = match is_turn {
                    true => regular[other].clone(),
                    false if self.tells_pressed => pressed[other].clone(),
                    false => Vec::new(),
                };
                let admissions = AdmissionCounts {
                    is_complete: is_turn,
                    teams,
                };
                let node = other + if tick < Self::RESTART_TICK { 0 } else { 1000 };
                ledger.apply_admissions(node as u64, &admissions, Duration::ZERO, now);
            }
        }
    }

    fn admit(self, ledgers: &mut [RateLimiter], tick: usize, now: Duration) -> usize {
        let wanted = (RATE_PER_S * self.wanted * TICK.as_secs_f64()) as usize;
        let first = tick * wanted;
        let asked = (first..first + wanted).map(|request| request * 7 % Self::PROCESSES);
        asked
            .filter(|index| ledgers[*index].admit("team", false, now).is_ok())
            .count()
    }
}

/// Guards against a large fleet whose reports come too late for a team that presses.
#[test]
fn large_fleet_tells_at_once_what_a_pressing_team_got() {
    let fleet = LargeFleet {
        tells_pressed: true,
        expected: 16,
        wanted: WANTED,
    };
    assert!(!breaks_the_bound(&fleet.play()));
    let late = LargeFleet {
        tells_pressed: false,
        ..fleet
    };
    assert!(
        breaks_the_bound(&late.play()),
        "reports in turn alone pass the bound"
    );
}

/// Guards against processes that each take a large part of the rate before they have met, after all
/// were killed (first seen as QUOTA on trouble-3 of the grown mcfsa-limpets).
#[test]
fn large_fleet_keeps_the_rate_over_a_restart() {
    let fleet = LargeFleet {
        tells_pressed: true,
        expected: 16,
        wanted: WANTED,
    };
    assert!(!breaks_the_bound(&fleet.play()));
    let hasty = LargeFleet {
        expected: 2,
        ..fleet
    };
    assert!(
        breaks_the_bound(&hasty.play()),
        "processes that expect one other pass the bound"
    );
}

/// Guards against a process that joins with tokens that others have spent, or with none; it may know the
/// teams before or after it is told.
#[test]
fn joining_process_takes_over_what_is_left() {
    let mut there = RateLimiter::new(true);
    there.set_teams([team(RATE_PER_S)].iter(), Duration::ZERO);
    for _ in 0..30 {
        there.admit("team", false, Duration::ZERO).unwrap();
    }
    let team_tokens = there.team_tokens(Duration::ZERO);
    for knows_teams in [false, true] {
        let mut joining = RateLimiter::new(false);
        if knows_teams {
            joining.set_teams([team(RATE_PER_S)].iter(), Duration::ZERO);
        }
        joining.adopt_tokens(&team_tokens, Duration::ZERO);
        joining.set_teams([team(RATE_PER_S)].iter(), Duration::ZERO);
        let admitted = (0..100)
            .filter(|_| joining.admit("team", false, Duration::ZERO).is_ok())
            .count();
        assert_eq!(admitted, 10);
    }
}
