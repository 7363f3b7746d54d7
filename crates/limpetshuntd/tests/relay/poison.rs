//! Guards against a request that costs target after target, and against innocent ones locked out.

use limpet_fakes::target::TargetSpec;
use limpet_types::RefusalCode;

use crate::harness::Harness;

#[tokio::test]
async fn a_poison_request_costs_at_most_two_targets_of_a_relay() {
    let specs = (0..5).map(|i| TargetSpec::new(&format!("t{i}")).with_poison("poison"));
    let harness = Harness::start(specs.collect(), 1).await;
    for target in 0..5 {
        harness.recover(target).await;
    }
    let mut last = None;
    for round in 0..10 {
        let reply = harness.send(harness.request(round % 5, "poison")).await;
        last = reply.outcome.err();
    }
    let crashes: u32 = harness.targets.iter().map(|t| t.stats().crashes).sum();
    assert_eq!(crashes, 2, "bound of one shared and one solo crash");
    let last = last.expect("poison has no response");
    assert_eq!(last.code, RefusalCode::RequestQuarantined);
    assert!(last.not_run);
    harness.stop().await;
}

#[tokio::test]
async fn an_innocent_request_in_flight_at_a_crash_runs_again() {
    let specs = (0..2).map(|i| {
        TargetSpec::new(&format!("t{i}"))
            .with_poison("poison")
            .with_service_time_us(20_000)
    });
    let harness = Harness::start(specs.collect(), 2).await;
    for target in 0..2 {
        harness.recover(target).await;
    }
    let target = &harness.targets[0];
    let innocent = harness.request(0, "innocent");
    let id = crate::harness::id_text(&innocent);
    let poison = async {
        target
            .wait_until(|t| t.events().iter().any(|e| *e.request == *id))
            .await;
        harness.send(harness.request(0, "poison")).await
    };
    let (innocent, _) = tokio::join!(harness.send(innocent), poison);
    assert!(innocent.outcome.is_err(), "it ran on the crashed target");
    assert_eq!(target.stats().crashes, 1);
    let again = harness.send(harness.request(1, "innocent")).await;
    assert!(again.outcome.is_ok(), "{:?}", again.outcome);
    harness.stop().await;
}
