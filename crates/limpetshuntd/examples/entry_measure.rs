//! Measures the planning, the hedging and the fair queue of an entry, with fake relays on loopback.

#[path = "../tests/support/mod.rs"]
mod support;

use std::{
    sync::{
        Arc, Mutex,
        atomic::{
            AtomicU64,
            Ordering, //
        },
    },
    time::{
        Duration,
        Instant, //
    },
};

use limpet_decide::{
    fair::QueueLimits,
    plan::{
        ShardCandidates,
        plan_attempts, //
    },
    replica::{
        ReplicaCandidate,
        TargetStatsTable, //
    },
};
use limpetshuntd::entry::EntryLimits;
use rand::{
    Rng,
    SeedableRng, //
};
use rand_chacha::ChaCha8Rng;
use support::{
    API_KEY_A,
    API_KEY_B,
    EntryFixture,
    answering_reply,
    attempt_handler,
    target_addr,
    test_config, //
};

/// Seed of the random numbers that make attempts slow and choose replicas.
const SEED: u64 = 7;
/// Queries of each variant, with and without hedging, at 30 shards; the first tenth is not counted.
const QUERY_COUNT: usize = 500;

/// Prints the time to plan one query over 310 shards.
fn measure_planning() {
    let mut target_stats = TargetStatsTable::new();
    let candidate = |shard, replica| ReplicaCandidate {
        addr: target_addr(shard, replica),
        unusable_reason: None,
    };
    let shards: Vec<ShardCandidates> = (0..310)
        .map(|shard| ShardCandidates {
            candidates: (0..3).map(|replica| candidate(shard, replica)).collect(),
        })
        .collect();
    for shard in &shards {
        for candidate in &shard.candidates {
            let stats = target_stats.get_or_insert(candidate.addr);
            stats.smoothed_latency = Duration::from_millis(5);
            stats.reported_versions = vec![1, 2];
        }
    }
    let mut rng = ChaCha8Rng::seed_from_u64(SEED);
    let round_count = 2000;
    let started_at = Instant::now();
    for _ in 0..round_count {
        let planned = plan_attempts(&target_stats, &shards, true, Duration::from_secs(1), || {
            rng.random()
        });
        assert_eq!(std::hint::black_box(planned).1.len(), 310);
    }
    let us_per_plan = started_at.elapsed().as_secs_f64() * 1e6 / f64::from(round_count);
    println!("planning 310 shards with 3 replicas: {us_per_plan:.1} us");
}

/// Starts an entry whose relays take 20 ms for an attempt, and 200 ms for one in a hundred.
async fn start_straggling_fixture(
    shard_count: usize,
    is_hedged: bool,
    attempt_count: &Arc<AtomicU64>,
) -> EntryFixture {
    let rng = Arc::new(Mutex::new(ChaCha8Rng::seed_from_u64(SEED)));
    let new_handler = || {
        let (rng, attempt_count) = (Arc::clone(&rng), Arc::clone(attempt_count));
        attempt_handler(move |request| {
            attempt_count.fetch_add(1, Ordering::Relaxed);
            let is_slow = rng.lock().unwrap().random_bool(0.01);
            let service_time = Duration::from_millis(if is_slow { 200 } else { 20 });
            async move {
                tokio::time::sleep(service_time).await;
                answering_reply(&request, 1, true)
            }
        })
    };
    let mut config = test_config(shard_count, 3);
    config.change(|sections| sections.services[0].is_hedging_allowed = is_hedged);
    let handlers = (0..3).map(|_| new_handler()).collect();
    EntryFixture::start(config, handlers, EntryLimits::default()).await
}

/// Prints, without and with hedging, the latencies and the share of attempts beyond one per shard.
async fn measure_hedging(shard_count: usize, query_count: usize) {
    let attempt_counts = [Arc::new(AtomicU64::new(0)), Arc::new(AtomicU64::new(0))];
    let fixtures = [
        start_straggling_fixture(shard_count, false, &attempt_counts[0]).await,
        start_straggling_fixture(shard_count, true, &attempt_counts[1]).await,
    ];
    let mut callers = [
        fixtures[0].connect_caller().await,
        fixtures[1].connect_caller().await,
    ];
    let mut latencies = [vec![], vec![]];
    let mut complete_counts = [0, 0];
    for query_index in 0..query_count {
        for variant in 0..2 {
            let started_at = Instant::now();
            let response = callers[variant].send("search", &[]).await;
            if query_index >= query_count / 10 {
                latencies[variant].push(started_at.elapsed());
                complete_counts[variant] += usize::from(response.json["complete"] == true);
            }
        }
    }
    for (variant, variant_name) in ["plain", "hedged"].iter().enumerate() {
        latencies[variant].sort_unstable();
        let latency_count = latencies[variant].len();
        let quantile_ms = |quantile: f64| {
            latencies[variant][((latency_count as f64 * quantile) as usize).min(latency_count - 1)]
                .as_secs_f64()
                * 1e3
        };
        let attempt_count = attempt_counts[variant].load(Ordering::Relaxed) as f64;
        println!(
            "{shard_count} shards, {variant_name}: p50 {:.1} ms, p99 {:.1} ms, p99.9 {:.1} ms, \
             complete {}/{latency_count}, extra load {:.2}%",
            quantile_ms(0.5),
            quantile_ms(0.99),
            quantile_ms(0.999),
            complete_counts[variant],
            (attempt_count / (query_count * shard_count) as f64 - 1.0) * 100.0,
        );
    }
}

/// Prints which share of their queries a team within its rate and a team far over the capacity get served.
async fn measure_fairness(queue_name: &str, key_within_rate: &str) {
    let limits = EntryLimits {
        queue: QueueLimits {
            running_max: 4,
            queued_per_team_max: 1024,
            queued_max: 4096,
        },
        ..EntryLimits::default()
    };
    let handler = attempt_handler(|request| async move {
        tokio::time::sleep(Duration::from_millis(10)).await;
        answering_reply(&request, 1, true)
    });
    let fixture = Arc::new(EntryFixture::start(test_config(1, 1), vec![handler], limits).await);
    // Four query slots, each busy for about 11 ms a query, serve some 350 queries a second. The team within
    // its rate sends 100 a second. The other team sends five times as many, which alone exceeds the capacity.
    let mut requests = tokio::task::JoinSet::new();
    for (key, period_us, request_count) in
        [(API_KEY_A, 2_000, 1000), (key_within_rate, 10_000, 200)]
    {
        let is_within_rate = request_count == 200;
        let started_at = tokio::time::Instant::now();
        for request_index in 0..request_count {
            let (fixture, key) = (Arc::clone(&fixture), format!("Bearer {key}"));
            requests.spawn(async move {
                tokio::time::sleep_until(
                    started_at + Duration::from_micros(period_us * request_index),
                )
                .await;
                let headers = [("authorization", &*key), ("x-limpet-deadline-ms", "100")];
                let response = fixture
                    .connect_caller()
                    .await
                    .send("search", &headers)
                    .await;
                (is_within_rate, response.status == 200)
            });
        }
    }
    let outcomes = requests.join_all().await;
    let served_percent = |is_team_within_rate: bool| {
        let sent_count = outcomes
            .iter()
            .filter(|(is_within_rate, _)| *is_within_rate == is_team_within_rate)
            .count();
        let served_count = outcomes
            .iter()
            .filter(|outcome| **outcome == (is_team_within_rate, true))
            .count();
        served_count as f64 * 100.0 / sent_count as f64
    };
    println!(
        "{queue_name}: team within its rate served {:.1}%, team at five times {:.1}%",
        served_percent(true),
        served_percent(false)
    );
}

#[tokio::main]
async fn main() {
    measure_planning();
    // One measurement at a time, because concurrent ones would slow each other down.
    measure_hedging(310, QUERY_COUNT / 3).await;
    measure_fairness("fair queue", API_KEY_B).await;
    // With one API key both senders share one queue, which is first come, first served.
    measure_fairness("first come first served", API_KEY_A).await;
    measure_hedging(30, QUERY_COUNT).await;
}
