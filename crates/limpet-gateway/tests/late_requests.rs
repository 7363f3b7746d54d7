//! Requests that are too late for their latency goal leave tokens of their team to others.

mod support;

use std::time::Duration;

use http::Method;
use limpet_gateway::{
    SharedState,
    rate::{
        TokenBucket,
        WaitTimeEstimator, //
    },
};
use limpet_types::deployment::Idempotency;
use support::{
    Behaviour,
    Deployment,
    FakeTarget,
    PEER_PORT,
    RunningGateway,
    call,
    config,
    header_names,
    route,
    settings,
    target_record,
    unused_loopback_ip, //
};
use tokio::time::sleep;

const LATENCY_GOAL: Duration = Duration::from_millis(100);
/// Timeout that a caller states in its first attempt.
const FIRST_ATTEMPT_TIMEOUT: Duration = Duration::from_millis(600);
/// Rest of the timeout that a caller states in a retry.
const RETRY_TIMEOUT: Duration = Duration::from_millis(380);

/// Sends a request that states the timeout of its caller; returns the status.
async fn send(gateway: &RunningGateway, timeout: Duration) -> u16 {
    let timeout_ms = timeout.as_millis().to_string();
    let headers = [("t-key", "key-a"), ("t-deadline", timeout_ms.as_str())];
    let reply = call(gateway.caller_addr, Method::GET, "/one/a", &headers, b"").await;
    reply.status
}

/// Guards against spending the tokens of a team over its rate on requests whose answers would be too late,
/// while others could be answered in time.
#[tokio::test]
async fn tokens_go_to_requests_that_can_meet_their_goal() {
    let target = FakeTarget::always(Behaviour::Answer(200, b"good", Duration::ZERO)).await;
    let mut config = config(
        1,
        vec![route("/one/", Idempotency::Idempotent, "s")],
        &["s"],
    );
    config.routes[0].latency_goal = LATENCY_GOAL;
    let team = &mut config.teams.as_mut().unwrap()[0];
    (team.rate_per_s, team.burst) = (10.0, 10.0);
    let deployment = Deployment::new();
    deployment.publish_config(config);
    deployment.publish_target("t", target_record("s", target.addr));
    let gateway = RunningGateway::start(&deployment).await;
    while send(&gateway, FIRST_ATTEMPT_TIMEOUT).await == 200 {}
    let mut first_attempt_statuses = Vec::new();
    let mut retry_statuses = Vec::new();
    for _ in 0..15 {
        sleep(Duration::from_millis(50)).await;
        retry_statuses.push(send(&gateway, RETRY_TIMEOUT).await);
        first_attempt_statuses.push(send(&gateway, FIRST_ATTEMPT_TIMEOUT).await);
    }
    let served_count = |statuses: &[u16]| statuses.iter().filter(|status| **status == 200).count();
    assert_eq!(
        served_count(&retry_statuses),
        0,
        "tokens went to late requests"
    );
    assert!(
        served_count(&first_attempt_statuses) >= 5,
        "{first_attempt_statuses:?}"
    );
}

/// Guards against refusing a late request while the team has tokens beyond the reserve.
#[test]
fn late_request_is_admitted_while_tokens_remain() {
    let mut bucket = TokenBucket::new(10.0, 10.0, true, Duration::ZERO);
    let admitted = (0..10).filter(|_| bucket.admit(true, 1.0, Duration::ZERO).is_ok());
    assert_eq!(admitted.count(), 8);
    assert!(bucket.admit(false, 1.0, Duration::ZERO).is_ok());
}

/// Records these timeouts and returns the estimate of how long the caller of the last one has waited.
fn time_waited(timeouts: impl Iterator<Item = Duration>) -> Duration {
    let mut estimator = WaitTimeEstimator::new();
    let mut waited = Duration::ZERO;
    for timeout in timeouts {
        waited = estimator.time_waited(timeout);
        estimator.record(timeout);
    }
    waited
}

/// Guards against callers without a team whose retries count as first attempts.
#[tokio::test]
async fn wait_of_a_caller_without_a_team_is_known() {
    let settings = settings(&unused_loopback_ip(), PEER_PORT).await;
    let shared = SharedState::new(settings, header_names());
    let route = route("/one/", Idempotency::Idempotent, "s");
    let waited = |timeout| shared.record_caller_timeout(&route, "", timeout);
    for _ in 0..20 {
        assert_eq!(waited(FIRST_ATTEMPT_TIMEOUT), Duration::ZERO);
    }
    let expected = FIRST_ATTEMPT_TIMEOUT - RETRY_TIMEOUT;
    assert_eq!(waited(RETRY_TIMEOUT), expected);
}

/// Defines one test per sequence of timeouts, which checks the estimate for the last one.
macro_rules! estimate_tests {
    ($($name:ident => $timeouts:expr, $is_expected:expr;)+) => {
        $(
            #[test]
            fn $name() {
                let waited = time_waited($timeouts);
                assert!($is_expected(waited), "{waited:?}");
            }
        )+
    };
}

// Guards against taking first attempts for retries, and retries for first attempts.
estimate_tests! {
    first_attempts_have_not_waited =>
        (0..200).map(|index| FIRST_ATTEMPT_TIMEOUT - Duration::from_millis(index % 10)),
        |waited| waited < LATENCY_GOAL / 2;
    retry_has_waited =>
        (0..200).map(|index| if index % 2 == 0 { FIRST_ATTEMPT_TIMEOUT } else { RETRY_TIMEOUT }),
        |waited| waited > LATENCY_GOAL;
    estimate_recovers_from_a_retry_as_first_sample =>
        (0..200).map(|index| if index % 2 == 0 { RETRY_TIMEOUT } else { FIRST_ATTEMPT_TIMEOUT }),
        |waited| waited < LATENCY_GOAL / 2;
    few_callers_with_long_timeouts_make_no_other_late =>
        (0..200).map(|index| if index % 8 == 0 { FIRST_ATTEMPT_TIMEOUT * 3 } else { FIRST_ATTEMPT_TIMEOUT }),
        |waited| waited < LATENCY_GOAL / 2;
    shorter_timeout_of_all_callers_is_learnt =>
        (0..200).map(|index| if index < 100 { FIRST_ATTEMPT_TIMEOUT } else { RETRY_TIMEOUT }),
        |waited| waited < LATENCY_GOAL / 2;
}
