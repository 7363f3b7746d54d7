//! Attempts that wait for room or for the retry budget, and the order in which they are served.

mod support;

use std::{
    sync::{
        Arc,
        atomic::{
            AtomicBool,
            AtomicUsize,
            Ordering, //
        },
    },
    time::Duration,
};

use futures::future::join_all;
use limpet_decide::attempt_budget::RetryRank;
use limpet_gateway::ranked_waiters::RankedWaiters;
use limpet_types::deployment::{
    Config,
    Idempotency, //
};
use support::{
    Behaviour,
    Deployment,
    FakeTarget,
    PEER_PORT,
    RunningGateway,
    config,
    get,
    route,
    scatter_gather_route,
    settings,
    target_record,
    unused_loopback_ip, //
};
use tokio::time::{
    Instant,
    sleep,
    timeout, //
};

const RECORD: &[u8; 16] = b"aaaaaaaaaaaaaaaa";
const REPLY_DELAY: Duration = Duration::from_millis(2);

/// Starts a gateway with a slack; `targets` are those of each service `s0`, `s1` and so on.
async fn start_gateway(config: Config, targets: &[&[&FakeTarget]], slack: f64) -> RunningGateway {
    let deployment = Deployment::new();
    deployment.publish_config(config);
    for (service, targets) in targets.iter().enumerate() {
        for (index, target) in targets.iter().enumerate() {
            let record = target_record(&format!("s{service}"), target.addr);
            deployment.publish_target(&format!("t{service}-{index}"), record);
        }
    }
    let mut settings = settings(&unused_loopback_ip(), PEER_PORT).await;
    settings.retry_limits.slack = slack;
    let gateway = RunningGateway::start_with(settings, &deployment).await;
    gateway.wait_ready().await;
    gateway
}

/// Guards against a request that waits for the connection of an attempt whose result nobody needs any more.
#[tokio::test]
async fn loser_of_a_hedge_gives_way_to_a_request() {
    let request_count = Arc::new(AtomicUsize::new(0));
    let start_target = || {
        let request_count = Arc::clone(&request_count);
        FakeTarget::start(move |_, request| {
            let is_first = request_count.fetch_add(1, Ordering::Relaxed) == 0;
            match (is_first, request.line.contains("/one/slow")) {
                (true, _) => Behaviour::Silent,
                (false, true) => Behaviour::Answer(200, RECORD, Duration::from_millis(120)),
                (false, false) => Behaviour::Answer(200, RECORD, REPLY_DELAY),
            }
        })
    };
    let targets = [start_target().await, start_target().await];
    let mut config = config(
        1,
        vec![route("/one/", Idempotency::Idempotent, "s0")],
        &["s0"],
    );
    // Each target accepts one connection.
    config.services[0].connections_max = 1;
    let gateway = start_gateway(config, &[&[&targets[0], &targets[1]]], 10.8).await;
    let addr = gateway.caller_addr;
    // The first attempt gets no reply; its hedge does.
    assert_eq!(get(addr, "/one/a").await.status, 200);
    let slow = tokio::spawn(async move { get(addr, "/one/slow").await.status });
    sleep(Duration::from_millis(20)).await;
    let started_at = Instant::now();
    assert_eq!(get(addr, "/one/b").await.status, 200);
    assert!(started_at.elapsed() < Duration::from_millis(70));
    assert_eq!(slow.await.unwrap(), 200);
}

/// Sends three gathers while the targets of one of their two shards are full; checks that all are answered once the
/// targets accept requests and `later_request_count` further requests have earned retries.
async fn rejected_parts_are_answered((slack, later_request_count): (f64, usize)) {
    let healthy = FakeTarget::always(Behaviour::Answer(200, RECORD, REPLY_DELAY)).await;
    let is_full = Arc::new(AtomicBool::new(true));
    let is_target_full = Arc::clone(&is_full);
    let full = FakeTarget::start(move |_, _| match is_target_full.load(Ordering::Relaxed) {
        true => Behaviour::Shed,
        false => Behaviour::Answer(200, RECORD, REPLY_DELAY),
    })
    .await;
    let routes = vec![
        scatter_gather_route("/all/", &["s0", "s1"], 1.0),
        route("/one/", Idempotency::Idempotent, "s1"),
    ];
    let config = config(1, routes, &["s0", "s1"]);
    let gateway = start_gateway(config, &[&[&healthy], &[&full]], slack).await;
    let addr = gateway.caller_addr;
    let queries: Vec<_> = (0..3)
        .map(|_| tokio::spawn(async move { get(addr, "/all/q").await.status }))
        .collect();
    while full.received_requests().len() < queries.len() {
        sleep(REPLY_DELAY).await;
    }
    sleep(REPLY_DELAY).await;
    is_full.store(false, Ordering::Relaxed);
    for _ in 0..later_request_count {
        assert_eq!(get(addr, "/one/a").await.status, 200);
    }
    for query in queries {
        assert_eq!(query.await.unwrap(), 200);
    }
}

// Guards against a part that fails after one rejected attempt although there is time. The second case has budget for one
// retry until further requests have earned more.
limpet_testkit::async_cases! {
    rejected_parts_are_answered:
    rejected_parts_wait_for_room => (10.8, 0),
    rejected_parts_wait_for_budget => (1.3, 14),
}

/// Guards against a retry that takes turns between waiting for budget and for room without end: two retries wait for
/// budget, and the first one gets it while the only target is not asked again yet.
#[tokio::test]
async fn retry_with_budget_and_without_room_waits() {
    let target = FakeTarget::start(|index, _| match index {
        0 | 1 => Behaviour::Shed,
        _ => Behaviour::Answer(200, RECORD, REPLY_DELAY),
    })
    .await;
    let config = config(
        1,
        vec![route("/one/", Idempotency::Idempotent, "s0")],
        &["s0"],
    );
    // The third request earns the first retry, and no second one.
    let gateway = start_gateway(config, &[&[&target]], 0.78).await;
    let addr = gateway.caller_addr;
    let rejected: Vec<_> = (0..2)
        .map(|_| tokio::spawn(async move { get(addr, "/one/a").await.status }))
        .collect();
    while target.received_requests().len() < rejected.len() {
        sleep(REPLY_DELAY).await;
    }
    sleep(REPLY_DELAY).await;
    assert_eq!(get(addr, "/one/b").await.status, 200);
    let mut statuses = Vec::new();
    for request in rejected {
        statuses.push(request.await.unwrap());
    }
    statuses.sort_unstable();
    assert_eq!(statuses, [200, 503]);
    assert_eq!(target.received_requests().len(), 4);
}

/// Guards against a gather that is held until its deadline, or reported as run, if no target took any of its parts, and
/// against callers that repeat it at once.
#[tokio::test]
async fn gather_that_ran_nowhere_is_refused_early() {
    let full = FakeTarget::always(Behaviour::Shed).await;
    let route = scatter_gather_route("/all/", &["s0", "s1"], 0.5);
    let config = config(1, vec![route], &["s0", "s1"]);
    let gateway = start_gateway(config, &[&[&full], &[&full]], 10.8).await;
    let started_at = Instant::now();
    let reply = get(gateway.caller_addr, "/all/q").await;
    assert_eq!(reply.status, 503);
    assert_ne!(reply.header("retry-after"), "");
    // A quarter of the goal of 400 ms, and a margin for a busy machine.
    assert!(started_at.elapsed() < Duration::from_millis(200));
}

/// Time in which the target of the blocked service usually replies, and timeout of the route.
const USUAL_DELAY: Duration = Duration::from_millis(300);
const TIMEOUT: Duration = Duration::from_secs(1);

/// Occupies all connections to the only target of a service, and checks that a request at `path` that needs the target
/// ends with `status` at the latest time at which a reply could still arrive in time.
async fn first_attempt_waits_in_vain((path, status): (&'static str, u16)) {
    let connection_count = 20;
    let target = FakeTarget::start(|_, request| match request.line.contains("/silent") {
        true => Behaviour::Silent,
        false => Behaviour::Answer(200, RECORD, USUAL_DELAY),
    })
    .await;
    let other = FakeTarget::always(Behaviour::Answer(200, RECORD, USUAL_DELAY)).await;
    let mut routes = vec![
        scatter_gather_route("/all/", &["s0", "s1"], 1.0),
        route("/one/", Idempotency::AtMostOnce, "s0"),
    ];
    for route in &mut routes {
        route.timeout = TIMEOUT;
        route.attempts_max = 1;
    }
    let mut config = config(1, routes, &["s0", "s1"]);
    // A part of the connections is kept as headroom.
    config.services[0].connections_max = connection_count * 5 / 4;
    let gateway = start_gateway(config, &[&[&target], &[&other]], 54.0).await;
    let addr = gateway.caller_addr;
    let usual = (0..connection_count).map(|_| async { get(addr, path).await.status });
    assert!(join_all(usual).await.iter().all(|status| *status == 200));
    for _ in 0..connection_count + 5 {
        tokio::spawn(get(addr, "/one/silent"));
    }
    sleep(TIMEOUT / 20).await;
    let started_at = Instant::now();
    let reply = get(addr, path).await;
    let elapsed = started_at.elapsed();
    assert_eq!(reply.status, status);
    // Half of the difference to the deadline is a margin for a busy machine.
    assert!(elapsed < TIMEOUT - USUAL_DELAY / 2, "{elapsed:?}");
    assert!(elapsed > TIMEOUT / 2, "{elapsed:?}");
}

// Guards against a request that waits for a target until its deadline although it could no longer be served by then. A
// gather whose other part has run ends at the same time.
limpet_testkit::async_cases! {
    first_attempt_waits_in_vain:
    lookup_ends_while_it_could_still_be_served => ("/one/a", 503),
    gather_ends_when_its_coverage_is_out_of_reach => ("/all/a", 502),
}

const fn rank(priority: u32, missing_count: usize, goal_ms: u64) -> RetryRank {
    RetryRank {
        priority,
        missing_count,
        goal_at: Duration::from_millis(goal_ms),
    }
}

/// Guards against room that goes to a request of a lower rank, and against room that is lost when a waiting request
/// cannot use it or its caller disconnects.
#[tokio::test]
async fn waiting_requests_are_woken_in_the_order_of_their_rank() {
    let waiters = Arc::new(RankedWaiters::new());
    let ranks = [
        rank(1, 1, 100),
        rank(0, 9, 900),
        rank(0, 2, 300),
        rank(0, 2, 200),
    ];
    let mut waits = ranks.map(|rank| Some(waiters.wait(rank)));
    waiters.wake_first();
    for index in [3, 2, 1, 0] {
        let wait = waits[index].take().unwrap();
        assert!(wait.is_first());
        timeout(Duration::from_millis(100), wait.woken())
            .await
            .expect("the next request was not woken");
        // Dropping it wakes the next one.
    }
    assert!(waiters.is_empty());
    let (first, second) = (waiters.wait(ranks[3]), waiters.wait(ranks[0]));
    first.pass_on();
    let woken = timeout(Duration::from_millis(100), second.woken()).await;
    woken.expect("the room was not passed on");
}
