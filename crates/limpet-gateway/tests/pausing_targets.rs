//! Scatter-gather over many shards whose targets pause: when the answers leave, and which parts they hold.

mod support;

use std::time::Duration;

use limpet_types::deployment::Destination;
use rand::Rng;
use support::{
    Behaviour,
    Deployment,
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
    task::JoinSet,
    time::{
        Instant,
        interval, //
    },
};

const SHARDS: usize = 36;
const TARGETS_PER_SHARD: usize = 3;
const GOAL: Duration = Duration::from_millis(100);
const PART_TIME: Duration = Duration::from_millis(7);
/// Each target pauses for this time...
const PAUSE: Duration = Duration::from_millis(200);
/// ...once in this period.
const PAUSE_PERIOD: Duration = Duration::from_millis(4500);
/// One of three aggregators gets a third of both gathers.
const QUERY_PERIOD: Duration = Duration::from_millis(115);
const OTHER_QUERY_PERIOD: Duration = Duration::from_millis(38);
const OTHER_PART_TIME: Duration = Duration::from_millis(20);
const RECORD: &[u8; 16] = b"aaaaaaaaaaaaaaaa";

/// Starts a target that pauses at a phase of its own.
async fn start_target(index: usize, started_at: Instant) -> FakeTarget {
    let phase = PAUSE_PERIOD * (index as u32 * 7 % 108) / 108;
    FakeTarget::start(move |_, request| {
        let mean = match request.line.contains("/other/") {
            true => OTHER_PART_TIME,
            false => PART_TIME,
        };
        let draw: f64 = rand::rng().random_range(0.0..1.0);
        let part_time = mean.mul_f64(0.4 - 0.6 * (1.0 - draw).ln());
        let in_period = (started_at.elapsed() + phase).as_millis() % PAUSE_PERIOD.as_millis();
        let pause_left = PAUSE.saturating_sub(Duration::from_millis(in_period as u64));
        Behaviour::Answer(200, RECORD, pause_left + part_time)
    })
    .await
}

/// Time until the answer and number of missing parts of each query.
type Answers = Vec<(Duration, usize)>;

/// Sends queries while the targets pause, each target accepting this many connections.
async fn run_queries(connections_max: u32, slack: f64) -> Answers {
    let names: Vec<String> = (0..SHARDS).map(|shard| format!("s{shard}")).collect();
    let names: Vec<&str> = names.iter().map(String::as_str).collect();
    let mut route = scatter_gather_route("/all/", &names, 0.85);
    route.latency_goal = GOAL;
    route.timeout = GOAL * 4;
    if let Destination::ScatterGather(gather) = &mut route.destination {
        gather.records_max = 10;
    }
    let mut other_route = route.clone();
    (other_route.name, other_route.prefix) = ("other".into(), "/other/".into());
    other_route.latency_goal = Duration::from_millis(250);
    other_route.timeout = Duration::from_millis(800);
    let mut config = config(1, vec![route, other_route], &names);
    for service in &mut config.services {
        service.connections_max = connections_max;
    }
    let deployment = Deployment::new();
    deployment.publish_config(config);
    let started_at = Instant::now();
    let mut targets = Vec::new();
    for index in 0..SHARDS * TARGETS_PER_SHARD {
        let target = start_target(index, started_at).await;
        let service = names[index / TARGETS_PER_SHARD];
        deployment.publish_target(&format!("t{index}"), target_record(service, target.addr));
        targets.push(target);
    }
    let mut settings = settings(&unused_loopback_ip(), PEER_PORT).await;
    settings.retry_limits.slack = slack;
    let gateway = RunningGateway::start_with(settings, &deployment).await;
    gateway.wait_ready().await;
    let addr = gateway.caller_addr;
    let other_queries = tokio::spawn(async move {
        let mut ticks = interval(OTHER_QUERY_PERIOD);
        let mut queries = JoinSet::new();
        loop {
            ticks.tick().await;
            queries.spawn(async move { get(addr, "/other/q").await });
            while queries.try_join_next().is_some() {}
        }
    });
    let mut ticks = interval(QUERY_PERIOD);
    let mut queries = Vec::new();
    for _ in 0..120 {
        ticks.tick().await;
        queries.push(tokio::spawn(async move {
            let started_at = Instant::now();
            let reply = get(addr, "/all/q").await;
            assert_eq!(reply.status, 200);
            let missing_count = reply.header("t-missing").parse().unwrap();
            (started_at.elapsed(), missing_count)
        }));
    }
    let mut answers = Vec::new();
    for query in queries {
        answers.push(query.await.unwrap());
    }
    other_queries.abort();
    // The first queries open the connections and find out the latency.
    answers.split_off(20)
}

/// Checks that most answers leave long before the goal ends, that nearly all meet it, and that few parts are missing.
async fn answers_leave_when_their_parts_are_in((connections_max, slack): (u32, f64)) {
    let answers = run_queries(connections_max, slack).await;
    let mut times: Vec<Duration> = answers.iter().map(|(time, _)| *time).collect();
    times.sort_unstable();
    let value = |(time, missing): &(Duration, usize)| {
        let share = 1.0 - *missing as f64 / SHARDS as f64;
        share * share * if *time <= GOAL { 1.0 } else { 0.05 }
    };
    let mean_value = answers.iter().map(value).sum::<f64>() / answers.len() as f64;
    let (median, ninth) = (times[times.len() / 2], times[times.len() * 9 / 10]);
    println!("median {median:?}, 0.9 within {ninth:?}, mean value {mean_value:.3}");
    assert!(median < GOAL.mul_f64(0.7), "median {median:?}");
    assert!(mean_value > 0.9, "mean value {mean_value:.3}");
}

// Guards against answers that wait for a paused target until the end of the goal, although another target could serve the
// part.
limpet_testkit::async_cases! {
    answers_leave_when_their_parts_are_in:
    pauses_with_many_connections => (12, 54.0),
    pauses_with_one_connection_and_little_slack => (1, 0.7),
}
