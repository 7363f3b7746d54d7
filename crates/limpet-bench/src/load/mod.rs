//! Load at given rates over several entries.

mod arguments;
mod balancer;
mod check;
mod client;
mod report;
mod sender;

use std::{
    sync::Arc,
    time::{
        Duration,
        Instant, //
    },
};

pub use arguments::{
    EntryAddr,
    LoadArguments,
    LookupLoad,
    LookupNeed,
    TeamLoad, //
};
pub use check::{
    Outcome,
    classify, //
};
pub(crate) use client::PooledClient;
pub(crate) use report::new_histogram;
pub use report::{
    Latency,
    Report, //
};

use crate::load::{
    balancer::Balancer,
    report::Tally,
    sender::Sender, //
};

/// Runs the load, prints a progress line each second, a summary, and the report as JSON.
///
/// Returns false when an answer was wrong or a request was cut.
///
/// # Errors
///
/// Fails when no entry becomes ready or the report cannot be written.
pub async fn run(arguments: LoadArguments) -> Result<bool, Box<dyn std::error::Error>> {
    let balancer = Arc::new(Balancer::new(&arguments.entry));
    let checking = balancer.check_readiness_until(arguments.ready_timeout());
    checking.await?;
    let checker = tokio::spawn(Arc::clone(&balancer).keep_checking());
    let tally = Arc::new(Tally::new(&arguments.team));
    let started = Instant::now();
    let end = started + Duration::from_secs(arguments.duration_s);
    let sender = Sender::new(&arguments, Arc::clone(&balancer), Arc::clone(&tally));
    let mut loads: Vec<_> = (0..arguments.team.len())
        .map(|team| tokio::spawn(sender.clone().run_team(team, end)))
        .collect();
    let mut ticks = tokio::time::interval(Duration::from_secs(1));
    ticks.tick().await;
    while Instant::now() < end {
        ticks.tick().await;
        eprintln!("{}", tally.progress(started.elapsed()));
    }
    for load in loads.drain(..) {
        load.await?;
    }
    balancer.stop();
    checker.await?;
    let report = tally.report(started.elapsed());
    eprint!("{}", report.summary());
    let json = serde_json::to_string_pretty(&report)?;
    match &arguments.output {
        Some(path) => std::fs::write(path, &json)?,
        None => println!("{json}"),
    }
    Ok(report.is_clean())
}
