//! Which requests of a team over its rate get its tokens.

mod support;

use std::time::Duration;

use http::Method;
use limpet_gateway::rate::{
    TimeoutEstimator,
    TokenBucket, //
};
use limpet_types::deployment::Idempotency;
use support::{
    Behaviour,
    Deployment,
    RunningGateway,
    StandInTarget,
    call,
    record,
    route,
    text, //
};
use tokio::time::sleep;

const GOAL: Duration = Duration::from_millis(100);
const FIRST: Duration = Duration::from_millis(600);
const AGAIN: Duration = Duration::from_millis(380);

/// Sends one request that states how long its caller waits; returns the status.
async fn send(gateway: &RunningGateway, stated: Duration) -> u16 {
    let stated_ms = stated.as_millis().to_string();
    let headers = [("t-key", "key-a"), ("t-deadline", stated_ms.as_str())];
    let reply = call(gateway.caller_addr, Method::GET, "/one/a", &headers, b"").await;
    reply.status
}

/// Guards against spending the tokens of a team over its rate on callers whose answer would come too
/// late, while others could be answered in time.
#[tokio::test]
async fn tokens_go_to_requests_that_can_meet_their_goal() {
    let target = StandInTarget::always(Behaviour::Answer(200, b"good", Duration::ZERO)).await;
    let mut text = text(
        1,
        vec![route("/one/", Idempotency::Idempotent, "s")],
        &["s"],
    );
    text.routes[0].latency_goal = GOAL;
    let team = &mut text.teams.as_mut().unwrap()[0];
    (team.rate_per_s, team.burst) = (10.0, 10.0);
    let deployment = Deployment::new();
    deployment.publish_text(text);
    deployment.publish_target("t", record("s", target.addr));
    let gateway = RunningGateway::start(&deployment).await;
    while send(&gateway, FIRST).await == 200 {}
    let mut first = Vec::new();
    let mut again = Vec::new();
    for _ in 0..15 {
        sleep(Duration::from_millis(50)).await;
        again.push(send(&gateway, AGAIN).await);
        first.push(send(&gateway, FIRST).await);
    }
    let served = |statuses: &[u16]| statuses.iter().filter(|status| **status == 200).count();
    assert_eq!(served(&again), 0, "tokens went to late requests");
    assert!(served(&first) >= 5, "{first:?}");
}

/// Guards against refusing a late request while the team has tokens to spare.
#[test]
fn late_request_is_admitted_while_tokens_are_left() {
    let mut account = TokenBucket::new(10.0, 10.0, true, Duration::ZERO);
    let admitted = (0..10).filter(|_| account.admit(true, 1.0, Duration::ZERO).is_ok());
    assert_eq!(admitted.count(), 8);
    assert!(account.admit(false, 1.0, Duration::ZERO).is_ok());
}

/// Plays requests that state these times and returns how long the last one seems to have waited.
fn waited(stated: impl Iterator<Item = Duration>) -> Duration {
    let mut patience = TimeoutEstimator::new();
    let mut waited = Duration::ZERO;
    for stated in stated {
        waited = patience.time_waited(stated);
        patience.record(stated);
    }
    waited
}

macro_rules! patience {
    ($($name:ident => $stated:expr, $is_expected:expr;)+) => {
        $(
            #[test]
            fn $name() {
                let waited = waited($stated);
                assert!($is_expected(waited), "{waited:?}");
            }
        )+
    };
}

// Guards against taking first attempts for late ones, and late ones for first attempts.
patience! {
    first_attempts_have_not_waited =>
        (0..200).map(|i| FIRST - Duration::from_millis(i % 10)), |w| w < GOAL / 2;
    repeated_attempt_has_waited =>
        (0..200).map(|i| if i % 2 == 0 { FIRST } else { AGAIN }), |w| w > GOAL;
    estimate_recovers_from_a_repeated_first_one =>
        (0..200).map(|i| if i % 2 == 0 { AGAIN } else { FIRST }), |w| w < GOAL / 2;
    few_patient_callers_make_no_other_late =>
        (0..200).map(|i| if i % 8 == 0 { FIRST * 3 } else { FIRST }), |w| w < GOAL / 2;
    shorter_patience_of_all_is_learnt =>
        (0..200).map(|i| if i < 100 { FIRST } else { AGAIN }), |w| w < GOAL / 2;
}
