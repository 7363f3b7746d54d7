//! Followers: one process reads the source, and the others take the state of the deployment from it.

mod support;

use std::{
    net::SocketAddr,
    sync::Arc,
    time::Duration, //
};

use limpet_types::{
    deployment::{
        Change,
        Config,
        Idempotency,
        StateUpdate,
        VersionedChange, //
    },
    message::PeerReply,
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
    route,
    settings,
    target_record,
    unused_loopback_ip, //
};
use tokio::time::{
    Instant,
    sleep, //
};

/// Time within which every process must apply a change.
const APPLY_TIMEOUT: Duration = Duration::from_secs(3);

/// Two gateways that serve one deployment; the first of them reads the source.
struct GatewayPair {
    deployment: Deployment,
    gateways: Vec<RunningGateway>,
    _target: FakeTarget,
}

async fn start_pair() -> GatewayPair {
    let target = FakeTarget::always(Behaviour::Answer(200, b"good", Duration::ZERO)).await;
    let deployment = Deployment::new();
    deployment.publish_config(config(
        1,
        vec![route("/one/", Idempotency::Idempotent, "s")],
        &["s"],
    ));
    deployment.publish_target("t", target_record("s", target.addr));
    let ips = [unused_loopback_ip(), unused_loopback_ip()];
    let mut gateways = Vec::new();
    for ip in &ips {
        let mut settings = settings(ip, PEER_PORT).await;
        settings.seeds = vec![format!("{}:{PEER_PORT}", ips[0]).parse().unwrap()];
        gateways.push(RunningGateway::start_with(settings, &deployment).await);
    }
    for gateway in &gateways {
        gateway.wait_ready().await;
    }
    // Reports are sent every 150 ms; after some of them the processes have discovered each other.
    sleep(Duration::from_millis(600)).await;
    GatewayPair {
        deployment,
        gateways,
        _target: target,
    }
}

/// Waits until a route of a new config is served; returns the time that this took.
async fn wait_until_served(gateway: &RunningGateway, path: &str) -> Duration {
    let started = Instant::now();
    while get(gateway.caller_addr, path).await.status != 200 {
        assert!(started.elapsed() < APPLY_TIMEOUT, "{path} is not served");
        sleep(Duration::from_millis(10)).await;
    }
    started.elapsed()
}

/// Checks that both gateways apply a new config, even if the source fails for the gateway with this index.
async fn check_change_reaches_both(gateway_without_source: Option<usize>) {
    let pair = start_pair().await;
    if let Some(index) = gateway_without_source {
        *pair.gateways[index].is_source_down.lock().unwrap() = true;
    }
    let routes = vec![route("/two/", Idempotency::Idempotent, "s")];
    pair.deployment
        .publish(Change::Config(Arc::new(config(2, routes, &["s"]))));
    for gateway in &pair.gateways {
        wait_until_served(gateway, "/two/a").await;
        assert_eq!(
            get(gateway.caller_addr, "/one/a").await.status,
            404,
            "the former route is still served"
        );
    }
}

// Guards against a process that serves an old config because the source does not answer it or the
// process that it follows.
limpet_testkit::async_cases! {
    check_change_reaches_both:
    change_reaches_both_processes => None,
    change_reaches_a_follower_that_lost_its_source => Some(1),
    change_reaches_both_when_the_reader_loses_its_source => Some(0),
}

/// Guards against a process without state after a start during an outage of the source.
#[tokio::test]
async fn process_that_starts_without_its_source_follows_another() {
    let mut pair = start_pair().await;
    pair.gateways[1].begin_stop();
    pair.gateways.remove(1).wait_stopped().await;
    let peer_addr = pair.gateways[0].peer_addr;
    let mut settings = settings(&unused_loopback_ip(), PEER_PORT).await;
    settings.seeds = vec![peer_addr];
    settings.is_first_start = false;
    let is_source_down = Arc::new(std::sync::Mutex::new(true));
    let gateway =
        RunningGateway::start_with_source_switch(settings, &pair.deployment, is_source_down).await;
    gateway.wait_ready().await;
    assert_eq!(get(gateway.caller_addr, "/one/a").await.status, 200);
}

/// Starts a peer at `ip` that always answers with the same state, which holds `config` and was verified `age` ago.
async fn start_peer_with_state(
    ip: &str,
    config: Config,
    target: SocketAddr,
    age: Duration,
    report_to: SocketAddr,
) -> FakePeer {
    let revision = config.version * 10;
    let target = Change::Target("t".into(), Arc::new(target_record("s", target)));
    let changes = [Change::Config(Arc::new(config)), target];
    let update = StateUpdate {
        is_full_state: true,
        revision,
        changes: changes
            .map(|change| VersionedChange { revision, change })
            .to_vec(),
        age,
    };
    FakePeer::start(ip, 1.0, &[report_to], move |_| {
        let reply = PeerReply::Follow(update.clone());
        async move { reply }
    })
    .await
}

/// Guards against a process that starts with a state that most of the others have left behind long ago: a
/// withdrawn key or a target that left would be in use again.
#[tokio::test]
async fn process_that_starts_without_its_source_takes_the_newest_state() {
    let target = FakeTarget::always(Behaviour::Answer(200, b"good", Duration::ZERO)).await;
    let settings = settings(&unused_loopback_ip(), PEER_PORT).await;
    let outdated = config(
        1,
        vec![route("/one/", Idempotency::Idempotent, "s")],
        &["s"],
    );
    let newest = config(
        2,
        vec![route("/two/", Idempotency::Idempotent, "s")],
        &["s"],
    );
    let mut peers = Vec::new();
    for _ in 0..4 {
        let age = Duration::from_secs(60);
        let ip = unused_loopback_ip();
        let config = outdated.clone();
        peers.push(start_peer_with_state(&ip, config, target.addr, age, settings.peer_addr).await);
    }
    let age = Duration::from_secs(5);
    let ip = unused_loopback_ip();
    peers.push(start_peer_with_state(&ip, newest, target.addr, age, settings.peer_addr).await);
    let is_source_down = Arc::new(std::sync::Mutex::new(true));
    let gateway =
        RunningGateway::start_with_source_switch(settings, &Deployment::new(), is_source_down)
            .await;
    gateway.wait_ready().await;
    assert_eq!(get(gateway.caller_addr, "/one/a").await.status, 404);
    assert_eq!(get(gateway.caller_addr, "/two/a").await.status, 200);
}

/// Guards against a fleet that presses on a source in trouble: all but the few processes that the others follow
/// ask it less and less often.
#[tokio::test]
async fn follower_asks_a_failing_source_rarely() {
    let target = FakeTarget::always(Behaviour::Answer(200, b"good", Duration::ZERO)).await;
    // The three candidates have lower addresses, and their state is outdated.
    let peer_ips: Vec<String> = (0..3).map(|_| unused_loopback_ip()).collect();
    let settings = settings(&unused_loopback_ip(), PEER_PORT).await;
    let routes = vec![route("/one/", Idempotency::Idempotent, "s")];
    let mut peers = Vec::new();
    for ip in &peer_ips {
        let config = config(1, routes.clone(), &["s"]);
        let age = Duration::from_secs(60);
        peers.push(start_peer_with_state(ip, config, target.addr, age, settings.peer_addr).await);
    }
    let deployment = Deployment::new();
    let is_source_down = Arc::new(std::sync::Mutex::new(true));
    let gateway =
        RunningGateway::start_with_source_switch(settings, &deployment, is_source_down).await;
    gateway.wait_ready().await;
    let calls_before = deployment.source_call_count();
    sleep(Duration::from_secs(4)).await;
    let call_count = deployment.source_call_count() - calls_before;
    // Delays of at least 150, 300 and 600 ms, then a second each: 6 calls in 4 s, and one for the start.
    assert!(call_count <= 7, "{call_count} calls in 4 s");
}

/// Guards against followers that all ask the source because the state of their reader looks old: each change comes
/// late in a watch, so that its age counts from long before.
#[tokio::test]
async fn late_changes_do_not_drive_followers_to_the_source() {
    let deployment = Deployment::new();
    let target = FakeTarget::always(Behaviour::Answer(200, b"good", Duration::ZERO)).await;
    let routes = vec![route("/one/", Idempotency::Idempotent, "s")];
    deployment.publish_config(config(1, routes.clone(), &["s"]));
    deployment.publish_target("t", target_record("s", target.addr));
    let ips = [unused_loopback_ip(), unused_loopback_ip()];
    let views = [
        deployment.with_own_call_count(),
        deployment.with_own_call_count(),
    ];
    let mut gateways = Vec::new();
    for (ip, view) in ips.iter().zip(&views) {
        let mut settings = settings(ip, PEER_PORT).await;
        settings.seeds = vec![format!("{}:{PEER_PORT}", ips[0]).parse().unwrap()];
        gateways.push(RunningGateway::start_with(settings, view).await);
    }
    for gateway in &gateways {
        gateway.wait_ready().await;
    }
    sleep(Duration::from_millis(600)).await;
    let calls_before = views[1].source_call_count();
    for version in 2..6 {
        deployment.publish_config(config(version, routes.clone(), &["s"]));
        // A watch of a second that begins 120 ms after a change, and most of the next one.
        sleep(Duration::from_millis(2020)).await;
    }
    assert_eq!(views[1].source_call_count(), calls_before);
}

/// Checks that a process whose first candidates are heard but do not answer applies every change in time.
async fn changes_pass_by_frozen_readers(frozen_count: usize) {
    let target = FakeTarget::always(Behaviour::Answer(200, b"good", Duration::ZERO)).await;
    let deployment = Deployment::new();
    let routes = vec![route("/one/", Idempotency::Idempotent, "s")];
    deployment.publish_config(config(1, routes.clone(), &["s"]));
    deployment.publish_target("t", target_record("s", target.addr));
    // The candidates have lower addresses.
    let peer_ips: Vec<String> = (0..frozen_count).map(|_| unused_loopback_ip()).collect();
    let settings = settings(&unused_loopback_ip(), PEER_PORT).await;
    let mut peers = Vec::new();
    for ip in &peer_ips {
        peers.push(FakePeer::start_frozen(ip, 1.0, &[settings.peer_addr]).await);
    }
    let gateway = RunningGateway::start_with(settings, &deployment).await;
    gateway.wait_ready().await;
    for (version, delay_ms) in (2..).zip([50, 1050, 1550]) {
        // A change right after the end of a call to the source, which takes up to a second, waits longest for the
        // next one.
        let calls_before = deployment.source_call_count();
        while deployment.source_call_count() == calls_before {
            sleep(Duration::from_millis(1)).await;
        }
        sleep(Duration::from_millis(delay_ms)).await;
        let path = format!("/{version}/");
        let routes = vec![route(&path, Idempotency::Idempotent, "s")];
        deployment.publish_config(config(version, routes, &["s"]));
        let took = wait_until_served(&gateway, &format!("{path}a")).await;
        assert!(took < APPLY_TIMEOUT, "the change took {took:?}");
    }
}

// Guards against a process that asks lost processes one after the other, each for its whole timeout, before it
// asks the source.
limpet_testkit::async_cases! {
    changes_pass_by_frozen_readers:
    changes_pass_by_one_frozen_reader => 1,
    changes_pass_by_two_frozen_readers => 2,
    changes_pass_by_three_frozen_readers => 3,
}

/// Checks that both gateways stop to send to a target within the bound after its record is removed, while the source
/// cuts the waiting watches `cut_count` times, each `interval` apart, from just before the removal on.
async fn removal_passes_cut_watches((cut_count, interval): (u32, Duration)) {
    let pair = start_pair().await;
    for _ in 1..cut_count {
        pair.deployment.cut_watches();
        sleep(interval).await;
    }
    pair.deployment.cut_watches();
    pair.deployment.publish(Change::TargetRemoved("t".into()));
    let removed_at = Instant::now();
    for gateway in &pair.gateways {
        while get(gateway.caller_addr, "/one/a").await.status == 200 {
            let elapsed = removed_at.elapsed();
            assert!(
                elapsed < APPLY_TIMEOUT,
                "the target is still used after {elapsed:?}"
            );
            sleep(Duration::from_millis(10)).await;
        }
    }
}

// Guards against a watch that is cut once, as a source may do at any time, and counts as an outage: the source is not
// asked for a while, and then the removed target is kept for a grace period.
limpet_testkit::async_cases! {
    removal_passes_cut_watches:
    removal_at_a_cut_watch => (1, Duration::ZERO),
    removal_after_two_cut_watches => (2, Duration::from_millis(5)),
    removal_after_many_cut_watches => (12, Duration::from_millis(150)),
}
