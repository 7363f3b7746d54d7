//! Requests that crash the targets that run them.

mod support;

use std::time::Duration;

use http::Method;
use limpet_gateway::query::is_no_listener;
use limpet_types::deployment::Idempotency;
use support::{
    Behaviour,
    Deployment,
    RunningGateway,
    StandInTarget,
    call,
    gather_route,
    get,
    record,
    route,
    text, //
};
use tokio::time::sleep;

/// Longer than the check whether a target still listens.
const AFTER_CHECK: Duration = Duration::from_millis(200);

/// Starts targets that crash on a path below `/one/poison`.
async fn serve(targets: usize) -> (RunningGateway, Vec<StandInTarget>) {
    let deployment = Deployment::new();
    let mut text = text(
        1,
        vec![route("/one/", Idempotency::Idempotent, "s")],
        &["s"],
    );
    text.routes[0].attempts_max = 1;
    deployment.publish_text(text);
    let mut started = Vec::new();
    for index in 0..targets {
        let target = StandInTarget::start(|_, arrival| match arrival.line.contains("poison") {
            true => Behaviour::Crash,
            false => Behaviour::Answer(200, b"good", Duration::ZERO),
        })
        .await;
        deployment.publish_target(&format!("t{index}"), record("s", target.addr));
        started.push(target);
    }
    (RunningGateway::start(&deployment).await, started)
}

// Guards against suspecting requests whose target only resets connections over its limit, or is cut off.
macro_rules! no_listener {
    ($($name:ident => $error:ident, $is_gone:expr;)+) => {
        $(
            #[test]
            fn $name() {
                assert_eq!(is_no_listener(std::io::ErrorKind::$error), $is_gone);
            }
        )+
    };
}

no_listener! {
    refused_connection_shows_a_crash => ConnectionRefused, true;
    reset_connection_shows_no_crash => ConnectionReset, false;
    silent_connection_shows_no_crash => TimedOut, false;
}

/// Guards against a request that takes down one target after the other.
#[tokio::test]
async fn poison_request_is_refused_after_two_crashes() {
    let (gateway, targets) = serve(5).await;
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
        sleep(AFTER_CHECK).await;
    }
    let crashes = targets
        .iter()
        .filter(|target| !target.arrivals().is_empty())
        .count();
    assert_eq!(crashes, 2, "the request reached {crashes} targets");
    assert_eq!(statuses, [502, 502, 503, 503, 503, 503]);
    assert_eq!(get(gateway.caller_addr, "/one/other").await.status, 200);
}

/// Guards against refusing a request whose reply was lost although no target crashed.
#[tokio::test]
async fn lost_replies_are_no_crashes() {
    let target = StandInTarget::always(Behaviour::Close).await;
    let deployment = Deployment::new();
    deployment.publish_text(text(
        1,
        vec![route("/one/", Idempotency::Idempotent, "s")],
        &["s"],
    ));
    deployment.publish_target("t", record("s", target.addr));
    let gateway = RunningGateway::start(&deployment).await;
    for _ in 0..5 {
        assert_eq!(get(gateway.caller_addr, "/one/a").await.status, 502);
        sleep(AFTER_CHECK).await;
    }
    assert_eq!(target.arrivals().len(), 5);
}

/// Guards against refusing an innocent query because several of its targets went down at once.
#[tokio::test]
async fn query_in_flight_while_many_targets_crash_may_come_again() {
    let names = ["s0", "s1", "s2"];
    let deployment = Deployment::new();
    deployment.publish_text(text(1, vec![gather_route("/all/", &names, 0.3)], &names));
    let mut targets = Vec::new();
    for name in names {
        let crashing = StandInTarget::always(Behaviour::Crash).await;
        deployment.publish_target(&format!("crashing-{name}"), record(name, crashing.addr));
        targets.push(crashing);
    }
    let gateway = RunningGateway::start(&deployment).await;
    assert_eq!(get(gateway.caller_addr, "/all/q").await.status, 502);
    sleep(AFTER_CHECK).await;
    for name in names {
        let sound = StandInTarget::always(Behaviour::Answer(200, b"", Duration::ZERO)).await;
        deployment.publish_target(&format!("sound-{name}"), record(name, sound.addr));
        targets.push(sound);
    }
    sleep(AFTER_CHECK).await;
    assert_eq!(get(gateway.caller_addr, "/all/q").await.status, 200);
}
