//! Measurement of one point: the cost of the control plane of a running fleet.

use std::{
    collections::BTreeMap,
    time::{
        Duration,
        Instant, //
    },
};

use http::Request;
use http_body_util::Full;
use serde::{
    Deserialize,
    Serialize, //
};

use crate::{
    load::PooledClient,
    slopes::{
        PointArguments,
        scrape::{
            self,
            ProcessSample, //
        },
    },
};

/// Interval between polls of the processes while a change spreads.
const SPREAD_POLL_INTERVAL: Duration = Duration::from_millis(10);
/// Timeout for a change to be in force in every process.
const SPREAD_TIMEOUT: Duration = Duration::from_secs(30);
/// Kinds of peer messages that belong to the control plane.
const CONTROL_MESSAGE_KINDS: [&str; 3] = ["gossip", "grant", "vote"];

/// Measured figures of one class of processes, by name.
pub type ClassFigures = BTreeMap<Box<str>, f64>;

/// Cost of the control plane of a fleet of one size, written as JSON.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Point {
    /// Number of VMs, each with one entry and one relay.
    pub vms: usize,
    /// Number of targets in the configuration text.
    pub targets: usize,
    /// Size of the configuration text in bytes.
    pub text_bytes: usize,
    /// Requests per second over the fleet.
    pub load_per_s: f64,
    /// Configuration changes per second.
    pub changes_per_s: f64,
    /// Time of the measurement in seconds.
    pub duration_s: f64,
    /// Load average of the machine over 1, 5 and 15 minutes, at the end of the measurement.
    pub load_average: Box<str>,
    /// Time until each timed change was in force in every process.
    pub spread_ms: Vec<f64>,
    /// Figures by class of processes; `fleet` holds those of the fleet as a whole.
    pub classes: BTreeMap<Box<str>, ClassFigures>,
}

impl Point {
    /// Returns a figure of a class.
    pub fn figure(&self, class: &str, figure: &str) -> Option<f64> {
        self.classes.get(class)?.get(figure).copied()
    }

    /// Adds the classes `entries` and `relays` with the mean over all processes of each role.
    ///
    /// These classes exist at every size of the fleet, unlike the finer ones: in a small fleet every
    /// process reads the configuration itself or coordinates a lease group.
    pub fn with_role_means(mut self) -> Self {
        for (role, class_names) in [
            ("entries", &["entry", "entry_reader"][..]),
            ("relays", &["relay", "relay_reader", "coordinator"][..]),
        ] {
            let classes: Vec<&ClassFigures> = class_names
                .iter()
                .filter_map(|class_name| self.classes.get(*class_name))
                .collect();
            let process_count =
                |figures: &ClassFigures| figures.get("processes").copied().unwrap_or(0.0);
            let total_process_count: f64 =
                classes.iter().map(|figures| process_count(figures)).sum();
            let mut means = ClassFigures::new();
            for name in classes.iter().flat_map(|figures| figures.keys()) {
                if name.ends_with("_max") || &**name == "processes" {
                    continue;
                }
                let weighted_values = classes.iter().map(|figures| {
                    process_count(figures) * figures.get(name).copied().unwrap_or(0.0)
                });
                means.insert(
                    name.clone(),
                    weighted_values.sum::<f64>() / total_process_count,
                );
            }
            if total_process_count > 0.0 {
                means.insert("processes".into(), total_process_count);
                self.classes.insert(role.into(), means);
            }
        }
        self
    }

    /// Returns the names of all figures, each with its class.
    pub fn figure_names(&self) -> impl Iterator<Item = (Box<str>, Box<str>)> {
        self.classes.iter().flat_map(|(class, figures)| {
            let figures = figures.keys();
            figures.map(move |figure| (class.clone(), figure.clone()))
        })
    }
}

/// Measures a point, writes it and returns true.
pub(crate) async fn run(arguments: &PointArguments) -> Result<bool, Box<dyn std::error::Error>> {
    let text = std::fs::read_to_string(&arguments.text)?;
    let processes = &arguments.node;
    let admin_clients: Vec<_> = processes
        .iter()
        .map(|process| PooledClient::new(process.admin))
        .collect();
    let platform = PooledClient::new(arguments.platform);
    let mut config_changes = ConfigChanges {
        text: &text,
        platform: &platform,
        change_count: 0,
    };
    let call_count_before = fetch_config_calls(&platform).await?;
    let before = sample_all(arguments, &admin_clients).await?;
    let started_at = Instant::now();
    let duration = Duration::from_secs(arguments.duration_s);
    if arguments.changes_per_s > 0.0 {
        let gap = Duration::from_secs_f64(1.0 / arguments.changes_per_s);
        while started_at.elapsed() + gap <= duration {
            config_changes.put_next().await?;
            tokio::time::sleep_until((started_at + gap * config_changes.change_count).into()).await;
        }
    }
    tokio::time::sleep_until((started_at + duration).into()).await;
    let after = sample_all(arguments, &admin_clients).await?;
    let elapsed_s = started_at.elapsed().as_secs_f64();
    let calls_per_s = (fetch_config_calls(&platform).await? - call_count_before) / elapsed_s;
    let mut point = Point {
        vms: processes.iter().filter(|process| !process.is_entry).count(),
        targets: text.matches("[[service.shard.target]]").count(),
        text_bytes: text.len(),
        load_per_s: arguments.load_per_s,
        changes_per_s: arguments.changes_per_s,
        duration_s: elapsed_s,
        load_average: read_load_average()?,
        ..Point::default()
    };
    point.classes = figures_by_class(arguments, &before, &after, elapsed_s);
    let fleet = point.classes.entry("fleet".into()).or_default();
    fleet.insert("config_calls_per_s".into(), calls_per_s);
    let connection_count = count_connections_to(arguments.target_port)? as f64;
    fleet.insert(
        "connections_per_target".into(),
        connection_count / point.targets.max(1) as f64,
    );
    for _ in 0..arguments.timed_changes {
        let spread = config_changes.measure_spread(&admin_clients).await?;
        point.spread_ms.push(spread.as_secs_f64() * 1e3);
        tokio::time::sleep(Duration::from_millis(330)).await;
    }
    if !point.spread_ms.is_empty() {
        let mean_ms = point.spread_ms.iter().sum::<f64>() / point.spread_ms.len() as f64;
        let max_ms = point.spread_ms.iter().copied().fold(0.0, f64::max);
        let fleet = point.classes.entry("fleet".into()).or_default();
        fleet.insert("spread_mean_ms".into(), mean_ms);
        fleet.insert("spread_max_ms".into(), max_ms);
    }
    std::fs::write(&arguments.output, serde_json::to_string_pretty(&point)?)?;
    Ok(true)
}

/// Puts changed versions of a configuration text on the fake platform.
struct ConfigChanges<'a> {
    text: &'a str,
    platform: &'a PooledClient,
    /// Number of changes so far.
    change_count: u32,
}

impl ConfigChanges<'_> {
    /// Puts the text on the platform, with a new comment to change its digest, and returns its revision.
    async fn put_next(&mut self) -> Result<f64, Box<dyn std::error::Error>> {
        self.change_count += 1;
        let text = format!("# Change {}.\n{}", self.change_count, self.text);
        let request = Request::put("/admin/text").header("host", "limpet-bench");
        let response = self
            .platform
            .exchange(request.body(Full::from(text))?)
            .await?;
        Ok(String::from_utf8_lossy(response.body()).trim().parse()?)
    }

    /// Puts a changed text and returns the time until its revision is in force in every process.
    async fn measure_spread(
        &mut self,
        admin_clients: &[PooledClient],
    ) -> Result<Duration, Box<dyn std::error::Error>> {
        let started_at = Instant::now();
        let revision = self.put_next().await?;
        let mut waiting: Vec<&PooledClient> = admin_clients.iter().collect();
        while !waiting.is_empty() {
            if started_at.elapsed() > SPREAD_TIMEOUT {
                return Err(
                    "a configuration change was not in force in every process within the limit"
                        .into(),
                );
            }
            let mut still_waiting = Vec::new();
            for client in waiting {
                let body = scrape::fetch(client, "/metrics").await?;
                let metrics = scrape::parse_metrics(&String::from_utf8_lossy(&body));
                let revision_in_force = metrics.get("limpet_config_revision").copied();
                if revision_in_force.unwrap_or(0.0) < revision {
                    still_waiting.push(client);
                }
            }
            waiting = still_waiting;
            tokio::time::sleep(SPREAD_POLL_INTERVAL).await;
        }
        Ok(started_at.elapsed())
    }
}

/// Samples every process, in the order of the arguments.
async fn sample_all(
    arguments: &PointArguments,
    admin_clients: &[PooledClient],
) -> Result<Vec<ProcessSample>, Box<dyn std::error::Error>> {
    let mut samples = Vec::with_capacity(admin_clients.len());
    for (process, client) in arguments.node.iter().zip(admin_clients) {
        samples.push(scrape::sample_process(process, client).await?);
    }
    Ok(samples)
}

/// Returns the figures of each class of processes, from samples before and after the measurement.
///
/// A process that coordinates lease groups or reads the configuration itself has a class of its own, because
/// its cost differs.
fn figures_by_class(
    arguments: &PointArguments,
    before: &[ProcessSample],
    after: &[ProcessSample],
    elapsed_s: f64,
) -> BTreeMap<Box<str>, ClassFigures> {
    let mut figures_of_processes: BTreeMap<&str, Vec<ClassFigures>> = BTreeMap::new();
    for ((process, before), after) in arguments.node.iter().zip(before).zip(after) {
        let rate = |metric: &str, label: &str| {
            (after.sum_metric(metric, label) - before.sum_metric(metric, label)) / elapsed_s
        };
        let reads_per_s = rate("limpet_config_reads_total", "");
        let class = match (process.is_entry, reads_per_s > 0.5) {
            _ if after.sum_metric("limpet_coordinated_groups", "") > 0.0 => "coordinator",
            (true, false) => "entry",
            (true, true) => "entry_reader",
            (false, false) => "relay",
            (false, true) => "relay_reader",
        };
        let mut figures = ClassFigures::new();
        figures.insert("cpu_cores".into(), (after.cpu_s - before.cpu_s) / elapsed_s);
        figures.insert("resident_bytes".into(), after.resident_bytes as f64);
        figures.insert("config_reads_per_s".into(), reads_per_s);
        for (name, metric) in [
            ("bytes", "limpet_peer_bytes_total"),
            ("messages", "limpet_peer_messages_total"),
        ] {
            let mut total_per_s = 0.0;
            for kind in CONTROL_MESSAGE_KINDS {
                let kind_per_s = rate(metric, &format!("kind=\"{kind}\""));
                figures.insert(format!("{kind}_{name}_per_s").into(), kind_per_s);
                total_per_s += kind_per_s;
            }
            figures.insert(format!("control_{name}_per_s").into(), total_per_s);
        }
        figures_of_processes.entry(class).or_default().push(figures);
    }
    figures_of_processes
        .into_iter()
        .map(|(class, processes)| (class.into(), mean_and_max(&processes)))
        .collect()
}

/// Returns the mean of each figure under its name, and its largest value under its name with `_max`.
fn mean_and_max(processes: &[ClassFigures]) -> ClassFigures {
    let mut class_figures = ClassFigures::new();
    class_figures.insert("processes".into(), processes.len() as f64);
    for name in processes.iter().flat_map(ClassFigures::keys) {
        let values = processes.iter().filter_map(|figures| figures.get(name));
        let mean = values.clone().sum::<f64>() / processes.len() as f64;
        class_figures.insert(name.clone(), mean);
        class_figures.insert(
            format!("{name}_max").into(),
            values.copied().fold(0.0, f64::max),
        );
    }
    class_figures
}

/// Returns the number of calls to the configuration service since the fake platform started.
async fn fetch_config_calls(platform: &PooledClient) -> Result<f64, Box<dyn std::error::Error>> {
    let body = scrape::fetch(platform, "/admin/calls").await?;
    let document: serde_json::Value = serde_json::from_slice(&body)?;
    document["total"]
        .as_f64()
        .ok_or_else(|| "the platform did not report its number of calls".into())
}

/// Counts this machine's established TCP connections to a remote port.
fn count_connections_to(port: u16) -> std::io::Result<usize> {
    let table = std::fs::read_to_string("/proc/net/tcp")?;
    let remote_port = format!(":{port:04X}");
    let is_established_to_port = |line: &&str| {
        let mut fields = line.split_whitespace().skip(2);
        let remote = fields.next().unwrap_or_default();
        // State 01 is `TCP_ESTABLISHED`.
        remote.ends_with(&remote_port) && fields.next() == Some("01")
    };
    Ok(table.lines().filter(is_established_to_port).count())
}

/// Returns the load average of the machine over 1, 5 and 15 minutes.
fn read_load_average() -> std::io::Result<Box<str>> {
    let text = std::fs::read_to_string("/proc/loadavg")?;
    Ok(text.split(' ').take(3).collect::<Vec<_>>().join(" ").into())
}
