//! One point: the cost of the control plane of a running fleet.

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

/// Interval between polls of the configuration revisions while a change spreads.
const SPREAD_POLL_INTERVAL: Duration = Duration::from_millis(10);
/// Timeout for a change to be in force in every process.
const SPREAD_TIMEOUT: Duration = Duration::from_secs(30);
/// Kinds of peer messages that belong to the control plane.
const CONTROL_MESSAGE_KINDS: [&str; 3] = ["gossip", "grant", "vote"];

/// Figures of one class of processes by name.
pub type ClassFigures = BTreeMap<Box<str>, f64>;

/// Cost of the control plane of a fleet of one size, written as JSON.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Point {
    /// VMs, each with one entry and one relay.
    pub vms: usize,
    /// Targets in the configuration text.
    pub targets: usize,
    /// Size of the configuration text.
    pub text_bytes: usize,
    /// Requests per second over the fleet.
    pub load_per_s: f64,
    /// Configuration changes per second.
    pub changes_per_s: f64,
    /// Time of the measurement.
    pub duration_s: f64,
    /// Load average of the machine over 1, 5 and 15 minutes, at the end.
    pub load_average: Box<str>,
    /// Times until each timed change was in force in every process.
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
    /// In a small fleet every process reads the configuration or coordinates, so the finer classes do
    /// not exist at every size.
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
            let processes: f64 = classes.iter().map(|figures| process_count(figures)).sum();
            let mut means = ClassFigures::new();
            for name in classes.iter().flat_map(|figures| figures.keys()) {
                if name.ends_with("_max") || &**name == "processes" {
                    continue;
                }
                let weighted = classes.iter().map(|figures| {
                    process_count(figures) * figures.get(name).copied().unwrap_or(0.0)
                });
                means.insert(name.clone(), weighted.sum::<f64>() / processes);
            }
            if processes > 0.0 {
                means.insert("processes".into(), processes);
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

/// Measures a point and writes it.
pub(crate) async fn run(arguments: &PointArguments) -> Result<bool, Box<dyn std::error::Error>> {
    let text = std::fs::read_to_string(&arguments.text)?;
    let nodes = &arguments.node;
    let clients: Vec<_> = nodes.iter().map(|n| PooledClient::new(n.admin)).collect();
    let platform = PooledClient::new(arguments.platform);
    let mut changes = ConfigChanges {
        text: &text,
        platform: &platform,
        count: 0,
    };
    let calls_before = config_calls(&platform).await?;
    let before = read_all(arguments, &clients).await?;
    let started = Instant::now();
    let duration = Duration::from_secs(arguments.duration_s);
    if arguments.changes_per_s > 0.0 {
        let gap = Duration::from_secs_f64(1.0 / arguments.changes_per_s);
        while started.elapsed() + gap <= duration {
            changes.put_next().await?;
            tokio::time::sleep_until((started + gap * changes.count).into()).await;
        }
    }
    tokio::time::sleep_until((started + duration).into()).await;
    let after = read_all(arguments, &clients).await?;
    let elapsed_s = started.elapsed().as_secs_f64();
    let calls_per_s = (config_calls(&platform).await? - calls_before) / elapsed_s;
    let mut point = Point {
        vms: nodes.iter().filter(|node| !node.is_entry).count(),
        targets: text.matches("[[service.shard.target]]").count(),
        text_bytes: text.len(),
        load_per_s: arguments.load_per_s,
        changes_per_s: arguments.changes_per_s,
        duration_s: elapsed_s,
        load_average: load_average()?,
        ..Point::default()
    };
    point.classes = figures_by_class(arguments, &before, &after, elapsed_s);
    let fleet = point.classes.entry("fleet".into()).or_default();
    fleet.insert("config_calls_per_s".into(), calls_per_s);
    let connections = count_connections_to(arguments.target_port)? as f64;
    fleet.insert(
        "connections_per_target".into(),
        connections / point.targets.max(1) as f64,
    );
    for _ in 0..arguments.timed_changes {
        let spread = changes.time_spread(&clients).await?;
        point.spread_ms.push(spread.as_secs_f64() * 1e3);
        tokio::time::sleep(Duration::from_millis(330)).await;
    }
    if !point.spread_ms.is_empty() {
        let mean = point.spread_ms.iter().sum::<f64>() / point.spread_ms.len() as f64;
        let max = point.spread_ms.iter().copied().fold(0.0, f64::max);
        let fleet = point.classes.entry("fleet".into()).or_default();
        fleet.insert("spread_mean_ms".into(), mean);
        fleet.insert("spread_max_ms".into(), max);
    }
    std::fs::write(&arguments.output, serde_json::to_string_pretty(&point)?)?;
    Ok(true)
}

/// Puts changed versions of the configuration text on the platform.
struct ConfigChanges<'a> {
    text: &'a str,
    platform: &'a PooledClient,
    count: u32,
}

impl ConfigChanges<'_> {
    /// Puts the text with a new comment, which suffices to change its digest, and returns the revision.
    async fn put_next(&mut self) -> Result<f64, Box<dyn std::error::Error>> {
        self.count += 1;
        let text = format!("# Change {}.\n{}", self.count, self.text);
        let request = Request::put("/admin/text").header("host", "limpet-bench");
        let response = self
            .platform
            .exchange(request.body(Full::from(text))?)
            .await?;
        Ok(String::from_utf8_lossy(response.body()).trim().parse()?)
    }

    /// Puts a change and returns the time until it is in force in every process.
    async fn time_spread(
        &mut self,
        clients: &[PooledClient],
    ) -> Result<Duration, Box<dyn std::error::Error>> {
        let started = Instant::now();
        let revision = self.put_next().await?;
        let mut waiting: Vec<&PooledClient> = clients.iter().collect();
        while !waiting.is_empty() {
            if started.elapsed() > SPREAD_TIMEOUT {
                return Err(
                    "a configuration change was not in force in every process within the limit"
                        .into(),
                );
            }
            let mut still_waiting = Vec::new();
            for client in waiting {
                let body = scrape::get(client, "/metrics").await?;
                let samples = scrape::parse_samples(&String::from_utf8_lossy(&body));
                let seen = samples.get("limpet_config_revision").copied();
                if seen.unwrap_or(0.0) < revision {
                    still_waiting.push(client);
                }
            }
            waiting = still_waiting;
            tokio::time::sleep(SPREAD_POLL_INTERVAL).await;
        }
        Ok(started.elapsed())
    }
}

async fn read_all(
    arguments: &PointArguments,
    clients: &[PooledClient],
) -> Result<Vec<ProcessSample>, Box<dyn std::error::Error>> {
    let mut samples = Vec::with_capacity(clients.len());
    for (node, client) in arguments.node.iter().zip(clients) {
        samples.push(scrape::sample(node, client).await?);
    }
    Ok(samples)
}

fn figures_by_class(
    arguments: &PointArguments,
    before: &[ProcessSample],
    after: &[ProcessSample],
    elapsed_s: f64,
) -> BTreeMap<Box<str>, ClassFigures> {
    let mut processes: BTreeMap<&str, Vec<ClassFigures>> = BTreeMap::new();
    for ((node, before), after) in arguments.node.iter().zip(before).zip(after) {
        let rate = |metric: &str, label: &str| {
            (after.sum(metric, label) - before.sum(metric, label)) / elapsed_s
        };
        let reads_per_s = rate("limpet_config_reads_total", "");
        let class = match (node.is_entry, reads_per_s > 0.5) {
            _ if after.sum("limpet_coordinated_groups", "") > 0.0 => "coordinator",
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
            let mut total = 0.0;
            for kind in CONTROL_MESSAGE_KINDS {
                let of_kind = rate(metric, &format!("kind=\"{kind}\""));
                figures.insert(format!("{kind}_{name}_per_s").into(), of_kind);
                total += of_kind;
            }
            figures.insert(format!("control_{name}_per_s").into(), total);
        }
        processes.entry(class).or_default().push(figures);
    }
    processes
        .into_iter()
        .map(|(class, processes)| (class.into(), mean_and_max(&processes)))
        .collect()
}

/// Returns the mean of each figure under its name and the largest under its name with `_max`.
fn mean_and_max(processes: &[ClassFigures]) -> ClassFigures {
    let mut result = ClassFigures::new();
    result.insert("processes".into(), processes.len() as f64);
    for name in processes.iter().flat_map(ClassFigures::keys) {
        let values = processes.iter().filter_map(|figures| figures.get(name));
        let mean = values.clone().sum::<f64>() / processes.len() as f64;
        result.insert(name.clone(), mean);
        result.insert(
            format!("{name}_max").into(),
            values.copied().fold(0.0, f64::max),
        );
    }
    result
}

async fn config_calls(platform: &PooledClient) -> Result<f64, Box<dyn std::error::Error>> {
    let body = scrape::get(platform, "/admin/calls").await?;
    let document: serde_json::Value = serde_json::from_slice(&body)?;
    document["total"]
        .as_f64()
        .ok_or_else(|| "the platform did not report its number of calls".into())
}

/// Counts this machine's established TCP connections to a remote port.
fn count_connections_to(port: u16) -> std::io::Result<usize> {
    let table = std::fs::read_to_string("/proc/net/tcp")?;
    let remote_port = format!(":{port:04X}");
    let is_counted = |line: &&str| {
        let mut fields = line.split_whitespace().skip(2);
        let remote = fields.next().unwrap_or_default();
        // State 01 is `TCP_ESTABLISHED`.
        remote.ends_with(&remote_port) && fields.next() == Some("01")
    };
    Ok(table.lines().filter(is_counted).count())
}

fn load_average() -> std::io::Result<Box<str>> {
    let text = std::fs::read_to_string("/proc/loadavg")?;
    Ok(text.split(' ').take(3).collect::<Vec<_>>().join(" ").into())
}
