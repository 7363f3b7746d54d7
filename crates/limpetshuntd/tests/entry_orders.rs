//! Guards against an order that runs twice and against an outcome that is lost or untrue.

mod support;

use std::sync::{
    Arc,
    atomic::{
        AtomicUsize,
        Ordering, //
    },
};

use limpet_types::{
    Phase,
    RefusalCode, //
};
use support::{
    EVENT_TIMEOUT, answering_reply, attempt_handler,
    orders::{
        OrderRelay,
        place_order,
        start_fixture, //
    },
    refusing_reply,
};

#[tokio::test]
async fn a_repeated_ticket_gets_the_recorded_outcome() {
    let orders = OrderRelay::unblocked();
    let fixture = start_fixture(orders.handler()).await;
    let mut caller = fixture.connect_caller().await;
    let ticket = caller.request_ticket().await;
    assert_eq!(orders.run_count(), 0);
    let first = place_order(&mut caller, &ticket).await;
    assert_eq!(first.status, 200, "{}", first.json);
    assert_eq!(place_order(&mut caller, &ticket).await.json, first.json);
    assert_eq!(orders.run_count(), 1);
}

/// Guards against "not run" for an order that ran under the same ticket before.
async fn a_refused_repeat_is_not_called_not_run(is_used: bool) {
    let fixture = start_fixture(OrderRelay::unblocked().handler()).await;
    let mut caller = fixture.connect_caller().await;
    let ticket = caller.request_ticket().await;
    if is_used {
        assert_eq!(place_order(&mut caller, &ticket).await.status, 200);
    }
    fixture.board.phase.send_replace(Phase::Draining);
    let refused = place_order(&mut fixture.connect_caller().await, &ticket).await;
    refused.assert_refused("draining", !is_used);
}

#[tokio::test]
async fn a_refused_repeat_of_a_used_ticket_may_have_run() {
    a_refused_repeat_is_not_called_not_run(true).await;
}

#[tokio::test]
async fn a_refused_use_of_an_unused_ticket_did_not_run() {
    a_refused_repeat_is_not_called_not_run(false).await;
}

#[tokio::test]
async fn a_ticket_serves_one_order_and_one_team() {
    let orders = OrderRelay::unblocked();
    let fixture = start_fixture(orders.handler()).await;
    let mut caller = fixture.connect_caller().await;
    let ticket = caller.request_ticket().await;
    place_order(&mut caller, &ticket).await;
    let other = [("x-limpet-record", "r2"), ("x-limpet-ticket", &*ticket)];
    caller
        .send("order", &other)
        .await
        .assert_refused("ticket_invalid", true);
    let key = format!("Bearer {}", support::API_KEY_B);
    let headers = [
        ("x-limpet-record", "r1"),
        ("x-limpet-ticket", &*ticket),
        ("authorization", &*key),
    ];
    caller
        .send("order", &headers)
        .await
        .assert_refused("ticket_invalid", true);
    place_order(&mut caller, "nonsense")
        .await
        .assert_refused("ticket_invalid", true);
    assert_eq!(orders.run_count(), 1);
}

#[tokio::test]
async fn concurrent_repeats_run_once_and_get_the_same_outcome() {
    let orders = OrderRelay::with_reply_permits(0);
    let fixture = start_fixture(orders.handler()).await;
    let ticket = fixture.connect_caller().await.request_ticket().await;
    let mut repeats = tokio::task::JoinSet::new();
    for _ in 0..8 {
        let (mut caller, ticket) = (fixture.connect_caller().await, ticket.clone());
        repeats.spawn(async move { place_order(&mut caller, &ticket).await.json });
    }
    orders.run_started.notified().await;
    orders.reply_permits.add_permits(100);
    let outcomes = repeats.join_all().await;
    assert!(
        outcomes.iter().all(|json| *json == outcomes[0]),
        "{outcomes:?}"
    );
    assert_eq!(outcomes[0]["complete"], true);
    assert_eq!(orders.run_count(), 1);
}

#[tokio::test]
async fn an_order_that_may_have_run_is_unknown_and_never_run_again() {
    let runs = Arc::new(AtomicUsize::new(0));
    let counted = Arc::clone(&runs);
    let relay = attempt_handler(move |request| {
        counted.fetch_add(1, Ordering::SeqCst);
        async move { refusing_reply(&request, RefusalCode::TargetFailed, false) }
    });
    let fixture = start_fixture(relay).await;
    let mut caller = fixture.connect_caller().await;
    let ticket = caller.request_ticket().await;
    for _ in 0..3 {
        place_order(&mut caller, &ticket)
            .await
            .assert_refused("outcome_unknown", false);
    }
    assert_eq!(runs.load(Ordering::SeqCst), 1);
}

#[tokio::test]
async fn an_order_that_certainly_did_not_run_is_retried_and_keeps_its_ticket() {
    let calls = Arc::new(AtomicUsize::new(0));
    let relay = attempt_handler(move |request| {
        let call = calls.fetch_add(1, Ordering::SeqCst);
        async move {
            // Three attempts of the first try, then one of the second.
            match call {
                0..4 => refusing_reply(&request, RefusalCode::TargetShed, true),
                _ => answering_reply(&request, 1, true),
            }
        }
    });
    let fixture = start_fixture(relay).await;
    let mut caller = fixture.connect_caller().await;
    let ticket = caller.request_ticket().await;
    place_order(&mut caller, &ticket)
        .await
        .assert_refused("target_shed", true);
    let placed = place_order(&mut caller, &ticket).await;
    assert_eq!(placed.status, 200, "{}", placed.json);
}

#[tokio::test]
async fn the_outcome_outlives_the_caller_and_a_drain_waits_for_it() {
    let orders = OrderRelay::with_reply_permits(0);
    let fixture = start_fixture(orders.handler()).await;
    let mut caller = fixture.connect_caller().await;
    let ticket = caller.request_ticket().await;
    tokio::select! {
        _ = place_order(&mut caller, &ticket) => panic!("the gate is closed"),
        () = orders.run_started.notified() => {}
    }
    caller.connection_task.abort();
    let mut repeating = fixture.connect_caller().await;
    let repeat = tokio::spawn(async move { place_order(&mut repeating, &ticket).await });
    while fixture.relays.is_empty() || orders.run_count() == 0 {
        tokio::task::yield_now().await;
    }
    orders.reply_permits.add_permits(1);
    assert_eq!(repeat.await.unwrap().status, 200);
    assert_eq!(orders.run_count(), 1);
    fixture.board.phase.send_replace(Phase::Draining);
    tokio::time::timeout(EVENT_TIMEOUT, fixture.entry.drain())
        .await
        .unwrap();
}

#[tokio::test]
async fn an_order_past_its_deadline_is_unknown() {
    let orders = OrderRelay::with_reply_permits(0);
    let fixture = start_fixture(orders.handler()).await;
    let mut caller = fixture.connect_caller().await;
    let ticket = caller.request_ticket().await;
    let headers = [
        ("x-limpet-record", "r1"),
        ("x-limpet-ticket", &*ticket),
        ("x-limpet-deadline-ms", "100"),
    ];
    caller
        .send("order", &headers)
        .await
        .assert_refused("outcome_unknown", false);
    orders.reply_permits.add_permits(10);
    place_order(&mut caller, &ticket)
        .await
        .assert_refused("outcome_unknown", false);
    assert_eq!(orders.run_count(), 1);
}

#[tokio::test]
async fn an_order_spends_one_rate_token() {
    let orders = OrderRelay::unblocked();
    let fixture = start_fixture(orders.handler()).await;
    let mut caller = fixture.connect_caller().await;
    let ticket = caller.request_ticket().await;
    let tokens = || format!("{:?}", fixture.board.token_pool());
    assert!(!tokens().contains("spent: 1,"), "the ticket spent one");
    place_order(&mut caller, &ticket).await;
    assert!(tokens().contains("spent: 1,"), "{}", tokens());
}
