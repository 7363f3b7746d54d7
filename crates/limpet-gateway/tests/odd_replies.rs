//! Targets that send more than one reply, or a reply without end.

mod support;

use std::time::{
    Duration,
    Instant, //
};

use http::Method;
use limpet_types::deployment::Idempotency;
use support::{
    Behaviour,
    Deployment,
    FakeTarget,
    RunningGateway,
    call,
    config,
    get,
    route,
    scatter_gather_route,
    target_record, //
};
use tokio::time::sleep;

const RECORD: &[u8; 16] = b"aaaaaaaaaaaaaaaa";

/// Starts a gateway with one service per list of targets: `s0`, `s1` and so on, with a route to each.
async fn start_gateway(services: &[&[&FakeTarget]]) -> RunningGateway {
    let names: Vec<String> = (0..services.len())
        .map(|index| format!("s{index}"))
        .collect();
    let names: Vec<&str> = names.iter().map(String::as_str).collect();
    let mut routes = vec![scatter_gather_route("/all/", &names, 0.5)];
    for name in &names {
        routes.push(route(&format!("/{name}/"), Idempotency::Idempotent, name));
    }
    let deployment = Deployment::new();
    deployment.publish_config(config(1, routes, &names));
    for (name, targets) in names.iter().zip(services) {
        for (index, target) in targets.iter().enumerate() {
            deployment.publish_target(&format!("{name}-{index}"), target_record(name, target.addr));
        }
    }
    RunningGateway::start(&deployment).await
}

/// Sends requests one after the other, with different pauses between them, to a target that sends each reply
/// twice; checks that each caller gets the reply to its own request.
async fn check_no_reply_is_crossed(path: &str, second_copy_delay: Duration, has_id: bool) {
    let target = FakeTarget::always(Behaviour::Twice(second_copy_delay, has_id)).await;
    let gateway = start_gateway(&[&[&target]]).await;
    for index in 0..60_u64 {
        let id = format!("request-{index:012}");
        let headers = [("t-key", "key-a"), ("t-id", id.as_str())];
        let reply = call(gateway.caller_addr, Method::GET, path, &headers, b"").await;
        if reply.status == 200 {
            let signature = format!("sig-{id}");
            let is_own =
                reply.header("t-signature") == signature || reply.header("t-parts") == signature;
            assert!(is_own, "{id}: {:?}", reply.headers);
        }
        sleep(Duration::from_micros(index * 130 % 5000)).await;
    }
}

/// Defines one test per path and kind of second copy.
macro_rules! second_copy_tests {
    ($($name:ident => ($path:expr, $delay_ms:expr, $has_id:expr);)+) => {
        $(
            #[tokio::test]
            async fn $name() {
                check_no_reply_is_crossed($path, Duration::from_millis($delay_ms), $has_id).await;
            }
        )+
    };
}

// Guards against the second copy of a reply as the reply to the next request on the connection: it arrives at once,
// while the connection is idle, or just when the next request is sent.
second_copy_tests! {
    second_copy_at_once => ("/s0/a", 0, true);
    second_copy_soon => ("/s0/a", 1, true);
    second_copy_late => ("/s0/a", 3, true);
    second_copy_without_id => ("/s0/a", 2, false);
    second_copy_of_a_part => ("/all/a", 2, true);
    second_copy_of_a_part_without_id => ("/all/a", 2, false);
}

/// Guards against an at-most-once request that runs twice: a late copy of the rejection of its first attempt carries its
/// id, and would be taken for the rejection of a second attempt on the same connection, which the target runs.
#[tokio::test]
async fn late_copy_of_a_rejection_rejects_no_other_attempt() {
    for _ in 0..3 {
        let target = FakeTarget::start(|index, _| match index {
            0 => Behaviour::Shed,
            _ => Behaviour::StaleCopyThenAnswer,
        })
        .await;
        let deployment = Deployment::new();
        let route = route("/once/", Idempotency::AtMostOnce, "s");
        deployment.publish_config(config(1, vec![route], &["s"]));
        deployment.publish_target("t", target_record("s", target.addr));
        let gateway = RunningGateway::start(&deployment).await;
        let reply = get(gateway.caller_addr, "/once/a").await;
        assert_eq!((reply.status, &*reply.body), (200, &b"request-1"[..]));
        let run_count = target.received_requests().len() - 1;
        assert_eq!(run_count, 1, "all but the rejected attempt ran");
    }
}

/// Checks that a request is served by another target, and a shard left out, while a target shows `behaviour`.
async fn check_faulty_target_is_replaced(behaviour: Behaviour) {
    let faulty = FakeTarget::always(behaviour).await;
    let healthy = FakeTarget::always(Behaviour::Answer(200, RECORD, Duration::ZERO)).await;
    let gateway = start_gateway(&[&[&faulty, &healthy], &[&healthy], &[&faulty]]).await;
    for _ in 0..8 {
        assert_eq!(get(gateway.caller_addr, "/s0/a").await.status, 200);
    }
    let started = Instant::now();
    let reply = get(gateway.caller_addr, "/all/a").await;
    assert_eq!(reply.status, 200);
    // The route has a latency goal of 400 ms.
    assert!(started.elapsed() < Duration::from_millis(400));
    let started = Instant::now();
    let status = get(gateway.caller_addr, "/s2/a").await.status;
    assert!(
        matches!(status, 502 | 504),
        "the request has run, not {status}"
    );
    assert!(started.elapsed() < Duration::from_millis(2100));
}

/// Defines one test per behaviour.
macro_rules! endless_reply_tests {
    ($($name:ident => $behaviour:expr;)+) => {
        $(
            #[tokio::test]
            async fn $name() {
                check_faulty_target_is_replaced($behaviour).await;
            }
        )+
    };
}

// Guards against a request that is lost to a reply without end.
endless_reply_tests! {
    endless_head => Behaviour::EndlessHead;
    endless_interim_replies => Behaviour::EndlessInterimReplies;
    endless_body => Behaviour::EndlessBody(Duration::ZERO);
    trickling_body => Behaviour::EndlessBody(Duration::from_millis(20));
}

/// Guards against a process that reads, and decodes, interim replies until the deadline of the request: other requests
/// of the process would hardly get the processor.
#[tokio::test]
async fn endless_interim_replies_end_the_attempt_at_once() {
    let target = FakeTarget::always(Behaviour::EndlessInterimReplies).await;
    let gateway = start_gateway(&[&[&target]]).await;
    let started = Instant::now();
    let status = get(gateway.caller_addr, "/s0/a").await.status;
    assert_eq!(status, 502);
    // The route has a timeout of 2 s.
    assert!(started.elapsed() < Duration::from_secs(1));
}

/// Returns the memory that this process holds, in bytes.
fn resident_bytes() -> usize {
    let statm = std::fs::read_to_string("/proc/self/statm").unwrap();
    let pages: usize = statm.split(' ').nth(1).unwrap().parse().unwrap();
    pages * 4096
}

/// Guards against a process that grows without bound, or fails its other requests, while the targets of many
/// shards send replies without end.
#[tokio::test]
async fn many_endless_replies_take_bounded_memory() {
    const SHARDS: usize = 40;
    let endless = FakeTarget::always(Behaviour::EndlessBody(Duration::ZERO)).await;
    let healthy = FakeTarget::always(Behaviour::Answer(200, RECORD, Duration::ZERO)).await;
    let (endless_service, healthy_service) = ([&endless], [&healthy]);
    let mut services: Vec<&[&FakeTarget]> = vec![&healthy_service];
    services.extend(std::iter::repeat_n(&endless_service[..], SHARDS));
    let gateway = start_gateway(&services).await;
    let addr = gateway.caller_addr;
    let before = resident_bytes();
    let queries: Vec<_> = (0..4)
        .map(|_| tokio::spawn(async move { get(addr, "/all/a").await.status }))
        .collect();
    let mut peak = before;
    for _ in 0..60 {
        assert_eq!(get(addr, "/s0/a").await.status, 200);
        peak = peak.max(resident_bytes());
        sleep(Duration::from_millis(5)).await;
    }
    for query in queries {
        let status = query.await.unwrap();
        assert!(
            matches!(status, 502 | 504),
            "the query has run, not {status}"
        );
    }
    // Two attempts at 40 shards for four queries. The bodies share 1 MB above 16 KB each; with the buffers of the
    // connections on both sides a fourth of a VM's 160 MB is left for them.
    assert!(peak - before < 40 << 20, "{} bytes", peak - before);
}
