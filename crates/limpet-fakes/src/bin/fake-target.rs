//! Program that serves fake targets.

use std::{
    net::SocketAddr,
    path::PathBuf,
    process::ExitCode,
    sync::Arc, //
};

use clap::Parser;
use limpet_fakes::{
    stop_signal,
    target::{
        FakeTarget,
        TargetSpec,
        serve_control, //
    },
};
use tokio::net::TcpListener;

/// Exit code when the settings are invalid.
const EXIT_INVALID_SETTINGS: u8 = 2;

/// Serve fake targets.
#[derive(Debug, Parser)]
#[command(name = "fake-target", version)]
struct Args {
    /// JSON file with a list of target settings.
    #[arg(long, env = "FAKE_TARGET_SPEC")]
    spec: Option<PathBuf>,
    /// Address of a target with default settings, named after the address; may be repeated.
    #[arg(long, env = "FAKE_TARGET_LISTEN", value_delimiter = ',')]
    listen: Vec<SocketAddr>,
    /// Address of the control endpoint.
    #[arg(long, env = "FAKE_TARGET_CONTROL", default_value = "127.0.0.1:0")]
    control: SocketAddr,
    /// Slots of the targets given by `--listen`.
    #[arg(long, env = "FAKE_TARGET_SLOTS", default_value_t = 2)]
    slots: u32,
    /// Service time, in microseconds, of the targets given by `--listen`.
    #[arg(long, env = "FAKE_TARGET_SERVICE_TIME_US", default_value_t = 1_000)]
    service_time_us: u64,
    /// Index versions held by the targets given by `--listen`.
    #[arg(long, env = "FAKE_TARGET_VERSIONS", value_delimiter = ',')]
    versions: Vec<u64>,
}

impl Args {
    fn specs(&self) -> Result<Vec<TargetSpec>, String> {
        let mut specs: Vec<TargetSpec> = match &self.spec {
            None => Vec::new(),
            Some(path) => {
                let text = std::fs::read(path).map_err(|e| format!("{}: {e}", path.display()))?;
                serde_json::from_slice(&text).map_err(|e| format!("{}: {e}", path.display()))?
            }
        };
        specs.extend(self.listen.iter().map(|addr| {
            let mut spec = TargetSpec::new(&addr.to_string())
                .with_slots(self.slots)
                .with_service_time_us(self.service_time_us)
                .with_versions(&self.versions);
            spec.addr = *addr;
            spec
        }));
        Ok(specs)
    }
}

#[tokio::main]
async fn main() -> ExitCode {
    let args = Args::parse();
    let specs = match args.specs() {
        Ok(specs) => specs,
        Err(error) => {
            eprintln!("error: {error}");
            return ExitCode::from(EXIT_INVALID_SETTINGS);
        }
    };
    tracing_subscriber::fmt()
        .json()
        .with_writer(std::io::stderr)
        .init();
    match serve(&args, specs).await {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("error: {error}");
            ExitCode::FAILURE
        }
    }
}

async fn serve(args: &Args, specs: Vec<TargetSpec>) -> std::io::Result<()> {
    let stop = stop_signal()?;
    let mut targets = Vec::with_capacity(specs.len());
    for spec in specs {
        targets.push(FakeTarget::start(spec).await?);
    }
    let control = TcpListener::bind(args.control).await?;
    let addr = control.local_addr()?;
    tracing::info!(control = %addr, targets = targets.len(), "serving");
    tokio::select! {
        () = serve_control(control, Arc::new(targets)) => Ok(()),
        () = stop => Ok(()),
    }
}
