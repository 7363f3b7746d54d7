//! Targets that say in their replies that they leave, or want no requests for a while.

mod support;

use std::time::Duration;

use limpet_types::deployment::{
    Change,
    Idempotency,
    TargetRecord, //
};
use support::{
    Behaviour,
    Deployment,
    FakeTarget,
    RunningGateway,
    config,
    get,
    post,
    route,
    scatter_gather_route,
    target_record, //
};
use tokio::time::{
    Instant,
    sleep, //
};

const RECORD: &[u8; 16] = b"aaaaaaaaaaaaaaaa";
/// Time within which a gateway applies a change of its deployment.
const APPLY_TIME: Duration = Duration::from_millis(400);

/// Starts a gateway with routes to the targets `t0`, `t1` and so on of one service.
async fn start_gateway(targets: &[&FakeTarget]) -> (RunningGateway, Deployment) {
    let mut routes = vec![
        route("/one/", Idempotency::Idempotent, "s"),
        route("/order/", Idempotency::AtMostOnce, "s"),
        scatter_gather_route("/all/", &["s"], 0.5),
    ];
    for route in &mut routes {
        route.attempts_max = 3;
    }
    let deployment = Deployment::new();
    deployment.publish_config(config(1, routes, &["s"]));
    for (index, target) in targets.iter().enumerate() {
        deployment.publish_target(&format!("t{index}"), record(target));
    }
    (RunningGateway::start(&deployment).await, deployment)
}

fn record(target: &FakeTarget) -> TargetRecord {
    TargetRecord {
        started_ms: Some(1),
        ..target_record("s", target.addr)
    }
}

/// Sends requests one after the other until the target has answered one of them.
async fn send_until_answered(gateway: &RunningGateway, path: &str, target: &FakeTarget) {
    for _ in 0..100 {
        let _ = get(gateway.caller_addr, path).await;
        if !target.received_requests().is_empty() {
            return;
        }
    }
    panic!("the target got no request");
}

/// Checks that a target that gave a notice with its first reply gets no further request, on any route.
async fn notice_ends_requests((path, behaviour): (&str, Behaviour)) {
    let noticing = FakeTarget::always(behaviour).await;
    let other = FakeTarget::always(Behaviour::Answer(200, RECORD, Duration::ZERO)).await;
    let (gateway, _) = start_gateway(&[&noticing, &other]).await;
    send_until_answered(&gateway, path, &noticing).await;
    for _ in 0..30 {
        for path in ["/one/a", "/all/a"] {
            assert_eq!(get(gateway.caller_addr, path).await.status, 200);
        }
        assert_eq!(
            post(gateway.caller_addr, "/order/a", b"x").await.status,
            200
        );
    }
    assert_eq!(noticing.received_requests().len(), 1);
}

// Guards against requests to a target after it has said that it leaves, or wants none, in whatever reply.
limpet_testkit::async_cases! {
    notice_ends_requests:
    leaving_in_a_success => ("/one/a", Behaviour::AnswerWith(200, RECORD, "t-leaving: 1\r\n")),
    leaving_in_a_part => ("/all/a", Behaviour::AnswerWith(200, RECORD, "T-Leaving:  1 \r\n")),
    leaving_in_an_error => ("/one/a", Behaviour::AnswerWith(500, b"", "t-leaving: 1\r\n")),
    leaving_in_a_refusal => ("/order/a", Behaviour::AnswerWith(503, b"", "t-not-run: 1\r\nt-leaving: 1\r\n")),
    leaving_after_another_value => ("/one/a", Behaviour::AnswerWith(200, RECORD, "t-leaving: 0\r\nt-leaving: 1\r\n")),
    pause_in_a_refusal => ("/order/a", Behaviour::AnswerWith(503, b"", "t-not-run: 1\r\nretry-after: 30\r\n")),
    pause_in_an_error => ("/one/a", Behaviour::AnswerWith(503, b"", "retry-after: 30.5\r\n")),
    pause_of_a_part => ("/all/a", Behaviour::AnswerWith(503, b"", "t-not-run: 1\r\nretry-after: 30\r\n")),
}

/// Checks that a reply which is no notice does not keep requests from its target.
async fn target_stays_in_use(headers: &'static str) {
    let target = FakeTarget::always(Behaviour::AnswerWith(200, RECORD, headers)).await;
    let (gateway, _) = start_gateway(&[&target]).await;
    for _ in 0..5 {
        assert_eq!(get(gateway.caller_addr, "/one/a").await.status, 200);
    }
}

// Guards against a target that is lost to its service because of a header that says nothing of the kind.
limpet_testkit::async_cases! {
    target_stays_in_use:
    not_leaving => "t-leaving: 0\r\n",
    leaving_without_value => "t-leaving:\r\n",
    retry_after_in_a_success => "retry-after: 30\r\n",
}

/// Guards against a target that left and is used again because its record was written once more, or lapsed and came back,
/// and against one that is not used after its restart.
#[tokio::test]
async fn notice_lasts_as_long_as_the_incarnation() {
    let leaving = FakeTarget::start(|index, _| match index {
        0 => Behaviour::AnswerWith(200, RECORD, "t-leaving: 1\r\n"),
        _ => Behaviour::Answer(200, RECORD, Duration::ZERO),
    })
    .await;
    let (gateway, deployment) = start_gateway(&[&leaving]).await;
    assert_eq!(get(gateway.caller_addr, "/one/a").await.status, 200);
    let rewritten = TargetRecord {
        slots: 3,
        ..record(&leaving)
    };
    deployment.publish_target("t0", rewritten.clone());
    sleep(APPLY_TIME).await;
    assert_eq!(get(gateway.caller_addr, "/one/a").await.status, 503);
    deployment.publish(Change::TargetRemoved("t0".into()));
    sleep(APPLY_TIME).await;
    deployment.publish_target("t0", rewritten.clone());
    sleep(APPLY_TIME).await;
    assert_eq!(get(gateway.caller_addr, "/one/a").await.status, 503);
    assert_eq!(leaving.received_requests().len(), 1);
    let restarted = TargetRecord {
        started_ms: Some(2),
        ..rewritten
    };
    deployment.publish_target("t0", restarted);
    sleep(APPLY_TIME).await;
    assert_eq!(get(gateway.caller_addr, "/one/a").await.status, 200);
}

/// Guards against requests within a pause, against callers that are held until its end, and against a target that is
/// forgotten after it.
#[tokio::test]
async fn paused_target_is_used_again_after_its_pause() {
    let pausing = FakeTarget::start(|index, _| match index {
        0 => Behaviour::AnswerWith(503, b"", "t-not-run: 1\r\nretry-after: 1.5\r\n"),
        _ => Behaviour::Answer(200, RECORD, Duration::ZERO),
    })
    .await;
    let (gateway, _) = start_gateway(&[&pausing]).await;
    let paused_at = Instant::now();
    assert_eq!(get(gateway.caller_addr, "/one/a").await.status, 503);
    while paused_at.elapsed() < Duration::from_millis(1300) {
        let asked_at = Instant::now();
        let reply = get(gateway.caller_addr, "/one/a").await;
        assert_eq!(reply.status, 503, "the target wants no requests");
        assert!(asked_at.elapsed() < Duration::from_millis(200));
        let retry_after: f64 = reply.header("retry-after").parse().unwrap();
        assert!(retry_after > 0.1 && retry_after <= 1.5, "{retry_after}");
        sleep(Duration::from_millis(50)).await;
    }
    assert_eq!(pausing.received_requests().len(), 1);
    sleep(Duration::from_millis(250)).await;
    assert_eq!(get(gateway.caller_addr, "/one/a").await.status, 200);
}

/// Guards against a burst of requests that are sent together in a pause.
#[tokio::test]
async fn burst_is_not_sent_in_a_pause() {
    let pausing = FakeTarget::start(|index, _| match index {
        0 => Behaviour::AnswerWith(503, b"", "t-not-run: 1\r\nretry-after: 30\r\n"),
        _ => Behaviour::Answer(200, RECORD, Duration::ZERO),
    })
    .await;
    let (gateway, _) = start_gateway(&[&pausing]).await;
    assert_eq!(get(gateway.caller_addr, "/one/a").await.status, 503);
    let addr = gateway.caller_addr;
    let requests: Vec<_> = (0..40)
        .map(|_| tokio::spawn(async move { get(addr, "/one/a").await.status }))
        .collect();
    for request in requests {
        assert_eq!(request.await.unwrap(), 503);
    }
    assert_eq!(pausing.received_requests().len(), 1);
}
