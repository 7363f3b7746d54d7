//! Stand-in for the configuration service and the list of VMs, as a program.

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

/// Exit code for settings that cannot be used.
const EXIT_SETTINGS: u8 = 2;
/// Time between two looks at the file.
const FILE_INTERVAL: Duration = Duration::from_millis(100);

/// Serves the configuration service and the list of VMs.
#[derive(Debug, Parser)]
#[command(name = "fake-platform", version)]
struct Settings {
    /// Address to serve on.
    #[arg(long, env = "FAKE_PLATFORM_ADDR", default_value = "127.0.0.1:7000")]
    addr: SocketAddr,
    /// File with the operators' text; each new modification time is a new revision.
    #[arg(long, env = "FAKE_PLATFORM_TEXT")]
    text: Option<PathBuf>,
    /// A live VM as IP=ZONE; repeat the flag or separate several by commas.
    #[arg(long, env = "FAKE_PLATFORM_VM", value_delimiter = ',', value_parser = parse_vm)]
    vm: Vec<FakeVm>,
}

fn parse_vm(text: &str) -> Result<FakeVm, String> {
    let (ip, zone) = text.split_once('=').ok_or("use IP=ZONE, 127.0.0.2=a")?;
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
            ExitCode::from(EXIT_SETTINGS)
        }
    }
}

async fn run(settings: Settings) -> io::Result<()> {
    let platform = Platform::new();
    platform.set_vms(settings.vm);
    let mut read_at = None;
    if let Some(path) = &settings.text {
        read_at = Some(load(&platform, path)?);
    }
    let frontend = platform.open(settings.addr).await?;
    tracing::info!(addr = %frontend.addr(), "serving");
    let mut stop = std::pin::pin!(stop_signal()?);
    let mut ticks = tokio::time::interval(FILE_INTERVAL);
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
        if modified_at.is_some() && modified_at != read_at {
            match load(&platform, path) {
                Ok(at) => read_at = Some(at),
                Err(error) => tracing::warn!(%error, "text not read"),
            }
        }
    }
}

/// Reads the file; the time is taken before the content, so that a later write is seen again.
fn load(platform: &Platform, path: &Path) -> io::Result<SystemTime> {
    let modified_at = std::fs::metadata(path)?.modified()?;
    let revision = platform.set_text(&std::fs::read_to_string(path)?);
    tracing::info!(revision, "text set");
    Ok(modified_at)
}
