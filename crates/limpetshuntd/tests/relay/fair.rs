//! Guards against a team that fills the queue of a target and starves the others.

use futures::future::join_all;
use limpet_fakes::target::TargetSpec;

use crate::harness::{
    Harness,
    id_text, //
};

#[tokio::test]
async fn a_small_team_does_not_wait_behind_the_whole_queue_of_a_large_one() {
    let spec = TargetSpec::new("a").with_service_time_us(5_000);
    let harness = Harness::start(vec![spec], 1).await;
    harness.recover(0).await;
    let target = &harness.targets[0];
    let seen = target.events().len();
    let mut requests: Vec<_> = (0..44).map(|_| harness.request(0, "q")).collect();
    // The small team comes last.
    let small: Vec<String> = requests[40..].iter().map(id_text).collect();
    for request in &mut requests[40..] {
        request.team = "small".into();
    }
    let sending = requests.into_iter().map(|request| harness.send(request));
    let replies = join_all(sending).await;
    assert!(replies.iter().all(|reply| reply.outcome.is_ok()));
    let events = target.events().split_off(seen);
    let is_small =
        |e: &limpet_fakes::target::RequestEvent| small.iter().any(|id| **id == *e.request);
    let last = events.iter().rposition(is_small).unwrap();
    // Equal weights alternate: 4 of each team, and what was already sent.
    assert!(last < 4 + 4 + 4, "last of the small team came {last}th");
    harness.stop().await;
}
