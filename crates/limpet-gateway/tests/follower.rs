//! One process reads the source, the others follow it.

mod support;

use std::{
    sync::Arc,
    time::Duration, //
};

use limpet_types::deployment::{
    Change,
    Idempotency, //
};
use support::{
    Behaviour,
    Deployment,
    PEER_PORT,
    RunningGateway,
    StandInTarget,
    get,
    own_ip,
    record,
    route,
    settings,
    text, //
};
use tokio::time::{
    Instant,
    sleep, //
};

/// The users' bound for a change to be in force.
const IN_FORCE_LIMIT: Duration = Duration::from_secs(3);

struct Pair {
    deployment: Deployment,
    gateways: Vec<RunningGateway>,
    _target: StandInTarget,
}

async fn pair() -> Pair {
    let target = StandInTarget::always(Behaviour::Answer(200, b"good", Duration::ZERO)).await;
    let deployment = Deployment::new();
    deployment.publish_text(text(
        1,
        vec![route("/one/", Idempotency::Idempotent, "s")],
        &["s"],
    ));
    deployment.publish_target("t", record("s", target.addr));
    let ips = [own_ip(), own_ip()];
    let mut gateways = Vec::new();
    for ip in &ips {
        let mut settings = settings(ip, PEER_PORT).await;
        settings.seeds = vec![format!("{}:{PEER_PORT}", ips[0]).parse().unwrap()];
        gateways.push(RunningGateway::start_with(settings, &deployment).await);
    }
    for gateway in &gateways {
        gateway.wait_ready().await;
    }
    // Reports go out every 150 ms; after some of them the two know each other.
    sleep(Duration::from_millis(600)).await;
    Pair {
        deployment,
        gateways,
        _target: target,
    }
}

/// Waits until a route of a new text is served.
async fn in_force(gateway: &RunningGateway, path: &str) -> Duration {
    let started = Instant::now();
    while get(gateway.caller_addr, path).await.status != 200 {
        assert!(started.elapsed() < IN_FORCE_LIMIT, "{path} is not in force");
        sleep(Duration::from_millis(10)).await;
    }
    started.elapsed()
}

async fn change_reaches_both(cut_off: Option<usize>) {
    let pair = pair().await;
    if let Some(index) = cut_off {
        *pair.gateways[index].is_source_down.lock().unwrap() = true;
    }
    let routes = vec![route("/two/", Idempotency::Idempotent, "s")];
    pair.deployment
        .publish(Change::Config(Arc::new(text(2, routes, &["s"]))));
    for gateway in &pair.gateways {
        in_force(gateway, "/two/a").await;
        assert_eq!(
            get(gateway.caller_addr, "/one/a").await.status,
            404,
            "a route was dropped"
        );
    }
}

macro_rules! cut_offs {
    ($($name:ident => $cut_off:expr;)+) => {
        $(
            #[tokio::test]
            async fn $name() {
                change_reaches_both($cut_off).await;
            }
        )+
    };
}

// Guards against a process that serves an old text because the source turns it or its reader away.
cut_offs! {
    change_reaches_both_processes => None;
    change_reaches_a_follower_without_its_source => Some(1);
    change_reaches_both_without_the_source_of_the_reader => Some(0);
}

/// Guards against an empty process after a start during an outage of the source.
#[tokio::test]
async fn process_that_starts_without_its_source_learns_from_another() {
    let mut pair = pair().await;
    pair.gateways[1].begin_stop();
    pair.gateways.remove(1).ended().await;
    let peer = pair.gateways[0].peer_addr;
    let mut settings = settings(&own_ip(), PEER_PORT).await;
    settings.seeds = vec![peer];
    settings.is_first_start = false;
    let is_down = Arc::new(std::sync::Mutex::new(true));
    let gateway = RunningGateway::start_cut_off(settings, &pair.deployment, is_down).await;
    gateway.wait_ready().await;
    assert_eq!(get(gateway.caller_addr, "/one/a").await.status, 200);
}
