//! Measures the CPU time of a coordinator per grant request and the size of the messages.
//!
//! Run: `cargo run --release -p limpet-decide --example grant_cost`

use std::{
    hint::black_box,
    time::{
        Duration,
        Instant, //
    },
};

use limpet_decide::{
    grant::{
        Coordinator,
        GroupRules,
        OWNERSHIP_TTL,
        RateLimit,
        group_limit, //
    },
    lease::Lease,
};
use limpet_types::{
    NodeId, TargetAddr, codec,
    hash::lease_group_of_target,
    message::{
        GrantReply,
        GrantRequest,
        TokenDemand,
        TokenUsage, //
    },
};

const TEAM_COUNT: usize = 8;
/// Number of targets per relay over all lease groups; corresponds to 44,000 targets on 6,400 VMs.
const TARGETS_PER_RELAY: usize = 7;
/// Number of rounds in which each holder sends one request; relays and entries are measured one after
/// the other.
const ROUND_COUNT: u64 = 20;

fn node(number: usize) -> NodeId {
    let addr = ([10, 0, (number >> 8) as u8, number as u8], 7101).into();
    NodeId::new(addr, number as u64 * 0x9e37_79b9_7f4a_7c15)
}

fn team(number: usize) -> Box<str> {
    format!("team-{number}").into()
}

fn grant_request(holder_index: usize, sequence: u64, directory_version: u64) -> GrantRequest {
    let report = |sequence| TokenUsage {
        sequence,
        spent: 3,
        returned: 0,
    };
    let demand = |number| TokenDemand {
        team: team(number),
        wanted: 4,
        reports: (sequence.saturating_sub(9)..sequence).map(report).collect(),
    };
    GrantRequest {
        group: 0,
        holder: node(holder_index),
        sequence,
        tokens: (0..TEAM_COUNT).map(demand).collect(),
        term: Some(7),
        wanted: Vec::new(),
        claimed: Vec::new(),
        released: Vec::new(),
        directory_version,
    }
}

fn size_bytes(reply: &GrantReply) -> usize {
    codec::encode(reply).map_or(0, |bytes| bytes.len())
}

fn main() {
    println!("holders entry_us entry_request_B entry_reply_B relay_us relay_request_B directory_B");
    for holder_count in [8, 16, 32, 64, 640, 6400] {
        let targets: Vec<TargetAddr> = (0..holder_count * TARGETS_PER_RELAY)
            .map(|n| TargetAddr::from(([10, 1, (n >> 8) as u8, n as u8], 9000)))
            .filter(|target| lease_group_of_target(*target) == 0)
            .collect();
        let team_limit = RateLimit {
            rate_per_s: holder_count as f64 * 400.0,
            burst: holder_count as u32 * 100,
        };
        let limits = (0..TEAM_COUNT).map(|n| (team(n), group_limit(&team(n), team_limit, 0)));
        let rules = GroupRules {
            limits: limits.collect(),
            preferred: (targets.iter().enumerate())
                .map(|(index, target)| (*target, node(index % holder_count)))
                .collect(),
        };
        let elected_at = Duration::from_secs(10);
        let lease = Lease {
            term: 7,
            elected_at,
            expires_at: Duration::from_secs(1 << 20),
        };
        let mut coordinator = Coordinator::new(node(0), 0, lease);
        let mut now = elected_at + OWNERSHIP_TTL;
        let mut relay_time = Duration::ZERO;
        let (mut relay_request_bytes, mut directory_version, mut directory_bytes) = (0, 0, 0);
        for sequence in 1..=ROUND_COUNT {
            now += Duration::from_millis(500);
            for holder_index in 0..holder_count {
                let owned = targets
                    .iter()
                    .skip(holder_index)
                    .step_by(holder_count)
                    .copied()
                    .collect();
                let mut request = grant_request(holder_index, sequence, directory_version);
                request.tokens.clear();
                match sequence {
                    1 => request.wanted = owned,
                    _ => request.claimed = owned,
                }
                relay_request_bytes = codec::encode(&request).map_or(0, |bytes| bytes.len());
                let started_at = Instant::now();
                let reply = black_box(coordinator.handle(&request, &rules, false, now));
                if sequence > 1 {
                    relay_time += started_at.elapsed();
                }
                if sequence == ROUND_COUNT && holder_index == 0 {
                    request.sequence += 1;
                    request.directory_version = directory_version.wrapping_add(1);
                    directory_bytes = size_bytes(&coordinator.handle(&request, &rules, false, now));
                }
                directory_version = reply.directory_version;
            }
        }
        let mut entry_time = Duration::ZERO;
        let (mut entry_request_bytes, mut entry_reply_bytes) = (0, 0);
        for sequence in ROUND_COUNT + 10..2 * ROUND_COUNT + 10 {
            now += Duration::from_millis(100);
            for holder_index in 0..holder_count {
                let request = grant_request(holder_index, sequence, directory_version);
                entry_request_bytes = codec::encode(&request).map_or(0, |bytes| bytes.len());
                let started_at = Instant::now();
                let reply = black_box(coordinator.handle(&request, &rules, false, now));
                entry_time += started_at.elapsed();
                directory_version = reply.directory_version;
                entry_reply_bytes = size_bytes(&reply);
            }
        }
        let us_per_request = |time: Duration, round_count: u64| {
            time.as_secs_f64() * 1e6 / (round_count * holder_count as u64) as f64
        };
        println!(
            "{holder_count} {:.2} {entry_request_bytes} {entry_reply_bytes} {:.2} {relay_request_bytes} \
             {directory_bytes}",
            us_per_request(entry_time, ROUND_COUNT),
            us_per_request(relay_time, ROUND_COUNT - 1),
        );
    }
}
