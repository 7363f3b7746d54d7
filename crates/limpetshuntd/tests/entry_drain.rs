//! Guards against a caller that is cut off while a load balancer still sends to a draining entry, and
//! against memory for targets that the configuration no longer has.

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
    attempt_handler, //
    test_config,
};
use tokio::net::TcpStream;

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
    // Lets the drain run up to its first wait.
    tokio::task::yield_now().await;
    let refused = fixture.connect_caller().await.send("search", &[]).await;
    refused.assert_refused("draining", true);
    assert_eq!(refused.headers["connection"], "close");
    tokio::time::timeout(EVENT_TIMEOUT, drain)
        .await
        .unwrap()
        .unwrap();
    let connected = TcpStream::connect(fixture.caller_addr).await;
    assert!(connected.is_err(), "the listener outlives the drain");
}

#[tokio::test]
async fn a_request_on_an_idle_connection_is_refused_and_not_cut_at_the_end_of_a_drain() {
    let fixture = start_fixture(Duration::ZERO).await;
    let mut callers = Vec::new();
    for _ in 0..8 {
        callers.push(fixture.connect_caller().await);
    }
    fixture.board.phase.send_replace(Phase::Draining);
    let entry = Arc::clone(&fixture.entry);
    let drain = tokio::spawn(async move { entry.drain().await });
    for caller in &mut callers {
        // Lets the drain close the listener between the requests.
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
async fn a_target_that_left_the_configuration_is_forgotten() {
    let fixture = start_fixture(Duration::ZERO).await;
    let mut caller = fixture.connect_caller().await;
    assert_eq!(caller.send("search", &[]).await.status, 200);
    assert_eq!(fixture.entry.remembered_target_count(), 2);
    let mut config = test_config(2, 1);
    config.change(|parts| parts.services[0].shards[1].targets.clear());
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
    let remembered = fixture.entry.remembered_target_count();
    assert_eq!(remembered, 1, "the target still configured, and no other");
}
