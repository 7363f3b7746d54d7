//! `limpetctl watch`.

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
    exit::Exit,
    output::say,
};

/// Repeats a query and prints a line for each reply; ends as the last query did.
pub(crate) async fn run(arguments: WatchArguments, json: bool) -> Exit {
    let lookup = arguments.lookup;
    let query = Query::new(lookup.lookup, lookup.send).with_record(lookup.record);
    let query = match query.load_body() {
        Ok(query) => query,
        Err(error) => {
            eprintln!("error: {error}");
            return Exit::Usage;
        }
    };
    let mut ticks = tokio::time::interval(Duration::from_millis(arguments.interval_ms));
    ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    let mut sent = 0;
    let mut last = Exit::Success;
    while arguments.count == 0 || sent < arguments.count {
        tokio::select! {
            _ = ticks.tick() => {}
            _ = tokio::signal::ctrl_c() => break,
        }
        sent += 1;
        let started = Instant::now();
        let result = query.send().await;
        let ms = started.elapsed().as_secs_f64() * 1e3;
        last = print_line(sent, ms, result, json);
    }
    last
}

fn print_line(
    number: u64,
    ms: f64,
    result: Result<crate::command::Reply, QueryError>,
    json: bool,
) -> Exit {
    match result {
        Ok(reply) if json => {
            say!("{}", reply.json());
            reply.exit()
        }
        Ok(reply) => {
            say!("{number} {ms:.1} ms {}", reply.line());
            reply.exit()
        }
        Err(error) => {
            say!("{number} {ms:.1} ms no response: {error}");
            error.exit()
        }
    }
}
