//! Arguments of `load`.

use std::{
    net::SocketAddr,
    path::PathBuf,
    str::FromStr,
    time::Duration, //
};

use clap::Args;

/// Arguments of `load`.
#[derive(Clone, Debug, Args)]
pub struct LoadArguments {
    /// Entry as CALLER_ADDRESS/ADMIN_ADDRESS; may be repeated.
    #[arg(
        long,
        env = "LIMPET_BENCH_ENTRIES",
        required = true,
        value_delimiter = ','
    )]
    pub entry: Vec<EntryAddrs>,
    /// Team as NAME:API_KEY:REQUESTS_PER_S; may be repeated.
    #[arg(
        long,
        env = "LIMPET_BENCH_TEAMS",
        required = true,
        value_delimiter = ','
    )]
    pub team: Vec<TeamLoad>,
    /// Lookup as NAME, NAME@record or NAME@order; may be repeated, each is chosen with equal probability.
    #[arg(
        long,
        env = "LIMPET_BENCH_LOOKUPS",
        required = true,
        value_delimiter = ','
    )]
    pub lookup: Vec<LookupLoad>,
    /// Duration of the load, in seconds.
    #[arg(long, env = "LIMPET_BENCH_DURATION_S", default_value_t = 10)]
    pub duration_s: u64,
    /// Deadline of each request, in milliseconds.
    #[arg(long, env = "LIMPET_BENCH_DEADLINE_MS", default_value_t = 320)]
    pub deadline_ms: u64,
    /// Accept answers that do not cover every shard.
    #[arg(long, env = "LIMPET_BENCH_ALLOW_PARTIAL")]
    pub allow_partial: bool,
    /// Seed of the arrivals, lookups and record keys.
    #[arg(long, env = "LIMPET_BENCH_SEED", default_value_t = 1)]
    pub seed: u64,
    /// Longest wait until every entry is ready, in seconds.
    #[arg(long, env = "LIMPET_BENCH_READY_TIMEOUT_S", default_value_t = 30)]
    pub ready_timeout_s: u64,
    /// File for the report; printed if absent.
    #[arg(long, env = "LIMPET_BENCH_OUTPUT")]
    pub output: Option<PathBuf>,
    /// File with a schedule of faults and operator changes (JSON).
    #[arg(long, env = "LIMPET_BENCH_SCHEDULE")]
    pub schedule: Option<PathBuf>,
    /// File with the configuration text in force; a schedule edits it.
    #[arg(long, env = "LIMPET_BENCH_TEXT")]
    pub text: Option<PathBuf>,
    /// Address of the fake platform; a schedule puts the edited text there.
    #[arg(long, env = "LIMPET_BENCH_PLATFORM")]
    pub platform: Option<SocketAddr>,
    /// Control address of the fake targets; a schedule sends faults there, and the report counts the
    /// attempts that arrived at them, by zone.
    #[arg(long, env = "LIMPET_BENCH_TARGET_CONTROL")]
    pub target_control: Option<SocketAddr>,
    /// File for a plot of the outcomes and the latency by second (SVG).
    #[arg(long, env = "LIMPET_BENCH_PLOT")]
    pub plot: Option<PathBuf>,
}

impl LoadArguments {
    /// Returns the longest wait until every entry is ready.
    pub const fn ready_timeout(&self) -> Duration {
        Duration::from_secs(self.ready_timeout_s)
    }
}

/// The error when an argument does not have the expected form.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{text:?} is not {expected}")]
pub struct ArgumentError {
    text: Box<str>,
    expected: &'static str,
}

/// Caller and admin addresses of one entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EntryAddrs {
    /// Address that serves callers.
    pub caller: SocketAddr,
    /// Address that reports readiness.
    pub admin: SocketAddr,
}

impl FromStr for EntryAddrs {
    type Err = ArgumentError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let parse = || {
            let (caller, admin) = text.split_once('/')?;
            Some(Self {
                caller: caller.parse().ok()?,
                admin: admin.parse().ok()?,
            })
        };
        parse().ok_or_else(|| argument_error(text, "CALLER_ADDRESS/ADMIN_ADDRESS"))
    }
}

/// A team in whose name the load sends requests.
#[derive(Clone, Debug, PartialEq)]
pub struct TeamLoad {
    /// Name of the team in the report.
    pub name: Box<str>,
    /// API key.
    pub key: Box<str>,
    /// Requests per second.
    pub rate_per_s: f64,
}

impl FromStr for TeamLoad {
    type Err = ArgumentError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let parse = || {
            let (rest, rate) = text.rsplit_once(':')?;
            let (name, key) = rest.split_once(':')?;
            let rate_per_s: f64 = rate.parse().ok()?;
            (rate_per_s.is_finite() && rate_per_s > 0.0).then_some(Self {
                name: name.into(),
                key: key.into(),
                rate_per_s,
            })
        };
        parse()
            .ok_or_else(|| argument_error(text, "NAME:API_KEY:REQUESTS_PER_S with a rate above 0"))
    }
}

/// What a request of a lookup carries.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LookupInput {
    /// Only a body: queries of the kinds search and exists.
    BodyOnly,
    /// A body and a record key.
    Record,
    /// A body, a record key and, once the entry has issued one, a ticket.
    Order,
}

/// A lookup that the load queries.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LookupLoad {
    /// Name of the lookup in the configuration.
    pub name: Box<str>,
    /// What the requests of the lookup carry.
    pub input: LookupInput,
}

impl FromStr for LookupLoad {
    type Err = ArgumentError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let (name, input) = match text.split_once('@') {
            None => (text, LookupInput::BodyOnly),
            Some((name, "record")) => (name, LookupInput::Record),
            Some((name, "order")) => (name, LookupInput::Order),
            Some(_) => return Err(argument_error(text, "NAME, NAME@record or NAME@order")),
        };
        Ok(Self {
            name: name.into(),
            input,
        })
    }
}

fn argument_error(text: &str, expected: &'static str) -> ArgumentError {
    ArgumentError {
        text: text.into(),
        expected,
    }
}
