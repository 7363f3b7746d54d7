//! The command line; each argument can also be set by an environment variable.

use std::{
    net::SocketAddr,
    path::PathBuf, //
};

use clap::{
    Args,
    Parser,
    Subcommand, //
};

/// Exit codes and examples, printed at the end of `limpetctl --help`.
const AFTER_HELP: &str = "\
Exit codes:
  0  the answer is complete, or the command did what was asked
  1  check found problems, or status or explain got no usable answer
  2  the command line is wrong, or a file cannot be read
  3  the answer does not cover every shard (see 'missing')
  4  refused, and nothing ran: it is safe to send it again
  5  refused, but something may have run: check the outcome before you repeat an order
  6  the process could not be reached or sent no complete response

Examples:
  Check a configuration before uploading it to the configuration service:
    limpetctl check examples/authority.toml

  Search all depots, with the API key in the environment:
    export LIMPET_ENTRY=127.0.0.11:7100 LIMPET_KEY=example-key-retail
    limpetctl search stock-search --body 'oak 4mm'

  Read one record, then place an order exactly once:
    limpetctl record order-status A-1001
    limpetctl order place-order A-1001 --body '{\"planks\": 12}'

  Find out why a lookup did not reach a shard:
    limpetctl explain stock-search --admin 127.0.0.11:7103
    limpetctl status --admin 127.0.0.11:7103";

/// Query and inspect a limpetshunt fleet and check its configuration.
#[derive(Clone, Debug, Parser)]
#[command(name = "limpetctl", version, after_help = AFTER_HELP)]
pub struct Arguments {
    /// Print JSON instead of text.
    #[arg(long, global = true, env = "LIMPET_JSON")]
    pub json: bool,
    /// Command to run.
    #[command(subcommand)]
    pub command: Command,
}

/// Command to run.
#[derive(Clone, Debug, Subcommand)]
pub enum Command {
    /// Check a configuration text and print each problem as FILE:LINE:COLUMN.
    Check(CheckArguments),
    /// Search every shard in one snapshot.
    Search(QueryArguments),
    /// Ask whether any shard has a match.
    Exists(QueryArguments),
    /// Read one record.
    Record(RecordArguments),
    /// Place an order exactly once: gets a ticket, then sends the order with it.
    Order(OrderArguments),
    /// Send a lookup of any kind.
    Lookup(LookupArguments),
    /// Repeat a lookup and print one line per reply.
    Watch(WatchArguments),
    /// Ask an entry how it would route a lookup.
    Explain(ExplainArguments),
    /// Show the state of one process and its view of the fleet.
    Status(StatusArguments),
}

/// Arguments of `check`.
#[derive(Clone, Debug, Args)]
pub struct CheckArguments {
    /// File with the configuration text (TOML).
    #[arg(env = "LIMPET_CHECK_FILE")]
    pub file: PathBuf,
}

/// Options of every command that sends a query.
#[derive(Clone, Debug, Args)]
pub struct SendArguments {
    /// Address on which an entry serves callers.
    #[arg(long, env = "LIMPET_ENTRY", default_value = "127.0.0.1:7100")]
    pub entry: SocketAddr,
    /// API key; not needed for services that are open to all.
    #[arg(long, env = "LIMPET_KEY", hide_env_values = true)]
    pub key: Option<Box<str>>,
    /// Deadline of the query, in milliseconds.
    #[arg(long, env = "LIMPET_DEADLINE_MS", default_value_t = 320,
          value_parser = clap::value_parser!(u64).range(1..=60_000))]
    pub deadline_ms: u64,
    /// Accept an answer that does not cover every shard.
    #[arg(long, env = "LIMPET_ALLOW_PARTIAL")]
    pub allow_partial: bool,
    /// Body of the query.
    #[arg(long, env = "LIMPET_BODY", conflicts_with = "body_file")]
    pub body: Option<Box<str>>,
    /// File with the body of the query; "-" reads standard input.
    #[arg(long, env = "LIMPET_BODY_FILE")]
    pub body_file: Option<PathBuf>,
}

/// Arguments of `search` and `exists`.
#[derive(Clone, Debug, Args)]
pub struct QueryArguments {
    /// Name of the lookup in the configuration.
    #[arg(env = "LIMPET_LOOKUP")]
    pub lookup: Box<str>,
    /// Options for sending the query.
    #[command(flatten)]
    pub send: SendArguments,
}

/// Arguments of `record`.
#[derive(Clone, Debug, Args)]
pub struct RecordArguments {
    /// Name of the lookup in the configuration.
    #[arg(env = "LIMPET_LOOKUP")]
    pub lookup: Box<str>,
    /// Key of the record; chooses the shard.
    #[arg(env = "LIMPET_RECORD")]
    pub record: Box<str>,
    /// Options for sending the query.
    #[command(flatten)]
    pub send: SendArguments,
}

/// Arguments of `order`.
#[derive(Clone, Debug, Args)]
pub struct OrderArguments {
    /// Lookup, record and options for sending the query.
    #[command(flatten)]
    pub record: RecordArguments,
    /// Ticket of an earlier attempt: returns its recorded outcome instead of placing the order again.
    #[arg(long, env = "LIMPET_TICKET")]
    pub ticket: Option<Box<str>>,
}

/// Arguments of `lookup`.
#[derive(Clone, Debug, Args)]
pub struct LookupArguments {
    /// Name of the lookup in the configuration.
    #[arg(env = "LIMPET_LOOKUP")]
    pub lookup: Box<str>,
    /// Key of the record, for lookups that read one.
    #[arg(long, env = "LIMPET_RECORD")]
    pub record: Option<Box<str>>,
    /// Options for sending the query.
    #[command(flatten)]
    pub send: SendArguments,
}

/// Arguments of `watch`.
#[derive(Clone, Debug, Args)]
pub struct WatchArguments {
    /// Lookup to repeat.
    #[command(flatten)]
    pub lookup: LookupArguments,
    /// Interval between queries, in milliseconds.
    #[arg(long, env = "LIMPET_INTERVAL_MS", default_value_t = 1_000,
          value_parser = clap::value_parser!(u64).range(10..))]
    pub interval_ms: u64,
    /// Number of queries; 0 repeats until interrupted.
    #[arg(long, env = "LIMPET_COUNT", default_value_t = 0)]
    pub count: u64,
}

/// Address at which a process serves metrics, readiness and status.
#[derive(Clone, Debug, Args)]
pub struct AdminArguments {
    /// Admin address of an entry or relay.
    #[arg(long, env = "LIMPET_ADMIN", default_value = "127.0.0.1:7103")]
    pub admin: SocketAddr,
}

/// Arguments of `explain`.
#[derive(Clone, Debug, Args)]
pub struct ExplainArguments {
    /// Name of the lookup in the configuration.
    #[arg(env = "LIMPET_LOOKUP")]
    pub lookup: Box<str>,
    /// Key of the record, for lookups that read one.
    #[arg(long, env = "LIMPET_RECORD")]
    pub record: Option<Box<str>>,
    /// Process to ask.
    #[command(flatten)]
    pub admin: AdminArguments,
}

/// Arguments of `status`.
#[derive(Clone, Debug, Args)]
pub struct StatusArguments {
    /// Process to ask.
    #[command(flatten)]
    pub admin: AdminArguments,
}
