//! Attempts that find no free connection to the chosen target.

mod support;

use std::{
    sync::Arc,
    time::Duration, //
};

use http::{
    HeaderMap,
    HeaderValue,
    Method,
    Uri, //
};
use limpet_decide::attempt_budget::ExtraAttempt;
use limpet_gateway::{
    SharedState,
    deployment_state::DeploymentState,
    query::{
        CrashRisk,
        Outcome,
        QueryContext,
        RunStatistics,
        run_split, //
    },
    route_table::RouteTable,
    target::OutgoingRequest,
};
use limpet_types::deployment::{
    Change,
    Destination,
    Idempotency,
    StateUpdate,
    TargetId,
    VersionedChange, //
};
use support::{
    Behaviour,
    FakeTarget,
    LAPSE_LIMITS,
    PEER_PORT,
    config,
    header_names,
    route,
    settings,
    target_record,
    unused_loopback_ip, //
};
use tokio::{
    task::JoinHandle,
    time::{
        Instant,
        sleep, //
    },
};

/// Time from the arrival of a request to its deadline.
const TIME_LEFT: Duration = Duration::from_millis(400);
/// Time after which a request that waits for a connection gets one.
const OCCUPIED_TIME: Duration = Duration::from_millis(15);
/// Latest time of its answer. The pause after a rejection is 50 ms.
const ANSWER_TIME_MAX: Duration = Duration::from_millis(45);

/// A process without its servers, which may hold one connection to each target of the service `s`.
struct Process {
    shared: Arc<SharedState>,
    _targets: Vec<FakeTarget>,
}

impl Process {
    async fn start(target_count: usize) -> Self {
        let mut settings = settings(&unused_loopback_ip(), PEER_PORT).await;
        settings.retry_limits.slack = 0.0;
        let shared = Arc::new(SharedState::new(settings, header_names()));
        let mut targets = Vec::new();
        let mut changes = Vec::new();
        for index in 0..target_count {
            let reply = Behaviour::Answer(200, b"good", Duration::ZERO);
            let target = FakeTarget::always(reply).await;
            let record = Arc::new(target_record("s", target.addr));
            changes.push(VersionedChange {
                revision: 1 + index as u64,
                change: Change::Target(target_id(index), record),
            });
            targets.push(target);
        }
        let mut state = DeploymentState::new(LAPSE_LIMITS);
        let update = StateUpdate {
            is_full_state: true,
            revision: target_count as u64,
            changes,
            age: Duration::ZERO,
        };
        state.apply(&update, Duration::ZERO, Duration::ZERO);
        shared.fleet().sync(&state, Duration::ZERO);
        Self {
            shared,
            _targets: targets,
        }
    }

    /// Occupies the connection to a target as an attempt does between its end and the next choice of a target.
    fn occupy(&self, index: usize) {
        let target = self.shared.fleet().get(&target_id(index)).unwrap();
        assert!(target.pool().reserve(1));
    }

    /// Releases the connection to a target.
    fn release(&self, index: usize) {
        let target = self.shared.fleet().get(&target_id(index)).unwrap();
        target.pool().release();
    }

    /// Closes the idle connection to a target, which the next request would use.
    fn close_idle(&self, index: usize) {
        let target = self.shared.fleet().get(&target_id(index)).unwrap();
        target.pool().close_idle();
    }

    /// Runs a request for the service.
    fn send(&self) -> JoinHandle<(Outcome, Arc<QueryContext>)> {
        let query = Arc::new(query(&self.shared));
        tokio::spawn(async move {
            let Destination::Split(split) = &query.route.destination else {
                panic!("the route is no split");
            };
            (run_split(Arc::clone(&query), split).await, query)
        })
    }

    /// Returns the number of retries that the requests so far have earned.
    fn earned_retry_count(&self) -> usize {
        let budgets = self.shared.retry_budgets("s");
        let now = self.shared.now();
        let spends = (0..100).map(|_| budgets.try_spend("s", ExtraAttempt::Retry, None, now));
        spends.filter(Result::is_ok).count()
    }
}

fn target_id(index: usize) -> TargetId {
    format!("t{index}").into()
}

fn query(shared: &Arc<SharedState>) -> QueryContext {
    let mut config = config(
        1,
        vec![route("/one/", Idempotency::Idempotent, "s")],
        &["s"],
    );
    config.services[0].connections_max = 1;
    let request_id = HeaderValue::from_static("request-1");
    let mut headers = HeaderMap::new();
    headers.insert(&shared.header_names.request_id, request_id.clone());
    let arrived_at = Instant::now();
    QueryContext {
        shared: Arc::clone(shared),
        route: config.routes[0].clone(),
        route_table: Arc::new(RouteTable::new(Arc::new(config))),
        request: OutgoingRequest {
            method: Method::GET,
            uri: Uri::from_static("/one/a"),
            headers,
            body: bytes::Bytes::new(),
            request_id,
        },
        arrived_at,
        goal_at: arrived_at + TIME_LEFT,
        priority: 0,
        deadline: arrived_at + TIME_LEFT,
        fingerprint: 1,
        known_strikes: 0,
        aggregator_count: None,
        run_statistics: RunStatistics::default(),
        crash_risk: CrashRisk::default(),
    }
}

/// Guards against a request that does not use a connection that becomes free, as after a rejection.
#[tokio::test]
async fn request_uses_a_connection_that_becomes_free() {
    let process = Process::start(1).await;
    let mut times = Vec::new();
    for _ in 0..5 {
        process.occupy(0);
        let started_at = Instant::now();
        let running = process.send();
        sleep(OCCUPIED_TIME).await;
        process.release(0);
        let (outcome, _) = running.await.unwrap();
        assert!(outcome.is_ok(), "{outcome:?}");
        times.push(started_at.elapsed());
        process.close_idle(0);
    }
    // One of them, because a busy test machine delays some.
    assert!(
        times.iter().any(|time| *time < ANSWER_TIME_MAX),
        "{times:?}"
    );
}

/// Guards against a request that waits for a connection of the chosen target although another target is free.
#[tokio::test]
async fn request_goes_to_another_target_that_is_free() {
    for occupied in 0..2 {
        let process = Process::start(2).await;
        process.occupy(occupied);
        for _ in 0..5 {
            let (outcome, _) = process.send().await.unwrap();
            assert!(outcome.is_ok(), "{outcome:?}");
        }
    }
}

/// Guards against a request that tries a target without a free connection again and again without a pause, and against one
/// that is held until its deadline or reported as run.
#[tokio::test]
async fn request_without_a_connection_is_not_run() {
    let process = Process::start(1).await;
    process.occupy(0);
    let started_at = Instant::now();
    let (outcome, query) = process.send().await.unwrap();
    let Err(error) = outcome else {
        panic!("it ran");
    };
    assert!(error.is_not_run);
    assert!(started_at.elapsed() < TIME_LEFT);
    let attempt_count = query.run_statistics.attempt_count();
    assert!(attempt_count < 100, "{attempt_count} attempts");
}

/// Guards against more extra attempts than the requests earn: one that tries its first attempt again is one request.
#[tokio::test]
async fn request_that_waits_for_a_connection_earns_budget_once() {
    let mut earned_counts = Vec::new();
    for is_occupied in [false, true] {
        let process = Process::start(1).await;
        for _ in 0..20 {
            if is_occupied {
                process.occupy(0);
            }
            let running = process.send();
            if is_occupied {
                sleep(OCCUPIED_TIME).await;
                process.release(0);
            }
            let (outcome, _) = running.await.unwrap();
            assert!(outcome.is_ok(), "{outcome:?}");
            process.close_idle(0);
        }
        earned_counts.push(process.earned_retry_count());
    }
    assert!(earned_counts[0] > 0);
    assert_eq!(earned_counts[0], earned_counts[1]);
}
