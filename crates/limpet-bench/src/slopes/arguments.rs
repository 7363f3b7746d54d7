//! Arguments of `slopes`.

use std::{
    net::SocketAddr,
    path::PathBuf,
    str::FromStr, //
};

use clap::{
    Args,
    Subcommand, //
};

/// Arguments of `slopes`.
#[derive(Clone, Debug, Args)]
pub struct SlopesArguments {
    /// What to do.
    #[command(subcommand)]
    pub command: SlopesCommand,
}

/// What `slopes` does.
#[derive(Clone, Debug, Subcommand)]
pub enum SlopesCommand {
    /// Measure a running fleet and write one point.
    Point(PointArguments),
    /// Fit lines through points.
    Fit(FitArguments),
}

/// Arguments of `slopes point`.
#[derive(Clone, Debug, Args)]
pub struct PointArguments {
    /// Process as ROLE:PID:ADMIN_ADDRESS, with the role entry or relay; may be repeated.
    #[arg(long, required = true)]
    pub node: Vec<MeasuredProcess>,
    /// Address of the fake platform.
    #[arg(long)]
    pub platform: SocketAddr,
    /// File with the configuration text in force; changes are made from it.
    #[arg(long)]
    pub text: PathBuf,
    /// Port of every target.
    #[arg(long)]
    pub target_port: u16,
    /// Requests per second that another process sends meanwhile; only written to the point.
    #[arg(long, default_value_t = 0.0)]
    pub load_per_s: f64,
    /// Configuration changes per second during the measurement.
    #[arg(long, default_value_t = 0.0)]
    pub changes_per_s: f64,
    /// Time of the measurement, in seconds.
    #[arg(long, default_value_t = 10)]
    pub duration_s: u64,
    /// Number of changes made after the measurement, to measure the time until each is in force.
    #[arg(long, default_value_t = 0)]
    pub timed_changes: u32,
    /// File for the point (JSON).
    #[arg(long)]
    pub output: PathBuf,
}

/// Arguments of `slopes fit`.
#[derive(Clone, Debug, Args)]
pub struct FitArguments {
    /// Files with points.
    #[arg(required = true)]
    pub points: Vec<PathBuf>,
    /// File for the points and lines (JSON); printed if absent.
    #[arg(long)]
    pub output: Option<PathBuf>,
}

/// The argument for a process does not have the expected form.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{0:?} is not ROLE:PID:ADMIN_ADDRESS with the role entry or relay")]
pub struct MeasuredProcessError(Box<str>);

/// An entry or relay process to be measured.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MeasuredProcess {
    /// Whether the process is an entry; otherwise it is a relay.
    pub is_entry: bool,
    /// Process ID.
    pub pid: u32,
    /// Address that serves its metrics.
    pub admin: SocketAddr,
}

impl FromStr for MeasuredProcess {
    type Err = MeasuredProcessError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let parse = || {
            let mut parts = text.splitn(3, ':');
            let is_entry = match parts.next()? {
                "entry" => true,
                "relay" => false,
                _ => return None,
            };
            Some(Self {
                is_entry,
                pid: parts.next()?.parse().ok()?,
                admin: parts.next()?.parse().ok()?,
            })
        };
        parse().ok_or_else(|| MeasuredProcessError(text.into()))
    }
}
