//! Command line: each flag has an environment variable.

use std::{
    net::SocketAddr,
    path::PathBuf, //
};

use clap::{
    Args,
    Parser,
    Subcommand, //
};

/// Explanation after the list of commands.
const AFTER_HELP: &str = "\
Exit codes:
  0  the answer is complete, or the command did what was asked
  1  check found problems, or the process has no answer to status or explain
  2  the command line is wrong, or a file cannot be read
  3  the answer came but does not cover every shard (see 'missing')
  4  refused, and nothing ran: it may be sent again
  5  refused, and something may have run: look before sending an order again
  6  the process could not be reached or its response was cut

Examples:
  Check a configuration before it goes to the configuration service:
    limpetctl check examples/authority.toml

  Search all depots, with the API key in the environment:
    export LIMPET_ENTRY=127.0.0.11:7100 LIMPET_KEY=example-key-retail
    limpetctl search stock-search --body 'oak 4mm'

  Look one record up, then place an order exactly once:
    limpetctl record order-status A-1001
    limpetctl order place-order A-1001 --body '{\"planks\": 12}'

  Why did a lookup not reach a shard?
    limpetctl explain stock-search --admin 127.0.0.11:7103
    limpetctl status --admin 127.0.0.11:7103";

/// Ask, check and inspect a limpetshunt fleet.
#[derive(Clone, Debug, Parser)]
#[command(name = "limpetctl", version, after_help = AFTER_HELP)]
pub struct Arguments {
    /// Print JSON instead of text.
    #[arg(long, global = true, env = "LIMPET_JSON")]
    pub json: bool,
    /// What to do.
    #[command(subcommand)]
    pub command: Command,
}

/// What to do.
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
    /// Repeat a lookup and print a line for each answer.
    Watch(WatchArguments),
    /// Ask an entry how it would route a lookup.
    Explain(ExplainArguments),
    /// Show one process's view of itself and the fleet.
    Status(StatusArguments),
}

/// Arguments of `check`.
#[derive(Clone, Debug, Args)]
pub struct CheckArguments {
    /// File with the configuration text (TOML).
    #[arg(env = "LIMPET_CHECK_FILE")]
    pub file: PathBuf,
}

/// Where and how a query is sent.
#[derive(Clone, Debug, Args)]
pub struct SendArguments {
    /// Address on which the entry serves callers.
    #[arg(long, env = "LIMPET_ENTRY", default_value = "127.0.0.1:7100")]
    pub entry: SocketAddr,
    /// API key; not needed for services that are open to all.
    #[arg(long, env = "LIMPET_KEY", hide_env_values = true)]
    pub key: Option<Box<str>>,
    /// Time for the answer, in milliseconds.
    #[arg(long, env = "LIMPET_DEADLINE_MS", default_value_t = 320,
          value_parser = clap::value_parser!(u64).range(1..=60_000))]
    pub deadline_ms: u64,
    /// Accept an answer that does not cover every shard.
    #[arg(long, env = "LIMPET_ALLOW_PARTIAL")]
    pub allow_partial: bool,
    /// Body of the query.
    #[arg(long, env = "LIMPET_BODY", conflicts_with = "body_file")]
    pub body: Option<Box<str>>,
    /// File with the body of the query; "-" reads the standard input.
    #[arg(long, env = "LIMPET_BODY_FILE")]
    pub body_file: Option<PathBuf>,
}

/// Arguments of `search` and `exists`.
#[derive(Clone, Debug, Args)]
pub struct QueryArguments {
    /// Name of the lookup in the configuration.
    #[arg(env = "LIMPET_LOOKUP")]
    pub lookup: Box<str>,
    /// Where and how it is sent.
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
    /// Where and how it is sent.
    #[command(flatten)]
    pub send: SendArguments,
}

/// Arguments of `order`.
#[derive(Clone, Debug, Args)]
pub struct OrderArguments {
    /// What a record lookup needs.
    #[command(flatten)]
    pub record: RecordArguments,
    /// Ticket of an earlier try: returns its recorded outcome instead of ordering again.
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
    /// Where and how it is sent.
    #[command(flatten)]
    pub send: SendArguments,
}

/// Arguments of `watch`.
#[derive(Clone, Debug, Args)]
pub struct WatchArguments {
    /// What is sent.
    #[command(flatten)]
    pub lookup: LookupArguments,
    /// Time between two queries, in milliseconds.
    #[arg(long, env = "LIMPET_INTERVAL_MS", default_value_t = 1_000,
          value_parser = clap::value_parser!(u64).range(10..))]
    pub interval_ms: u64,
    /// Number of queries; 0 goes on until interrupted.
    #[arg(long, env = "LIMPET_COUNT", default_value_t = 0)]
    pub count: u64,
}

/// Where a process serves metrics, readiness and status.
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
    /// Which process.
    #[command(flatten)]
    pub admin: AdminArguments,
}

/// Arguments of `status`.
#[derive(Clone, Debug, Args)]
pub struct StatusArguments {
    /// Which process.
    #[command(flatten)]
    pub admin: AdminArguments,
}
