//! Quarantine of requests that crash the targets that run them.

mod support;

#[path = "quarantine/gathers.rs"]
mod gathers;

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

use http::Method;
use limpet_decide::quarantine::QUERY_STRIKES_MAX;
use limpet_gateway::query::is_no_listener;
use limpet_types::deployment::Idempotency;
use support::{
    Behaviour,
    Deployment,
    FakeTarget,
    RunningGateway,
    call,
    config,
    get,
    route,
    scatter_gather_route,
    target_record, //
};
use tokio::time::sleep;

/// Time to wait after a request that crashes a target, until the gateway has checked whether the target still
/// listens.
const CRASH_CHECK_WAIT: Duration = Duration::from_millis(200);

/// Starts a gateway with targets that crash on a path that contains `poison`.
async fn start_gateway(target_count: usize) -> (RunningGateway, Vec<FakeTarget>) {
    start_gateway_with(target_count, 1, Behaviour::Crash, Duration::ZERO).await
}

/// Starts a gateway whose targets answer after `answer_delay`, except on a path that contains `poison`.
async fn start_gateway_with(
    target_count: usize,
    attempts_max: u32,
    crash: Behaviour,
    answer_delay: Duration,
) -> (RunningGateway, Vec<FakeTarget>) {
    let deployment = Deployment::new();
    let mut config = config(
        1,
        vec![route("/one/", Idempotency::Idempotent, "s")],
        &["s"],
    );
    config.routes[0].attempts_max = attempts_max;
    deployment.publish_config(config);
    let mut targets = Vec::new();
    for index in 0..target_count {
        let crash = crash.clone();
        let target = FakeTarget::start(move |_, request| match request.line.contains("poison") {
            true => crash.clone(),
            false => Behaviour::Answer(200, b"good", answer_delay),
        })
        .await;
        deployment.publish_target(&format!("t{index}"), target_record("s", target.addr));
        targets.push(target);
    }
    (RunningGateway::start(&deployment).await, targets)
}

/// Defines one test per error of a connection attempt and whether it shows that no process listens.
macro_rules! no_listener_tests {
    ($($name:ident => $error:ident, $is_no_listener:expr;)+) => {
        $(
            #[test]
            fn $name() {
                assert_eq!(is_no_listener(std::io::ErrorKind::$error), $is_no_listener);
            }
        )+
    };
}

// Guards against suspecting a request whose target only resets connections over its limit, or is separated by
// a network partition.
no_listener_tests! {
    refused_connection_shows_a_crash => ConnectionRefused, true;
    reset_connection_shows_no_crash => ConnectionReset, false;
    silent_connection_shows_no_crash => TimedOut, false;
}

/// Guards against a request that crashes one target after another while its caller repeats it.
#[tokio::test]
async fn crashing_request_is_refused_after_two_crashes() {
    let (gateway, targets) = start_gateway(5).await;
    let mut statuses = Vec::new();
    for attempt in 0..6 {
        let id = format!("attempt-{attempt}");
        let headers = [("t-key", "key-a"), ("t-id", id.as_str())];
        let addr = gateway.caller_addr;
        statuses.push(
            call(addr, Method::GET, "/one/poison", &headers, b"")
                .await
                .status,
        );
        sleep(CRASH_CHECK_WAIT).await;
    }
    let crashed_target_count = targets
        .iter()
        .filter(|target| !target.received_requests().is_empty())
        .count();
    assert_eq!(
        crashed_target_count, 2,
        "the request crashed {crashed_target_count} targets"
    );
    assert_eq!(statuses, [502, 502, 503, 503, 503, 503]);
    assert_eq!(get(gateway.caller_addr, "/one/other").await.status, 200);
}

/// Returns how many targets have received a request that crashes them.
fn crashed_count(targets: &[FakeTarget]) -> usize {
    let is_crashed = |target: &&FakeTarget| {
        let requests = target.received_requests();
        requests
            .iter()
            .any(|request| request.line.contains("poison"))
    };
    targets.iter().filter(is_crashed).count()
}

/// Guards against a crash that counts only against the query whose connection was seen to break first: one that crashes its
/// targets while others run there would never be refused, and one of the others would be.
#[tokio::test]
async fn crashing_request_among_others_is_refused() {
    const OTHERS: usize = 6;
    let deployment = Deployment::new();
    let mut config = config(
        1,
        vec![route("/one/", Idempotency::Idempotent, "s")],
        &["s"],
    );
    config.routes[0].attempts_max = 1;
    deployment.publish_config(config);
    let start_target = || {
        FakeTarget::start(|_, request| match request.line.contains("poison") {
            true => Behaviour::CrashLast,
            false => Behaviour::Answer(200, b"good", Duration::from_millis(120)),
        })
    };
    let mut targets = vec![start_target().await];
    deployment.publish_target("t0", target_record("s", targets[0].addr));
    let gateway = RunningGateway::start(&deployment).await;
    let addr = gateway.caller_addr;
    let send = move |path: String| {
        tokio::spawn(async move {
            let headers = [("t-key", "key-a"), ("t-id", path.as_str())];
            call(addr, Method::GET, &path, &headers, b"").await.status
        })
    };
    let send_others = || (0..OTHERS).map(|n| send(format!("/one/other-{n}")));
    let mut statuses = Vec::new();
    for _ in 0..6 {
        if crashed_count(&targets) == targets.len() {
            // The only target that runs, so that all requests meet there.
            let target = start_target().await;
            let id = format!("t{}", targets.len());
            deployment.publish_target(&id, target_record("s", target.addr));
            targets.push(target);
            sleep(CRASH_CHECK_WAIT).await;
        }
        for other in send_others() {
            assert_eq!(other.await.unwrap(), 200);
        }
        let others: Vec<_> = send_others().collect();
        sleep(Duration::from_millis(60)).await;
        statuses.push(send("/one/poison".to_owned()).await.unwrap());
        for other in others {
            other.await.unwrap();
        }
        sleep(CRASH_CHECK_WAIT).await;
    }
    assert_eq!(statuses, [502, 502, 502, 503, 503, 503]);
    assert_eq!(crashed_count(&targets), 3);
}

/// Guards against a query whose repetitions within one run count as one strike, so that it is refused too late.
///
/// The first run brings two strikes. The second one costs a target for each of its attempts, since the retry is sent before the
/// check of the first attempt has ended, and brings the third strike.
#[tokio::test]
async fn crashing_request_with_retries_is_refused_after_two_runs() {
    const ATTEMPTS_MAX: u32 = 2;
    let (gateway, targets) =
        start_gateway_with(8, ATTEMPTS_MAX, Behaviour::Crash, Duration::ZERO).await;
    for _ in 0..5 {
        get(gateway.caller_addr, "/one/poison").await;
        sleep(CRASH_CHECK_WAIT).await;
    }
    let crashed_count = crashed_count(&targets);
    assert!(
        crashed_count <= QUERY_STRIKES_MAX - 1 + ATTEMPTS_MAX as usize,
        "{crashed_count} targets crashed"
    );
    assert_eq!(get(gateway.caller_addr, "/one/poison").await.status, 503);
    assert_eq!(get(gateway.caller_addr, "/one/other").await.status, 200);
}

/// Guards against a query that is quarantined while it runs and still sends a retry.
#[tokio::test]
async fn query_that_is_quarantined_while_it_runs_sends_no_retry() {
    const TARGETS: usize = 8;
    const CRASHES: usize = 4;
    let deployment = Deployment::new();
    let mut route = route("/one/", Idempotency::Idempotent, "s");
    route.attempts_max = 2;
    // No hedge before the first attempt ends.
    route.latency_goal = Duration::from_secs(10);
    route.timeout = Duration::from_secs(10);
    deployment.publish_config(config(1, vec![route], &["s"]));
    let request_count = Arc::new(AtomicUsize::new(0));
    let mut targets = Vec::new();
    for index in 0..TARGETS {
        let request_count = Arc::clone(&request_count);
        let target =
            FakeTarget::start(
                move |_, _| match request_count.fetch_add(1, Ordering::Relaxed) {
                    0 => Behaviour::CloseAfter(Duration::from_millis(1_500)),
                    _ => Behaviour::Crash,
                },
            )
            .await;
        deployment.publish_target(&format!("t{index}"), target_record("s", target.addr));
        targets.push(target);
    }
    let gateway = RunningGateway::start(&deployment).await;
    let addr = gateway.caller_addr;
    let first = tokio::spawn(async move { get(addr, "/one/q").await.status });
    sleep(Duration::from_millis(100)).await;
    for _ in 0..2 {
        assert_eq!(get(addr, "/one/q").await.status, 502);
        sleep(CRASH_CHECK_WAIT).await;
    }
    assert_eq!(get(addr, "/one/q").await.status, 503, "not quarantined");
    assert!(!first.is_finished(), "the first run ended too early");
    assert_eq!(first.await.unwrap(), 502);
    assert_eq!(request_count.load(Ordering::Relaxed), 1 + CRASHES);
}

/// Guards against a scatter-gather query that crashes the targets of all shards and is not refused.
///
/// Each run costs up to one target for each attempt at each shard, because the attempts are sent before the checks of the first
/// ones have ended. The first run brings a strike as the only suspect, the second one the next, so there is no third.
#[tokio::test]
async fn crashing_gather_is_refused_after_two_runs() {
    const SHARDS: usize = 10;
    const ATTEMPTS_MAX: usize = 2;
    const RUNS: usize = 2;
    let deployment = Deployment::new();
    let names: Vec<String> = (0..SHARDS).map(|shard| format!("s{shard}")).collect();
    let names: Vec<&str> = names.iter().map(String::as_str).collect();
    let mut gather = scatter_gather_route("/all/", &names, 1.0);
    gather.attempts_max = ATTEMPTS_MAX as u32;
    deployment.publish_config(config(1, vec![gather], &names));
    let mut targets = Vec::new();
    for name in &names {
        // Enough for one run more.
        for number in 0..(RUNS + 1) * ATTEMPTS_MAX {
            let target = FakeTarget::start(|_, request| match request.line.contains("poison") {
                true => Behaviour::Crash,
                false => Behaviour::Answer(200, b"", Duration::from_millis(10)),
            })
            .await;
            let id = format!("{name}-{number}");
            deployment.publish_target(&id, target_record(name, target.addr));
            targets.push(target);
        }
    }
    let gateway = RunningGateway::start(&deployment).await;
    assert_eq!(get(gateway.caller_addr, "/all/other").await.status, 200);
    let mut statuses = Vec::new();
    for _ in 0..4 {
        statuses.push(get(gateway.caller_addr, "/all/poison").await.status);
        sleep(CRASH_CHECK_WAIT).await;
    }
    let crashed_count = crashed_count(&targets);
    assert!(
        crashed_count <= SHARDS * ATTEMPTS_MAX * RUNS,
        "{crashed_count} targets crashed"
    );
    assert_eq!(statuses[RUNS..], [503, 503]);
    assert_eq!(get(gateway.caller_addr, "/all/other").await.status, 200);
}

/// Guards against refusing a popular query everywhere because copies of it were in flight on targets that crashed, one of
/// them or several at once, once or again later.
async fn popular_query_survives_crashes(crashing_count: usize) {
    let is_crash_due = Arc::new(AtomicBool::new(false));
    let mut targets = Vec::new();
    let deployment = Deployment::new();
    deployment.publish_config(config(
        1,
        vec![route("/one/", Idempotency::Idempotent, "s")],
        &["s"],
    ));
    for index in 0..6 {
        let is_crash_due = Arc::clone(&is_crash_due);
        let target = FakeTarget::start(move |_, _| match is_crash_due.load(Ordering::Relaxed) {
            true if index < crashing_count => Behaviour::Crash,
            _ => Behaviour::Answer(200, b"good", Duration::from_millis(30)),
        })
        .await;
        deployment.publish_target(&format!("t{index}"), target_record("s", target.addr));
        targets.push(target);
    }
    let gateway = RunningGateway::start(&deployment).await;
    let addr = gateway.caller_addr;
    let send_copies = || async move {
        let copies: Vec<_> = (0..30)
            .map(|number| {
                tokio::spawn(async move {
                    let id = format!("copy-{number}");
                    let headers = [("t-key", "key-a"), ("t-id", id.as_str())];
                    call(addr, Method::GET, "/one/popular", &headers, b"")
                        .await
                        .status
                })
            })
            .collect();
        let mut served_count = 0;
        for copy in copies {
            served_count += usize::from(copy.await.unwrap() == 200);
        }
        served_count
    };
    assert_eq!(send_copies().await, 30);
    is_crash_due.store(true, Ordering::Relaxed);
    send_copies().await;
    sleep(CRASH_CHECK_WAIT).await;
    is_crash_due.store(false, Ordering::Relaxed);
    for _ in 0..3 {
        assert_eq!(send_copies().await, 30);
    }
}

limpet_testkit::async_cases! {
    popular_query_survives_crashes:
    popular_query_at_one_crash => 1,
    popular_query_at_two_crashes => 2,
    popular_query_at_four_crashes => 4,
}

/// Guards against refusing a request because its replies were lost although no target crashed.
#[tokio::test]
async fn lost_replies_do_not_count_as_crashes() {
    let target = FakeTarget::always(Behaviour::Close).await;
    let deployment = Deployment::new();
    deployment.publish_config(config(
        1,
        vec![route("/one/", Idempotency::Idempotent, "s")],
        &["s"],
    ));
    deployment.publish_target("t", target_record("s", target.addr));
    let gateway = RunningGateway::start(&deployment).await;
    for _ in 0..5 {
        assert_eq!(get(gateway.caller_addr, "/one/a").await.status, 502);
        sleep(CRASH_CHECK_WAIT).await;
    }
    assert_eq!(target.received_requests().len(), 5);
}

/// Guards against quarantining a query because several of its targets went down at once.
#[tokio::test]
async fn query_in_flight_while_many_targets_crash_is_not_quarantined() {
    let names = ["s0", "s1", "s2"];
    let deployment = Deployment::new();
    deployment.publish_config(config(
        1,
        vec![scatter_gather_route("/all/", &names, 0.3)],
        &names,
    ));
    let mut targets = Vec::new();
    for name in names {
        let crashing = FakeTarget::always(Behaviour::Crash).await;
        deployment.publish_target(
            &format!("crashing-{name}"),
            target_record(name, crashing.addr),
        );
        targets.push(crashing);
    }
    let gateway = RunningGateway::start(&deployment).await;
    assert_eq!(get(gateway.caller_addr, "/all/q").await.status, 502);
    sleep(CRASH_CHECK_WAIT).await;
    for name in names {
        let healthy = FakeTarget::always(Behaviour::Answer(200, b"", Duration::ZERO)).await;
        deployment.publish_target(
            &format!("healthy-{name}"),
            target_record(name, healthy.addr),
        );
        targets.push(healthy);
    }
    sleep(CRASH_CHECK_WAIT).await;
    assert_eq!(get(gateway.caller_addr, "/all/q").await.status, 200);
}
