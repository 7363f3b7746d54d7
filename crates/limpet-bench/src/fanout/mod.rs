//! Latency that the tier adds over the slowest target's own time, beside a bare client.
//!
//! Both run in one process against the same stand-in targets, alternating query by query, so that
//! noise of the machine meets both alike.

mod bare;
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
        ExampleShape,
        target_specs, //
    },
    fanout::{
        bare::BareClient,
        tier::Tier, //
    },
    load::{
        Latency,
        new_histogram, //
    },
    ports::free_ports,
};

/// Goal for the tier's figure relative to the bare client's.
const RATIO_GOAL: f64 = 1.3;
/// Queries that are sent before the measurement, so that connections exist and targets are warm.
const WARM_UP_QUERIES: usize = 30;

/// Arguments of `fanout`.
#[derive(Clone, Debug, Args)]
pub struct FanoutArguments {
    /// Targets of one query; may be repeated.
    #[arg(long, env = "LIMPET_BENCH_FANOUT", value_delimiter = ',', default_values_t = [30, 310])]
    pub targets: Vec<usize>,
    /// Queries measured for each number of targets, for the tier and for the bare client each.
    #[arg(long, env = "LIMPET_BENCH_QUERIES", default_value_t = 1_000)]
    pub queries: usize,
    /// Service time of the targets, in microseconds.
    #[arg(long, env = "LIMPET_BENCH_SERVICE_TIME_US", default_value_t = 5_000)]
    pub service_time_us: u64,
    /// File for the report; printed if absent.
    #[arg(long, env = "LIMPET_BENCH_OUTPUT")]
    pub output: Option<PathBuf>,
}

/// Figures of one side.
#[derive(Clone, Debug, Serialize)]
pub struct SideFigures {
    /// Whole latency of a query.
    pub total: Latency,
    /// Latency over the slowest target's own time.
    pub added: Latency,
    /// Queries without a complete answer; they are not in the latencies.
    pub incomplete: usize,
}

/// Figures of one fan-out.
#[derive(Clone, Debug, Serialize)]
pub struct FanoutFigures {
    /// Targets of one query.
    pub targets: usize,
    /// Bare client.
    pub bare: SideFigures,
    /// Entry and relay.
    pub tier: SideFigures,
    /// p99 of the added latency, tier over bare client.
    pub added_p99_ratio: f64,
    /// p99 of the whole latency, tier over bare client.
    pub total_p99_ratio: f64,
    /// Whether `added_p99_ratio` is within the goal.
    pub is_within_goal: bool,
}

/// Latencies of one side by request id.
#[derive(Debug, Default)]
struct Side {
    total_us: HashMap<Box<str>, u64>,
    incomplete: usize,
}

/// Measures each fan-out and prints the report as JSON; returns whether all are within the goal.
///
/// # Errors
///
/// Fails when the tier does not become ready.
pub async fn run(arguments: FanoutArguments) -> Result<bool, Box<dyn std::error::Error>> {
    let mut report = Vec::with_capacity(arguments.targets.len());
    for targets in &arguments.targets {
        let figures = measure(*targets, &arguments).await?;
        eprintln!(
            "{targets} targets: added p99 {} us bare, {} us tier, ratio {:.2}",
            figures.bare.added.p99_us, figures.tier.added.p99_us, figures.added_p99_ratio,
        );
        report.push(figures);
    }
    let json = serde_json::to_string_pretty(&report)?;
    match &arguments.output {
        Some(path) => std::fs::write(path, &json)?,
        None => println!("{json}"),
    }
    Ok(report.iter().all(|figures| figures.is_within_goal))
}

async fn measure(
    count: usize,
    arguments: &FanoutArguments,
) -> Result<FanoutFigures, Box<dyn std::error::Error>> {
    let shape = ExampleShape::flat_search(count);
    let target_port = free_ports(1)?.first().copied().unwrap_or_default();
    let mut targets = Vec::with_capacity(count);
    for mut spec in target_specs(&shape, target_port) {
        spec.service_time_us = arguments.service_time_us;
        targets.push(FakeTarget::start(spec).await?);
    }
    let tier = Tier::start(&shape, target_port).await?;
    let bare = BareClient::new(targets.iter().map(FakeTarget::addr).collect());
    for _ in 0..WARM_UP_QUERIES {
        tier.query(&new_id()).await;
        bare.query(&new_id()).await;
    }
    let (mut bare_side, mut tier_side) = (Side::default(), Side::default());
    for _ in 0..arguments.queries {
        let id = new_id();
        let started = Instant::now();
        let is_complete = bare.query(&id).await;
        bare_side.note(id, started.elapsed(), is_complete);
        let id = new_id();
        let started = Instant::now();
        let is_complete = tier.query(&id).await;
        tier_side.note(id, started.elapsed(), is_complete);
    }
    tier.stop().await;
    let own_us = own_times(&targets);
    for target in targets {
        target.stop().await;
    }
    let (bare, tier) = (bare_side.figures(&own_us), tier_side.figures(&own_us));
    let ratio = |tier: u64, bare: u64| tier as f64 / bare.max(1) as f64;
    let added_p99_ratio = ratio(tier.added.p99_us, bare.added.p99_us);
    Ok(FanoutFigures {
        targets: count,
        total_p99_ratio: ratio(tier.total.p99_us, bare.total.p99_us),
        added_p99_ratio,
        is_within_goal: added_p99_ratio <= RATIO_GOAL && tier.incomplete == 0,
        bare,
        tier,
    })
}

fn new_id() -> Box<str> {
    format!("{:032x}", rand::random::<u128>()).into()
}

/// Returns the slowest target's own time by request id.
fn own_times(targets: &[FakeTarget]) -> HashMap<Box<str>, u64> {
    let mut slowest: HashMap<Box<str>, u64> = HashMap::new();
    for event in targets.iter().flat_map(FakeTarget::events) {
        if let Some(end_us) = event.end_us {
            let own_us = slowest.entry(event.request).or_default();
            *own_us = (*own_us).max(end_us.saturating_sub(event.start_us));
        }
    }
    slowest
}

impl Side {
    fn note(&mut self, id: Box<str>, latency: Duration, is_complete: bool) {
        if is_complete {
            let us = u64::try_from(latency.as_micros()).unwrap_or(u64::MAX);
            self.total_us.insert(id, us);
        } else {
            self.incomplete += 1;
        }
    }

    fn figures(&self, own_us: &HashMap<Box<str>, u64>) -> SideFigures {
        let (mut total, mut added) = (new_histogram(), new_histogram());
        for (id, total_us) in &self.total_us {
            total.saturating_record(*total_us);
            if let Some(own_us) = own_us.get(id) {
                added.saturating_record(total_us.saturating_sub(*own_us));
            }
        }
        SideFigures {
            total: Latency::of(&total),
            added: Latency::of(&added),
            incomplete: self.incomplete,
        }
    }
}
