//! `limpetctl watch`: repeats a lookup.

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
pub(crate) async fn run(arguments: WatchArguments, json: bool) -> ExitStatus {
    let lookup = arguments.lookup;
    let query = Query::new(lookup.lookup, lookup.send).with_record(lookup.record);
    let query = match query.load_body() {
        Ok(query) => query,
        Err(error) => {
            eprintln!("error: {error}");
            return ExitStatus::Usage;
        }
    };
    let mut ticks = tokio::time::interval(Duration::from_millis(arguments.interval_ms));
    ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    let mut sent = 0;
    let mut last = ExitStatus::Success;
    while arguments.count == 0 || sent < arguments.count {
        tokio::select! {
            _ = ticks.tick() => {}
            _ = tokio::signal::ctrl_c() => break,
        }
        sent += 1;
        let started = Instant::now();
        let result = query.send().await;
        let latency_ms = started.elapsed().as_secs_f64() * 1e3;
        last = print_result(sent, latency_ms, result, json);
    }
    last
}

fn print_result(
    number: u64,
    latency_ms: f64,
    result: Result<crate::command::Reply, QueryError>,
    json: bool,
) -> ExitStatus {
    match result {
        Ok(reply) if json => {
            print_line!("{}", reply.json());
            reply.exit_status()
        }
        Ok(reply) => {
            print_line!("{number} {latency_ms:.1} ms {}", reply.summary());
            reply.exit_status()
        }
        Err(error) => {
            print_line!("{number} {latency_ms:.1} ms no response: {error}");
            error.exit_status()
        }
    }
}
