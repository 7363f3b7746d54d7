//! Guards against mixed snapshots, untrue coverage, crossed replies and work that outlives its query.

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
    attempt_reply, //
    refusing_reply,
    test_config,
};
use tokio::sync::Notify;

fn good() -> AttemptHandler {
    attempt_handler(|request| async move { answering_reply(&request, 1, true) })
}

async fn start_fixture(shards: usize, handlers: Vec<AttemptHandler>) -> EntryFixture {
    let config = test_config(shards, handlers.len());
    EntryFixture::start(config, handlers, EntryLimits::default()).await
}

/// Checks that answered and missing ranges partition the key space.
fn assert_partition(coverage: &Value) {
    let parts = |name: &str| coverage[name].as_array().unwrap().clone();
    let mut ranges: Vec<(u64, u64)> = [parts("answered"), parts("missing")]
        .concat()
        .iter()
        .map(|part| {
            (
                part["start"].as_u64().unwrap(),
                part["end"].as_u64().unwrap(),
            )
        })
        .collect();
    ranges.sort_unstable();
    let mut next = 0;
    for (start, end) in ranges {
        assert_eq!(start, next, "{coverage}");
        next = end;
    }
    assert_eq!(next, KeyRange::full().end, "{coverage}");
}

#[tokio::test]
async fn a_search_answers_from_every_shard() {
    let fixture = start_fixture(5, vec![good(), good()]).await;
    let response = fixture.connect_caller().await.send("search", &[]).await;
    assert_eq!(response.status, 200, "{}", response.json);
    assert_eq!(response.json["complete"], true);
    assert_eq!(response.json["snapshot"], 1);
    assert_eq!(response.json["results"].as_array().unwrap().len(), 5);
    assert_partition(&response.json["coverage"]);
}

#[tokio::test]
async fn versions_are_never_mixed_while_they_change_and_shards_are_repartitioned() {
    // Each call of the clock moves the index on; a target holds the two newest versions but one in
    // three lags behind, and one in eight has lost half of its range.
    let clock = Arc::new(AtomicU64::new(1000));
    let relay = |replica: u64| {
        let clock = Arc::clone(&clock);
        attempt_handler(move |request| {
            let tick = clock.fetch_add(1, Ordering::Relaxed);
            async move {
                let newest = tick / 100 - u64::from((tick + replica).is_multiple_of(3));
                let held = [newest - 1, newest];
                let version = request.snapshot.unwrap_or(newest);
                if !held.contains(&version) {
                    let mut refused =
                        refusing_reply(&request, RefusalCode::SnapshotUnavailable, true);
                    refused.versions_held = held.to_vec();
                    return refused;
                }
                let mut answered = answering_reply(&request, version, true);
                answered.versions_held = held.to_vec();
                if tick.is_multiple_of(8)
                    && let Ok(answer) = &mut answered.outcome
                {
                    answer.range.end = (answer.range.start + answer.range.end) / 2;
                }
                tokio::time::sleep(Duration::from_micros(tick % 7 * 100)).await;
                answered
            }
        })
    };
    let fixture = Arc::new(start_fixture(12, (0..3).map(relay).collect()).await);
    let mut callers = tokio::task::JoinSet::new();
    for _ in 0..4 {
        let fixture = Arc::clone(&fixture);
        callers.spawn(async move {
            let mut caller = fixture.connect_caller().await;
            let mut answered = 0;
            for _ in 0..50 {
                let headers = [("x-limpet-allow-partial", "true")];
                let response = caller.send("search", &headers).await;
                if response.status != 200 {
                    continue;
                }
                answered += 1;
                let snapshot = response.json["snapshot"].as_u64().unwrap();
                let results = response.json["results"].as_array().unwrap();
                for result in results {
                    let body = result["body"].as_str().unwrap();
                    assert!(body.ends_with(&format!("@{snapshot}")), "{}", response.json);
                }
                let coverage = &response.json["coverage"];
                assert_partition(coverage);
                assert_eq!(
                    results.len(),
                    coverage["answered"].as_array().unwrap().len()
                );
                let is_complete = coverage["missing"].as_array().unwrap().is_empty();
                assert_eq!(response.json["complete"], is_complete);
            }
            answered
        });
    }
    let answered: Vec<usize> = callers.join_all().await;
    assert!(answered.iter().sum::<usize>() > 100, "{answered:?}");
}

#[tokio::test]
async fn a_lost_shard_is_named_and_refused_unless_partial_is_allowed() {
    let relay = attempt_handler(|request| async move {
        match &*request.shard {
            "s001" => refusing_reply(&request, RefusalCode::TargetShed, true),
            _ => answering_reply(&request, 1, true),
        }
    });
    let fixture = start_fixture(3, vec![relay]).await;
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
    assert_partition(&partial.json["coverage"]);
}

#[tokio::test]
async fn crossed_and_duplicate_replies_are_dropped() {
    let crossed = attempt_handler(|mut request| async move {
        request.attempt += 1;
        answering_reply(&request, 1, true)
    });
    let other_shard = attempt_handler(|mut request| async move {
        request.shard = "s000".into();
        answering_reply(&request, 1, true)
    });
    let fixture = start_fixture(4, vec![crossed, other_shard, good()]).await;
    let response = fixture.connect_caller().await.send("search", &[]).await;
    assert_eq!(response.json["complete"], true, "{}", response.json);
    for result in response.json["results"].as_array().unwrap() {
        let shard = result["shard"].as_str().unwrap();
        assert!(result["body"].as_str().unwrap().starts_with(shard));
    }
}

#[tokio::test]
async fn an_answer_for_other_keys_does_not_count() {
    let relay = attempt_handler(|mut request| async move {
        request.range = KeyRange::full();
        answering_reply(&request, 1, true)
    });
    let fixture = start_fixture(2, vec![relay]).await;
    let response = fixture.connect_caller().await.send("search", &[]).await;
    response.assert_refused("target_failed", false);
}

/// Signals when the work of a relay is cancelled.
struct OnDrop(Arc<Notify>);

impl Drop for OnDrop {
    fn drop(&mut self) {
        self.0.notify_one();
    }
}

fn silent(started: &Arc<Notify>, dropped: &Arc<Notify>) -> AttemptHandler {
    let (started, dropped) = (Arc::clone(started), Arc::clone(dropped));
    attempt_handler(move |request| {
        let dropped = Arc::clone(&dropped);
        let started = Arc::clone(&started);
        async move {
            if &*request.shard == "s000" {
                let _guard = OnDrop(dropped);
                started.notify_one();
                std::future::pending::<()>().await;
            }
            answering_reply(&request, 1, &*request.shard == "s001")
        }
    })
}

#[tokio::test]
async fn the_deadline_is_kept_and_the_response_says_what_is_missing() {
    let notify = Arc::new(Notify::new());
    let fixture = start_fixture(3, vec![silent(&notify, &notify)]).await;
    let mut caller = fixture.connect_caller().await;
    let started = Instant::now();
    let headers = [
        ("x-limpet-deadline-ms", "150"),
        ("x-limpet-allow-partial", "true"),
    ];
    let partial = caller.send("search", &headers).await;
    assert!(
        started.elapsed() < Duration::from_millis(600),
        "{:?}",
        started.elapsed()
    );
    assert_eq!(
        partial.json["coverage"]["missing"][0]["reason"],
        "deadline_exceeded"
    );
    let refused = caller.send("search", &headers[..1]).await;
    refused.assert_refused("deadline_exceeded", false);
}

#[tokio::test]
async fn the_first_yes_ends_an_exists_and_cancels_the_rest() {
    let (started, dropped) = (Arc::new(Notify::new()), Arc::new(Notify::new()));
    let fixture = start_fixture(2, vec![silent(&started, &dropped)]).await;
    let response = fixture.connect_caller().await.send("exists", &[]).await;
    assert_eq!(response.json["found"], true, "{}", response.json);
    assert_eq!(
        response.json["coverage"]["missing"][0]["reason"],
        "not_needed"
    );
    tokio::time::timeout(EVENT_TIMEOUT, dropped.notified())
        .await
        .expect("attempt was not cancelled");
}

#[tokio::test]
async fn a_no_needs_full_coverage() {
    let relay = attempt_handler(|request| async move {
        match &*request.shard {
            "s001" => refusing_reply(&request, RefusalCode::TargetFailed, false),
            _ => answering_reply(&request, 1, false),
        }
    });
    let fixture = start_fixture(2, vec![relay]).await;
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
async fn a_caller_that_goes_away_cancels_its_query() {
    let (started, dropped) = (Arc::new(Notify::new()), Arc::new(Notify::new()));
    let fixture = start_fixture(1, vec![silent(&started, &dropped)]).await;
    let mut caller = fixture.connect_caller().await;
    tokio::select! {
        _ = caller.send("search", &[]) => panic!("the relay never replies"),
        () = started.notified() => {}
    }
    caller.connection_task.abort();
    tokio::time::timeout(EVENT_TIMEOUT, dropped.notified())
        .await
        .expect("attempt was not cancelled");
}

#[tokio::test]
async fn a_target_without_a_known_owner_is_replaced_by_another_replica() {
    let fixture = start_fixture(3, vec![good(), good()]).await;
    let mut directory = OwnerDirectory::default();
    let known = fixture.board.owner_directory.load_full();
    for shard in 0..3 {
        let addr = support::target_addr(shard, 1);
        directory = directory.with_owner(addr, known.owner_of(addr).unwrap());
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
    let slow = Arc::new(AtomicUsize::new(usize::MAX));
    let relay = || {
        let slow = Arc::clone(&slow);
        attempt_handler(move |request| {
            // The first attempt of the slow query never ends, whichever replica gets it.
            let is_slow = slow.fetch_sub(1, Ordering::Relaxed) == 1;
            async move {
                if is_slow {
                    std::future::pending::<()>().await;
                }
                attempt_reply(&request, answering_reply(&request, 1, true).outcome, &[1])
            }
        })
    };
    let fixture = start_fixture(10, vec![relay(), relay()]).await;
    let mut caller = fixture.connect_caller().await;
    for _ in 0..60 {
        caller.send("search", &[]).await;
    }
    slow.store(1, Ordering::Relaxed);
    let started = Instant::now();
    let response = caller.send("search", &[]).await;
    assert_eq!(response.json["complete"], true, "{}", response.json);
    assert!(
        started.elapsed() < Duration::from_secs(2),
        "{:?}",
        started.elapsed()
    );
}
