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
        FakeVm,
        Platform, //
    },
    stop_signal, //
};

/// Exit code when the settings are invalid.
const EXIT_INVALID_SETTINGS: u8 = 2;
/// Interval between checks of the file for a new modification time.
const FILE_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Serve a fake configuration service and VM list.
#[derive(Debug, Parser)]
#[command(name = "fake-platform", version)]
struct Settings {
    /// Address to serve on.
    #[arg(long, env = "FAKE_PLATFORM_ADDR", default_value = "127.0.0.1:7000")]
    addr: SocketAddr,
    /// File with the configuration text; each new modification time creates a new revision.
    #[arg(long, env = "FAKE_PLATFORM_TEXT")]
    text: Option<PathBuf>,
    /// Live VM as IP=ZONE; repeat the flag or separate several VMs by commas.
    #[arg(long, env = "FAKE_PLATFORM_VM", value_delimiter = ',', value_parser = parse_vm)]
    vm: Vec<FakeVm>,
}

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
    let settings = Settings::parse();
    tracing_subscriber::fmt()
        .json()
        .with_writer(io::stderr)
        .init();
    match run(settings).await {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("error: {error}");
            ExitCode::from(EXIT_INVALID_SETTINGS)
        }
    }
}

async fn run(settings: Settings) -> io::Result<()> {
    let platform = Platform::new();
    platform.set_vms(settings.vm);
    let mut loaded_modified_at = None;
    if let Some(path) = &settings.text {
        loaded_modified_at = Some(load_text(&platform, path)?);
    }
    let frontend = platform.serve(settings.addr).await?;
    tracing::info!(addr = %frontend.addr(), "serving");
    let mut stop = std::pin::pin!(stop_signal()?);
    let mut ticks = tokio::time::interval(FILE_CHECK_INTERVAL);
    loop {
        tokio::select! {
            _ = ticks.tick() => {}
            () = &mut stop => {
                frontend.stop().await;
                return Ok(());
            }
        }
        let Some(path) = &settings.text else { continue };
        let modified_at = std::fs::metadata(path)
            .and_then(|metadata| metadata.modified())
            .ok();
        if modified_at.is_some() && modified_at != loaded_modified_at {
            match load_text(&platform, path) {
                Ok(at) => loaded_modified_at = Some(at),
                Err(error) => tracing::warn!(%error, "cannot read the configuration text"),
            }
        }
    }
}

/// Sets the text from the file and returns the modification time.
///
/// The time is read before the content, so that a write in between is noticed by the next check.
fn load_text(platform: &Platform, path: &Path) -> io::Result<SystemTime> {
    let modified_at = std::fs::metadata(path)?.modified()?;
    let revision = platform.set_text(&std::fs::read_to_string(path)?);
    tracing::info!(revision, "configuration text set");
    Ok(modified_at)
}
