//! Starts the processes of the system as the platform does.

use std::net::{SocketAddr, TcpListener, UdpSocket};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::thread;
use std::time::{Duration, Instant};

use crate::http;

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
}

pub const SIGCONT: i32 = 18;
pub const SIGSTOP: i32 = 19;

/// Bounds of the settings in which a case differs from the small deployment.
pub struct Node {
    pub name: String,
    pub ip: String,
    pub zone: String,
    pub front: SocketAddr,
    ready: SocketAddr,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
}

/// The machines of a small deployment on loopback addresses.
pub struct System {
    pub nodes: Vec<Node>,
    folder: PathBuf,
    program: PathBuf,
}

/// Returns a port that is free, with the three after it, on all these addresses.
fn free_ports(ips: &[String]) -> Option<u16> {
    let first = TcpListener::bind(("127.0.0.1", 0))
        .ok()?
        .local_addr()
        .ok()?
        .port();
    (0..200)
        .map(|step| 20_000 + (first.wrapping_add(step * 97) % 10_000))
        .find(|base| {
            ips.iter().all(|ip| {
                (*base..base + 8).all(|port| {
                    TcpListener::bind((ip.as_str(), port)).is_ok()
                        && UdpSocket::bind((ip.as_str(), port)).is_ok()
                })
            })
        })
}

impl System {
    /// Prepares the settings of one machine for each zone in `zones`.
    pub fn prepare(zones: &[&str], store: SocketAddr) -> std::io::Result<Self> {
        let program = std::env::current_dir()?.join("target/release/limpetshunt");
        if !program.exists() {
            return Err(std::io::Error::other("the program is not built"));
        }
        let folder = std::env::temp_dir().join(format!("review-{}", std::process::id()));
        std::fs::create_dir_all(&folder)?;
        let ips: Vec<String> = (0..zones.len())
            .map(|index| format!("127.10.{index}.17"))
            .collect();
        let base = free_ports(&ips).ok_or_else(|| std::io::Error::other("no free ports"))?;
        let seeds: Vec<String> = ips
            .iter()
            .take(3)
            .map(|ip| format!("\"{ip}:{}\"", base + 2))
            .collect();
        let mut nodes = Vec::new();
        for (index, zone) in zones.iter().enumerate() {
            let ip = &ips[index];
            let name = format!("front-{zone}-{index}");
            let text = settings_text(&name, ip, zone, zones, base, &seeds.join(","), store);
            let settings = folder.join(format!("{name}.toml"));
            std::fs::write(&settings, text)?;
            let addr = |port: u16| {
                format!("{ip}:{port}")
                    .parse()
                    .map_err(std::io::Error::other)
            };
            nodes.push(Node {
                ip: ip.clone(),
                zone: zone.to_string(),
                front: addr(base)?,
                ready: addr(base + 1)?,
                log: folder.join(format!("{name}.log")),
                settings,
                name,
                child: None,
            });
        }
        Ok(Self {
            nodes,
            folder,
            program,
        })
    }

    /// Starts a machine's process with the command of the deploy file.
    pub fn start(&mut self, index: usize) -> std::io::Result<()> {
        let node = &mut self.nodes[index];
        let log = std::fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(&node.log)?;
        let child = Command::new(&self.program)
            .env_clear()
            .env("PATH", std::env::var("PATH").unwrap_or_default())
            .env("LIMPETSHUNT_CONFIG", &node.settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        node.child = Some(child);
        Ok(())
    }

    /// Starts all machines and waits until they are ready.
    pub fn start_all(&mut self) -> std::io::Result<()> {
        for index in 0..self.nodes.len() {
            self.start(index)?;
        }
        let end = Instant::now() + Duration::from_secs(15);
        for index in 0..self.nodes.len() {
            while !self.is_ready(index) {
                if Instant::now() > end {
                    return Err(std::io::Error::other("a machine does not get ready"));
                }
                thread::sleep(Duration::from_millis(50));
            }
        }
        Ok(())
    }

    /// Asks a machine whether it is ready, as the platform does.
    pub fn is_ready(&self, index: usize) -> bool {
        let node = &self.nodes[index];
        let headers = [("Host", node.ip.as_str())];
        let timeout = Duration::from_millis(500);
        http::call(node.ready, "GET", "/api/ready", &headers, b"", timeout)
            .is_ok_and(|response| response.status == 200)
    }

    /// Sends a signal to a machine's process.
    pub fn signal(&self, index: usize, signal: i32) {
        if let Some(child) = &self.nodes[index].child {
            unsafe { kill(child.id() as i32, signal) };
        }
    }

    /// Kills a machine's process.
    pub fn kill(&mut self, index: usize) {
        if let Some(mut child) = self.nodes[index].child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Returns the lines that a machine's process has logged.
    pub fn log_lines(&self, index: usize, containing: &str) -> Vec<String> {
        let text = std::fs::read_to_string(&self.nodes[index].log).unwrap_or_default();
        text.lines()
            .filter(|line| line.contains(containing))
            .map(str::to_string)
            .collect()
    }

    pub fn folder(&self) -> &Path {
        &self.folder
    }
}

impl Drop for System {
    fn drop(&mut self) {
        for index in 0..self.nodes.len() {
            self.kill(index);
        }
        if std::env::var("KEEP").is_err() {
            let _ = std::fs::remove_dir_all(&self.folder);
        }
    }
}

/// Returns the settings of a machine of the small deployment, with the bounds of mcfsa-limpets.
fn settings_text(
    name: &str,
    ip: &str,
    zone: &str,
    zones: &[&str],
    base: u16,
    seeds: &str,
    store: SocketAddr,
) -> String {
    let mut distinct = zones.to_vec();
    distinct.dedup();
    let regions: Vec<String> = distinct
        .iter()
        .map(|zone| format!("{zone} = \"east-mids\""))
        .collect();
    format!(
        "node = \"{name}\"\nrole = \"gateway\"\nmachineClass = \"front\"\nserves = [\"front\",\"control\"]\n\
         ip = \"{ip}\"\nzone = \"{zone}\"\nregion = \"east-mids\"\nportRange = [{}, {}]\nseeds = [{seeds}]\n\
         bootstrap = false\nfaultCounted = false\ndiscovery = \"platform\"\nentry = \"vip\"\nheartbeatMs = 1200\n\
         contracts = [\"base\",\"drain\",\"config\",\"cost\",\"retry\",\"recover\",\"scatter\",\"places\",\"tenants\",\
         \"quota\",\"platform\"]\n[zones]\n{}\n[listen]\nfront = \"{ip}:{base}\"\nready = \"{ip}:{}\"\n\
         control = \"{ip}:{}\"\n[limits]\ncpuShare = 0.25\ncores = 1\nmemoryMb = 260\nmaxFds = 4100\n\
         linkMbps = 1000.0\ndiskMb = 0\n[faultTolerance]\nmachines = 2\nzones = 1\nregions = 0\n[bounds]\n\
         seedLagS = 3\nreuseDelayS = 2\ncontactMs = 4000\nackMs = 5000\ncatchUpS = 4\ndrainMs = 3000\ngraceS = 6\n\
         lossSlackMs = 200\nconfigMs = 3000\nrollbackSlackMs = 250\nouterMs = 12000\nstrictRevoke = false\n\
         revokeMs = 5000\nretryRatio = 0.2\nretryWindowS = 10\nretrySlack = 54\nquotaWindowS = 5\n\
         quotaExcess = 0.25\nquotaSlack = 20\nwarmupExcess = 1.5\nwarmupSlack = 5\nevacuateMs = 5000\n\
         recoveryS = 12\n[platform]\naddr = \"{store}\"\nform = \"read\"\nwritesPerS = 400\nreadsPerS = 2000\n\
         historyS = 20\nmaxValueBytes = 1048576\nminTtlMs = 1000\n",
        base + 3,
        base + 7,
        regions.join("\n"),
        base + 1,
        base + 2,
    )
}
