//! Guards against an order that runs twice because it is sent through two entries, and against an issuer
//! that runs a forwarded order which it would refuse if its own caller sent it.

mod support;

use std::sync::atomic::Ordering;

use limpet_config::ZoneState;
use limpet_decide::fair::QueueLimits;
use limpet_types::Phase;
use limpetshuntd::entry::EntryLimits;
use support::{
    EntryFixture, change_config,
    orders::{
        OrderRelay,
        place_order,
        serve_forwarded_orders,
        start_fixture, //
    },
    test_config,
};

#[tokio::test]
async fn an_order_repeated_through_another_entry_runs_once() {
    let relay = OrderRelay::unblocked();
    let (issuer, forwarder) = (
        start_fixture(relay.handler()).await,
        start_fixture(relay.handler()).await,
    );
    let ticket = issuer.connect_caller().await.request_ticket().await;
    let (peer_server, forwarded_ticket) =
        serve_forwarded_orders(&issuer, &forwarder, &ticket).await;
    let first_response = place_order(&mut issuer.connect_caller().await, &ticket).await;
    let repeated_response =
        place_order(&mut forwarder.connect_caller().await, &forwarded_ticket).await;
    assert_eq!(repeated_response.json, first_response.json);
    assert_eq!(relay.run_count(), 1);
    peer_server.stop().await;
}

#[tokio::test]
async fn an_order_whose_issuer_is_dead_or_unknown_is_never_run() {
    let relay = OrderRelay::unblocked();
    let (issuer, forwarder) = (
        start_fixture(relay.handler()).await,
        start_fixture(relay.handler()).await,
    );
    let ticket = issuer.connect_caller().await.request_ticket().await;
    let mut caller = forwarder.connect_caller().await;
    place_order(&mut caller, &ticket)
        .await
        .assert_refused("outcome_unknown", false);
    let (peer_server, forwarded_ticket) =
        serve_forwarded_orders(&issuer, &forwarder, &ticket).await;
    peer_server.stop().await;
    place_order(&mut caller, &forwarded_ticket)
        .await
        .assert_refused("outcome_unknown", false);
    // Another incarnation at the address of the issuer must not run the order either.
    let restarted = start_fixture(relay.handler()).await;
    let mut restarted_caller = restarted.connect_caller().await;
    place_order(&mut restarted_caller, &ticket)
        .await
        .assert_refused("outcome_unknown", false);
    assert_eq!(relay.run_count(), 0);
}

/// A change to the issuer, and the code of the refusal of an order forwarded to it.
type ForwardCase = (fn(&EntryFixture), &'static str);

/// Checks that an issuer refuses a forwarded order and does not run it.
fn assert_forwarded_order_refused((change, code): ForwardCase) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .unwrap();
    runtime.block_on(async {
        let relay = OrderRelay::unblocked();
        let (issuer, forwarder) = (
            start_fixture(relay.handler()).await,
            start_fixture(relay.handler()).await,
        );
        let ticket = issuer.connect_caller().await.request_ticket().await;
        let (peer_server, forwarded_ticket) =
            serve_forwarded_orders(&issuer, &forwarder, &ticket).await;
        change(&issuer);
        place_order(&mut forwarder.connect_caller().await, &forwarded_ticket)
            .await
            .assert_refused(code, true);
        assert_eq!(
            relay.run_count(),
            0,
            "the issuer ran an order that it must refuse"
        );
        peer_server.stop().await;
    });
}

limpet_testkit::cases! {
    assert_forwarded_order_refused:
    a_starting_issuer => (|f| { f.board.phase.send_replace(Phase::Starting); }, "starting"),
    a_draining_issuer => (|f| { f.board.phase.send_replace(Phase::Draining); }, "draining"),
    an_issuer_with_a_stale_configuration =>
        (|f| f.board.config_fresh_until_us.store(0, Ordering::Release), "config_stale"),
    an_issuer_in_a_disabled_zone =>
        (|f| change_config(f, |c| c.zones[0].state = ZoneState::Disabled), "zone_out"),
    a_removed_team => (|f| change_config(f, |c| { c.teams.remove(0); }), "unauthorized"),
    a_team_without_the_lookup =>
        (|f| change_config(f, |c| c.lookups[3].allowed_teams = vec!["b".into()]), "forbidden"),
}

#[tokio::test]
async fn a_draining_issuer_returns_recorded_outcomes() {
    let relay = OrderRelay::unblocked();
    let (issuer, forwarder) = (
        start_fixture(relay.handler()).await,
        start_fixture(relay.handler()).await,
    );
    let ticket = issuer.connect_caller().await.request_ticket().await;
    let (peer_server, forwarded_ticket) =
        serve_forwarded_orders(&issuer, &forwarder, &ticket).await;
    let first_response = place_order(&mut issuer.connect_caller().await, &ticket).await;
    issuer.board.phase.send_replace(Phase::Draining);
    let repeated_response =
        place_order(&mut forwarder.connect_caller().await, &forwarded_ticket).await;
    assert_eq!(repeated_response.json, first_response.json);
    assert_eq!(relay.run_count(), 1);
    peer_server.stop().await;
}

#[tokio::test]
async fn a_forwarded_order_waits_for_a_query_slot_of_the_issuer() {
    let limits = EntryLimits {
        queue: QueueLimits {
            running_max: 1,
            queued_per_team_max: 10,
            queued_max: 10,
        },
        ..EntryLimits::default()
    };
    let relay = OrderRelay::with_reply_permits(0);
    let issuer = EntryFixture::start(test_config(2, 1), vec![relay.handler()], limits).await;
    let forwarder = start_fixture(relay.handler()).await;
    let ticket = issuer.connect_caller().await.request_ticket().await;
    let (peer_server, forwarded_ticket) =
        serve_forwarded_orders(&issuer, &forwarder, &ticket).await;
    let mut record_caller = issuer.connect_caller().await;
    let record = [("x-limpet-record", "r2")];
    let record_request = tokio::spawn(async move { record_caller.send("record", &record).await });
    relay.run_started.notified().await;
    let headers = [
        ("x-limpet-record", "r1"),
        ("x-limpet-ticket", &*forwarded_ticket),
        ("x-limpet-deadline-ms", "100"),
    ];
    let mut order_caller = forwarder.connect_caller().await;
    let refused = order_caller.send("order", &headers).await;
    assert_ne!(refused.status, 200, "{}", refused.json);
    assert_eq!(
        relay.run_count(),
        1,
        "the order ran without a query slot of the issuer"
    );
    relay.reply_permits.add_permits(10);
    assert_eq!(record_request.await.unwrap().status, 200);
    let placed = place_order(&mut order_caller, &forwarded_ticket).await;
    assert_eq!(placed.status, 200, "{}", placed.json);
    peer_server.stop().await;
}
