//! Scatter-gather requests: merged answers, missing shards and required coverage.

mod support;

use std::{
    sync::{
        Arc,
        atomic::{
            AtomicBool,
            Ordering, //
        },
    },
    time::{
        Duration,
        Instant, //
    },
};

use limpet_types::deployment::Change;
use support::{
    Behaviour,
    Deployment,
    FakeTarget,
    RunningGateway,
    config,
    get,
    scatter_gather_route,
    target_record, //
};

const REPLY_DELAY: Duration = Duration::from_millis(2);
/// After the latest time of a partial answer, 0.85 of the goal of 400 ms, by less than a detached attempt may run.
const LATE_REPLY_DELAY: Duration = Duration::from_millis(400);
const RECORD_A: &[u8; 16] = b"aaaaaaaaaaaaaaaa";
const RECORDS_A_B: &[u8; 32] = b"aaaaaaaaaaaaaaaabbbbbbbbbbbbbbbb";
const RECORD_C_AND_TRAILING_BYTES: &[u8; 20] = b"ccccccccccccccccrest";

fn ok_reply(body: &'static [u8]) -> Behaviour {
    Behaviour::Answer(200, body, REPLY_DELAY)
}

/// Starts a gateway with a route over shards that have one target each.
async fn start_gateway(
    behaviours: &[Behaviour],
    coverage_min: f64,
) -> (RunningGateway, Vec<FakeTarget>) {
    let names: Vec<String> = (0..behaviours.len())
        .map(|shard| format!("s{shard}"))
        .collect();
    let names: Vec<&str> = names.iter().map(String::as_str).collect();
    let deployment = Deployment::new();
    deployment.publish_config(config(
        1,
        vec![scatter_gather_route("/all/", &names, coverage_min)],
        &names,
    ));
    let mut targets = Vec::new();
    for (name, behaviour) in names.iter().zip(behaviours) {
        let target = FakeTarget::always(behaviour.clone()).await;
        deployment.publish_target(&format!("t-{name}"), target_record(name, target.addr));
        targets.push(target);
    }
    (RunningGateway::start(&deployment).await, targets)
}

/// Guards against wrong records, a wrong order and a missing part signature.
#[tokio::test]
async fn answer_holds_the_greatest_records_of_all_parts() {
    let behaviours = [
        ok_reply(RECORDS_A_B),
        ok_reply(RECORD_C_AND_TRAILING_BYTES),
        ok_reply(RECORD_A),
    ];
    let (gateway, _targets) = start_gateway(&behaviours, 1.0).await;
    let reply = get(gateway.caller_addr, "/all/q").await;
    assert_eq!(reply.status, 200);
    assert_eq!(
        &*reply.body,
        b"ccccccccccccccccbbbbbbbbbbbbbbbbaaaaaaaaaaaaaaaa"
    );
    assert_eq!(reply.header("t-missing"), "0");
    assert_eq!(reply.header("t-parts").split(", ").count(), 3);
}

/// Checks that a partial answer is sent in time if the last of three shards shows `behaviour`.
async fn check_partial_answer(behaviour: Behaviour) {
    let behaviours = [ok_reply(RECORDS_A_B), ok_reply(RECORD_A), behaviour];
    let (gateway, _targets) = start_gateway(&behaviours, 0.6).await;
    let started = Instant::now();
    let reply = get(gateway.caller_addr, "/all/q").await;
    assert_eq!(reply.status, 200);
    assert_eq!(reply.header("t-missing"), "1");
    assert_eq!(reply.header("t-parts").split(", ").count(), 2);
    // The latency goal of the route is 400 ms; a partial answer must be sent before it.
    assert!(started.elapsed() < Duration::from_millis(400));
}

/// Checks that a query fails if the last of two shards shows `behaviour` and both shards are required.
async fn check_insufficient_coverage(behaviour: Behaviour) {
    let (gateway, _targets) = start_gateway(&[ok_reply(RECORD_A), behaviour], 0.9).await;
    let started = Instant::now();
    let reply = get(gateway.caller_addr, "/all/q").await;
    // One shard has run the request, so 503, which means "not run", would be wrong.
    assert_eq!(reply.status, 502);
    assert!(
        started.elapsed() < Duration::from_secs(1),
        "the error must be sent as soon as the coverage is out of reach"
    );
}

/// Defines one test per behaviour of the last shard, which passes the behaviour to a check.
macro_rules! shard_tests {
    ($check:ident: $($name:ident => $behaviour:expr;)+) => {
        $(
            #[tokio::test]
            async fn $name() {
                $check($behaviour).await;
            }
        )+
    };
}

// Guards against counting a shard as covered although its reply is no valid part.
shard_tests! {
    check_partial_answer:
    failed_reply_is_not_a_part => Behaviour::Answer(500, RECORD_A, REPLY_DELAY);
    shed_request_is_not_a_part => Behaviour::Shed;
    lost_reply_is_not_a_part => Behaviour::Close;
    truncated_reply_is_not_a_part => Behaviour::Truncated;
    reply_to_another_request_is_not_a_part => Behaviour::WrongRequestId;
    silent_target_is_not_a_part => Behaviour::Silent;
}

// Guards against a success below the configured coverage, and against reporting a query as not run although a
// shard ran it.
shard_tests! {
    check_insufficient_coverage:
    failed_reply_ends_the_query => Behaviour::Answer(500, RECORD_A, REPLY_DELAY);
    shed_request_ends_the_query => Behaviour::Shed;
    lost_reply_ends_the_query => Behaviour::Close;
}

/// Guards against reporting that a query may have run when every shard refused it.
#[tokio::test]
async fn query_that_ran_nowhere_is_refused_as_not_run() {
    let (gateway, _targets) = start_gateway(&[Behaviour::Shed, Behaviour::Shed], 0.5).await;
    assert_eq!(get(gateway.caller_addr, "/all/q").await.status, 503);
}

/// Guards against mixing the shards of two config versions in one answer.
#[tokio::test]
async fn running_query_keeps_the_shards_of_its_version() {
    let slow = Behaviour::Answer(200, RECORD_A, Duration::from_millis(200));
    let old_targets = [
        FakeTarget::always(slow.clone()).await,
        FakeTarget::always(slow).await,
    ];
    let new_target = FakeTarget::always(ok_reply(RECORDS_A_B)).await;
    let deployment = Deployment::new();
    let services = ["old0", "old1", "new0"];
    let route = scatter_gather_route("/all/", &["old0", "old1"], 1.0);
    deployment.publish_config(config(1, vec![route], &services));
    deployment.publish_target("o0", target_record("old0", old_targets[0].addr));
    deployment.publish_target("o1", target_record("old1", old_targets[1].addr));
    deployment.publish_target("n0", target_record("new0", new_target.addr));
    let gateway = RunningGateway::start(&deployment).await;
    let addr = gateway.caller_addr;
    let query = tokio::spawn(async move { get(addr, "/all/q").await });
    while old_targets[0].received_requests().is_empty() {
        tokio::time::sleep(REPLY_DELAY).await;
    }
    let route = scatter_gather_route("/all/", &["new0"], 1.0);
    deployment.publish(Change::Config(config(2, vec![route], &services).into()));
    let reply = query.await.unwrap();
    assert_eq!(reply.header("t-parts").split(", ").count(), 2);
    assert!(
        new_target.received_requests().is_empty(),
        "a running query reached a shard of the next config version"
    );
    while new_target.received_requests().is_empty() {
        get(addr, "/all/q").await;
    }
}

/// Guards against waiting in every query for a shard whose targets have stopped replying.
#[tokio::test]
async fn silent_shard_is_left_out_without_waiting() {
    let is_silent = Arc::new(AtomicBool::new(false));
    let is_target_silent = Arc::clone(&is_silent);
    let silent_target =
        FakeTarget::start(move |_, _| match is_target_silent.load(Ordering::Relaxed) {
            true => Behaviour::Silent,
            false => ok_reply(RECORD_A),
        })
        .await;
    let healthy_targets = [
        FakeTarget::always(ok_reply(RECORDS_A_B)).await,
        FakeTarget::always(ok_reply(RECORD_A)).await,
    ];
    let names = ["s0", "s1", "s2"];
    let deployment = Deployment::new();
    deployment.publish_config(config(
        1,
        vec![scatter_gather_route("/all/", &names, 0.6)],
        &names,
    ));
    for (name, target) in
        names
            .iter()
            .zip([&silent_target, &healthy_targets[0], &healthy_targets[1]])
    {
        deployment.publish_target(&format!("t-{name}"), target_record(name, target.addr));
    }
    let gateway = RunningGateway::start(&deployment).await;
    for _ in 0..40 {
        get(gateway.caller_addr, "/all/q").await;
    }
    is_silent.store(true, Ordering::Relaxed);
    let mut durations = Vec::new();
    for _ in 0..8 {
        let started = Instant::now();
        let reply = get(gateway.caller_addr, "/all/q").await;
        assert_eq!(reply.header("t-missing"), "1");
        durations.push(started.elapsed());
    }
    let waited_count = durations
        .iter()
        .filter(|duration| **duration > Duration::from_millis(200))
        .count();
    assert!(
        waited_count <= 4,
        "{waited_count} of 8 queries waited for a silent shard: {durations:?}"
    );
}

/// Guards against closing the connection of a part that arrives soon after the partial answer, and against sending
/// another request for it.
#[tokio::test]
async fn connection_of_a_late_part_is_reused() {
    let late = Behaviour::Answer(200, RECORD_A, LATE_REPLY_DELAY);
    let (gateway, targets) = start_gateway(&[ok_reply(RECORD_A), late], 0.5).await;
    for _ in 0..2 {
        assert_eq!(get(gateway.caller_addr, "/all/a").await.status, 200);
        tokio::time::sleep(Duration::from_millis(150)).await;
    }
    assert_eq!(targets[1].received_requests().len(), 2);
    assert_eq!(targets[1].accepted_connection_count(), 1);
}
