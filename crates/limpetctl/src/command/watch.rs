//! `limpetctl watch`: repeats a lookup at an interval.

use std::time::{
    Duration,
    Instant, //
};

use crate::{
    arguments::WatchArguments,
    command::query::{
        Query,
        QueryError, //
    },
    exit_status::ExitStatus,
    output::print_line,
};

/// Repeats a query and prints one line per reply; returns the exit status of the last query.
pub(crate) async fn run(arguments: WatchArguments, is_json: bool) -> ExitStatus {
    let lookup_arguments = arguments.lookup;
    let query = Query::new(lookup_arguments.lookup, lookup_arguments.send)
        .with_record(lookup_arguments.record);
    let query = match query.load_body() {
        Ok(query) => query,
        Err(error) => {
            eprintln!("error: {error}");
            return ExitStatus::Usage;
        }
    };
    let mut interval = tokio::time::interval(Duration::from_millis(arguments.interval_ms));
    interval.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    let mut sent_count = 0;
    let mut last_status = ExitStatus::Success;
    while arguments.count == 0 || sent_count < arguments.count {
        tokio::select! {
            _ = interval.tick() => {}
            _ = tokio::signal::ctrl_c() => break,
        }
        sent_count += 1;
        let started_at = Instant::now();
        let result = query.send().await;
        let latency_ms = started_at.elapsed().as_secs_f64() * 1e3;
        last_status = print_result(sent_count, latency_ms, result, is_json);
    }
    last_status
}

/// Prints one line for a query, numbered from 1, and returns its exit status.
fn print_result(
    query_number: u64,
    latency_ms: f64,
    result: Result<crate::command::Reply, QueryError>,
    is_json: bool,
) -> ExitStatus {
    match result {
        Ok(reply) if is_json => {
            print_line!("{}", reply.json());
            reply.exit_status()
        }
        Ok(reply) => {
            print_line!("{query_number} {latency_ms:.1} ms {}", reply.summary());
            reply.exit_status()
        }
        Err(error) => {
            print_line!("{query_number} {latency_ms:.1} ms no response: {error}");
            error.exit_status()
        }
    }
}
