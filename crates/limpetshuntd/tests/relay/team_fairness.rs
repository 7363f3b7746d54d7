//! Guards against a team whose many queued attempts on a target delay those of other teams.

use futures::future::join_all;
use limpet_fakes::target::TargetSpec;

use crate::harness::{
    Harness,
    format_request_id, //
};

#[tokio::test]
async fn attempts_of_a_small_team_do_not_wait_for_the_whole_queue_of_a_large_team() {
    let spec = TargetSpec::new("a").with_service_time_us(5_000);
    let harness = Harness::start(vec![spec], 1).await;
    harness.run_until_success(0).await;
    let target = &harness.targets[0];
    let received_count_before = target.received_requests().len();
    let mut requests: Vec<_> = (0..44).map(|_| harness.request(0, "q")).collect();
    // The attempts of the small team are queued last.
    let small_team_ids: Vec<String> = requests[40..].iter().map(format_request_id).collect();
    for request in &mut requests[40..] {
        request.team = "small".into();
    }
    let sending = requests.into_iter().map(|request| harness.send(request));
    let replies = join_all(sending).await;
    assert!(replies.iter().all(|reply| reply.outcome.is_ok()));
    let received_requests = target.received_requests().split_off(received_count_before);
    let is_of_small_team = |received: &limpet_fakes::target::ReceivedRequest| {
        small_team_ids.iter().any(|id| **id == *received.request)
    };
    let last_small_team_index = received_requests
        .iter()
        .rposition(is_of_small_team)
        .unwrap();
    // Teams of equal weight alternate: 4 attempts of each, after those already sent.
    assert!(
        last_small_team_index < 4 + 4 + 4,
        "the last attempt of the small team has index {last_small_team_index}"
    );
    harness.stop().await;
}
