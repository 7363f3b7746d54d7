//! Guards against orders that run twice, and against outcomes that are lost or wrong.

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
    let relay = OrderRelay::unblocked();
    let fixture = start_fixture(relay.handler()).await;
    let mut caller = fixture.connect_caller().await;
    let ticket = caller.request_ticket().await;
    assert_eq!(relay.run_count(), 0);
    let first_response = place_order(&mut caller, &ticket).await;
    assert_eq!(first_response.status, 200, "{}", first_response.json);
    assert_eq!(
        place_order(&mut caller, &ticket).await.json,
        first_response.json
    );
    assert_eq!(relay.run_count(), 1);
}

/// Checks that the refusal of an order says "not run" only if no order ran under its ticket before.
async fn assert_not_run_only_if_ticket_unused(is_ticket_used: bool) {
    let fixture = start_fixture(OrderRelay::unblocked().handler()).await;
    let mut caller = fixture.connect_caller().await;
    let ticket = caller.request_ticket().await;
    if is_ticket_used {
        assert_eq!(place_order(&mut caller, &ticket).await.status, 200);
    }
    fixture.board.phase.send_replace(Phase::Draining);
    let refused = place_order(&mut fixture.connect_caller().await, &ticket).await;
    refused.assert_refused("draining", !is_ticket_used);
}

#[tokio::test]
async fn a_refusal_with_a_used_ticket_is_maybe_run() {
    assert_not_run_only_if_ticket_unused(true).await;
}

#[tokio::test]
async fn a_refusal_with_an_unused_ticket_is_not_run() {
    assert_not_run_only_if_ticket_unused(false).await;
}

#[tokio::test]
async fn a_ticket_is_valid_for_one_order_of_one_team() {
    let relay = OrderRelay::unblocked();
    let fixture = start_fixture(relay.handler()).await;
    let mut caller = fixture.connect_caller().await;
    let ticket = caller.request_ticket().await;
    place_order(&mut caller, &ticket).await;
    let other_order_headers = [("x-limpet-record", "r2"), ("x-limpet-ticket", &*ticket)];
    caller
        .send("order", &other_order_headers)
        .await
        .assert_refused("ticket_invalid", true);
    let authorization = format!("Bearer {}", support::API_KEY_B);
    let headers = [
        ("x-limpet-record", "r1"),
        ("x-limpet-ticket", &*ticket),
        ("authorization", &*authorization),
    ];
    caller
        .send("order", &headers)
        .await
        .assert_refused("ticket_invalid", true);
    place_order(&mut caller, "nonsense")
        .await
        .assert_refused("ticket_invalid", true);
    assert_eq!(relay.run_count(), 1);
}

#[tokio::test]
async fn concurrent_repeats_run_once_and_get_the_same_outcome() {
    let relay = OrderRelay::with_reply_permits(0);
    let fixture = start_fixture(relay.handler()).await;
    let ticket = fixture.connect_caller().await.request_ticket().await;
    let mut repeats = tokio::task::JoinSet::new();
    for _ in 0..8 {
        let (mut caller, ticket) = (fixture.connect_caller().await, ticket.clone());
        repeats.spawn(async move { place_order(&mut caller, &ticket).await.json });
    }
    relay.run_started.notified().await;
    relay.reply_permits.add_permits(100);
    let outcomes = repeats.join_all().await;
    assert!(
        outcomes.iter().all(|json| *json == outcomes[0]),
        "{outcomes:?}"
    );
    assert_eq!(outcomes[0]["complete"], true);
    assert_eq!(relay.run_count(), 1);
}

#[tokio::test]
async fn an_order_that_may_have_run_has_an_unknown_outcome_and_never_runs_again() {
    let run_count = Arc::new(AtomicUsize::new(0));
    let run_counter = Arc::clone(&run_count);
    let handler = attempt_handler(move |request| {
        run_counter.fetch_add(1, Ordering::SeqCst);
        async move { refusing_reply(&request, RefusalCode::TargetFailed, false) }
    });
    let fixture = start_fixture(handler).await;
    let mut caller = fixture.connect_caller().await;
    let ticket = caller.request_ticket().await;
    for _ in 0..3 {
        place_order(&mut caller, &ticket)
            .await
            .assert_refused("outcome_unknown", false);
    }
    assert_eq!(run_count.load(Ordering::SeqCst), 1);
}

#[tokio::test]
async fn an_order_that_certainly_did_not_run_is_retried_and_keeps_its_ticket() {
    let attempt_count = Arc::new(AtomicUsize::new(0));
    let handler = attempt_handler(move |request| {
        let attempt_index = attempt_count.fetch_add(1, Ordering::SeqCst);
        async move {
            // All three attempts of the first request, and the first attempt of the second.
            match attempt_index {
                0..4 => refusing_reply(&request, RefusalCode::TargetShed, true),
                _ => answering_reply(&request, 1, true),
            }
        }
    });
    let fixture = start_fixture(handler).await;
    let mut caller = fixture.connect_caller().await;
    let ticket = caller.request_ticket().await;
    place_order(&mut caller, &ticket)
        .await
        .assert_refused("target_shed", true);
    let response = place_order(&mut caller, &ticket).await;
    assert_eq!(response.status, 200, "{}", response.json);
}

#[tokio::test]
async fn the_outcome_is_recorded_after_a_disconnect_and_a_drain_waits_for_it() {
    let relay = OrderRelay::with_reply_permits(0);
    let fixture = start_fixture(relay.handler()).await;
    let mut caller = fixture.connect_caller().await;
    let ticket = caller.request_ticket().await;
    tokio::select! {
        _ = place_order(&mut caller, &ticket) => panic!("the relay has no permit to reply"),
        () = relay.run_started.notified() => {}
    }
    caller.connection_task.abort();
    let mut repeat_caller = fixture.connect_caller().await;
    let repeat = tokio::spawn(async move { place_order(&mut repeat_caller, &ticket).await });
    while fixture.relays.is_empty() || relay.run_count() == 0 {
        tokio::task::yield_now().await;
    }
    relay.reply_permits.add_permits(1);
    assert_eq!(repeat.await.unwrap().status, 200);
    assert_eq!(relay.run_count(), 1);
    fixture.board.phase.send_replace(Phase::Draining);
    tokio::time::timeout(EVENT_TIMEOUT, fixture.entry.drain())
        .await
        .unwrap();
}

#[tokio::test]
async fn an_order_past_its_deadline_has_an_unknown_outcome() {
    let relay = OrderRelay::with_reply_permits(0);
    let fixture = start_fixture(relay.handler()).await;
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
    relay.reply_permits.add_permits(10);
    place_order(&mut caller, &ticket)
        .await
        .assert_refused("outcome_unknown", false);
    assert_eq!(relay.run_count(), 1);
}

#[tokio::test]
async fn an_order_spends_one_rate_token() {
    let relay = OrderRelay::unblocked();
    let fixture = start_fixture(relay.handler()).await;
    let mut caller = fixture.connect_caller().await;
    let ticket = caller.request_ticket().await;
    let token_pool_text = || format!("{:?}", fixture.board.token_pool());
    assert!(
        !token_pool_text().contains("spent: 1,"),
        "the ticket request spent a rate token"
    );
    place_order(&mut caller, &ticket).await;
    assert!(
        token_pool_text().contains("spent: 1,"),
        "{}",
        token_pool_text()
    );
}
