//! Guards against an API key that still works after it was revoked, against a refusal that says "not run"
//! although an attempt may have run, and against a drain that interrupts a request.

mod support;

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::Ordering, //
    },
    time::Duration,
};

use bytes::Bytes;
use limpet_config::{
    Config,
    Lookup,
    ZoneState, //
};
use limpet_decide::fair::QueueLimits;
use limpet_types::{
    Phase,
    RefusalCode,
    message::AttemptKind, //
};
use limpetshuntd::entry::EntryLimits;
use support::{
    API_KEY_B,
    AttemptHandler,
    CallerResponse,
    EVENT_TIMEOUT,
    EntryFixture,
    answering_reply,
    attempt_handler,
    change_config,
    grant_tokens,
    install_config,
    refusing_reply,
    test_config, //
};
use tokio::{
    io::AsyncReadExt,
    net::TcpListener,
    sync::{
        Notify,
        Semaphore, //
    },
};

fn answering_handler() -> AttemptHandler {
    attempt_handler(|request| async move { answering_reply(&request, 1, true) })
}

/// Signals the start of each attempt, and answers it once the test has added a permit.
fn gated_handler(attempt_started: &Arc<Notify>, reply_permits: &Arc<Semaphore>) -> AttemptHandler {
    let (attempt_started, reply_permits) = (Arc::clone(attempt_started), Arc::clone(reply_permits));
    attempt_handler(move |request| {
        let (attempt_started, reply_permits) =
            (Arc::clone(&attempt_started), Arc::clone(&reply_permits));
        async move {
            attempt_started.notify_one();
            reply_permits.acquire().await.unwrap().forget();
            answering_reply(&request, 1, true)
        }
    })
}

async fn start_fixture(handlers: Vec<AttemptHandler>) -> EntryFixture {
    EntryFixture::start(
        test_config(2, handlers.len()),
        handlers,
        EntryLimits::default(),
    )
    .await
}

/// Configuration in which the API key of team `a` is revoked.
fn config_without_keys_of_a() -> Config {
    let mut config = test_config(2, 1);
    config.change(|sections| sections.teams[0].key_digests.clear());
    config
}

#[tokio::test]
async fn a_revoked_key_is_refused_on_an_open_connection() {
    let fixture = start_fixture(vec![answering_handler()]).await;
    let mut caller = fixture.connect_caller().await;
    assert_eq!(caller.send("search", &[]).await.status, 200);
    install_config(&fixture.board, config_without_keys_of_a());
    let refused = caller.send("search", &[]).await;
    refused.assert_refused("unauthorized", true);
    assert_eq!(refused.status, 401);
}

#[tokio::test]
async fn a_key_revoked_while_the_request_queues_is_refused() {
    let (attempt_started, reply_permits) = (Arc::new(Notify::new()), Arc::new(Semaphore::new(0)));
    let limits = EntryLimits {
        queue: QueueLimits {
            running_max: 1,
            queued_per_team_max: 10,
            queued_max: 10,
        },
        ..EntryLimits::default()
    };
    let fixture = EntryFixture::start(
        test_config(1, 1),
        vec![gated_handler(&attempt_started, &reply_permits)],
        limits,
    )
    .await;
    let (mut first_caller, mut second_caller) = (
        fixture.connect_caller().await,
        fixture.connect_caller().await,
    );
    let first = tokio::spawn(async move { first_caller.send("search", &[]).await });
    attempt_started.notified().await;
    let second = tokio::spawn(async move { second_caller.send("search", &[]).await });
    // The second request spends its rate token just before it queues. Only the debug output of the pool
    // shows how many tokens are spent.
    let token_pool_text = |board: &limpetshuntd::Blackboard| format!("{:?}", board.token_pool());
    while token_pool_text(&fixture.board).contains("spent: 1,") {
        tokio::task::yield_now().await;
    }
    install_config(&fixture.board, config_without_keys_of_a());
    reply_permits.add_permits(10);
    assert_eq!(
        first.await.unwrap().status,
        200,
        "the revocation must not interrupt a running request"
    );
    second.await.unwrap().assert_refused("unauthorized", true);
}

/// A change to an entry that serves, the headers of the request, and the code of its refusal.
type RefusalCase = (
    fn(&EntryFixture),
    &'static [(&'static str, &'static str)],
    &'static str,
);

/// Checks that an entry refuses a search without sending an attempt.
fn assert_request_refused((change, headers, code): RefusalCase) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .unwrap();
    runtime.block_on(async {
        let fixture = start_fixture(vec![attempt_handler(|_| async {
            panic!("a refused request must not reach a relay")
        })])
        .await;
        change(&fixture);
        let refused = fixture.connect_caller().await.send("search", headers).await;
        refused.assert_refused(code, true);
        assert!(
            refused.json["request_id"]
                .as_str()
                .is_some_and(|id| id.len() == 32)
        );
    });
}

limpet_testkit::cases! {
    assert_request_refused:
    an_unknown_key => (|_| {}, &[("authorization", "Bearer nobody")], "unauthorized"),
    no_key => (|_| {}, &[("authorization", "")], "unauthorized"),
    a_team_without_the_lookup =>
        (|f| change_config(f, |c| c.lookups[0].allowed_teams = vec!["b".into()]), &[], "forbidden"),
    an_unknown_lookup => (|f| change_config(f, |c| c.lookups.clear()), &[], "unknown_lookup"),
    a_stale_configuration =>
        (|f| f.board.config_fresh_until_us.store(0, Ordering::Release), &[], "config_stale"),
    no_configuration => (|f| f.board.config_in_force.store(None), &[], "starting"),
    a_starting_entry => (|f| f.board.phase.send_modify(|p| *p = Phase::Starting), &[], "starting"),
    a_draining_entry => (|f| f.board.phase.send_modify(|p| *p = Phase::Draining), &[], "draining"),
    a_disabled_zone =>
        (|f| change_config(f, |c| c.zones[0].state = ZoneState::Disabled), &[], "zone_out"),
    no_rate_token => (|f| *f.board.token_pool() = Default::default(), &[], "rate_limited"),
    a_bad_deadline => (|_| {}, &[("x-limpet-deadline-ms", "soon")], "bad_request"),
    a_bad_request_id => (|_| {}, &[("x-limpet-request-id", "12")], "bad_request"),
    no_known_owner => (|f| f.board.owner_directory.store(Arc::default()), &[], "not_owner"),
}

#[tokio::test]
async fn a_body_over_the_limit_is_refused_and_the_message_names_the_limit() {
    let fixture = start_fixture(vec![answering_handler()]).await;
    let body = Bytes::from(vec![b'x'; (1 << 20) + 1]);
    let refused = fixture
        .connect_caller()
        .await
        .send_body("search", &[], body)
        .await;
    refused.assert_refused("bad_request", true);
    assert!(
        refused.json["message"]
            .as_str()
            .unwrap()
            .contains("1048576")
    );
}

#[tokio::test]
async fn a_request_without_a_token_waits_for_a_grant() {
    let fixture = start_fixture(vec![answering_handler()]).await;
    *fixture.board.token_pool() = Default::default();
    let mut caller = fixture.connect_caller().await;
    let send = async { caller.send("search", &[]).await };
    let grant_later = async {
        tokio::time::sleep(Duration::from_millis(10)).await;
        grant_tokens(&fixture.board, "a", 1);
    };
    assert_eq!(tokio::join!(send, grant_later).0.status, 200);
}

#[tokio::test]
async fn an_open_service_needs_neither_key_nor_fresh_configuration() {
    let fixture = start_fixture(vec![answering_handler()]).await;
    change_config(&fixture, |config| config.services[0].is_open = true);
    fixture
        .board
        .config_fresh_until_us
        .store(0, Ordering::Release);
    let response = fixture
        .connect_caller()
        .await
        .send("search", &[("authorization", "")])
        .await;
    assert_eq!(response.status, 200, "{}", response.json);
}

/// Starts a relay that closes each connection once it has received the attempt, and never replies.
async fn start_relay_that_closes_after_the_request() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap();
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let mut received = Vec::new();
            while !received.windows(6).any(|window| window == b"planks") {
                if stream.read_buf(&mut received).await.unwrap_or(0) == 0 {
                    break;
                }
            }
        }
    });
    addr
}

/// Returns an address that refuses connections.
async fn closed_addr() -> SocketAddr {
    TcpListener::bind("127.0.0.1:0")
        .await
        .unwrap()
        .local_addr()
        .unwrap()
}

/// Searches through an entry whose only relay has this address.
async fn search_with_relay(relay: SocketAddr) -> CallerResponse {
    let limits = EntryLimits::default();
    let fixture =
        EntryFixture::start_with_owners(test_config(2, 1), &[relay], vec![], limits).await;
    fixture.connect_caller().await.send("search", &[]).await
}

#[tokio::test]
async fn a_relay_lost_before_the_request_means_not_run() {
    search_with_relay(closed_addr().await)
        .await
        .assert_refused("peer_unreachable", true);
}

#[tokio::test]
async fn a_relay_lost_after_the_request_may_have_run_it() {
    let refused = search_with_relay(start_relay_that_closes_after_the_request().await).await;
    refused.assert_refused("peer_unreachable", false);
}

#[tokio::test]
async fn not_run_is_true_only_if_every_relay_said_so() {
    let never_runs = attempt_handler(|request| async move {
        refusing_reply(&request, RefusalCode::TargetCold, true)
    });
    let refused = start_fixture(vec![never_runs])
        .await
        .connect_caller()
        .await
        .send("search", &[])
        .await;
    refused.assert_refused("target_cold", true);
    let may_run_on_one_shard = attempt_handler(|request| async move {
        refusing_reply(
            &request,
            RefusalCode::TargetFailed,
            &*request.shard == "s000",
        )
    });
    let refused = start_fixture(vec![may_run_on_one_shard])
        .await
        .connect_caller()
        .await
        .send("search", &[])
        .await;
    refused.assert_refused("target_failed", false);
}

#[tokio::test]
async fn a_drain_lets_running_requests_finish_and_refuses_new_ones() {
    let (attempt_started, reply_permits) = (Arc::new(Notify::new()), Arc::new(Semaphore::new(0)));
    let fixture = start_fixture(vec![gated_handler(&attempt_started, &reply_permits)]).await;
    let (mut first_caller, mut second_caller) = (
        fixture.connect_caller().await,
        fixture.connect_caller().await,
    );
    let first = tokio::spawn(async move { first_caller.send("search", &[]).await });
    attempt_started.notified().await;
    fixture.board.phase.send_replace(Phase::Draining);
    let entry = Arc::clone(&fixture.entry);
    let drain = tokio::spawn(async move { entry.drain().await });
    let refused = second_caller.send("search", &[]).await;
    refused.assert_refused("draining", true);
    assert_eq!(refused.headers["connection"], "close");
    assert!(
        !drain.is_finished(),
        "the drain must wait for the running request"
    );
    reply_permits.add_permits(10);
    assert_eq!(first.await.unwrap().status, 200);
    tokio::time::timeout(EVENT_TIMEOUT, drain)
        .await
        .unwrap()
        .unwrap();
}

#[tokio::test]
async fn dependencies_run_first_and_are_in_the_response() {
    let attempt_kinds = Arc::new(std::sync::Mutex::new(Vec::new()));
    let recorded_kinds = Arc::clone(&attempt_kinds);
    let relay = attempt_handler(move |request| {
        recorded_kinds.lock().unwrap().push(request.kind);
        async move { answering_reply(&request, 1, true) }
    });
    let fixture = start_fixture(vec![relay]).await;
    change_config(&fixture, |config| {
        config.lookups.push(Lookup {
            name: "offer".into(),
            service: "stock".into(),
            kind: AttemptKind::Exists,
            depends_on: vec!["search".into(), "record".into()],
            allowed_teams: vec![],
        });
    });
    let response = fixture
        .connect_caller()
        .await
        .send("offer", &[("x-limpet-record", "r")])
        .await;
    assert_eq!(response.json["found"], true, "{}", response.json);
    assert_eq!(response.json["dependencies"]["search"]["complete"], true);
    assert_eq!(response.json["dependencies"]["record"]["lookup"], "record");
    let attempt_kinds = attempt_kinds.lock().unwrap();
    let first_exists_index = attempt_kinds
        .iter()
        .position(|kind| *kind == AttemptKind::Exists);
    assert_eq!(first_exists_index, Some(3), "{attempt_kinds:?}");
}

#[tokio::test]
async fn a_team_needs_access_to_every_dependency() {
    let fixture = start_fixture(vec![answering_handler()]).await;
    change_config(&fixture, |config| {
        config.lookups[1].depends_on = vec!["search".into()];
        config.lookups[0].allowed_teams = vec!["a".into()];
    });
    let authorization = format!("Bearer {API_KEY_B}");
    let refused = fixture
        .connect_caller()
        .await
        .send("exists", &[("authorization", &authorization)])
        .await;
    refused.assert_refused("forbidden", true);
}
