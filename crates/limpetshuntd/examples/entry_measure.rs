//! Measures planning, hedging and fairness of an entry with fake relays on loopback.

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
        Candidate,
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
    target_addr, //
    test_config,
};

/// Seed of the stragglers.
const SEED: u64 = 7;
/// Queries of each side at 30 shards; the first tenth is not counted.
const QUERIES: usize = 500;

fn planning() {
    let mut views = TargetStatsTable::new();
    let candidate = |shard, replica| Candidate {
        addr: target_addr(shard, replica),
        unusable: None,
    };
    let shards: Vec<ShardCandidates> = (0..310)
        .map(|shard| ShardCandidates {
            candidates: (0..3).map(|replica| candidate(shard, replica)).collect(),
        })
        .collect();
    for shard in &shards {
        for candidate in &shard.candidates {
            let view = views.get_mut(candidate.addr);
            view.latency = Duration::from_millis(5);
            view.versions = vec![1, 2];
        }
    }
    let mut rng = ChaCha8Rng::seed_from_u64(SEED);
    let rounds = 2000;
    let started = Instant::now();
    for _ in 0..rounds {
        let planned = plan_attempts(&views, &shards, true, Duration::from_secs(1), || {
            rng.random()
        });
        assert_eq!(std::hint::black_box(planned).1.len(), 310);
    }
    let each_us = started.elapsed().as_secs_f64() * 1e6 / f64::from(rounds);
    println!("planning 310 shards with 3 replicas: {each_us:.1} us");
}

async fn start_straggling_fixture(
    shards: usize,
    hedge: bool,
    attempts: &Arc<AtomicU64>,
) -> EntryFixture {
    let rng = Arc::new(Mutex::new(ChaCha8Rng::seed_from_u64(SEED)));
    let relay = || {
        let (rng, attempts) = (Arc::clone(&rng), Arc::clone(attempts));
        attempt_handler(move |request| {
            attempts.fetch_add(1, Ordering::Relaxed);
            let is_slow = rng.lock().unwrap().random_bool(0.01);
            let time = Duration::from_millis(if is_slow { 200 } else { 20 });
            async move {
                tokio::time::sleep(time).await;
                answering_reply(&request, 1, true)
            }
        })
    };
    let mut config = test_config(shards, 3);
    config.change(|parts| parts.services[0].hedge = hedge);
    let handlers = (0..3).map(|_| relay()).collect();
    EntryFixture::start(config, handlers, EntryLimits::default()).await
}

async fn hedging(shards: usize, queries: usize) {
    let attempts = [Arc::new(AtomicU64::new(0)), Arc::new(AtomicU64::new(0))];
    let fixtures = [
        start_straggling_fixture(shards, false, &attempts[0]).await,
        start_straggling_fixture(shards, true, &attempts[1]).await,
    ];
    let mut callers = [
        fixtures[0].connect_caller().await,
        fixtures[1].connect_caller().await,
    ];
    let mut times = [vec![], vec![]];
    let mut complete = [0, 0];
    for query in 0..queries {
        for side in 0..2 {
            let started = Instant::now();
            let response = callers[side].send("search", &[]).await;
            if query >= queries / 10 {
                times[side].push(started.elapsed());
                complete[side] += usize::from(response.json["complete"] == true);
            }
        }
    }
    for (side, name) in ["plain", "hedged"].iter().enumerate() {
        times[side].sort_unstable();
        let count = times[side].len();
        let at =
            |q: f64| times[side][((count as f64 * q) as usize).min(count - 1)].as_secs_f64() * 1e3;
        let sent = attempts[side].load(Ordering::Relaxed) as f64;
        println!(
            "{shards} shards, {name}: p50 {:.1} ms, p99 {:.1} ms, p99.9 {:.1} ms, complete {}/{count}, extra load {:.2}%",
            at(0.5),
            at(0.99),
            at(0.999),
            complete[side],
            (sent / (queries * shards) as f64 - 1.0) * 100.0,
        );
    }
}

async fn fairness(name: &str, small_key: &str) {
    let limits = EntryLimits {
        queue: QueueLimits {
            running_max: 4,
            queued_per_team_max: 1024,
            queued_max: 4096,
        },
        ..EntryLimits::default()
    };
    let relay = attempt_handler(|request| async move {
        tokio::time::sleep(Duration::from_millis(10)).await;
        answering_reply(&request, 1, true)
    });
    let fixture = Arc::new(EntryFixture::start(test_config(1, 1), vec![relay], limits).await);
    // Four places of about 11 ms serve some 350 queries a second. The small team sends 100/s.
    // The large team sends five times that, which alone is over the capacity.
    let mut sends = tokio::task::JoinSet::new();
    for (key, period_us, count) in [(API_KEY_A, 2_000, 1000), (small_key, 10_000, 200)] {
        let is_small = count == 200;
        let start = tokio::time::Instant::now();
        for index in 0..count {
            let (fixture, key) = (Arc::clone(&fixture), format!("Bearer {key}"));
            sends.spawn(async move {
                tokio::time::sleep_until(start + Duration::from_micros(period_us * index)).await;
                let headers = [("authorization", &*key), ("x-limpet-deadline-ms", "100")];
                let response = fixture
                    .connect_caller()
                    .await
                    .send("search", &headers)
                    .await;
                (is_small, response.status == 200)
            });
        }
    }
    let ended = sends.join_all().await;
    let share = |small: bool| {
        let all = ended
            .iter()
            .filter(|(is_small, _)| *is_small == small)
            .count();
        let served = ended
            .iter()
            .filter(|ended| **ended == (small, true))
            .count();
        served as f64 * 100.0 / all as f64
    };
    println!(
        "{name}: team within its rate served {:.1}%, team at five times {:.1}%",
        share(true),
        share(false)
    );
}

#[tokio::main]
async fn main() {
    planning();
    // One size after the other: side by side they slow each other down.
    hedging(310, QUERIES / 3).await;
    fairness("fair queue", API_KEY_B).await;
    // One key for both teams makes one queue: first come, first served.
    fairness("first come first served", API_KEY_A).await;
    hedging(30, QUERIES).await;
}
