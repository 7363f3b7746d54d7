//! Scatter-gather queries that lose targets and must be served.

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

use limpet_decide::quarantine::QUERY_STRIKES_MAX;
use limpet_types::deployment::Idempotency;
use tokio::time::sleep;

use super::{
    CRASH_CHECK_WAIT,
    support::{
        Behaviour,
        Deployment,
        FakeTarget,
        RunningGateway,
        config,
        get,
        route,
        scatter_gather_route,
        target_record, //
    },
};

/// Guards against a scatter-gather query that fails because it lost several targets at once before its retries found room,
/// although other targets would reply.
#[tokio::test]
async fn gather_that_loses_three_targets_at_once_is_served() {
    const LOST: usize = 3;
    /// Longer than the check whether a target crashed.
    const HOLD_TIME: Duration = Duration::from_millis(400);
    /// Longer than the time until the retries start, so that no reply clears the query before.
    const REPLY_DELAY: Duration = Duration::from_millis(700);
    let names = ["s0", "s1", "s2", "s3", "s4"];
    let deployment = Deployment::new();
    let mut gather = scatter_gather_route("/all/", &names, 1.0);
    gather.attempts_max = 2;
    // No hedges.
    gather.latency_goal = Duration::from_secs(5);
    gather.timeout = Duration::from_secs(5);
    let mut routes = vec![gather];
    for name in &names[..LOST] {
        let prefix = format!("/hold-{name}/");
        routes.push(route(&prefix, Idempotency::Idempotent, name));
    }
    let mut config = config(1, routes, &names);
    for service in &mut config.services {
        service.connections_max = 1;
    }
    deployment.publish_config(config);
    let mut targets = Vec::new();
    for (index, name) in names.into_iter().enumerate() {
        // The first target of a shard that gets the query crashes.
        let is_crash_due = Arc::new(AtomicBool::new(index < LOST));
        for number in 0..2 {
            let is_crash_due = Arc::clone(&is_crash_due);
            let target = FakeTarget::start(move |_, request| {
                if request.line.contains("hold") {
                    return Behaviour::Answer(200, b"", HOLD_TIME);
                }
                match is_crash_due.swap(false, Ordering::Relaxed) {
                    true => Behaviour::Crash,
                    false => Behaviour::Answer(200, b"", REPLY_DELAY),
                }
            })
            .await;
            let id = format!("{name}-{number}");
            deployment.publish_target(&id, target_record(name, target.addr));
            targets.push(target);
        }
    }
    let gateway = RunningGateway::start(&deployment).await;
    let addr = gateway.caller_addr;
    let holds: Vec<_> = names[..LOST]
        .iter()
        .map(|name| {
            let path = format!("/hold-{name}/a");
            tokio::spawn(async move { get(addr, &path).await.status })
        })
        .collect();
    sleep(HOLD_TIME / 4).await;
    assert_eq!(get(addr, "/all/q").await.status, 200);
    for hold in holds {
        assert_eq!(hold.await.unwrap(), 200);
    }
    let request_count: usize = targets
        .iter()
        .map(|target| target.received_requests().len())
        .sum();
    // The requests that held targets, a first attempt for each shard, and a retry for each lost target.
    assert_eq!(request_count, LOST + names.len() + LOST);
}

/// Guards against quarantining a query that one shard ran without harm, because several targets of another shard went down.
#[tokio::test]
async fn gather_that_has_a_reply_is_not_quarantined_by_later_crashes() {
    let names = ["s0", "s1"];
    let deployment = Deployment::new();
    let mut gather = scatter_gather_route("/all/", &names, 1.0);
    gather.attempts_max = QUERY_STRIKES_MAX as u32;
    deployment.publish_config(config(1, vec![gather], &names));
    let survivor = FakeTarget::always(Behaviour::Answer(200, b"", Duration::ZERO)).await;
    deployment.publish_target("survivor", target_record("s0", survivor.addr));
    let request_count = Arc::new(AtomicUsize::new(0));
    let mut targets = Vec::new();
    for index in 0..QUERY_STRIKES_MAX + 2 {
        let request_count = Arc::clone(&request_count);
        let target =
            FakeTarget::start(
                move |_, _| match request_count.fetch_add(1, Ordering::Relaxed) {
                    // Later than the reply of the other shard.
                    0..QUERY_STRIKES_MAX => Behaviour::CrashAfter(Duration::from_millis(50)),
                    _ => Behaviour::Answer(200, b"", Duration::ZERO),
                },
            )
            .await;
        deployment.publish_target(&format!("t{index}"), target_record("s1", target.addr));
        targets.push(target);
    }
    let gateway = RunningGateway::start(&deployment).await;
    assert_eq!(get(gateway.caller_addr, "/all/q").await.status, 502);
    assert_eq!(request_count.load(Ordering::Relaxed), QUERY_STRIKES_MAX);
    sleep(CRASH_CHECK_WAIT).await;
    assert_eq!(get(gateway.caller_addr, "/all/q").await.status, 200);
}

/// Guards against a scatter-gather query with a strike whose parts all wait for one that a silent target holds.
#[tokio::test]
async fn gather_with_a_strike_is_served_despite_silent_targets() {
    let names = ["s0", "s1", "s2", "s3", "s4"];
    let deployment = Deployment::new();
    let mut gather = scatter_gather_route("/all/", &names, 0.6);
    gather.attempts_max = 1;
    deployment.publish_config(config(1, vec![gather], &names));
    let mut targets = Vec::new();
    for name in names {
        let target = FakeTarget::always(Behaviour::Crash).await;
        deployment.publish_target(
            &format!("crashing-{name}"),
            target_record(name, target.addr),
        );
        targets.push(target);
    }
    let gateway = RunningGateway::start(&deployment).await;
    assert_eq!(get(gateway.caller_addr, "/all/q").await.status, 502);
    sleep(CRASH_CHECK_WAIT).await;
    for (index, name) in names.into_iter().enumerate() {
        let behaviour = match index {
            0 | 1 => Behaviour::Silent,
            _ => Behaviour::Answer(200, b"", Duration::ZERO),
        };
        let target = FakeTarget::always(behaviour).await;
        deployment.publish_target(&format!("new-{name}"), target_record(name, target.addr));
        targets.push(target);
    }
    sleep(CRASH_CHECK_WAIT).await;
    assert_eq!(get(gateway.caller_addr, "/all/q").await.status, 200);
}
