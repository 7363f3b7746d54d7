//! Guards against attempts that lack the record key or the ticket of the caller, and against a crash
//! caused by one record that quarantines requests for another record with the same body.

mod support;

use std::sync::{
    Arc,
    Mutex, //
};

use limpet_types::message::AttemptRequest;
use limpetshuntd::entry::EntryLimits;
use support::{
    AttemptLog,
    EntryFixture,
    answering_reply,
    attempt_handler,
    test_config, //
};

async fn start_fixture() -> (EntryFixture, AttemptLog) {
    let attempt_log: AttemptLog = Arc::new(Mutex::new(Vec::new()));
    let handler_log = Arc::clone(&attempt_log);
    let handler = attempt_handler(move |request: AttemptRequest| {
        handler_log.lock().unwrap().push(request.clone());
        async move { answering_reply(&request, 1, true) }
    });
    let fixture =
        EntryFixture::start(test_config(2, 1), vec![handler], EntryLimits::default()).await;
    (fixture, attempt_log)
}

#[tokio::test]
async fn each_record_has_a_fingerprint_of_its_own() {
    let (fixture, attempt_log) = start_fixture().await;
    let mut caller = fixture.connect_caller().await;
    for record in ["r1", "r2", "r1"] {
        let response = caller.send("record", &[("x-limpet-record", record)]).await;
        assert_eq!(response.status, 200, "{}", response.json);
    }
    let attempt_log = attempt_log.lock().unwrap();
    let records: Vec<_> = attempt_log
        .iter()
        .map(|request| request.record.as_deref())
        .collect();
    assert_eq!(records, [Some("r1"), Some("r2"), Some("r1")]);
    let fingerprints: Vec<u64> = attempt_log
        .iter()
        .map(|request| request.fingerprint)
        .collect();
    assert_ne!(
        fingerprints[0], fingerprints[1],
        "a crash caused by one record would quarantine the other"
    );
    assert_eq!(
        fingerprints[0], fingerprints[2],
        "a repeated request must have the same fingerprint"
    );
}

#[tokio::test]
async fn an_order_carries_its_record_and_its_ticket() {
    let (fixture, attempt_log) = start_fixture().await;
    let mut caller = fixture.connect_caller().await;
    let ticket = caller.request_ticket().await;
    let headers = [("x-limpet-record", "r1"), ("x-limpet-ticket", &*ticket)];
    let response = caller.send("order", &headers).await;
    assert_eq!(response.status, 200, "{}", response.json);
    let attempt_log = attempt_log.lock().unwrap();
    assert_eq!(attempt_log[0].record.as_deref(), Some("r1"));
    assert_eq!(attempt_log[0].ticket.as_deref(), Some(&*ticket));
}

#[tokio::test]
async fn a_search_carries_no_record() {
    let (fixture, attempt_log) = start_fixture().await;
    let mut caller = fixture.connect_caller().await;
    // A search ignores the record header, so the header must not change the fingerprint.
    caller.send("search", &[("x-limpet-record", "r1")]).await;
    caller.send("search", &[]).await;
    let attempt_log = attempt_log.lock().unwrap();
    assert!(attempt_log.iter().all(|request| request.record.is_none()));
    assert!(
        attempt_log
            .iter()
            .all(|request| request.fingerprint == attempt_log[0].fingerprint)
    );
}
