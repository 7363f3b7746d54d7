//! Entry point of the `limpetshuntd` program.

use std::process::ExitCode;

use clap::Parser;
use limpetshuntd::{
    Settings,
    daemon, //
};
use tokio::signal::unix::{
    SignalKind,
    signal, //
};
use tracing_subscriber::EnvFilter;

/// Exit code for invalid settings, the same as for command lines that clap rejects.
const EXIT_INVALID_SETTINGS: u8 = 2;

#[tokio::main]
async fn main() -> ExitCode {
    let settings = Settings::parse();
    let filter = match EnvFilter::try_new(&*settings.role.common().log) {
        Ok(filter) => filter,
        Err(error) => {
            eprintln!("error: invalid value for '--log': {error}");
            return ExitCode::from(EXIT_INVALID_SETTINGS);
        }
    };
    tracing_subscriber::fmt()
        .json()
        .with_env_filter(filter)
        .with_writer(std::io::stderr)
        .init();
    let mut terminate_signal = match signal(SignalKind::terminate()) {
        Ok(signal) => signal,
        Err(error) => {
            tracing::error!(%error, "cannot install the SIGTERM handler");
            return ExitCode::FAILURE;
        }
    };
    let shutdown = async move {
        tokio::select! {
            _ = terminate_signal.recv() => {}
            _ = tokio::signal::ctrl_c() => {}
        }
    };
    match daemon::run(settings, shutdown).await {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            tracing::error!(%error, "cannot start the daemon");
            eprintln!("error: {error}");
            ExitCode::FAILURE
        }
    }
}
