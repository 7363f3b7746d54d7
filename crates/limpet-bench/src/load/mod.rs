//! Load generator: sends requests at fixed rates over several entries.

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
    EntryAddrs,
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
    edit_config_text,
    parse_schedule, //
};
pub use timeline::SecondStats;

use crate::load::{
    balancer::Balancer,
    report::LoadRecorder,
    sender::Sender, //
};

/// Runs the load, prints a progress line each second, a summary, and the report as JSON.
///
/// Returns false when a response was wrong, or a request was interrupted or timed out.
///
/// # Errors
///
/// Fails when an entry does not become ready in time, the schedule cannot be carried out or the report
/// cannot be written.
pub async fn run(arguments: LoadArguments) -> Result<bool, Box<dyn std::error::Error>> {
    let balancer = Arc::new(Balancer::new(&arguments.entry));
    let all_ready = balancer.wait_until_all_ready(arguments.ready_timeout());
    all_ready.await?;
    let readiness_task = tokio::spawn(Arc::clone(&balancer).run_readiness_checks());
    let (started, started_since_boot) = (Instant::now(), BootClock::new().now());
    let recorder = Arc::new(LoadRecorder::new(&arguments.team, started));
    let end = started + Duration::from_secs(arguments.duration_s);
    let sender = Sender::new(&arguments, Arc::clone(&balancer), Arc::clone(&recorder));
    let schedule_task = match &arguments.schedule {
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
    let mut team_tasks: Vec<_> = (0..arguments.team.len())
        .map(|team| tokio::spawn(sender.clone().run_team(team, end)))
        .collect();
    let mut progress_interval = tokio::time::interval(Duration::from_secs(1));
    progress_interval.tick().await;
    while Instant::now() < end {
        progress_interval.tick().await;
        eprintln!("{}", recorder.progress(started.elapsed()));
    }
    for team_task in team_tasks.drain(..) {
        team_task.await?;
    }
    if let Some(schedule_task) = schedule_task {
        schedule_task.await??;
    }
    balancer.stop();
    readiness_task.await?;
    let mut report = recorder.report(started.elapsed());
    if let (Some(text), Some(control)) = (&arguments.text, arguments.target_control) {
        let text = std::fs::read_to_string(text)?;
        report.zone_arrivals = arrivals::count_by_zone(&text, control, started_since_boot).await?;
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
    Ok(report.has_no_errors())
}
