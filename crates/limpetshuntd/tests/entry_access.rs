//! Guards against revoked API keys that still work, against "not run" where something may have run,
//! and against a drain that cuts a request.

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
    refusing_reply, //
    test_config,
};
use tokio::{
    io::AsyncReadExt,
    net::TcpListener,
    sync::{
        Notify,
        Semaphore, //
    },
};

fn good() -> AttemptHandler {
    attempt_handler(|request| async move { answering_reply(&request, 1, true) })
}

/// Answers each attempt after the test adds a permit.
fn gated(started: &Arc<Notify>, gate: &Arc<Semaphore>) -> AttemptHandler {
    let (started, gate) = (Arc::clone(started), Arc::clone(gate));
    attempt_handler(move |request| {
        let (started, gate) = (Arc::clone(&started), Arc::clone(&gate));
        async move {
            started.notify_one();
            gate.acquire().await.unwrap().forget();
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

fn without_keys_of_a() -> Config {
    let mut config = test_config(2, 1);
    config.change(|parts| parts.teams[0].key_digests.clear());
    config
}

#[tokio::test]
async fn a_revoked_key_is_refused_on_an_open_connection() {
    let fixture = start_fixture(vec![good()]).await;
    let mut caller = fixture.connect_caller().await;
    assert_eq!(caller.send("search", &[]).await.status, 200);
    install_config(&fixture.board, without_keys_of_a());
    let refused = caller.send("search", &[]).await;
    refused.assert_refused("unauthorized", true);
    assert_eq!(refused.status, 401);
}

#[tokio::test]
async fn a_key_revoked_while_the_request_queues_is_refused() {
    let (started, gate) = (Arc::new(Notify::new()), Arc::new(Semaphore::new(0)));
    let limits = EntryLimits {
        queue: QueueLimits {
            running_max: 1,
            queued_per_team_max: 10,
            queued_max: 10,
        },
        ..EntryLimits::default()
    };
    let fixture =
        EntryFixture::start(test_config(1, 1), vec![gated(&started, &gate)], limits).await;
    let (mut first, mut second) = (
        fixture.connect_caller().await,
        fixture.connect_caller().await,
    );
    let first = tokio::spawn(async move { first.send("search", &[]).await });
    started.notified().await;
    let second = tokio::spawn(async move { second.send("search", &[]).await });
    // A token is spent just before the request queues.
    let tokens = |board: &limpetshuntd::Blackboard| format!("{:?}", board.token_pool());
    while tokens(&fixture.board).contains("spent: 1,") {
        tokio::task::yield_now().await;
    }
    install_config(&fixture.board, without_keys_of_a());
    gate.add_permits(10);
    assert_eq!(
        first.await.unwrap().status,
        200,
        "a running request is not cut"
    );
    second.await.unwrap().assert_refused("unauthorized", true);
}

/// A change to a serving fixture, the headers of the request, and the code of its refusal.
type RefusalCase = (
    fn(&EntryFixture),
    &'static [(&'static str, &'static str)],
    &'static str,
);

fn refuses((change, headers, code): RefusalCase) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .unwrap();
    runtime.block_on(async {
        let fixture = start_fixture(vec![attempt_handler(|_| async {
            panic!("nothing may reach a relay")
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
    refuses:
    an_unknown_key => (|_| {}, &[("authorization", "Bearer nobody")], "unauthorized"),
    no_key => (|_| {}, &[("authorization", "")], "unauthorized"),
    a_team_without_the_lookup =>
        (|f| change_config(f, |c| c.lookups[0].teams = vec!["b".into()]), &[], "forbidden"),
    an_unknown_lookup => (|f| change_config(f, |c| c.lookups.clear()), &[], "unknown_lookup"),
    a_stale_configuration =>
        (|f| f.board.config_fresh_until_us.store(0, Ordering::Release), &[], "config_stale"),
    no_configuration => (|f| f.board.config_in_force.store(None), &[], "starting"),
    a_starting_entry => (|f| f.board.phase.send_modify(|p| *p = Phase::Starting), &[], "starting"),
    a_draining_entry => (|f| f.board.phase.send_modify(|p| *p = Phase::Draining), &[], "draining"),
    its_zone_out => (|f| change_config(f, |c| c.zones[0].state = ZoneState::Disabled), &[], "zone_out"),
    no_token => (|f| *f.board.token_pool() = Default::default(), &[], "rate_limited"),
    a_bad_deadline => (|_| {}, &[("x-limpet-deadline-ms", "soon")], "bad_request"),
    a_bad_request_id => (|_| {}, &[("x-limpet-request-id", "12")], "bad_request"),
    no_owner_at_all => (|f| f.board.owner_directory.store(Arc::default()), &[], "not_owner"),
}

#[tokio::test]
async fn a_body_over_the_limit_is_refused_clearly() {
    let fixture = start_fixture(vec![good()]).await;
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
    let fixture = start_fixture(vec![good()]).await;
    *fixture.board.token_pool() = Default::default();
    let mut caller = fixture.connect_caller().await;
    let send = async { caller.send("search", &[]).await };
    let refill = async {
        tokio::time::sleep(Duration::from_millis(10)).await;
        grant_tokens(&fixture.board, "a", 1);
    };
    assert_eq!(tokio::join!(send, refill).0.status, 200);
}

#[tokio::test]
async fn an_open_route_needs_neither_key_nor_fresh_configuration() {
    let fixture = start_fixture(vec![good()]).await;
    change_config(&fixture, |config| config.services[0].open = true);
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

/// Accepts connections and closes each once the query has arrived.
async fn closes_after_the_request() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap();
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let mut received = Vec::new();
            while !received.windows(6).any(|part| part == b"planks") {
                if stream.read_buf(&mut received).await.unwrap_or(0) == 0 {
                    break;
                }
            }
        }
    });
    addr
}

async fn refused_addr() -> SocketAddr {
    TcpListener::bind("127.0.0.1:0")
        .await
        .unwrap()
        .local_addr()
        .unwrap()
}

async fn search_through(relay: SocketAddr) -> CallerResponse {
    let limits = EntryLimits::default();
    let fixture =
        EntryFixture::start_with_owners(test_config(2, 1), &[relay], vec![], limits).await;
    fixture.connect_caller().await.send("search", &[]).await
}

#[tokio::test]
async fn a_relay_lost_before_the_request_means_not_run() {
    search_through(refused_addr().await)
        .await
        .assert_refused("peer_unreachable", true);
}

#[tokio::test]
async fn a_relay_lost_after_the_request_may_have_run_it() {
    let refused = search_through(closes_after_the_request().await).await;
    refused.assert_refused("peer_unreachable", false);
}

#[tokio::test]
async fn not_run_is_true_only_if_every_relay_said_so() {
    let all = attempt_handler(|request| async move {
        refusing_reply(&request, RefusalCode::TargetCold, true)
    });
    let refused = start_fixture(vec![all])
        .await
        .connect_caller()
        .await
        .send("search", &[])
        .await;
    refused.assert_refused("target_cold", true);
    let one = attempt_handler(|request| async move {
        refusing_reply(
            &request,
            RefusalCode::TargetFailed,
            &*request.shard == "s000",
        )
    });
    let refused = start_fixture(vec![one])
        .await
        .connect_caller()
        .await
        .send("search", &[])
        .await;
    refused.assert_refused("target_failed", false);
}

#[tokio::test]
async fn a_drain_lets_running_requests_finish_and_refuses_new_ones() {
    let (started, gate) = (Arc::new(Notify::new()), Arc::new(Semaphore::new(0)));
    let fixture = start_fixture(vec![gated(&started, &gate)]).await;
    let (mut first, mut second) = (
        fixture.connect_caller().await,
        fixture.connect_caller().await,
    );
    let first = tokio::spawn(async move { first.send("search", &[]).await });
    started.notified().await;
    fixture.board.phase.send_replace(Phase::Draining);
    let entry = Arc::clone(&fixture.entry);
    let drain = tokio::spawn(async move { entry.drain().await });
    let refused = second.send("search", &[]).await;
    refused.assert_refused("draining", true);
    assert_eq!(refused.headers["connection"], "close");
    assert!(
        !drain.is_finished(),
        "the drain must wait for the running request"
    );
    gate.add_permits(10);
    assert_eq!(first.await.unwrap().status, 200);
    tokio::time::timeout(EVENT_TIMEOUT, drain)
        .await
        .unwrap()
        .unwrap();
}

#[tokio::test]
async fn dependencies_run_first_and_come_along() {
    let order = Arc::new(std::sync::Mutex::new(Vec::new()));
    let seen = Arc::clone(&order);
    let relay = attempt_handler(move |request| {
        seen.lock().unwrap().push(request.kind);
        async move { answering_reply(&request, 1, true) }
    });
    let fixture = start_fixture(vec![relay]).await;
    change_config(&fixture, |config| {
        config.lookups.push(Lookup {
            name: "offer".into(),
            service: "stock".into(),
            kind: AttemptKind::Exists,
            depends_on: vec!["search".into(), "record".into()],
            teams: vec![],
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
    let order = order.lock().unwrap();
    let first_exists = order.iter().position(|kind| *kind == AttemptKind::Exists);
    assert_eq!(first_exists, Some(3), "{order:?}");
}

#[tokio::test]
async fn a_team_needs_every_dependency() {
    let fixture = start_fixture(vec![good()]).await;
    change_config(&fixture, |config| {
        config.lookups[1].depends_on = vec!["search".into()];
        config.lookups[0].teams = vec!["a".into()];
    });
    let key = format!("Bearer {API_KEY_B}");
    let refused = fixture
        .connect_caller()
        .await
        .send("exists", &[("authorization", &key)])
        .await;
    refused.assert_refused("forbidden", true);
}
