//! Load generator: sends requests to several entries at fixed rates and reports how they ended.

mod arguments;
mod balancer;
mod client;
mod load_sender;
mod plot;
mod report;
mod response_class;
mod schedule;
mod timeline;
mod zone_arrivals;

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
pub(crate) use client::PooledClient;
pub(crate) use report::new_latency_histogram;
pub use report::{
    LatencyPercentiles,
    LoadReport, //
};
pub use response_class::{
    ResponseClass,
    classify_response, //
};
pub use schedule::{
    ScheduleError,
    ScheduleStep,
    ScheduledChange,
    edit_config_text,
    parse_schedule, //
};
pub use timeline::SecondStats;
pub use zone_arrivals::ZoneArrivals;

use crate::load::{
    balancer::LoadBalancer,
    load_sender::LoadSender,
    report::LoadRecorder, //
};

/// Runs the load; prints a progress line each second and a summary at the end, and writes the report as JSON
/// and, if one is requested, the plot.
///
/// Returns whether no response was wrong and no request was interrupted or timed out.
///
/// # Errors
///
/// Fails when an entry does not become ready in time, the schedule cannot be carried out, the requests that
/// the fake targets received cannot be fetched, or the plot or the report cannot be written.
pub async fn run(arguments: LoadArguments) -> Result<bool, Box<dyn std::error::Error>> {
    let balancer = Arc::new(LoadBalancer::new(&arguments.entry));
    let all_ready = balancer.wait_until_all_ready(arguments.ready_timeout());
    all_ready.await?;
    let readiness_task = tokio::spawn(Arc::clone(&balancer).run_readiness_checks());
    let (started_at, started_since_boot) = (Instant::now(), BootClock::new().now());
    let recorder = Arc::new(LoadRecorder::new(&arguments.team, started_at));
    let end = started_at + Duration::from_secs(arguments.duration_s);
    let load_sender = LoadSender::new(&arguments, Arc::clone(&balancer), Arc::clone(&recorder));
    let schedule_task = match &arguments.schedule {
        Some(path) => {
            let steps = schedule::read(path)?;
            let (Some(text_path), Some(platform), Some(target_control)) = (
                &arguments.text,
                arguments.platform,
                arguments.target_control,
            ) else {
                return Err("a schedule needs --text, --platform and --target-control".into());
            };
            let config_text = std::fs::read_to_string(text_path)?;
            Some(tokio::spawn(schedule::run(
                steps,
                config_text,
                platform,
                target_control,
                started_at,
            )))
        }
        None => None,
    };
    let mut team_tasks: Vec<_> = (0..arguments.team.len())
        .map(|team_index| tokio::spawn(load_sender.clone().send_team_requests(team_index, end)))
        .collect();
    let mut progress_interval = tokio::time::interval(Duration::from_secs(1));
    progress_interval.tick().await;
    while Instant::now() < end {
        progress_interval.tick().await;
        eprintln!("{}", recorder.progress_line(started_at.elapsed()));
    }
    for team_task in team_tasks.drain(..) {
        team_task.await?;
    }
    if let Some(schedule_task) = schedule_task {
        schedule_task.await??;
    }
    balancer.stop();
    readiness_task.await?;
    let mut report = recorder.build_report(started_at.elapsed());
    if let (Some(text_path), Some(target_control)) = (&arguments.text, arguments.target_control) {
        let config_text = std::fs::read_to_string(text_path)?;
        report.zone_arrivals =
            zone_arrivals::count_by_zone(&config_text, target_control, started_since_boot).await?;
    }
    if let Some(path) = &arguments.plot {
        plot::write(path, &report.seconds)?;
    }
    eprint!("{}", report.render_summary());
    let json = serde_json::to_string_pretty(&report)?;
    match &arguments.output {
        Some(path) => std::fs::write(path, &json)?,
        None => println!("{json}"),
    }
    Ok(report.has_no_errors())
}
