//! The real processes, started with the command of the deploy file, and the platform's limit of their memory.

use std::{
    fs,
    net::{SocketAddr, TcpListener, UdpSocket},
    os::unix::process::CommandExt,
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    sync::{
        atomic::{AtomicBool, Ordering},
        Arc, Mutex,
    },
    thread,
    time::{Duration, Instant},
};

use super::{
    http::read_message,
    record::Record,
};

/// `memoryMb` of a small deployment.
pub const MEMORY_MB: u64 = 260;
const PROGRAM: &str = "target/release/limpetshunt";
/// Time until the platform starts a process again that has ended.
const RESTART_DELAY: Duration = Duration::from_millis(500);

/// Option of `prctl` that sends a signal to a process once its parent has ended.
const PARENT_DEATH_SIGNAL: i32 = 1;

pub const SIGSTOP: i32 = 19;
pub const SIGCONT: i32 = 18;
pub const SIGTERM: i32 = 15;
pub const SIGKILL: i32 = 9;

extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
    fn prctl(option: i32, signal: u64) -> i32;
}

/// One machine with one process.
pub struct Node {
    pub name: String,
    pub zone: String,
    pub front: SocketAddr,
    pub ready: SocketAddr,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
    /// Number of times that the process ended by itself, memory over the limit included.
    pub own_ends: usize,
    pub peak_mb: u64,
}

/// All machines of a case, and the platform that watches them. The processes end with it.
pub struct Fleet {
    pub nodes: Arc<Mutex<Vec<Node>>>,
    is_over: Arc<AtomicBool>,
    directory: PathBuf,
    record: Record,
}

impl Fleet {
    /// Prepares the settings of machines in zones; their processes start with [`Fleet::start`].
    pub fn new(zones: &[&str], store: SocketAddr, history_s: u64, record: &Record) -> Self {
        let directory = std::env::temp_dir().join(format!("review-{}", std::process::id()));
        fs::create_dir_all(&directory).expect("the temporary folder can be written");
        let ips: Vec<String> = (0..zones.len()).map(|index| format!("127.0.7.{}", index + 1)).collect();
        let port = free_ports(&ips);
        let seeds: Vec<String> = ips.iter().take(3).map(|ip| format!("\"{ip}:{port}\"")).collect();
        let nodes = zones.iter().zip(&ips).enumerate().map(|(index, (zone, ip))| {
            let name = format!("front-{zone}-{}", index + 1);
            let settings = directory.join(format!("{name}.toml"));
            let text = settings_text(&name, zone, zones, ip, port, &seeds.join(","), store, history_s);
            fs::write(&settings, text).expect("the settings can be written");
            Node {
                log: directory.join(format!("{name}.log")),
                name,
                zone: (*zone).into(),
                front: format!("{ip}:{}", port + 1).parse().expect("an address"),
                ready: format!("{ip}:{}", port + 2).parse().expect("an address"),
                settings,
                child: None,
                own_ends: 0,
                peak_mb: 0,
            }
        });
        Self {
            nodes: Arc::new(Mutex::new(nodes.collect())),
            is_over: Arc::default(),
            directory,
            record: record.clone(),
        }
    }

    /// Starts all processes, and the platform, which starts a process again that has ended and kills one that uses more
    /// memory than it may.
    pub fn start(&self) {
        for node in self.nodes.lock().expect("no holder panics").iter_mut() {
            node.start(&self.record);
        }
        let (nodes, is_over, record) = (Arc::clone(&self.nodes), Arc::clone(&self.is_over), self.record.clone());
        thread::spawn(move || {
            while !is_over.load(Ordering::Relaxed) {
                for node in nodes.lock().expect("no holder panics").iter_mut() {
                    node.watch(&record);
                }
                thread::sleep(Duration::from_millis(20));
            }
        });
    }

    /// Waits until all processes are ready; returns false if that takes too long.
    pub fn wait_ready(&self, wait_max: Duration) -> bool {
        let until = Instant::now() + wait_max;
        let addrs: Vec<SocketAddr> =
            self.nodes.lock().expect("no holder panics").iter().map(|node| node.ready).collect();
        while Instant::now() < until {
            if addrs.iter().all(|addr| is_ready(*addr)) {
                return true;
            }
            thread::sleep(Duration::from_millis(50));
        }
        false
    }

    /// Sends a signal to the process of a machine.
    pub fn signal(&self, node: usize, signal: i32) {
        let nodes = self.nodes.lock().expect("no holder panics");
        self.record.say(&format!("signal {signal} to {}", nodes[node].name));
        if let Some(child) = &nodes[node].child {
            // SAFETY: the process is a child of this one and was not waited for, so its id is not used anew.
            unsafe { kill(child.id() as i32, signal) };
        }
    }

    /// Lines in the log of a machine that contain a text.
    pub fn log_lines(&self, node: usize, text: &str) -> Vec<String> {
        let path = self.nodes.lock().expect("no holder panics")[node].log.clone();
        let log = fs::read_to_string(path).unwrap_or_default();
        log.lines().filter(|line| line.contains(text)).map(Into::into).collect()
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        self.is_over.store(true, Ordering::Relaxed);
        for node in self.nodes.lock().expect("no holder panics").iter_mut() {
            if let Some(mut child) = node.child.take() {
                let _ = child.kill();
                let _ = child.wait();
            }
        }
        let _ = match std::env::var_os("KEEP_LOGS") {
            Some(_) => Ok(println!("logs are kept in {}", self.directory.display())),
            None => fs::remove_dir_all(&self.directory),
        };
    }
}

impl Node {
    fn start(&mut self, record: &Record) {
        let log = fs::OpenOptions::new().create(true).append(true).open(&self.log).expect("a log");
        let mut command = Command::new(PROGRAM);
        command.env_clear();
        for name in ["PATH", "HOME", "LANG"] {
            if let Some(value) = std::env::var_os(name) {
                command.env(name, value);
            }
        }
        command.env("LIMPETSHUNT_CONFIG", &self.settings).stdin(Stdio::null());
        command.stdout(log.try_clone().expect("a log")).stderr(log);
        // SAFETY: between fork and exec only one system call is made.
        unsafe {
            // No process outlives the case, also if that is ended early.
            command.pre_exec(|| {
                prctl(PARENT_DEATH_SIGNAL, SIGKILL as u64);
                Ok(())
            })
        };
        self.child = Some(command.spawn().expect("the program was built"));
        // The whole system starts for the first time only once.
        let text = fs::read_to_string(&self.settings).expect("the settings can be read");
        self.settings = self.settings.with_extension("later.toml");
        let text = text.replace("bootstrap = true", "bootstrap = false");
        fs::write(&self.settings, text).expect("the settings can be written");
        record.say(&format!("process of {} started", self.name));
    }

    /// Kills the process if it uses too much memory, and starts it again if it has ended.
    fn watch(&mut self, record: &Record) {
        let Some(child) = &mut self.child else { return };
        let memory_mb = memory_mb(child.id());
        self.peak_mb = self.peak_mb.max(memory_mb);
        if memory_mb > MEMORY_MB {
            record.say(&format!("{} uses {memory_mb} MB of {MEMORY_MB} MB and is killed", self.name));
            let _ = child.kill();
        }
        if let Ok(Some(status)) = child.try_wait() {
            self.own_ends += 1;
            record.say(&format!("process of {} has ended by itself: {status}", self.name));
            thread::sleep(RESTART_DELAY);
            self.start(record);
        }
    }
}

/// Resident memory of a process.
fn memory_mb(pid: u32) -> u64 {
    let status = fs::read_to_string(Path::new("/proc").join(pid.to_string()).join("status"));
    let status = status.unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let kb = line.and_then(|line| line.split_whitespace().next()?.parse::<u64>().ok());
    kb.unwrap_or(0) / 1024
}

fn is_ready(addr: SocketAddr) -> bool {
    let Ok(mut stream) = std::net::TcpStream::connect_timeout(&addr, Duration::from_millis(200)) else {
        return false;
    };
    let _ = stream.set_read_timeout(Some(Duration::from_millis(500)));
    let request = b"GET /api/ready HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n";
    if std::io::Write::write_all(&mut stream, request).is_err() {
        return false;
    }
    let answer = read_message(&mut std::io::BufReader::new(stream));
    matches!(answer, Ok(Some(answer)) if answer.status() == 200)
}

/// Returns the first of ten ports in a row that are free on all addresses.
fn free_ports(ips: &[String]) -> u16 {
    let start = 21_000 + (std::process::id() % 500) as u16 * 20;
    let mut ports = (start..32_000).step_by(10);
    let is_free = |ip: &String, port: u16| {
        TcpListener::bind((ip.as_str(), port)).is_ok() && UdpSocket::bind((ip.as_str(), port)).is_ok()
    };
    let found = ports.find(|first| ips.iter().all(|ip| (*first..first + 10).all(|port| is_free(ip, port))));
    found.expect("there are free ports")
}

/// Settings like those of a small deployment. `port` is the control port, the two after it take clients and checks, and
/// those from the fourth on are for the processes among themselves.
#[allow(clippy::too_many_arguments)]
fn settings_text(
    name: &str,
    zone: &str,
    zones: &[&str],
    ip: &str,
    port: u16,
    seeds: &str,
    store: SocketAddr,
    history_s: u64,
) -> String {
    let mut all_zones = zones.to_vec();
    all_zones.sort_unstable();
    all_zones.dedup();
    let zone_lines: String = all_zones.iter().map(|zone| format!("{zone} = \"east-mids\"\n")).collect();
    format!(
        r#"node = "{name}"
role = "gateway"
machineClass = "front"
serves = ["front","control"]
ip = "{ip}"
zone = "{zone}"
region = "east-mids"
portRange = [{range_start},{range_end}]
seeds = [{seeds}]
bootstrap = true
faultCounted = false
discovery = "platform"
entry = "vip"
heartbeatMs = 1200
contracts = ["base","drain","config","cost","retry","recover","scatter","places","tenants","quota","platform"]
[zones]
{zone_lines}[listen]
front = "{ip}:{front}"
ready = "{ip}:{ready}"
control = "{ip}:{port}"
[limits]
cpuShare = 0.25
cores = 1
memoryMb = {MEMORY_MB}
maxFds = 4100
linkMbps = 1000.0
diskMb = 0
[faultTolerance]
machines = 2
zones = 1
regions = 0
[bounds]
seedLagS = 3
reuseDelayS = 2
contactMs = 4000
ackMs = 5000
catchUpS = 4
drainMs = 3000
graceS = 6
lossSlackMs = 200
configMs = 3000
rollbackSlackMs = 250
outerMs = 12000
strictRevoke = false
revokeMs = 5000
retryRatio = 0.2
retryWindowS = 10
retrySlack = 54
quotaWindowS = 5
quotaExcess = 0.25
quotaSlack = 20
warmupExcess = 1.5
warmupSlack = 5
evacuateMs = 5000
recoveryS = 12
[platform]
addr = "{store}"
form = "read"
writesPerS = 400
readsPerS = 2000
historyS = {history_s}
maxValueBytes = 1048576
minTtlMs = 1000
"#,
        range_start = port + 3,
        range_end = port + 8,
        front = port + 1,
        ready = port + 2,
    )
}
