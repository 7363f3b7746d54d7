//! Program that serves a fake configuration service and VM list.

use std::{
    io,
    net::{
        IpAddr,
        SocketAddr, //
    },
    path::{
        Path,
        PathBuf, //
    },
    process::ExitCode,
    time::{
        Duration,
        SystemTime, //
    },
};

use clap::Parser;
use limpet_fakes::{
    platform::{
        FakePlatform,
        FakeVm, //
    },
    stop_signal, //
};

/// Exit code after an error: an invalid argument, an unreadable file or an address that cannot be bound.
const EXIT_ERROR: u8 = 2;
/// Interval between checks of the text file for a new modification time.
const FILE_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Serve a fake configuration service and VM list.
#[derive(Debug, Parser)]
#[command(name = "fake-platform", version)]
struct Arguments {
    /// Address to serve on.
    #[arg(long, env = "FAKE_PLATFORM_ADDR", default_value = "127.0.0.1:7000")]
    addr: SocketAddr,
    /// File with the configuration text; a new modification time creates a new revision.
    #[arg(long, env = "FAKE_PLATFORM_TEXT")]
    text: Option<PathBuf>,
    /// Live VM as IP=ZONE; repeat the flag or separate several VMs by commas.
    #[arg(long, env = "FAKE_PLATFORM_VM", value_delimiter = ',', value_parser = parse_vm)]
    vm: Vec<FakeVm>,
}

/// Parses a live VM given as IP=ZONE.
fn parse_vm(text: &str) -> Result<FakeVm, String> {
    let (ip, zone) = text
        .split_once('=')
        .ok_or("expected IP=ZONE, such as 127.0.0.2=a")?;
    let ip: IpAddr = ip.parse().map_err(|error| format!("{ip:?}: {error}"))?;
    Ok(FakeVm {
        name: format!("vm-{ip}"),
        ip,
        zone: zone.into(),
        state: "live".into(),
    })
}

#[tokio::main]
async fn main() -> ExitCode {
    let arguments = Arguments::parse();
    tracing_subscriber::fmt()
        .json()
        .with_writer(io::stderr)
        .init();
    match run(arguments).await {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("error: {error}");
            ExitCode::from(EXIT_ERROR)
        }
    }
}

/// Serves until a stop signal arrives, and loads the text file whenever it changes.
async fn run(arguments: Arguments) -> io::Result<()> {
    // Before the log line that tells a script that the program may be signalled.
    let mut stop = std::pin::pin!(stop_signal()?);
    let platform = FakePlatform::new();
    platform.set_vms(arguments.vm);
    let mut loaded_modified_at = None;
    if let Some(path) = &arguments.text {
        loaded_modified_at = Some(load_text(&platform, path)?);
    }
    let server = platform.serve(arguments.addr).await?;
    tracing::info!(addr = %server.addr(), "serving");
    let mut file_checks = tokio::time::interval(FILE_CHECK_INTERVAL);
    loop {
        tokio::select! {
            _ = file_checks.tick() => {}
            () = &mut stop => {
                server.stop().await;
                return Ok(());
            }
        }
        let Some(path) = &arguments.text else {
            continue;
        };
        let modified_at = std::fs::metadata(path)
            .and_then(|metadata| metadata.modified())
            .ok();
        if modified_at.is_some() && modified_at != loaded_modified_at {
            match load_text(&platform, path) {
                Ok(modified_at) => loaded_modified_at = Some(modified_at),
                Err(error) => tracing::warn!(%error, "cannot read the configuration text"),
            }
        }
    }
}

/// Sets the configuration text from a file and returns the file's modification time.
///
/// The time is read before the content, so that the next check notices a write in between.
fn load_text(platform: &FakePlatform, path: &Path) -> io::Result<SystemTime> {
    let modified_at = std::fs::metadata(path)?.modified()?;
    let revision = platform.set_config_text(&std::fs::read_to_string(path)?);
    tracing::info!(revision, "configuration text set");
    Ok(modified_at)
}
