//! Measures wrongly refused requests under different prefetch policies, beside a fixed share per VM.
//!
//! Run: `cargo run --release -p limpet-decide --example rate -- [SEED]`

use std::time::Duration;

use limpet_decide::{
    grant::{
        Coordinator,
        GroupRules,
        RateLimit,
        split_limit, //
    },
    lease::Lease,
    tokens::{
        PrefetchPolicy,
        TokenPool, //
    },
};
use limpet_types::{
    GroupId, NodeId,
    hash::LEASE_GROUP_COUNT,
    message::{
        GrantReply,
        GrantRequest, //
    },
};
use rand::{
    Rng,
    SeedableRng, //
};
use rand_chacha::ChaCha8Rng;

const ENTRIES: usize = 8;
const TEAMS: [(&str, f64, u32); 8] = [
    ("t0", 400.0, 120),
    ("t1", 200.0, 60),
    ("t2", 100.0, 40),
    ("t3", 50.0, 20),
    ("t4", 50.0, 20),
    ("t5", 20.0, 10),
    ("t6", 20.0, 10),
    ("t7", 10.0, 8),
];
/// Part of its rate that a team sends.
const LOAD: f64 = 0.8;
const LENGTH_MS: u64 = 120_000;
/// Longest wait of a request for a token.
const WAIT_MS: u64 = 50;
const ONE_WAY_MS: u64 = 2;
const TOKEN_INTERVAL_MS: u64 = 100;
const SHORT_INTERVAL_MS: u64 = 20;
/// Time without a coordinator after one was killed.
const GAP_MS: u64 = 2500;
const START_MS: u64 = 10_000;

#[derive(Clone, Copy, PartialEq)]
enum Scenario {
    Steady,
    Kills,
    FiveTimes,
    Moving,
}

struct Entry {
    id: NodeId,
    shares: TokenPool,
    sequence: [u64; LEASE_GROUP_COUNT as usize],
    term: [Option<u64>; LEASE_GROUP_COUNT as usize],
    asked_ms: [u64; LEASE_GROUP_COUNT as usize],
    replies: Vec<(u64, u64, GrantReply)>,
    busy: [bool; LEASE_GROUP_COUNT as usize],
    waiting: Vec<(usize, u64)>,
    back_ms: u64,
}

#[derive(Default, Clone, Copy)]
struct Tally {
    within: u64,
    beyond: u64,
    refused: u64,
    served: u64,
}

/// The ideal limiter of the whole fleet decides which requests are within the rate.
struct Oracle {
    level: f64,
    at_ms: u64,
}

impl Oracle {
    fn admits(&mut self, rate: f64, burst: u32, now_ms: u64) -> bool {
        let elapsed = (now_ms - self.at_ms) as f64 / 1000.0;
        self.level = (self.level + rate * elapsed).min(f64::from(burst));
        self.at_ms = now_ms;
        let admits = self.level >= 1.0;
        self.level -= f64::from(u8::from(admits));
        admits
    }
}

fn at(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn node(number: usize, incarnation: u64) -> NodeId {
    NodeId::new(([10, 0, 0, number as u8], 7101).into(), incarnation)
}

fn new_entry(number: usize, incarnation: u64, policy: PrefetchPolicy, back_ms: u64) -> Entry {
    let mut shares = TokenPool::new().with_policy(policy);
    shares.set_teams(TEAMS.iter().map(|team| team.0));
    Entry {
        id: node(number, incarnation),
        shares,
        sequence: [0; LEASE_GROUP_COUNT as usize],
        term: [None; LEASE_GROUP_COUNT as usize],
        asked_ms: [0; LEASE_GROUP_COUNT as usize],
        replies: Vec::new(),
        busy: [false; LEASE_GROUP_COUNT as usize],
        waiting: Vec::new(),
        back_ms,
    }
}

fn limit_of(team: &str) -> RateLimit {
    let (_, rate_per_s, burst) = TEAMS.iter().find(|t| t.0 == team).unwrap();
    RateLimit {
        rate_per_s: *rate_per_s,
        burst: *burst,
    }
}

fn coordinator(group: GroupId, now_ms: u64, term: u64) -> Coordinator {
    let lease = Lease {
        term,
        elected_at: at(now_ms),
        until: at(u64::MAX / 1_000_000),
    };
    Coordinator::new(node(100, term), group, lease)
}

fn run(scenario: Scenario, policy: PrefetchPolicy, seed: u64) -> ([Tally; 8], u64) {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut tallies = [Tally::default(); 8];
    let mut messages = 0;
    let mut oracles: Vec<Oracle> = TEAMS
        .iter()
        .map(|team| Oracle {
            level: f64::from(team.2),
            at_ms: START_MS,
        })
        .collect();
    let rules: Vec<GroupRules> = (0..LEASE_GROUP_COUNT)
        .map(|group| GroupRules {
            limits: TEAMS
                .iter()
                .map(|t| (t.0.into(), split_limit(t.0, limit_of(t.0), group)))
                .collect(),
            ..GroupRules::default()
        })
        .collect();
    let mut coordinators: Vec<(u64, Coordinator)> = (0..LEASE_GROUP_COUNT)
        .map(|group| (0, coordinator(group, START_MS, u64::from(group))))
        .collect();
    let mut entries: Vec<Entry> = (0..ENTRIES).map(|i| new_entry(i, 0, policy, 0)).collect();
    // The buckets fill before the measurement starts.
    let first_ms = START_MS + 5_000;
    for now_ms in START_MS..START_MS + LENGTH_MS {
        if scenario == Scenario::Kills && now_ms % 10_000 == 0 {
            // One VM at a time is killed and replaced: its entry, and its relay, which coordinates
            // one group.
            let turn = now_ms / 10_000;
            let killed = (turn % ENTRIES as u64) as usize;
            entries[killed] = new_entry(killed, turn, policy, now_ms + 3_000);
            let group = (turn % u64::from(LEASE_GROUP_COUNT)) as usize;
            let back = now_ms + GAP_MS;
            coordinators[group] = (back, coordinator(group as GroupId, back, turn * 1000));
        }
        for (team, (_, rate, burst)) in TEAMS.iter().enumerate() {
            for mut place in arrivals(scenario, team, *rate, now_ms, &mut rng) {
                while entries[place].back_ms > now_ms {
                    place = (place + 1) % ENTRIES;
                }
                let is_within = oracles[team].admits(*rate, *burst, now_ms);
                if now_ms >= first_ms {
                    tallies[team].within += u64::from(is_within);
                    tallies[team].beyond += u64::from(!is_within);
                }
                if entries[place].shares.try_acquire(TEAMS[team].0, at(now_ms)) {
                    tallies[team].served += u64::from(now_ms >= first_ms);
                } else {
                    entries[place].waiting.push((team, now_ms + WAIT_MS));
                }
            }
        }
        for entry in entries.iter_mut().filter(|e| e.back_ms <= now_ms) {
            let mut is_refilled = false;
            let due = entry
                .replies
                .extract_if(.., |(due_ms, _, _)| *due_ms <= now_ms);
            for (_, sent_ms, reply) in due {
                let group = usize::from(reply.group);
                entry.busy[group] = false;
                entry.term[group] = Some(reply.term);
                is_refilled |= entry.shares.apply(&reply, at(sent_ms), at(now_ms));
            }
            if is_refilled {
                let shares = &mut entry.shares;
                entry.waiting.retain(|(team, _)| {
                    let is_served = shares.try_acquire(TEAMS[*team].0, at(now_ms));
                    tallies[*team].served += u64::from(is_served && now_ms >= first_ms);
                    !is_served
                });
            }
            entry.waiting.retain(|(team, until_ms)| {
                let is_over = now_ms >= *until_ms;
                tallies[*team].refused += u64::from(is_over && now_ms >= first_ms);
                !is_over
            });
            for group in 0..LEASE_GROUP_COUNT {
                let place = usize::from(group);
                let since = now_ms - entry.asked_ms[place];
                let is_short =
                    entry.shares.has_urgent_demand(group, at(now_ms)) && since >= SHORT_INTERVAL_MS;
                let (up_ms, coordinator) = &mut coordinators[place];
                let is_up = *up_ms <= now_ms;
                let is_due = since >= TOKEN_INTERVAL_MS || is_short;
                if entry.busy[place] || !is_due || !is_up {
                    continue;
                }
                entry.asked_ms[place] = now_ms;
                entry.sequence[place] += 1;
                let term = entry.term[place];
                let tokens = entry
                    .shares
                    .build_demands(group, term, limit_of, at(now_ms));
                let request = GrantRequest {
                    group,
                    holder: entry.id,
                    sequence: entry.sequence[place],
                    tokens,
                    term,
                    wanted: Vec::new(),
                    claimed: Vec::new(),
                    released: Vec::new(),
                    directory_version: 0,
                };
                messages += 1;
                let reply = coordinator.handle(&request, &rules[place], false, at(now_ms));
                entry.busy[place] = true;
                entry.replies.push((now_ms + 2 * ONE_WAY_MS, now_ms, reply));
            }
        }
    }
    (tallies, messages)
}

/// Each VM gets the rate divided by the number of VMs in its own list.
fn baseline(scenario: Scenario, lists: &[usize], seed: u64) -> ([Tally; 8], f64) {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut tallies = [Tally::default(); 8];
    let oracle = |level: f64| Oracle {
        level,
        at_ms: START_MS,
    };
    let whole = TEAMS.iter().map(|t| oracle(f64::from(t.2)));
    let mut oracles: Vec<Oracle> = whole.collect();
    let mut parts: Vec<Vec<Oracle>> = (0..ENTRIES)
        .map(|_| TEAMS.iter().map(|_| oracle(0.0)).collect())
        .collect();
    let mut offered_max = 0.0f64;
    for now_ms in START_MS..START_MS + LENGTH_MS {
        let down = (now_ms / 10_000) as usize % ENTRIES;
        let is_down = scenario == Scenario::Kills && now_ms % 10_000 < 3_000;
        for (team, (_, rate, burst)) in TEAMS.iter().enumerate() {
            for mut place in arrivals(scenario, team, *rate, now_ms, &mut rng) {
                if is_down && place == down {
                    place = (place + 1) % ENTRIES;
                }
                let is_within = oracles[team].admits(*rate, *burst, now_ms);
                let listed = lists[place];
                let (part_rate, part_burst) = (rate / listed as f64, burst / listed as u32);
                let is_served = parts[place][team].admits(part_rate, part_burst.max(1), now_ms);
                if now_ms >= START_MS + 5_000 {
                    tallies[team].within += u64::from(is_within);
                    tallies[team].served += u64::from(is_served);
                    tallies[team].refused += u64::from(!is_served);
                }
            }
        }
    }
    for listed in lists {
        offered_max += 1.0 / *listed as f64;
    }
    (tallies, offered_max)
}

/// Draws the requests of a team in one millisecond; each is the entry that the load balancer chose.
fn arrivals(
    scenario: Scenario,
    team: usize,
    rate_per_s: f64,
    now_ms: u64,
    rng: &mut ChaCha8Rng,
) -> Vec<usize> {
    let favourite = (now_ms / 2_000) as usize % ENTRIES;
    let factor = if scenario == Scenario::FiveTimes && team == 1 {
        5.0
    } else {
        LOAD
    };
    let mut expected = rate_per_s * factor / 1000.0;
    let mut places = Vec::new();
    while expected > 0.0 && rng.random_bool(expected.min(1.0)) {
        expected -= 1.0;
        let is_moved = scenario == Scenario::Moving && rng.random_bool(0.9);
        places.push(if is_moved {
            favourite
        } else {
            rng.random_range(0..ENTRIES)
        });
    }
    places
}

/// Returns the requests within the rate that were not served, of all teams and of the worst one.
fn shortfall(tallies: &[Tally; 8], but: Option<usize>) -> (f64, f64) {
    let kept = tallies
        .iter()
        .enumerate()
        .filter(|(team, _)| Some(*team) != but);
    let kept: Vec<&Tally> = kept.map(|(_, tally)| tally).collect();
    let missing = |t: &&Tally| t.within.saturating_sub(t.served) as f64;
    let within: u64 = kept.iter().map(|t| t.within).sum();
    let all = kept.iter().map(missing).sum::<f64>() / within as f64;
    let worst = kept
        .iter()
        .map(|t| missing(t) / t.within as f64)
        .fold(0.0, f64::max);
    (100.0 * all, 100.0 * worst)
}

fn main() {
    let seed = std::env::args()
        .nth(1)
        .and_then(|s| s.parse().ok())
        .unwrap_or(1);
    let scenarios = [
        ("steady", Scenario::Steady),
        ("kills", Scenario::Kills),
        ("five-times", Scenario::FiveTimes),
        ("moving", Scenario::Moving),
    ];
    println!(
        "policy horizon_ms burst_percent stage_ms scenario missing% worst_team% messages/s missing%_by_team ideal_refused%_by_team"
    );
    for (horizon_ms, burst_percent, stage_ms) in [(0, 0, 8), (100, 10, 8), (200, 10, 8)] {
        let policy = PrefetchPolicy {
            horizon: at(horizon_ms),
            burst_percent,
            stagger: at(stage_ms),
        };
        for (name, scenario) in scenarios {
            let (tallies, messages) = run(scenario, policy, seed);
            let but = (scenario == Scenario::FiveTimes).then_some(1);
            let (all, worst) = shortfall(&tallies, but);
            let per_s = messages * 1000 / LENGTH_MS;
            let teams: Vec<String> = tallies
                .iter()
                .map(|t| {
                    format!(
                        "{:.2}",
                        100.0 * t.within.saturating_sub(t.served) as f64 / t.within as f64
                    )
                })
                .collect();
            let beyond: Vec<String> = tallies
                .iter()
                .map(|t| {
                    format!(
                        "{:.2}",
                        100.0 * t.beyond as f64 / (t.within + t.beyond) as f64
                    )
                })
                .collect();
            println!(
                "moved {horizon_ms:5} {burst_percent:4} {stage_ms:3} {name:10} {all:8.3} \
                 {worst:8.3} {per_s:5} {} ideal {}",
                teams.join(" "),
                beyond.join(" ")
            );
        }
    }
    for (name, scenario) in scenarios {
        let (tallies, _) = baseline(scenario, &[ENTRIES; ENTRIES], seed);
        let but = (scenario == Scenario::FiveTimes).then_some(1);
        let (all, worst) = shortfall(&tallies, but);
        println!("divided {name:10} {all:8.3} {worst:8.3}");
    }
    let (tallies, offered) = baseline(Scenario::FiveTimes, &[7, 7, 7, 8, 8, 4, 4, 4], seed);
    let seconds = (LENGTH_MS - 5_000) as f64 / 1000.0;
    let served = tallies[1].served as f64 / seconds / TEAMS[1].1;
    println!("divided, lists disagree: {offered:.2} of the rate offered, {served:.2} served");
}
