//! Guards against a connection that is refused or closed without a response while a load balancer still
//! sends to a draining entry, and against memory kept for targets that the configuration no longer has.

mod support;

use std::{
    sync::Arc,
    time::Duration, //
};

use limpet_types::Phase;
use limpetshuntd::{
    blackboard::ConfigInForce,
    entry::EntryLimits, //
};
use support::{
    EVENT_TIMEOUT,
    EntryFixture,
    answering_reply,
    attempt_handler,
    test_config, //
};
use tokio::net::TcpStream;

/// Starts an entry that waits for `drain_notice` when it drains, with two shards and one relay.
async fn start_fixture(drain_notice: Duration) -> EntryFixture {
    let relay = attempt_handler(|request| async move { answering_reply(&request, 1, true) });
    let limits = EntryLimits::default().with_drain_notice(drain_notice);
    EntryFixture::start(test_config(2, 1), vec![relay], limits).await
}

#[tokio::test]
async fn a_draining_entry_refuses_new_connections_only_after_the_notice() {
    let fixture = start_fixture(Duration::from_secs(1)).await;
    fixture.board.phase.send_replace(Phase::Draining);
    let entry = Arc::clone(&fixture.entry);
    let drain = tokio::spawn(async move { entry.drain().await });
    // Lets the drain run until it waits for the first time.
    tokio::task::yield_now().await;
    let refused = fixture.connect_caller().await.send("search", &[]).await;
    refused.assert_refused("draining", true);
    assert_eq!(refused.headers["connection"], "close");
    tokio::time::timeout(EVENT_TIMEOUT, drain)
        .await
        .unwrap()
        .unwrap();
    let connect_result = TcpStream::connect(fixture.caller_addr).await;
    assert!(
        connect_result.is_err(),
        "the listener is still open after the drain"
    );
}

#[tokio::test]
async fn a_request_on_an_idle_connection_at_the_end_of_a_drain_gets_a_refusal() {
    let fixture = start_fixture(Duration::ZERO).await;
    let mut callers = Vec::new();
    for _ in 0..8 {
        callers.push(fixture.connect_caller().await);
    }
    fixture.board.phase.send_replace(Phase::Draining);
    let entry = Arc::clone(&fixture.entry);
    let drain = tokio::spawn(async move { entry.drain().await });
    for caller in &mut callers {
        // Gives the drain a chance to close the listener between two requests.
        tokio::task::yield_now().await;
        let refused = caller.send("search", &[]).await;
        refused.assert_refused("draining", true);
    }
    tokio::time::timeout(EVENT_TIMEOUT, drain)
        .await
        .unwrap()
        .unwrap();
}

#[tokio::test]
async fn the_statistics_of_a_target_removed_from_the_configuration_are_dropped() {
    let fixture = start_fixture(Duration::ZERO).await;
    let mut caller = fixture.connect_caller().await;
    assert_eq!(caller.send("search", &[]).await.status, 200);
    assert_eq!(fixture.entry.tracked_target_count(), 2);
    let mut config = test_config(2, 1);
    config.change(|sections| sections.services[0].shards[1].targets.clear());
    fixture
        .board
        .config_in_force
        .store(Some(Arc::new(ConfigInForce {
            revision: 2,
            digest: [0; 32],
            text: "".into(),
            config,
        })));
    caller.send("search", &[]).await;
    let target_count = fixture.entry.tracked_target_count();
    assert_eq!(
        target_count, 1,
        "only the target that is still configured must be kept"
    );
}
