//! Guards against answers that mix index versions, wrong coverage, replies to other attempts and
//! attempts that outlive their query.

mod support;

use std::{
    sync::{
        Arc,
        atomic::{
            AtomicU64,
            AtomicUsize,
            Ordering, //
        },
    },
    time::{
        Duration,
        Instant, //
    },
};

use limpet_types::{
    KeyRange,
    RefusalCode, //
};
use limpetshuntd::{
    blackboard::OwnerDirectory,
    entry::EntryLimits, //
};
use serde_json::Value;
use support::{
    AttemptHandler,
    EVENT_TIMEOUT,
    EntryFixture,
    answering_reply,
    attempt_handler,
    attempt_reply,
    refusing_reply,
    test_config, //
};
use tokio::sync::Notify;

fn answering_handler() -> AttemptHandler {
    attempt_handler(|request| async move { answering_reply(&request, 1, true) })
}

async fn start_fixture(shard_count: usize, handlers: Vec<AttemptHandler>) -> EntryFixture {
    let config = test_config(shard_count, handlers.len());
    EntryFixture::start(config, handlers, EntryLimits::default()).await
}

/// Checks that the answered and missing ranges cover the key space without gaps and overlaps.
fn assert_coverage_partitions_key_space(coverage: &Value) {
    let coverage_ranges = |name: &str| coverage[name].as_array().unwrap().clone();
    let mut ranges: Vec<(u64, u64)> = [coverage_ranges("answered"), coverage_ranges("missing")]
        .concat()
        .iter()
        .map(|range| {
            (
                range["start"].as_u64().unwrap(),
                range["end"].as_u64().unwrap(),
            )
        })
        .collect();
    ranges.sort_unstable();
    let mut next_start = 0;
    for (start, end) in ranges {
        assert_eq!(start, next_start, "{coverage}");
        next_start = end;
    }
    assert_eq!(next_start, KeyRange::full().end, "{coverage}");
}

#[tokio::test]
async fn a_search_answers_from_every_shard() {
    let fixture = start_fixture(5, vec![answering_handler(), answering_handler()]).await;
    let response = fixture.connect_caller().await.send("search", &[]).await;
    assert_eq!(response.status, 200, "{}", response.json);
    assert_eq!(response.json["complete"], true);
    assert_eq!(response.json["snapshot"], 1);
    assert_eq!(response.json["results"].as_array().unwrap().len(), 5);
    assert_coverage_partitions_key_space(&response.json["coverage"]);
}

#[tokio::test]
async fn versions_are_never_mixed_while_they_change_and_shards_are_repartitioned() {
    // Every 100 attempts a new index version appears. Targets hold the two newest versions, but in one
    // attempt of three a target is one version behind. One answer of eight covers only half of the key
    // range, as after a repartitioning.
    let attempt_counter = Arc::new(AtomicU64::new(1000));
    let replica_handler = |replica: u64| {
        let attempt_counter = Arc::clone(&attempt_counter);
        attempt_handler(move |request| {
            let attempt_index = attempt_counter.fetch_add(1, Ordering::Relaxed);
            async move {
                let newest_version =
                    attempt_index / 100 - u64::from((attempt_index + replica).is_multiple_of(3));
                let held_versions = [newest_version - 1, newest_version];
                let version = request.snapshot.unwrap_or(newest_version);
                if !held_versions.contains(&version) {
                    let mut refusal =
                        refusing_reply(&request, RefusalCode::SnapshotUnavailable, true);
                    refusal.versions_held = held_versions.to_vec();
                    return refusal;
                }
                let mut reply = answering_reply(&request, version, true);
                reply.versions_held = held_versions.to_vec();
                if attempt_index.is_multiple_of(8)
                    && let Ok(answer) = &mut reply.outcome
                {
                    answer.range.end = (answer.range.start + answer.range.end) / 2;
                }
                tokio::time::sleep(Duration::from_micros(attempt_index % 7 * 100)).await;
                reply
            }
        })
    };
    let fixture = Arc::new(start_fixture(12, (0..3).map(replica_handler).collect()).await);
    let mut callers = tokio::task::JoinSet::new();
    for _ in 0..4 {
        let fixture = Arc::clone(&fixture);
        callers.spawn(async move {
            let mut caller = fixture.connect_caller().await;
            let mut answered_count = 0;
            for _ in 0..50 {
                let headers = [("x-limpet-allow-partial", "true")];
                let response = caller.send("search", &headers).await;
                if response.status != 200 {
                    continue;
                }
                answered_count += 1;
                let snapshot = response.json["snapshot"].as_u64().unwrap();
                let results = response.json["results"].as_array().unwrap();
                for result in results {
                    let body = result["body"].as_str().unwrap();
                    assert!(body.ends_with(&format!("@{snapshot}")), "{}", response.json);
                }
                let coverage = &response.json["coverage"];
                assert_coverage_partitions_key_space(coverage);
                assert_eq!(
                    results.len(),
                    coverage["answered"].as_array().unwrap().len()
                );
                let is_complete = coverage["missing"].as_array().unwrap().is_empty();
                assert_eq!(response.json["complete"], is_complete);
            }
            answered_count
        });
    }
    let answered_counts: Vec<usize> = callers.join_all().await;
    assert!(
        answered_counts.iter().sum::<usize>() > 100,
        "{answered_counts:?}"
    );
}

#[tokio::test]
async fn a_missing_shard_is_reported_and_refused_unless_partial_results_are_allowed() {
    let handler = attempt_handler(|request| async move {
        match &*request.shard {
            "s001" => refusing_reply(&request, RefusalCode::TargetShed, true),
            _ => answering_reply(&request, 1, true),
        }
    });
    let fixture = start_fixture(3, vec![handler]).await;
    let mut caller = fixture.connect_caller().await;
    let refused = caller.send("search", &[]).await;
    refused.assert_refused("incomplete_coverage", false);
    let partial = caller
        .send("search", &[("x-limpet-allow-partial", "true")])
        .await;
    assert_eq!(partial.json["complete"], false);
    assert_eq!(partial.json["coverage"]["missing"][0]["shard"], "s001");
    assert_eq!(
        partial.json["coverage"]["missing"][0]["reason"],
        "target_shed"
    );
    assert_coverage_partitions_key_space(&partial.json["coverage"]);
}

#[tokio::test]
async fn replies_to_other_attempts_and_shards_are_dropped() {
    let other_attempt_handler = attempt_handler(|mut request| async move {
        request.attempt_number += 1;
        answering_reply(&request, 1, true)
    });
    let other_shard_handler = attempt_handler(|mut request| async move {
        request.shard = "s000".into();
        answering_reply(&request, 1, true)
    });
    let fixture = start_fixture(
        4,
        vec![
            other_attempt_handler,
            other_shard_handler,
            answering_handler(),
        ],
    )
    .await;
    let response = fixture.connect_caller().await.send("search", &[]).await;
    assert_eq!(response.json["complete"], true, "{}", response.json);
    for result in response.json["results"].as_array().unwrap() {
        let shard = result["shard"].as_str().unwrap();
        assert!(result["body"].as_str().unwrap().starts_with(shard));
    }
}

#[tokio::test]
async fn an_answer_with_a_wrong_key_range_is_dropped() {
    let handler = attempt_handler(|mut request| async move {
        request.range = KeyRange::full();
        answering_reply(&request, 1, true)
    });
    let fixture = start_fixture(2, vec![handler]).await;
    let response = fixture.connect_caller().await.send("search", &[]).await;
    response.assert_refused("target_failed", false);
}

/// Notifies when it is dropped, as happens when the attempt is cancelled.
struct NotifyOnDrop(Arc<Notify>);

impl Drop for NotifyOnDrop {
    fn drop(&mut self) {
        self.0.notify_one();
    }
}

/// Handler that never replies for shard `s000`, finds a match in `s001` and none elsewhere. Notifies
/// `attempt_started` when an attempt on `s000` starts, and `attempt_dropped` when the attempt is cancelled.
fn handler_without_reply_for_s000(
    attempt_started: &Arc<Notify>,
    attempt_dropped: &Arc<Notify>,
) -> AttemptHandler {
    let (attempt_started, attempt_dropped) =
        (Arc::clone(attempt_started), Arc::clone(attempt_dropped));
    attempt_handler(move |request| {
        let attempt_dropped = Arc::clone(&attempt_dropped);
        let attempt_started = Arc::clone(&attempt_started);
        async move {
            if &*request.shard == "s000" {
                let _guard = NotifyOnDrop(attempt_dropped);
                attempt_started.notify_one();
                std::future::pending::<()>().await;
            }
            answering_reply(&request, 1, &*request.shard == "s001")
        }
    })
}

#[tokio::test]
async fn the_deadline_is_met_and_the_response_lists_missing_shards() {
    let notify = Arc::new(Notify::new());
    let fixture = start_fixture(3, vec![handler_without_reply_for_s000(&notify, &notify)]).await;
    let mut caller = fixture.connect_caller().await;
    let started_at = Instant::now();
    let headers = [
        ("x-limpet-deadline-ms", "150"),
        ("x-limpet-allow-partial", "true"),
    ];
    let partial = caller.send("search", &headers).await;
    assert!(
        started_at.elapsed() < Duration::from_millis(600),
        "{:?}",
        started_at.elapsed()
    );
    assert_eq!(
        partial.json["coverage"]["missing"][0]["reason"],
        "deadline_exceeded"
    );
    let refused = caller.send("search", &headers[..1]).await;
    refused.assert_refused("deadline_exceeded", false);
}

#[tokio::test]
async fn the_first_match_ends_an_exists_lookup_and_cancels_other_attempts() {
    let (attempt_started, attempt_dropped) = (Arc::new(Notify::new()), Arc::new(Notify::new()));
    let fixture = start_fixture(
        2,
        vec![handler_without_reply_for_s000(
            &attempt_started,
            &attempt_dropped,
        )],
    )
    .await;
    let response = fixture.connect_caller().await.send("exists", &[]).await;
    assert_eq!(response.json["found"], true, "{}", response.json);
    assert_eq!(
        response.json["coverage"]["missing"][0]["reason"],
        "not_needed"
    );
    tokio::time::timeout(EVENT_TIMEOUT, attempt_dropped.notified())
        .await
        .expect("the attempt was not cancelled");
}

#[tokio::test]
async fn an_exists_lookup_without_a_match_needs_full_coverage() {
    let handler = attempt_handler(|request| async move {
        match &*request.shard {
            "s001" => refusing_reply(&request, RefusalCode::TargetFailed, false),
            _ => answering_reply(&request, 1, false),
        }
    });
    let fixture = start_fixture(2, vec![handler]).await;
    let mut caller = fixture.connect_caller().await;
    caller
        .send("exists", &[])
        .await
        .assert_refused("incomplete_coverage", false);
    let partial = caller
        .send("exists", &[("x-limpet-allow-partial", "true")])
        .await;
    assert_eq!(partial.json["found"], Value::Null);
}

#[tokio::test]
async fn a_disconnect_cancels_the_query() {
    let (attempt_started, attempt_dropped) = (Arc::new(Notify::new()), Arc::new(Notify::new()));
    let fixture = start_fixture(
        1,
        vec![handler_without_reply_for_s000(
            &attempt_started,
            &attempt_dropped,
        )],
    )
    .await;
    let mut caller = fixture.connect_caller().await;
    tokio::select! {
        _ = caller.send("search", &[]) => panic!("the relay must not reply"),
        () = attempt_started.notified() => {}
    }
    caller.connection_task.abort();
    tokio::time::timeout(EVENT_TIMEOUT, attempt_dropped.notified())
        .await
        .expect("the attempt was not cancelled");
}

#[tokio::test]
async fn a_target_without_a_known_owner_is_replaced_by_another_replica() {
    let fixture = start_fixture(3, vec![answering_handler(), answering_handler()]).await;
    let mut directory = OwnerDirectory::default();
    let full_directory = fixture.board.owner_directory.load_full();
    for shard in 0..3 {
        let addr = support::target_addr(shard, 1);
        directory = directory.with_owner(addr, full_directory.owner_of(addr).unwrap());
    }
    fixture.board.owner_directory.store(Arc::new(directory));
    let mut caller = fixture.connect_caller().await;
    for _ in 0..10 {
        let response = caller.send("search", &[]).await;
        assert_eq!(response.json["complete"], true, "{}", response.json);
    }
    fixture.board.owner_directory.store(Arc::default());
    caller
        .send("search", &[])
        .await
        .assert_refused("not_owner", true);
}

#[tokio::test]
async fn a_straggler_is_hedged_once_enough_samples_exist() {
    let attempts_until_slow = Arc::new(AtomicUsize::new(usize::MAX));
    let handler_with_straggler = || {
        let attempts_until_slow = Arc::clone(&attempts_until_slow);
        attempt_handler(move |request| {
            // The first attempt of the last query never ends, whichever replica gets it.
            let is_slow = attempts_until_slow.fetch_sub(1, Ordering::Relaxed) == 1;
            async move {
                if is_slow {
                    std::future::pending::<()>().await;
                }
                attempt_reply(&request, answering_reply(&request, 1, true).outcome, &[1])
            }
        })
    };
    let fixture = start_fixture(10, vec![handler_with_straggler(), handler_with_straggler()]).await;
    let mut caller = fixture.connect_caller().await;
    for _ in 0..60 {
        caller.send("search", &[]).await;
    }
    attempts_until_slow.store(1, Ordering::Relaxed);
    let started_at = Instant::now();
    let response = caller.send("search", &[]).await;
    assert_eq!(response.json["complete"], true, "{}", response.json);
    assert!(
        started_at.elapsed() < Duration::from_secs(2),
        "{:?}",
        started_at.elapsed()
    );
}
