//! Measures which requests within the rate limit are refused, under several prefetch policies and,
//! for comparison, with a limit that is divided evenly among the VMs.
//!
//! Run: `cargo run --release -p limpet-decide --example rate -- [SEED]`

use std::time::Duration;

use limpet_decide::{
    grant::{
        Coordinator,
        GroupRules,
        RateLimit,
        group_limit, //
    },
    lease::Lease,
    tokens::{
        PrefetchPolicy,
        TokenPool, //
    },
};
use limpet_types::{
    LeaseGroupId, NodeId,
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

const ENTRY_COUNT: usize = 8;
/// Name, rate per second and burst of each team.
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
/// Request rate of a team, as a fraction of its rate limit.
const LOAD_FACTOR: f64 = 0.8;
/// Length of a simulation in simulated time.
const DURATION_MS: u64 = 120_000;
/// Longest time that a request waits for a token.
const TOKEN_WAIT_MS: u64 = 50;
/// Delay of a message in one direction.
const NETWORK_DELAY_MS: u64 = 2;
/// Interval between two regular requests of an entry to one lease group.
const TOKEN_INTERVAL_MS: u64 = 100;
/// Shortest interval between two requests to one lease group while a caller's request waits for a token.
const URGENT_INTERVAL_MS: u64 = 20;
/// Time from the kill of a coordinator until its lease group has a new coordinator.
const FAILOVER_TIME_MS: u64 = 2500;
/// Simulated time since boot at which a simulation starts.
const START_MS: u64 = 10_000;

#[derive(Clone, Copy, PartialEq)]
enum Scenario {
    Steady,
    /// One VM at a time is killed, every 10 s.
    ProcessKills,
    /// The team with the index 1 sends five times its rate limit.
    Overload,
    /// Most requests go to one entry, which changes every 2 s.
    ShiftingTraffic,
}

struct Entry {
    id: NodeId,
    pool: TokenPool,
    sequence: [u64; LEASE_GROUP_COUNT as usize],
    term: [Option<u64>; LEASE_GROUP_COUNT as usize],
    requested_at_ms: [u64; LEASE_GROUP_COUNT as usize],
    /// Replies on their way, with their times of arrival and the times of their requests.
    replies: Vec<(u64, u64, GrantReply)>,
    is_request_in_flight: [bool; LEASE_GROUP_COUNT as usize],
    /// Index of the team and end of the wait in ms, for each waiting request.
    waiting: Vec<(usize, u64)>,
    starts_at_ms: u64,
}

/// Numbers of a team's requests.
#[derive(Default, Clone, Copy)]
struct Counts {
    within_limit: u64,
    over_limit: u64,
    refused: u64,
    served: u64,
}

/// Token bucket without delays. One per team, for the whole fleet, decides which requests are within the
/// limit; with fixed shares, each VM also has one per team for its part of the limit.
struct IdealLimiter {
    level: f64,
    refilled_at_ms: u64,
}

impl IdealLimiter {
    fn admits(&mut self, rate: f64, burst: u32, now_ms: u64) -> bool {
        let elapsed = (now_ms - self.refilled_at_ms) as f64 / 1000.0;
        self.level = (self.level + rate * elapsed).min(f64::from(burst));
        self.refilled_at_ms = now_ms;
        let is_admitted = self.level >= 1.0;
        self.level -= f64::from(u8::from(is_admitted));
        is_admitted
    }
}

fn at(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn node(number: usize, incarnation: u64) -> NodeId {
    NodeId::new(([10, 0, 0, number as u8], 7101).into(), incarnation)
}

fn new_entry(number: usize, incarnation: u64, policy: PrefetchPolicy, starts_at_ms: u64) -> Entry {
    let mut pool = TokenPool::new().with_policy(policy);
    pool.set_teams(TEAMS.iter().map(|team| team.0));
    Entry {
        id: node(number, incarnation),
        pool,
        sequence: [0; LEASE_GROUP_COUNT as usize],
        term: [None; LEASE_GROUP_COUNT as usize],
        requested_at_ms: [0; LEASE_GROUP_COUNT as usize],
        replies: Vec::new(),
        is_request_in_flight: [false; LEASE_GROUP_COUNT as usize],
        waiting: Vec::new(),
        starts_at_ms,
    }
}

fn limit_of(team: &str) -> RateLimit {
    let (_, rate_per_s, burst) = TEAMS.iter().find(|t| t.0 == team).unwrap();
    RateLimit {
        rate_per_s: *rate_per_s,
        burst: *burst,
    }
}

fn coordinator(group: LeaseGroupId, now_ms: u64, term: u64) -> Coordinator {
    let lease = Lease {
        term,
        elected_at: at(now_ms),
        expires_at: at(u64::MAX / 1_000_000),
    };
    Coordinator::new(node(100, term), group, lease)
}

/// Simulates the entries and coordinators; returns the counts of each team and the number of grant
/// requests.
fn simulate(scenario: Scenario, policy: PrefetchPolicy, seed: u64) -> ([Counts; 8], u64) {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut counts = [Counts::default(); 8];
    let mut message_count = 0;
    let mut ideal_limiters: Vec<IdealLimiter> = TEAMS
        .iter()
        .map(|team| IdealLimiter {
            level: f64::from(team.2),
            refilled_at_ms: START_MS,
        })
        .collect();
    let rules: Vec<GroupRules> = (0..LEASE_GROUP_COUNT)
        .map(|group| GroupRules {
            limits: TEAMS
                .iter()
                .map(|t| (t.0.into(), group_limit(t.0, limit_of(t.0), group)))
                .collect(),
            ..GroupRules::default()
        })
        .collect();
    let mut coordinators: Vec<(u64, Coordinator)> = (0..LEASE_GROUP_COUNT)
        .map(|group| (0, coordinator(group, START_MS, u64::from(group))))
        .collect();
    let mut entries: Vec<Entry> = (0..ENTRY_COUNT)
        .map(|i| new_entry(i, 0, policy, 0))
        .collect();
    // The buckets fill before the measurement starts.
    let measured_from_ms = START_MS + 5_000;
    for now_ms in START_MS..START_MS + DURATION_MS {
        if scenario == Scenario::ProcessKills && now_ms % 10_000 == 0 {
            // One VM at a time is killed and replaced, with its entry and its relay, which
            // coordinates one group.
            let interval_index = now_ms / 10_000;
            let killed_index = (interval_index % ENTRY_COUNT as u64) as usize;
            entries[killed_index] = new_entry(killed_index, interval_index, policy, now_ms + 3_000);
            let group = (interval_index % u64::from(LEASE_GROUP_COUNT)) as usize;
            let elected_at = now_ms + FAILOVER_TIME_MS;
            coordinators[group] = (
                elected_at,
                coordinator(group as LeaseGroupId, elected_at, interval_index * 1000),
            );
        }
        for (team_index, (_, rate, burst)) in TEAMS.iter().enumerate() {
            for mut index in arrivals(scenario, team_index, *rate, now_ms, &mut rng) {
                while entries[index].starts_at_ms > now_ms {
                    index = (index + 1) % ENTRY_COUNT;
                }
                let is_within = ideal_limiters[team_index].admits(*rate, *burst, now_ms);
                if now_ms >= measured_from_ms {
                    counts[team_index].within_limit += u64::from(is_within);
                    counts[team_index].over_limit += u64::from(!is_within);
                }
                if entries[index]
                    .pool
                    .try_acquire(TEAMS[team_index].0, at(now_ms))
                {
                    counts[team_index].served += u64::from(now_ms >= measured_from_ms);
                } else {
                    entries[index]
                        .waiting
                        .push((team_index, now_ms + TOKEN_WAIT_MS));
                }
            }
        }
        for entry in entries.iter_mut().filter(|e| e.starts_at_ms <= now_ms) {
            let mut is_refilled = false;
            let due = entry
                .replies
                .extract_if(.., |(due_ms, _, _)| *due_ms <= now_ms);
            for (_, sent_ms, reply) in due {
                let group = usize::from(reply.group);
                entry.is_request_in_flight[group] = false;
                entry.term[group] = Some(reply.term);
                is_refilled |= entry.pool.apply(&reply, at(sent_ms), at(now_ms));
            }
            if is_refilled {
                let pool = &mut entry.pool;
                entry.waiting.retain(|(team_index, _)| {
                    let is_served = pool.try_acquire(TEAMS[*team_index].0, at(now_ms));
                    counts[*team_index].served +=
                        u64::from(is_served && now_ms >= measured_from_ms);
                    !is_served
                });
            }
            entry.waiting.retain(|(team_index, until_ms)| {
                let is_over = now_ms >= *until_ms;
                counts[*team_index].refused += u64::from(is_over && now_ms >= measured_from_ms);
                !is_over
            });
            for group in 0..LEASE_GROUP_COUNT {
                let index = usize::from(group);
                let since_request_ms = now_ms - entry.requested_at_ms[index];
                let is_urgent = entry.pool.has_urgent_demand(group, at(now_ms))
                    && since_request_ms >= URGENT_INTERVAL_MS;
                let (elected_at_ms, coordinator) = &mut coordinators[index];
                let is_up = *elected_at_ms <= now_ms;
                let is_due = since_request_ms >= TOKEN_INTERVAL_MS || is_urgent;
                if entry.is_request_in_flight[index] || !is_due || !is_up {
                    continue;
                }
                entry.requested_at_ms[index] = now_ms;
                entry.sequence[index] += 1;
                let term = entry.term[index];
                let tokens = entry.pool.build_demands(group, term, limit_of, at(now_ms));
                let request = GrantRequest {
                    group,
                    holder: entry.id,
                    sequence: entry.sequence[index],
                    tokens,
                    term,
                    wanted: Vec::new(),
                    claimed: Vec::new(),
                    released: Vec::new(),
                    directory_version: 0,
                };
                message_count += 1;
                let reply = coordinator.handle(&request, &rules[index], false, at(now_ms));
                entry.is_request_in_flight[index] = true;
                entry
                    .replies
                    .push((now_ms + 2 * NETWORK_DELAY_MS, now_ms, reply));
            }
        }
    }
    (counts, message_count)
}

/// Simulates VMs that each apply the limit divided by the number of VMs in their own list; returns the
/// counts of each team and the share of the rate limit that all VMs together offer.
fn simulate_fixed_shares(
    scenario: Scenario,
    vms_per_list: &[usize],
    seed: u64,
) -> ([Counts; 8], f64) {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut counts = [Counts::default(); 8];
    let limiter = |level: f64| IdealLimiter {
        level,
        refilled_at_ms: START_MS,
    };
    let team_limiters = TEAMS.iter().map(|t| limiter(f64::from(t.2)));
    let mut ideal_limiters: Vec<IdealLimiter> = team_limiters.collect();
    let mut vm_limiters: Vec<Vec<IdealLimiter>> = (0..ENTRY_COUNT)
        .map(|_| TEAMS.iter().map(|_| limiter(0.0)).collect())
        .collect();
    let mut offered_rate_share = 0.0f64;
    for now_ms in START_MS..START_MS + DURATION_MS {
        let killed_index = (now_ms / 10_000) as usize % ENTRY_COUNT;
        let is_killed = scenario == Scenario::ProcessKills && now_ms % 10_000 < 3_000;
        for (team_index, (_, rate, burst)) in TEAMS.iter().enumerate() {
            for mut index in arrivals(scenario, team_index, *rate, now_ms, &mut rng) {
                if is_killed && index == killed_index {
                    index = (index + 1) % ENTRY_COUNT;
                }
                let is_within = ideal_limiters[team_index].admits(*rate, *burst, now_ms);
                let listed_vm_count = vms_per_list[index];
                let (part_rate, part_burst) = (
                    rate / listed_vm_count as f64,
                    burst / listed_vm_count as u32,
                );
                let is_served =
                    vm_limiters[index][team_index].admits(part_rate, part_burst.max(1), now_ms);
                if now_ms >= START_MS + 5_000 {
                    counts[team_index].within_limit += u64::from(is_within);
                    counts[team_index].served += u64::from(is_served);
                    counts[team_index].refused += u64::from(!is_served);
                }
            }
        }
    }
    for listed_vm_count in vms_per_list {
        offered_rate_share += 1.0 / *listed_vm_count as f64;
    }
    (counts, offered_rate_share)
}

/// Draws the requests of a team in one millisecond; returns the entry that receives each of them.
fn arrivals(
    scenario: Scenario,
    team_index: usize,
    rate_per_s: f64,
    now_ms: u64,
    rng: &mut ChaCha8Rng,
) -> Vec<usize> {
    let busiest_entry = (now_ms / 2_000) as usize % ENTRY_COUNT;
    let factor = if scenario == Scenario::Overload && team_index == 1 {
        5.0
    } else {
        LOAD_FACTOR
    };
    let mut expected = rate_per_s * factor / 1000.0;
    let mut indices = Vec::new();
    while expected > 0.0 && rng.random_bool(expected.min(1.0)) {
        expected -= 1.0;
        let is_to_busiest = scenario == Scenario::ShiftingTraffic && rng.random_bool(0.9);
        indices.push(if is_to_busiest {
            busiest_entry
        } else {
            rng.random_range(0..ENTRY_COUNT)
        });
    }
    indices
}

/// Returns by how many percent fewer requests were served than were within the limit: of all teams together,
/// and of the team with the highest percentage. A team that was served more than that counts as 0%. The team
/// with the index `excluded_team_index` does not count.
fn shortfall(counts: &[Counts; 8], excluded_team_index: Option<usize>) -> (f64, f64) {
    let counted = counts
        .iter()
        .enumerate()
        .filter(|(team_index, _)| Some(*team_index) != excluded_team_index);
    let counted: Vec<&Counts> = counted.map(|(_, counts)| counts).collect();
    let unserved = |t: &&Counts| t.within_limit.saturating_sub(t.served) as f64;
    let within_limit: u64 = counted.iter().map(|t| t.within_limit).sum();
    let unserved_share = counted.iter().map(unserved).sum::<f64>() / within_limit as f64;
    let worst_team_unserved_share = counted
        .iter()
        .map(|t| unserved(t) / t.within_limit as f64)
        .fold(0.0, f64::max);
    (100.0 * unserved_share, 100.0 * worst_team_unserved_share)
}

fn main() {
    let seed = std::env::args()
        .nth(1)
        .and_then(|s| s.parse().ok())
        .unwrap_or(1);
    let scenarios = [
        ("steady", Scenario::Steady),
        ("kills", Scenario::ProcessKills),
        ("five-times", Scenario::Overload),
        ("moving", Scenario::ShiftingTraffic),
    ];
    println!(
        "policy horizon_ms burst_percent stage_ms scenario missing% worst_team% messages/s missing%_by_team ideal_refused%_by_team"
    );
    for (horizon_ms, burst_percent, stagger_ms) in [(0, 0, 8), (100, 10, 8), (200, 10, 8)] {
        let policy = PrefetchPolicy {
            horizon: at(horizon_ms),
            burst_percent,
            stagger: at(stagger_ms),
        };
        for (name, scenario) in scenarios {
            let (counts, message_count) = simulate(scenario, policy, seed);
            let excluded_team_index = (scenario == Scenario::Overload).then_some(1);
            let (unserved_percent, worst_team_unserved_percent) =
                shortfall(&counts, excluded_team_index);
            let messages_per_s = message_count * 1000 / DURATION_MS;
            let unserved_by_team: Vec<String> = counts
                .iter()
                .map(|t| {
                    format!(
                        "{:.2}",
                        100.0 * t.within_limit.saturating_sub(t.served) as f64
                            / t.within_limit as f64
                    )
                })
                .collect();
            let over_limit_by_team: Vec<String> = counts
                .iter()
                .map(|t| {
                    format!(
                        "{:.2}",
                        100.0 * t.over_limit as f64 / (t.within_limit + t.over_limit) as f64
                    )
                })
                .collect();
            println!(
                "moved {horizon_ms:5} {burst_percent:4} {stagger_ms:3} {name:10} \
                 {unserved_percent:8.3} {worst_team_unserved_percent:8.3} {messages_per_s:5} {} ideal {}",
                unserved_by_team.join(" "),
                over_limit_by_team.join(" ")
            );
        }
    }
    for (name, scenario) in scenarios {
        let (counts, _) = simulate_fixed_shares(scenario, &[ENTRY_COUNT; ENTRY_COUNT], seed);
        let excluded_team_index = (scenario == Scenario::Overload).then_some(1);
        let (unserved_percent, worst_team_unserved_percent) =
            shortfall(&counts, excluded_team_index);
        println!("divided {name:10} {unserved_percent:8.3} {worst_team_unserved_percent:8.3}");
    }
    let (counts, offered_rate_share) =
        simulate_fixed_shares(Scenario::Overload, &[7, 7, 7, 8, 8, 4, 4, 4], seed);
    let measured_s = (DURATION_MS - 5_000) as f64 / 1000.0;
    let served_rate_share = counts[1].served as f64 / measured_s / TEAMS[1].1;
    println!(
        "divided, lists disagree: {offered_rate_share:.2} of the rate offered, {served_rate_share:.2} served"
    );
}
