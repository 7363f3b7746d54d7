//! Load at given rates over several entries.

mod arguments;
mod arrivals;
mod balancer;
mod client;
mod plot;
mod report;
mod response_class;
mod schedule;
mod sender;
mod timeline;

use std::{
    sync::Arc,
    time::{
        Duration,
        Instant, //
    },
};

use limpet_types::BootClock;

pub use arguments::{
    EntryAddr,
    LoadArguments,
    LookupInput,
    LookupLoad,
    TeamLoad, //
};
pub use arrivals::ZoneArrivals;
pub(crate) use client::PooledClient;
pub(crate) use report::new_histogram;
pub use report::{
    Latency,
    Report, //
};
pub use response_class::{
    ResponseClass,
    classify, //
};
pub use schedule::{
    Change,
    ScheduleError,
    Step,
    edit_text,
    parse_schedule, //
};
pub use timeline::Second;

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
    let (started, started_since_boot) = (Instant::now(), BootClock::new().now());
    let tally = Arc::new(Tally::new(&arguments.team, started));
    let end = started + Duration::from_secs(arguments.duration_s);
    let sender = Sender::new(&arguments, Arc::clone(&balancer), Arc::clone(&tally));
    let faults = match &arguments.schedule {
        Some(schedule) => {
            let steps = schedule::read(schedule)?;
            let (Some(text), Some(platform), Some(targets)) = (
                &arguments.text,
                arguments.platform,
                arguments.target_control,
            ) else {
                return Err("a schedule needs --text, --platform and --target-control".into());
            };
            let text = std::fs::read_to_string(text)?;
            Some(tokio::spawn(schedule::run(
                steps, text, platform, targets, started,
            )))
        }
        None => None,
    };
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
    if let Some(faults) = faults {
        faults.await??;
    }
    balancer.stop();
    checker.await?;
    let mut report = tally.report(started.elapsed());
    if let (Some(text), Some(control)) = (&arguments.text, arguments.target_control) {
        let text = std::fs::read_to_string(text)?;
        report.zone_arrivals = arrivals::count(&text, control, started_since_boot).await?;
    }
    if let Some(path) = &arguments.plot {
        plot::write(path, &report.seconds)?;
    }
    eprint!("{}", report.summary());
    let json = serde_json::to_string_pretty(&report)?;
    match &arguments.output {
        Some(path) => std::fs::write(path, &json)?,
        None => println!("{json}"),
    }
    Ok(report.is_clean())
}
