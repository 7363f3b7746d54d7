//! Fan-out benchmark: latency that the tier (an entry and a relay) adds to the service time of the
//! slowest target, compared with a client that queries the targets directly.
//!
//! Both run in one process against the same fake targets and alternate query by query, so that noise of
//! the machine affects both equally.

mod direct_client;
mod tier;

use std::{
    collections::HashMap,
    path::PathBuf,
    time::{
        Duration,
        Instant, //
    },
};

use clap::Args;
use limpet_fakes::target::FakeTarget;
use serde::Serialize;

use crate::{
    example::{
        ExampleFleet,
        target_specs, //
    },
    fanout::{
        direct_client::DirectClient,
        tier::Tier, //
    },
    load::{
        LatencyPercentiles,
        new_latency_histogram, //
    },
    ports::find_free_ports,
};

/// Maximum ratio of the p99 of the added latency, tier to direct client.
const ADDED_P99_RATIO_GOAL: f64 = 1.3;
/// Number of queries sent before the measurement, through the tier and by the direct client each, to open
/// connections and warm the targets.
const WARM_UP_QUERY_COUNT: usize = 30;

/// Arguments of `fanout`.
#[derive(Clone, Debug, Args)]
pub struct FanoutArguments {
    /// Number of targets of each query; may be repeated.
    #[arg(long, env = "LIMPET_BENCH_FANOUT", value_delimiter = ',', default_values_t = [30, 310])]
    pub targets: Vec<usize>,
    /// Queries measured for each number of targets, through the tier and by the direct client each.
    #[arg(long, env = "LIMPET_BENCH_QUERIES", default_value_t = 1_000)]
    pub queries: usize,
    /// Service time of the targets, in microseconds.
    #[arg(long, env = "LIMPET_BENCH_SERVICE_TIME_US", default_value_t = 5_000)]
    pub service_time_us: u64,
    /// File for the report; printed if absent.
    #[arg(long, env = "LIMPET_BENCH_OUTPUT")]
    pub output: Option<PathBuf>,
}

/// Latency of queries through the tier or by the direct client.
#[derive(Clone, Debug, Serialize)]
pub struct PathLatency {
    /// Total latency of a query.
    pub total: LatencyPercentiles,
    /// Total latency less the service time of the slowest target.
    pub added: LatencyPercentiles,
    /// Number of queries without a complete answer; the latencies exclude them.
    pub incomplete: usize,
}

/// Result for one number of targets.
#[derive(Clone, Debug, Serialize)]
pub struct FanoutResult {
    /// Number of targets of each query.
    pub targets: usize,
    /// Latency of the direct client.
    pub bare: PathLatency,
    /// Latency through the entry and the relay.
    pub tier: PathLatency,
    /// Ratio of the p99 of the added latency, tier to direct client.
    pub added_p99_ratio: f64,
    /// Ratio of the p99 of the total latency, tier to direct client.
    pub total_p99_ratio: f64,
    /// Whether `added_p99_ratio` is within the goal and every query through the tier had a complete answer.
    pub is_within_goal: bool,
}

/// Measured latencies of queries through the tier or by the direct client.
#[derive(Debug, Default)]
struct PathSamples {
    /// Total latency of each complete answer, by request ID.
    total_us: HashMap<Box<str>, u64>,
    /// Number of queries without a complete answer.
    incomplete_count: usize,
}

/// Measures each number of targets, writes or prints the results as JSON and returns whether all are within
/// the goal.
///
/// # Errors
///
/// Fails when the targets or the tier cannot be started, the tier does not become ready in time or the report
/// cannot be written.
pub async fn run(arguments: FanoutArguments) -> Result<bool, Box<dyn std::error::Error>> {
    let mut report = Vec::with_capacity(arguments.targets.len());
    for target_count in &arguments.targets {
        let result = measure(*target_count, &arguments).await?;
        eprintln!(
            "{target_count} targets: added p99 {} us bare, {} us tier, ratio {:.2}",
            result.bare.added.p99_us, result.tier.added.p99_us, result.added_p99_ratio,
        );
        report.push(result);
    }
    let json = serde_json::to_string_pretty(&report)?;
    match &arguments.output {
        Some(path) => std::fs::write(path, &json)?,
        None => println!("{json}"),
    }
    Ok(report.iter().all(|result| result.is_within_goal))
}

/// Measures queries to `target_count` targets.
async fn measure(
    target_count: usize,
    arguments: &FanoutArguments,
) -> Result<FanoutResult, Box<dyn std::error::Error>> {
    let fleet = ExampleFleet::flat_search(target_count);
    let target_port = find_free_ports(1)?.first().copied().unwrap_or_default();
    let mut targets = Vec::with_capacity(target_count);
    for mut spec in target_specs(&fleet, target_port) {
        spec.service_time_us = arguments.service_time_us;
        targets.push(FakeTarget::start(spec).await?);
    }
    let tier = Tier::start(&fleet, target_port).await?;
    let direct_client = DirectClient::new(targets.iter().map(FakeTarget::addr).collect());
    for _ in 0..WARM_UP_QUERY_COUNT {
        tier.query(&random_request_id()).await;
        direct_client.query(&random_request_id()).await;
    }
    let (mut direct_samples, mut tier_samples) = (PathSamples::default(), PathSamples::default());
    for _ in 0..arguments.queries {
        let request_id = random_request_id();
        let started_at = Instant::now();
        let is_complete = direct_client.query(&request_id).await;
        direct_samples.record(request_id, started_at.elapsed(), is_complete);
        let request_id = random_request_id();
        let started_at = Instant::now();
        let is_complete = tier.query(&request_id).await;
        tier_samples.record(request_id, started_at.elapsed(), is_complete);
    }
    tier.stop().await;
    let slowest_service_us = slowest_service_times(&targets);
    for target in targets {
        target.stop().await;
    }
    let (bare, tier) = (
        direct_samples.latency(&slowest_service_us),
        tier_samples.latency(&slowest_service_us),
    );
    let ratio = |tier_us: u64, bare_us: u64| tier_us as f64 / bare_us.max(1) as f64;
    let added_p99_ratio = ratio(tier.added.p99_us, bare.added.p99_us);
    Ok(FanoutResult {
        targets: target_count,
        total_p99_ratio: ratio(tier.total.p99_us, bare.total.p99_us),
        added_p99_ratio,
        is_within_goal: added_p99_ratio <= ADDED_P99_RATIO_GOAL && tier.incomplete == 0,
        bare,
        tier,
    })
}

fn random_request_id() -> Box<str> {
    format!("{:032x}", rand::random::<u128>()).into()
}

/// Returns the service time of the slowest target of each query, by request ID.
fn slowest_service_times(targets: &[FakeTarget]) -> HashMap<Box<str>, u64> {
    let mut slowest_us: HashMap<Box<str>, u64> = HashMap::new();
    for received in targets.iter().flat_map(FakeTarget::received_requests) {
        if let Some(end_us) = received.end_us {
            let service_us = slowest_us.entry(received.request).or_default();
            *service_us = (*service_us).max(end_us.saturating_sub(received.start_us));
        }
    }
    slowest_us
}

impl PathSamples {
    fn record(&mut self, request_id: Box<str>, latency: Duration, is_complete: bool) {
        if is_complete {
            let latency_us = u64::try_from(latency.as_micros()).unwrap_or(u64::MAX);
            self.total_us.insert(request_id, latency_us);
        } else {
            self.incomplete_count += 1;
        }
    }

    /// Returns the percentiles of the latency; `slowest_service_us` holds the service time of the slowest
    /// target of each query, by request ID.
    fn latency(&self, slowest_service_us: &HashMap<Box<str>, u64>) -> PathLatency {
        let (mut total, mut added) = (new_latency_histogram(), new_latency_histogram());
        for (request_id, total_us) in &self.total_us {
            total.saturating_record(*total_us);
            if let Some(service_us) = slowest_service_us.get(request_id) {
                added.saturating_record(total_us.saturating_sub(*service_us));
            }
        }
        PathLatency {
            total: LatencyPercentiles::from_histogram(&total),
            added: LatencyPercentiles::from_histogram(&added),
            incomplete: self.incomplete_count,
        }
    }
}
