//! Requests to one target: what is repeated, and what a caller is told.

mod support;

use std::time::{
    Duration,
    Instant, //
};

use limpet_types::deployment::Idempotency;
use support::{
    Behaviour,
    Deployment,
    Reply,
    RunningGateway,
    StandInTarget,
    call,
    get,
    post,
    record,
    route,
    text, //
};

const SOON: Duration = Duration::from_millis(2);

fn answers(body: &'static [u8]) -> Behaviour {
    Behaviour::Answer(200, body, SOON)
}

/// Names one asynchronous test per behaviour of every target.
macro_rules! behaviours {
    ($run:ident: $($name:ident => $behaviour:expr, $expected:expr;)+) => {
        $(
            #[tokio::test]
            async fn $name() {
                $run($behaviour, $expected).await;
            }
        )+
    };
}

async fn serve(idempotency: Idempotency, targets: &[&StandInTarget]) -> RunningGateway {
    let deployment = Deployment::new();
    deployment.publish_text(text(1, vec![route("/one/", idempotency, "s")], &["s"]));
    for (index, target) in targets.iter().enumerate() {
        deployment.publish_target(&format!("t{index}"), record("s", target.addr));
    }
    RunningGateway::start(&deployment).await
}

/// Sends one request that may run at most once to two targets that behave the same.
async fn send_once(behaviour: Behaviour) -> (Reply, usize) {
    let one = StandInTarget::always(behaviour.clone()).await;
    let other = StandInTarget::always(behaviour).await;
    let gateway = serve(Idempotency::AtMostOnce, &[&one, &other]).await;
    let reply = post(gateway.caller_addr, "/one/a", b"order").await;
    (reply, one.arrivals().len() + other.arrivals().len())
}

async fn runs_at_most_once(behaviour: Behaviour, status: u16) {
    let (reply, arrivals) = send_once(behaviour).await;
    assert_eq!(
        arrivals, 1,
        "a request that may run once reached several targets"
    );
    assert_eq!(reply.status, status);
}

// Guards against a second run after the first target failed, lost its reply or answered falsely.
behaviours! {
    runs_at_most_once:
    failed_reply_is_not_repeated => Behaviour::Answer(500, b"failed", SOON), 500;
    reply_at_the_deadline_is_not_repeated => Behaviour::Answer(504, b"", SOON), 504;
    lost_reply_is_not_repeated => Behaviour::Close, 502;
    crossed_reply_is_not_repeated => Behaviour::Crossed, 502;
    truncated_reply_is_not_repeated => Behaviour::Truncated, 502;
    unsigned_success_is_not_repeated => Behaviour::Unsigned, 502;
}

async fn is_not_run(behaviour: Behaviour, status: u16) {
    let (reply, arrivals) = send_once(behaviour).await;
    assert_eq!(
        arrivals, 2,
        "what did not run may be sent to another target"
    );
    assert_eq!(reply.status, status);
}

// Guards against refusing what another target could run, and against a false "may have run".
behaviours! {
    is_not_run:
    shed_request_is_refused_as_not_run => Behaviour::Shed, 503;
    misdirected_request_is_refused_as_not_run => Behaviour::OtherTarget, 503;
}

async fn repeats_safe(behaviour: Behaviour, body: &'static [u8]) {
    let broken = StandInTarget::start(move |_, _| behaviour.clone()).await;
    let sound = StandInTarget::always(answers(body)).await;
    let gateway = serve(Idempotency::Idempotent, &[&broken, &sound]).await;
    for _ in 0..4 {
        let reply = get(gateway.caller_addr, "/one/a").await;
        assert_eq!(reply.status, 200);
        assert_eq!(&*reply.body, body);
        assert_eq!(reply.header("t-signature"), "sig-request-1");
    }
}

// Guards against failing a request that may be repeated while another target is sound.
behaviours! {
    repeats_safe:
    failed_reply_is_repeated => Behaviour::Answer(500, b"failed", SOON), b"good";
    lost_reply_is_repeated => Behaviour::Close, b"good";
    crossed_reply_is_repeated => Behaviour::Crossed, b"good";
    truncated_reply_is_repeated => Behaviour::Truncated, b"good";
    unsigned_success_is_repeated => Behaviour::Unsigned, b"good";
    shed_request_is_repeated => Behaviour::Shed, b"good";
    silent_target_is_overtaken => Behaviour::Silent, b"good";
}

/// Guards against passing on what must not reach a target, and against losing what must.
#[tokio::test]
async fn target_gets_the_request_unchanged() {
    let target = StandInTarget::always(answers(b"good")).await;
    let gateway = serve(Idempotency::AtMostOnce, &[&target]).await;
    let headers = [
        ("t-key", "key-a"),
        ("t-team", "somebody-else"),
        ("t-expect", "some-target"),
        ("x-other", "kept"),
        ("t-deadline", "900"),
    ];
    let path = "/one/a%20b?c=d";
    let reply = call(
        gateway.caller_addr,
        http::Method::POST,
        path,
        &headers,
        b"body",
    )
    .await;
    assert_eq!(reply.status, 200);
    let arrivals = target.arrivals();
    assert_eq!(arrivals[0].line, "POST /one/a%20b?c=d HTTP/1.1");
    assert_eq!(arrivals[0].body, b"body");
    let header = |name: &str| arrivals[0].headers.get(name).map(|v| v.to_str().unwrap());
    assert_eq!(header("t-key"), None);
    assert_eq!(header("t-team"), Some("team-a"));
    assert_eq!(header("t-expect"), Some("t0"));
    assert_eq!(header("x-other"), Some("kept"));
    assert_eq!(header("host"), Some("shop.example"));
    let left_ms: u64 = header("t-deadline").unwrap().parse().unwrap();
    assert!(left_ms <= 900, "a target got {left_ms} ms of 900");
}

async fn refused(path: &str, headers: &[(&str, &str)], status: u16) {
    let target = StandInTarget::always(answers(b"good")).await;
    let gateway = serve(Idempotency::Idempotent, &[&target]).await;
    let body = &[b'x'; 2048][..];
    let body: &'static [u8] = if status == 413 {
        Box::leak(body.into())
    } else {
        b""
    };
    let reply = call(gateway.caller_addr, http::Method::POST, path, headers, body).await;
    assert_eq!(reply.status, status);
    assert!(
        target.arrivals().is_empty(),
        "a refused request reached a target"
    );
}

macro_rules! refusals {
    ($($name:ident => $path:expr, $headers:expr, $status:expr;)+) => {
        $(
            #[tokio::test]
            async fn $name() {
                refused($path, &$headers, $status).await;
            }
        )+
    };
}

// Guards against work for callers that are not entitled to it.
refusals! {
    missing_key_is_refused => "/one/a", [], 401;
    unknown_key_is_refused => "/one/a", [("t-key", "key-b")], 401;
    unknown_route_is_refused => "/two/a", [("t-key", "key-a")], 404;
    route_prefix_needs_its_slash => "/one", [("t-key", "key-a")], 404;
    large_body_is_refused => "/one/a", [("t-key", "key-a")], 413;
}

/// Guards against holding a request past its time, and against "not run" for one that may have.
#[tokio::test]
async fn silent_target_ends_in_a_timeout_at_once() {
    let target = StandInTarget::always(Behaviour::Silent).await;
    let gateway = serve(Idempotency::AtMostOnce, &[&target]).await;
    let headers = [("t-key", "key-a"), ("t-deadline", "300")];
    let started = Instant::now();
    let reply = call(
        gateway.caller_addr,
        http::Method::POST,
        "/one/a",
        &headers,
        b"",
    )
    .await;
    assert_eq!(reply.status, 504);
    assert!(started.elapsed() < Duration::from_millis(800));
}

/// Guards against a false "may have run" when no target was reached.
#[tokio::test]
async fn unreachable_targets_are_refused_as_not_run() {
    let gone = StandInTarget::always(answers(b"")).await;
    let gateway = serve(Idempotency::AtMostOnce, &[&gone]).await;
    drop(gone);
    tokio::time::sleep(Duration::from_millis(50)).await;
    let reply = post(gateway.caller_addr, "/one/a", b"order").await;
    assert_eq!(reply.status, 503);
}
