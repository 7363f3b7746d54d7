//! The commands, one module per group.

mod admin;
mod check;
mod explain;
mod query;
mod reply;
mod status;
mod watch;

use crate::{
    Arguments,
    arguments::Command,
    command::query::Query,
    exit_status::ExitStatus, //
};

pub use reply::Reply;

/// Runs one command and returns its exit status.
pub async fn run(arguments: Arguments) -> ExitStatus {
    let json = arguments.json;
    match arguments.command {
        Command::Check(check) => check::run(&check, json),
        Command::Search(query) | Command::Exists(query) => {
            query::run(Query::new(query.lookup, query.send), json).await
        }
        Command::Record(record) => {
            let query = Query::new(record.lookup, record.send).with_record(Some(record.record));
            query::run(query, json).await
        }
        Command::Order(order) => {
            let record = order.record;
            let query = Query::new(record.lookup, record.send)
                .with_record(Some(record.record))
                .with_ticket(order.ticket);
            query::run_order(query, json).await
        }
        Command::Lookup(lookup) => {
            let query = Query::new(lookup.lookup, lookup.send).with_record(lookup.record);
            query::run(query, json).await
        }
        Command::Watch(watch) => watch::run(watch, json).await,
        Command::Explain(explain) => explain::run(explain, json).await,
        Command::Status(status) => status::run(status, json).await,
    }
}
