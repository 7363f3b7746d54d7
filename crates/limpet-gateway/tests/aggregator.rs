//! Scatter-gather queries that run at an aggregator, and what happens when the aggregator fails.

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

use limpet_peer::PeerClient;
use limpet_types::{
    deployment::Config,
    message::{
        GatherRefusal,
        GatherReply,
        GatherRequest,
        PeerReply,
        PeerRequest, //
    },
};
use support::{
    Behaviour,
    Deployment,
    FakePeer,
    FakeTarget,
    PEER_PORT,
    RunningGateway,
    config,
    get,
    scatter_gather_route,
    settings,
    target_record,
    unused_loopback_ip, //
};
use tokio::{
    io::AsyncWriteExt,
    net::TcpStream,
    time::{
        sleep,
        timeout, //
    },
};

const RECORD: &[u8; 16] = b"aaaaaaaaaaaaaaaa";
/// Capacity of the process that becomes the aggregator, in cores; the others have `SMALL_CAPACITY_CORES`.
const LARGE_CAPACITY_CORES: f64 = 4.0;
const SMALL_CAPACITY_CORES: f64 = 0.1;
/// Time after which all processes know each other.
const DISCOVERY_TIME: Duration = Duration::from_millis(800);
/// Latency goal of the route.
const GOAL: Duration = Duration::from_millis(400);
const SHARDS: [&str; 3] = ["s0", "s1", "s2"];

/// Two shards out of three suffice. A target holds fewer connections than there are processes, so queries run at
/// an aggregator.
fn few_connections_config() -> Config {
    let mut config = config(
        1,
        vec![scatter_gather_route("/all/", &SHARDS, 0.6)],
        &SHARDS,
    );
    for service in &mut config.services {
        service.connections_max = 1;
    }
    config
}

/// Gateways that serve a deployment with a target for each shard.
struct TestFleet {
    gateways: Vec<RunningGateway>,
    targets: Vec<FakeTarget>,
    _peers: Vec<FakePeer>,
}

/// Starts a gateway of each capacity in a zone with one target for each shard, which shows `behaviour`.
async fn start_fleet(capacities_cores: &[f64], behaviour: Behaviour) -> TestFleet {
    let mut targets = Vec::new();
    let deployment = Deployment::new();
    deployment.publish_config(few_connections_config());
    for shard in SHARDS {
        let target = FakeTarget::always(behaviour.clone()).await;
        deployment.publish_target(shard, target_record(shard, target.addr));
        targets.push(target);
    }
    let ips: Vec<String> = capacities_cores
        .iter()
        .map(|_| unused_loopback_ip())
        .collect();
    let mut gateways = Vec::new();
    for (ip, capacity_cores) in ips.iter().zip(capacities_cores) {
        let mut settings = settings(ip, PEER_PORT).await;
        settings.seeds = vec![format!("{}:{PEER_PORT}", ips[0]).parse().unwrap()];
        settings.capacity_cores = *capacity_cores;
        gateways.push(RunningGateway::start_with(settings, &deployment).await);
    }
    for gateway in &gateways {
        gateway.wait_ready().await;
    }
    sleep(DISCOVERY_TIME).await;
    TestFleet {
        gateways,
        targets,
        _peers: Vec::new(),
    }
}

/// Starts a small gateway, and a fake aggregator that answers each query with `handler`.
async fn start_with_fake_aggregator<F>(
    behaviour: Behaviour,
    handler: impl Fn(PeerRequest) -> F + Send + Sync + 'static,
) -> TestFleet
where
    F: Future<Output = PeerReply> + Send + 'static,
{
    let ip = unused_loopback_ip();
    let mut fleet = start_fleet(&[SMALL_CAPACITY_CORES], behaviour).await;
    let report_to = [fleet.gateways[0].peer_addr];
    let peer = FakePeer::start(&ip, LARGE_CAPACITY_CORES, &report_to, handler).await;
    fleet._peers.push(peer);
    sleep(DISCOVERY_TIME).await;
    fleet
}

fn ok_reply() -> Behaviour {
    Behaviour::Answer(200, RECORD, Duration::from_millis(2))
}

/// Guards against connections of every process to every target, which targets with few connections reset.
#[tokio::test]
async fn queries_of_all_processes_share_the_connections_of_the_aggregator() {
    let capacities = [
        LARGE_CAPACITY_CORES,
        SMALL_CAPACITY_CORES,
        SMALL_CAPACITY_CORES,
        SMALL_CAPACITY_CORES,
    ];
    let fleet = start_fleet(&capacities, ok_reply()).await;
    for _ in 0..3 {
        for gateway in &fleet.gateways {
            let reply = get(gateway.caller_addr, "/all/q").await;
            assert_eq!(reply.status, 200);
            assert_eq!(reply.header("t-missing"), "0");
            assert_eq!(reply.header("t-parts").split(", ").count(), SHARDS.len());
            assert_eq!(&*reply.body, [RECORD.as_slice(); 3].concat());
        }
    }
    for target in &fleet.targets {
        assert_eq!(target.received_requests().len(), 12);
        assert_eq!(target.open_connection_count(), 1);
    }
}

/// Guards against queries that fail while their aggregator stops as planned.
#[tokio::test]
async fn queries_are_served_while_the_aggregator_stops() {
    let capacities = [LARGE_CAPACITY_CORES, SMALL_CAPACITY_CORES];
    let slow = Behaviour::Answer(200, RECORD, Duration::from_millis(20));
    let mut fleet = start_fleet(&capacities, slow).await;
    let addr = fleet.gateways[1].caller_addr;
    let callers: Vec<_> = (0..3)
        .map(|index| {
            tokio::spawn(async move {
                sleep(Duration::from_millis(37 * index)).await;
                let mut statuses = Vec::new();
                let started = Instant::now();
                while started.elapsed() < Duration::from_millis(2500) {
                    statuses.push(get(addr, "/all/q").await.status);
                }
                statuses
            })
        })
        .collect();
    sleep(Duration::from_millis(300)).await;
    fleet.gateways[0].begin_stop();
    fleet.gateways.remove(0).wait_stopped().await;
    for caller in callers {
        let statuses = caller.await.unwrap();
        assert!(statuses.iter().all(|status| *status == 200), "{statuses:?}");
    }
}

/// Checks that queries are served in time, and by one attempt at each target, while a fake aggregator does not
/// run them.
async fn check_served_here(fleet: &TestFleet) {
    for round in 1..=3 {
        let started = Instant::now();
        let reply = get(fleet.gateways[0].caller_addr, "/all/q").await;
        assert_eq!(reply.status, 200);
        assert_eq!(reply.header("t-missing"), "0");
        assert!(started.elapsed() < GOAL, "{:?}", started.elapsed());
        for target in &fleet.targets {
            assert_eq!(target.received_requests().len(), round);
        }
    }
}

/// Guards against a query that waits for an aggregator that is frozen or cut off but still counts as live.
#[tokio::test]
async fn query_is_served_although_the_aggregator_is_frozen() {
    let mut fleet = start_fleet(&[SMALL_CAPACITY_CORES], ok_reply()).await;
    let report_to = [fleet.gateways[0].peer_addr];
    let ip = unused_loopback_ip();
    let peer = FakePeer::start_frozen(&ip, LARGE_CAPACITY_CORES, &report_to).await;
    fleet._peers.push(peer);
    sleep(DISCOVERY_TIME).await;
    check_served_here(&fleet).await;
}

/// Guards against a query that fails because the aggregator refuses it, as one of an earlier release does.
#[tokio::test]
async fn query_is_served_although_the_aggregator_refuses() {
    for reply in [
        PeerReply::Unsupported,
        PeerReply::Gather(GatherReply::Refused(GatherRefusal::Busy)),
        PeerReply::Gather(GatherReply::Refused(GatherRefusal::OtherConfig)),
        PeerReply::Gather(GatherReply::Refused(GatherRefusal::Stopping)),
    ] {
        let fleet = start_with_fake_aggregator(ok_reply(), move |_| {
            let reply = reply.clone();
            async move { reply }
        })
        .await;
        check_served_here(&fleet).await;
    }
}

/// Guards against a query that runs on cold connections because one aggregator is busy, and against asking that one
/// again and again.
#[tokio::test]
async fn second_aggregator_runs_what_a_busy_one_refuses() {
    let mut fleet = start_fleet(&[SMALL_CAPACITY_CORES], ok_reply()).await;
    let report_to = [fleet.gateways[0].peer_addr];
    let busy_count = Arc::new(AtomicUsize::new(0));
    let count = Arc::clone(&busy_count);
    let busy = move |request| {
        let is_query = matches!(request, PeerRequest::Gather(_));
        count.fetch_add(usize::from(is_query), Ordering::Relaxed);
        async { PeerReply::Gather(GatherReply::Refused(GatherRefusal::Busy)) }
    };
    let free = |_| async {
        PeerReply::Gather(GatherReply::Gathered {
            signatures: Vec::new(),
            missing_count: 0,
            body: Vec::new(),
        })
    };
    let (busy_ip, free_ip) = (unused_loopback_ip(), unused_loopback_ip());
    // The busy one has most capacity, so it is the primary aggregator.
    let peers = [
        FakePeer::start(&busy_ip, 2.0 * LARGE_CAPACITY_CORES, &report_to, busy).await,
        FakePeer::start(&free_ip, LARGE_CAPACITY_CORES, &report_to, free).await,
    ];
    fleet._peers.extend(peers);
    sleep(DISCOVERY_TIME).await;
    let started = Instant::now();
    for _ in 0..10 {
        let reply = get(fleet.gateways[0].caller_addr, "/all/q").await;
        assert_eq!(reply.status, 200);
    }
    let refusals_max = 1 + started.elapsed().as_millis() as usize / 200;
    let refusals = busy_count.load(Ordering::Relaxed);
    assert!(
        (1..=refusals_max).contains(&refusals),
        "{refusals} refusals"
    );
    for target in &fleet.targets {
        assert!(target.received_requests().is_empty());
    }
}

/// Guards against "not run", or a second run of each shard, after an aggregator that began a query was lost.
#[tokio::test]
async fn query_whose_aggregator_is_lost_may_have_run() {
    let asked_count = Arc::new(AtomicUsize::new(0));
    let count = Arc::clone(&asked_count);
    let mut fleet = start_with_fake_aggregator(ok_reply(), move |request| {
        let is_query = matches!(request, PeerRequest::Gather(_));
        count.fetch_add(usize::from(is_query), Ordering::Relaxed);
        async move {
            sleep(Duration::from_secs(30)).await;
            PeerReply::Unsupported
        }
    })
    .await;
    let addr = fleet.gateways[0].caller_addr;
    let query = tokio::spawn(async move { get(addr, "/all/q").await });
    while asked_count.load(Ordering::Relaxed) == 0 {
        sleep(Duration::from_millis(5)).await;
    }
    let started = Instant::now();
    fleet._peers.clear();
    assert_eq!(query.await.unwrap().status, 502);
    assert!(started.elapsed() < GOAL * 3, "{:?}", started.elapsed());
    for target in &fleet.targets {
        assert!(target.received_requests().is_empty());
    }
}

/// Guards against targets that work on after the caller has left the process that it sent its query to.
#[tokio::test]
async fn disconnect_cancels_the_query_at_the_aggregator() {
    let capacities = [LARGE_CAPACITY_CORES, SMALL_CAPACITY_CORES];
    let fleet = start_fleet(&capacities, Behaviour::Silent).await;
    let mut stream = TcpStream::connect(fleet.gateways[1].caller_addr)
        .await
        .unwrap();
    let request = "GET /all/q HTTP/1.1\r\nhost: shop.example\r\nt-id: request-1\r\nt-key: key-a\r\n\
                   t-deadline: 2000\r\n\r\n";
    stream.write_all(request.as_bytes()).await.unwrap();
    let all_asked = async {
        while fleet
            .targets
            .iter()
            .any(|target| target.received_requests().is_empty())
        {
            sleep(Duration::from_millis(5)).await;
        }
    };
    timeout(Duration::from_secs(1), all_asked).await.unwrap();
    drop(stream);
    let all_closed = async {
        while fleet
            .targets
            .iter()
            .any(|target| target.open_connection_count() > 0)
        {
            sleep(Duration::from_millis(5)).await;
        }
    };
    let closed = timeout(Duration::from_millis(500), all_closed).await;
    closed.expect("targets are still at work for a caller that has left");
}

/// Guards against a query that runs under another version of the config than it was admitted under, or at a
/// process that is stopping.
#[tokio::test]
async fn other_versions_and_stopping_processes_refuse() {
    let mut fleet = start_fleet(&[LARGE_CAPACITY_CORES], ok_reply()).await;
    let peer_addr = fleet.gateways[0].peer_addr;
    let call = async |config_version| {
        let request = PeerRequest::Gather(Box::new(GatherRequest {
            config_version,
            route: "/all/".into(),
            method: "GET".into(),
            uri: "/all/q".into(),
            headers: vec![("t-id".into(), b"request-1".to_vec())],
            body: Vec::new(),
            request_id: b"request-1".to_vec(),
            fingerprint: 1,
            waited: Duration::ZERO,
            time_left: Duration::from_secs(1),
        }));
        let reply = PeerClient::new()
            .call(peer_addr, &request, Duration::from_secs(2))
            .await;
        match reply.unwrap() {
            PeerReply::Gather(reply) => reply,
            reply => panic!("{reply:?}"),
        }
    };
    assert!(matches!(
        call(1).await,
        GatherReply::Gathered {
            missing_count: 0,
            ..
        }
    ));
    assert_eq!(
        call(2).await,
        GatherReply::Refused(GatherRefusal::OtherConfig)
    );
    fleet.gateways[0].begin_stop();
    sleep(Duration::from_millis(50)).await;
    assert_eq!(call(1).await, GatherReply::Refused(GatherRefusal::Stopping));
}
