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

/// Exit code when the file with the target settings cannot be read.
const EXIT_INVALID_SPECS: u8 = 2;

/// Serve fake targets.
#[derive(Debug, Parser)]
#[command(name = "fake-target", version)]
struct Arguments {
    /// JSON file with a list of target settings.
    #[arg(long, env = "FAKE_TARGET_SPEC")]
    spec: Option<PathBuf>,
    /// Address of a target with default settings, named after the address; may be repeated.
    #[arg(long, env = "FAKE_TARGET_LISTEN", value_delimiter = ',')]
    listen: Vec<SocketAddr>,
    /// Address of the control endpoint.
    #[arg(long, env = "FAKE_TARGET_CONTROL", default_value = "127.0.0.1:0")]
    control: SocketAddr,
    /// Requests that run at a time on each of the targets given by `--listen`.
    #[arg(long, env = "FAKE_TARGET_SLOTS", default_value_t = 2)]
    slots: u32,
    /// Service time, in microseconds, of the targets given by `--listen`.
    #[arg(long, env = "FAKE_TARGET_SERVICE_TIME_US", default_value_t = 1_000)]
    service_time_us: u64,
    /// Index versions held by the targets given by `--listen`.
    #[arg(long, env = "FAKE_TARGET_VERSIONS", value_delimiter = ',')]
    versions: Vec<u64>,
}

impl Arguments {
    /// Returns the settings of all targets: those of the file, then those of `--listen`.
    fn read_specs(&self) -> Result<Vec<TargetSpec>, String> {
        let mut specs: Vec<TargetSpec> = match &self.spec {
            None => Vec::new(),
            Some(path) => {
                let json =
                    std::fs::read(path).map_err(|error| format!("{}: {error}", path.display()))?;
                serde_json::from_slice(&json)
                    .map_err(|error| format!("{}: {error}", path.display()))?
            }
        };
        specs.extend(self.listen.iter().map(|addr| {
            let mut spec = TargetSpec::new(&addr.to_string())
                .with_slots(self.slots)
                .with_service_time_us(self.service_time_us)
                .with_versions_held(&self.versions);
            spec.addr = *addr;
            spec
        }));
        Ok(specs)
    }
}

#[tokio::main]
async fn main() -> ExitCode {
    let arguments = Arguments::parse();
    let specs = match arguments.read_specs() {
        Ok(specs) => specs,
        Err(error) => {
            eprintln!("error: {error}");
            return ExitCode::from(EXIT_INVALID_SPECS);
        }
    };
    tracing_subscriber::fmt()
        .json()
        .with_writer(std::io::stderr)
        .init();
    match serve(&arguments, specs).await {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("error: {error}");
            ExitCode::FAILURE
        }
    }
}

/// Starts the targets and serves their control endpoint until a stop signal arrives.
async fn serve(arguments: &Arguments, specs: Vec<TargetSpec>) -> std::io::Result<()> {
    let stop = stop_signal()?;
    let mut targets = Vec::with_capacity(specs.len());
    for spec in specs {
        targets.push(FakeTarget::start(spec).await?);
    }
    let control_listener = TcpListener::bind(arguments.control).await?;
    let control_addr = control_listener.local_addr()?;
    tracing::info!(control = %control_addr, targets = targets.len(), "serving");
    tokio::select! {
        () = serve_control(control_listener, Arc::new(targets)) => Ok(()),
        () = stop => Ok(()),
    }
}
