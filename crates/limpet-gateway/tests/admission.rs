//! Queries that wait for capacity, or are refused because they could not be in time.

mod support;

use std::{
    sync::{
        Arc,
        atomic::{
            AtomicUsize,
            Ordering, //
        },
    },
    time::{
        Duration,
        Instant, //
    },
};

use futures::future::join_all;
use limpet_types::{
    deployment::{
        Idempotency,
        TargetRecord, //
    },
    message::{
        GatherRefusal,
        GatherReply,
        PeerReply, //
    },
};
use support::{
    Behaviour,
    Deployment,
    FakePeer,
    FakeTarget,
    PEER_PORT,
    Reply,
    RunningGateway,
    config,
    get,
    route,
    scatter_gather_route,
    settings,
    target_record,
    unused_loopback_ip, //
};
use tokio::time::sleep;

/// Capacity of a process that runs two queries of a group at a time when it starts.
const SMALL_CAPACITY_CORES: f64 = 0.05;
/// Time in which the target answers.
const REPLY_DELAY: Duration = Duration::from_millis(100);
/// Goal of the route. With 400 ms, a busy test machine answered fewer requests in time than the permits allow.
const GOAL: Duration = Duration::from_millis(1600);
/// Time after which all processes know each other.
const DISCOVERY_TIME: Duration = Duration::from_millis(800);

/// Starts a small gateway with a route to one target.
async fn start_gateway() -> (RunningGateway, FakeTarget) {
    let target = FakeTarget::always(Behaviour::Answer(200, b"good", REPLY_DELAY)).await;
    let gateway = start_gateway_with(target_record("s", target.addr)).await;
    (gateway, target)
}

/// Starts a small gateway with a route to the target of a record.
async fn start_gateway_with(record: TargetRecord) -> RunningGateway {
    let deployment = Deployment::new();
    // Without hedges, so that each request reaches the target once.
    let mut route = route("/one/", Idempotency::AtMostOnce, "s");
    route.latency_goal = GOAL;
    deployment.publish_config(config(1, vec![route], &["s"]));
    deployment.publish_target("t", record);
    let mut settings = settings(&unused_loopback_ip(), PEER_PORT).await;
    settings.capacity_cores = SMALL_CAPACITY_CORES;
    let gateway = RunningGateway::start_with(settings, &deployment).await;
    gateway.wait_ready().await;
    gateway
}

/// Checks that a reply refuses a query as not run, with a time for the retry.
fn check_refused(reply: &Reply) {
    assert_eq!((reply.status, &*reply.body), (503, &b"overloaded"[..]));
    let retry_after_s: f64 = reply.header("retry-after").parse().unwrap();
    assert!((0.05..0.667).contains(&retry_after_s), "{retry_after_s}");
}

/// Guards against refused requests that run nevertheless, and against requests that wait for a refusal.
#[tokio::test]
async fn requests_beyond_the_capacity_are_refused_at_once_and_do_not_run() {
    let (gateway, target) = start_gateway().await;
    for _ in 0..3 {
        assert_eq!(get(gateway.caller_addr, "/one/a").await.status, 200);
    }
    let replies = join_all((0..60).map(|_| async {
        let started = Instant::now();
        let reply = get(gateway.caller_addr, "/one/a").await;
        (reply, started.elapsed())
    }));
    let (served, refused): (Vec<_>, Vec<_>) = replies
        .await
        .into_iter()
        .partition(|(reply, _)| reply.status == 200);
    assert!(served.len() >= 4, "{} served", served.len());
    assert!(refused.len() >= 10, "{} refused", refused.len());
    assert_eq!(target.received_requests().len(), 3 + served.len());
    let mut times: Vec<Duration> = refused.iter().map(|(_, time)| *time).collect();
    times.sort_unstable();
    assert!(times[times.len() * 9 / 10 - 1] < GOAL / 4, "{times:?}");
    for (reply, _) in &refused {
        check_refused(reply);
    }
}

/// Guards against requests that are sent to a target although their callers have left the queue.
#[tokio::test]
async fn request_whose_caller_disconnects_in_the_queue_does_not_run() {
    let (gateway, target) = start_gateway().await;
    let addr = gateway.caller_addr;
    let running = [(); 2].map(|()| tokio::spawn(get(addr, "/one/a")));
    sleep(REPLY_DELAY / 4).await;
    let waiting = tokio::spawn(get(addr, "/one/b"));
    sleep(REPLY_DELAY / 4).await;
    waiting.abort();
    for reply in running {
        assert_eq!(reply.await.unwrap().status, 200);
    }
    sleep(REPLY_DELAY).await;
    assert_eq!(target.received_requests().len(), 2);
    // The place in the queue and both permits are free again.
    let replies = join_all((0..2).map(|_| get(addr, "/one/c"))).await;
    let statuses: Vec<u16> = replies.iter().map(|reply| reply.status).collect();
    assert_eq!(statuses, [200, 200]);
}

/// Starts a small gateway with one target, and aggregators that answer the queries with these refusals in turn, beginning
/// anew after the last one.
async fn start_refused_gateway(
    refusals: &'static [GatherRefusal],
) -> (RunningGateway, FakeTarget, Vec<FakePeer>) {
    let target = FakeTarget::always(Behaviour::Answer(200, b"aaaaaaaaaaaaaaaa", REPLY_DELAY)).await;
    let deployment = Deployment::new();
    let mut config = config(1, vec![scatter_gather_route("/all/", &["s"], 1.0)], &["s"]);
    config.services[0].connections_max = 1;
    deployment.publish_config(config);
    deployment.publish_target("t", target_record("s", target.addr));
    let mut settings = settings(&unused_loopback_ip(), PEER_PORT).await;
    settings.capacity_cores = SMALL_CAPACITY_CORES;
    let gateway = RunningGateway::start_with(settings, &deployment).await;
    gateway.wait_ready().await;
    let mut peers = Vec::new();
    let query_count = Arc::new(AtomicUsize::new(0));
    // One more than are asked, so that the gateway's own place among the largest is never drawn.
    for _ in 0..3 {
        let report_to = [gateway.peer_addr];
        let ip = unused_loopback_ip();
        let query_count = Arc::clone(&query_count);
        let peer = FakePeer::start(&ip, 4.0, &report_to, move |_| {
            let index = query_count.fetch_add(1, Ordering::Relaxed);
            let refusal = refusals[index % refusals.len()];
            async move { PeerReply::Gather(GatherReply::Refused(refusal)) }
        });
        peers.push(peer.await);
    }
    sleep(DISCOVERY_TIME).await;
    (gateway, target, peers)
}

/// Sends queries one after the other, checks which are served and that the others are refused without having run.
async fn aggregators_refuse((refusals, is_served): (&'static [GatherRefusal], &[bool])) {
    let (gateway, target, _peers) = start_refused_gateway(refusals).await;
    for (index, is_served) in is_served.iter().enumerate() {
        let request_count = target.received_requests().len();
        let reply = get(gateway.caller_addr, "/all/q").await;
        if *is_served {
            assert_eq!(reply.status, 200, "query {index}");
        } else {
            check_refused(&reply);
            assert_eq!(target.received_requests().len(), request_count);
        }
    }
}

// Guards against running a query on new connections after an aggregator refused it as busy and no other one started it, and
// against refusing a query that this process can run on open connections or that no aggregator refused as busy.
limpet_testkit::async_cases! {
    aggregators_refuse:
    query_that_two_aggregators_refuse_as_busy_is_refused => (&[GatherRefusal::Busy], &[false]),
    query_that_one_aggregator_refuses_as_busy_is_refused =>
        (&[GatherRefusal::Busy, GatherRefusal::OtherConfig], &[false]),
    query_that_the_second_aggregator_refuses_as_busy_is_refused =>
        (&[GatherRefusal::Stopping, GatherRefusal::Busy], &[false]),
    query_that_no_aggregator_refuses_as_busy_runs_here => (&[GatherRefusal::OtherConfig], &[true]),
    query_that_one_aggregator_refuses_as_busy_runs_on_open_connections => (
        &[
            GatherRefusal::OtherConfig,
            GatherRefusal::OtherConfig,
            GatherRefusal::Busy,
            GatherRefusal::OtherConfig,
        ],
        &[true, true],
    ),
}

/// Guards against a limit of single lookups that stays at its minimum although the slots of the targets are free: the
/// run time of slow targets allows no rise, and it is not learned as usual while lookups wait.
#[tokio::test]
async fn limit_of_lookups_rises_while_slots_are_free() {
    let slow_reply = Behaviour::Answer(200, b"good", GOAL / 2);
    let target = FakeTarget::always(slow_reply).await;
    let record = TargetRecord {
        slots: 32,
        ..target_record("s", target.addr)
    };
    let gateway = start_gateway_with(record).await;
    let mut served_counts = Vec::new();
    // The limit is two and rises by two with each answer, and a lookup can't wait for another one and be in time.
    for _ in 0..2 {
        let replies = join_all((0..5).map(|_| get(gateway.caller_addr, "/one/a"))).await;
        let served = replies.iter().filter(|reply| reply.status == 200);
        served_counts.push(served.count());
    }
    assert_eq!(served_counts[1], 5, "{served_counts:?}");
}
