//! The commands, and the requests and replies that they share.

mod admin_client;
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
    let is_json = arguments.json;
    match arguments.command {
        Command::Check(check_arguments) => check::run(&check_arguments, is_json),
        Command::Search(query_arguments) | Command::Exists(query_arguments) => {
            query::run(
                Query::new(query_arguments.lookup, query_arguments.send),
                is_json,
            )
            .await
        }
        Command::Record(record_arguments) => {
            let query = Query::new(record_arguments.lookup, record_arguments.send)
                .with_record(Some(record_arguments.record));
            query::run(query, is_json).await
        }
        Command::Order(order_arguments) => {
            let record_arguments = order_arguments.record;
            let query = Query::new(record_arguments.lookup, record_arguments.send)
                .with_record(Some(record_arguments.record))
                .with_ticket(order_arguments.ticket);
            query::run_order(query, is_json).await
        }
        Command::Lookup(lookup_arguments) => {
            let query = Query::new(lookup_arguments.lookup, lookup_arguments.send)
                .with_record(lookup_arguments.record);
            query::run(query, is_json).await
        }
        Command::Watch(watch_arguments) => watch::run(watch_arguments, is_json).await,
        Command::Explain(explain_arguments) => explain::run(explain_arguments, is_json).await,
        Command::Status(status_arguments) => status::run(status_arguments, is_json).await,
    }
}
