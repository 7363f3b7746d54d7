//! Exchange of reports between gateway processes, in UDP datagrams.

use std::{
    net::SocketAddr,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{
            AtomicU64,
            Ordering, //
        },
    },
    time::Duration,
};

use limpet_decide::spread::ReportRoute;
use limpet_types::{
    codec,
    message::LOAD_REPORT_MARKER, //
};
use rand::{
    Rng,
    seq::SliceRandom, //
};
use tokio::{
    net::UdpSocket,
    time::{
        MissedTickBehavior,
        interval, //
    },
};

use super::{
    Announcement, NodeId, REPORT_PERIOD, Report, Welcome,
    load_reports::{
        ReportCounters,
        StoppedReports,
        ignore_unknown_version,
        is_unknown_version, //
    },
    routes::{
        own_report_routes,
        zone_addrs, //
    },
};
use crate::{
    rate::AdmissionCounts,
    shared_state::SharedState, //
};

/// Maximum number of addresses of live processes in a report of recent changes.
const KNOWN_ADDRS_MAX: usize = 6;
/// Maximum number of addresses of live processes in a complete report.
const COMPLETE_KNOWN_ADDRS_MAX: usize = 32;
/// Number of processes to which this process sends a regular report in each of its startup rounds.
const STARTUP_FANOUT: usize = 64;
/// Number of startup rounds in which a process that knows the zones of the others reaches all of them once.
const STARTUP_ROUNDS_PER_TURN: usize = 4;
/// One in this many regular reports to a process is complete; the rest hold only recent changes.
const REPORTS_PER_COMPLETE_REPORT: u64 = 8;
/// Number of startup rounds, the first rounds of this process, in which all regular reports are complete.
const STARTUP_ROUND_COUNT: u64 = 8;
/// Number of processes of a large fleet that send a newly discovered process a report at once.
const WELCOMES: usize = 16;
/// First byte of a datagram that the receiver passes on to the other processes of its zone, without this byte. No
/// report and no announcement begins with it.
const RELAY_MARKER: u8 = 0xfe;
/// Maximum number of strikes in a report; each names a request that is suspected of crashing targets.
const STRIKES_MAX: usize = 8;
/// Largest datagram that is received.
const DATAGRAM_MAX_BYTES: usize = 16 << 10;

/// Failure to set up the exchange of reports.
#[derive(Debug, thiserror::Error)]
pub enum GossipError {
    /// Binding the socket failed.
    #[error("cannot bind UDP address {addr} for reports between processes: {error}")]
    Bind {
        /// Address to bind.
        addr: SocketAddr,
        /// Error of the operating system.
        error: std::io::Error,
    },
}

/// Task that sends reports to the other processes and applies the reports that it receives.
#[derive(Debug)]
pub struct Gossip {
    pub(super) shared: Arc<SharedState>,
    socket: UdpSocket,
    pub(super) node: NodeId,
    /// Number of rounds sent since the start.
    round_count: AtomicU64,
    /// Ways of the reports of the current turn.
    turn_routes: Mutex<TurnRoutes>,
    stopped_reports: Mutex<StoppedReports>,
    pub(super) report_counters: ReportCounters,
}

/// Ways on which the reports of one turn, in which every process gets a report once, reach the others.
#[derive(Debug, Default)]
struct TurnRoutes {
    turn_index: u64,
    /// Version of the membership and number of announced processes from which the ways were computed.
    versions: (u64, usize),
    routes: Vec<ReportRoute>,
}

impl Gossip {
    /// Binds the socket for reports.
    ///
    /// # Errors
    ///
    /// Fails if the address cannot be bound.
    pub async fn bind(shared: Arc<SharedState>) -> Result<Self, GossipError> {
        let addr = shared.settings.peer_addr;
        let socket = UdpSocket::bind(addr).await;
        let socket = socket.map_err(|error| GossipError::Bind { addr, error })?;
        Ok(Self {
            shared,
            socket,
            node: rand::random(),
            round_count: AtomicU64::new(0),
            turn_routes: Mutex::default(),
            stopped_reports: Mutex::default(),
            report_counters: ReportCounters::new(),
        })
    }

    /// Locks the processes whose load reports stopped.
    pub(super) fn stopped_reports(&self) -> MutexGuard<'_, StoppedReports> {
        self.stopped_reports
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Exchanges reports until the future is dropped.
    pub async fn run(self: Arc<Self>) {
        let mut ticks = interval(REPORT_PERIOD);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut buffer = vec![0; DATAGRAM_MAX_BYTES];
        loop {
            tokio::select! {
                _ = ticks.tick() => {
                    self.remove_gone_processes();
                    self.remove_outdated_loads();
                    self.send_round(false).await;
                    self.send_load_report().await;
                }
                received = self.socket.recv_from(&mut buffer) => match received {
                    Ok((size, from)) => self.handle_received(&buffer[..size], from).await,
                    // Usually an ICMP error because no process listens at an address that got a report;
                    // the missing reports of that process show this anyway.
                    Err(error) => tracing::debug!(%error, "report not received"),
                },
            }
        }
    }

    /// Applies a datagram, passes it on if its sender asks for that, and welcomes a new process.
    async fn handle_received(&self, datagram: &[u8], from: SocketAddr) {
        let relayed = datagram.strip_prefix(&[RELAY_MARKER]);
        let new_addr = self.handle_datagram(relayed.unwrap_or(datagram), from);
        // A datagram with a second marker is not relayed: each receiver would relay it again to its whole zone.
        if let Some(bytes) = relayed.filter(|bytes| !bytes.starts_with(&[RELAY_MARKER])) {
            self.relay(bytes, from).await;
        }
        if let Some(new_addr) = new_addr.filter(|_| self.should_welcome()) {
            self.send_welcome(new_addr).await;
        }
    }

    /// Returns whether a process that has just been heard for the first time gets a report at once.
    ///
    /// In a large fleet only a few processes send one: the others reach it by their regular reports, and those of
    /// a fleet that starts as a whole by their startup rounds.
    fn should_welcome(&self) -> bool {
        let known_count = self.shared.membership().known_addrs().count();
        if known_count < STARTUP_FANOUT {
            return true;
        }
        let is_starting = self.round_count.load(Ordering::Relaxed) < STARTUP_ROUND_COUNT;
        !is_starting && rand::rng().random_range(0..known_count) < WELCOMES
    }

    /// Reports to every known process that this one is stopping and admits no more requests.
    pub async fn announce_leave(&self) {
        self.send_round(true).await;
    }

    /// Sends the reports of one round.
    ///
    /// The processes whose turn it is get a regular report; all other processes get only the admissions of
    /// teams near their limit, if there are any. A process that is leaving sends every process a complete
    /// report.
    async fn send_round(&self, is_leaving: bool) {
        let shared = &self.shared;
        let now = shared.now();
        let round = self.round_count.fetch_add(1, Ordering::Relaxed);
        let report_interval = shared.membership().report_interval();
        let rounds_per_turn = rounds_per_turn(report_interval);
        let mut routes = self.routes(round / rounds_per_turn);
        let mut other_routes = Vec::new();
        let has_relays = routes.iter().any(|route| route.is_relayed);
        let fanout = match (round < STARTUP_ROUND_COUNT, has_relays) {
            (true, false) => STARTUP_FANOUT,
            (true, true) => routes.len().div_ceil(STARTUP_ROUNDS_PER_TURN),
            (false, _) => routes.len().div_ceil(rounds_per_turn as usize),
        };
        if !is_leaving && routes.len() > fanout {
            let start_index = round as usize * fanout % routes.len();
            routes.rotate_left(start_index);
            other_routes = routes.split_off(fanout);
        }
        let turn_index = round / rounds_per_turn;
        let is_complete = is_leaving
            || round < STARTUP_ROUND_COUNT
            || turn_index.is_multiple_of(REPORTS_PER_COMPLETE_REPORT);
        // Covers two report intervals, so that each change is sent twice.
        let since = match is_complete {
            true => Duration::ZERO,
            false => now.saturating_sub(report_interval * 2),
        };
        let teams = shared.rate_limiter().admissions_since(since);
        let admissions = AdmissionCounts { is_complete, teams };
        self.send_report(&self.build_report(admissions, is_leaving), &routes)
            .await;
        if is_complete && !is_leaving {
            self.send_announcement(&routes).await;
        }
        let near_limit = shared
            .rate_limiter()
            .near_limit_admissions_since(now.saturating_sub(REPORT_PERIOD * 2));
        if !near_limit.is_empty() {
            let admissions = AdmissionCounts {
                is_complete: false,
                teams: near_limit,
            };
            self.send_report(&self.build_report(admissions, false), &other_routes)
                .await;
        }
    }

    /// Returns the ways of the reports of the current turn.
    pub(super) fn current_routes(&self) -> Vec<ReportRoute> {
        let round = self.round_count.load(Ordering::Relaxed).saturating_sub(1);
        let report_interval = self.shared.membership().report_interval();
        self.routes(round / rounds_per_turn(report_interval))
    }

    /// Returns the ways of the reports of a turn; computes them anew for each turn, and when a process came or
    /// went.
    fn routes(&self, turn_index: u64) -> Vec<ReportRoute> {
        let membership_version = self.shared.membership().version();
        let versions = (membership_version, self.shared.aggregators().len());
        let mut turn_routes = self
            .turn_routes
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let is_current = turn_routes.turn_index == turn_index && turn_routes.versions == versions;
        if !is_current || turn_routes.routes.is_empty() {
            *turn_routes = TurnRoutes {
                turn_index,
                versions,
                routes: own_report_routes(&self.shared),
            };
        }
        turn_routes.routes.clone()
    }

    /// Sends a complete report to a newly discovered process, with a [`Welcome`] if this process has
    /// completed its own discovery.
    async fn send_welcome(&self, addr: SocketAddr) {
        let admissions = AdmissionCounts {
            is_complete: true,
            teams: self.shared.rate_limiter().admissions(),
        };
        let now = self.shared.now();
        let process_counts = self.shared.rate_limiter().process_counts();
        let is_discovery_over = self.shared.membership().is_discovery_over(now);
        let welcome = is_discovery_over.then(|| Welcome {
            processes: process_counts.total,
            team_tokens: self.shared.rate_limiter().team_tokens(now),
        });
        let report = Report {
            welcome,
            ..self.build_report(admissions, false)
        };
        let route = ReportRoute {
            to: addr,
            is_relayed: false,
        };
        self.send_report(&report, &[route]).await;
        self.send_announcement(&[route]).await;
    }

    /// Builds a report to other processes.
    fn build_report(&self, admissions: AdmissionCounts, is_leaving: bool) -> Report {
        let shared = &self.shared;
        let now = shared.now();
        let mut known_addrs = shared.membership().live_addrs(now);
        known_addrs.shuffle(&mut rand::rng());
        known_addrs.truncate(match admissions.is_complete {
            true => COMPLETE_KNOWN_ADDRS_MAX,
            false => KNOWN_ADDRS_MAX,
        });
        let mut draw = |count| rand::rng().random_range(0..count);
        let strikes = shared.strike_table().sample(STRIKES_MAX, now, &mut draw);
        Report {
            node: self.node,
            addr: shared.settings.peer_addr,
            is_leaving,
            admissions,
            welcome: None,
            known_addrs,
            strikes,
        }
    }

    /// Sends a report on all of these ways; a report that cannot be sent is lost.
    async fn send_report(&self, report: &Report, routes: &[ReportRoute]) {
        match codec::encode(report) {
            Ok(bytes) => self.send_on_routes(&bytes, routes).await,
            Err(error) => tracing::error!(%error, "report cannot be encoded"),
        }
    }

    /// Announces this process on all of these ways.
    async fn send_announcement(&self, routes: &[ReportRoute]) {
        match Announcement::of(&self.shared.settings).encode() {
            Ok(bytes) => self.send_on_routes(&bytes, routes).await,
            Err(error) => tracing::error!(%error, "announcement cannot be encoded"),
        }
    }

    /// Sends a datagram on all of these ways, with a marker for those who pass it on.
    pub(super) async fn send_on_routes(&self, bytes: &[u8], routes: &[ReportRoute]) {
        let addrs_where = |is_relayed: bool| -> Vec<SocketAddr> {
            let routes = routes.iter().filter(|route| route.is_relayed == is_relayed);
            routes.map(|route| route.to).collect()
        };
        self.send_datagram(bytes, &addrs_where(false)).await;
        let relayed = [&[RELAY_MARKER], bytes].concat();
        self.send_datagram(&relayed, &addrs_where(true)).await;
    }

    /// Passes a datagram on to the other processes of the zone, except its sender.
    async fn relay(&self, bytes: &[u8], sender: SocketAddr) {
        let mut addrs = zone_addrs(&self.shared);
        addrs.retain(|addr| *addr != sender);
        self.send_datagram(bytes, &addrs).await;
    }

    /// Sends a datagram to all of these addresses; one that cannot be sent is lost.
    async fn send_datagram(&self, bytes: &[u8], addrs: &[SocketAddr]) {
        for addr in addrs {
            if let Err(error) = self.socket.send_to(bytes, addr).await {
                tracing::debug!(%addr, %error, "report not sent");
            }
        }
        let sent_bytes = bytes.len() * addrs.len();
        metrics::counter!("limpet_report_bytes_total").increment(sent_bytes as u64);
    }

    /// Adds the sender of an announcement to the directory of aggregators.
    fn handle_announcement(&self, datagram: &[u8], from: SocketAddr) {
        match Announcement::decode(datagram) {
            Ok(announcement) => {
                let addr = announcement.addr;
                self.shared
                    .aggregators()
                    .insert(addr, announcement.into_node());
            }
            Err(error) => tracing::warn!(%from, %error, "announcement cannot be decoded"),
        }
    }

    /// Decodes and applies a report; returns the address of the sender if it was unknown before.
    fn handle_datagram(&self, bytes: &[u8], from: SocketAddr) -> Option<SocketAddr> {
        if bytes.starts_with(&LOAD_REPORT_MARKER) {
            self.handle_load_report(bytes, from);
            return None;
        }
        if is_unknown_version(bytes) {
            ignore_unknown_version(from);
            return None;
        }
        if Announcement::is_announcement(bytes) {
            self.handle_announcement(bytes, from);
            return None;
        }
        let report: Report = match codec::decode(bytes) {
            Ok(report) => report,
            Err(error) => {
                tracing::warn!(%from, %error, "report cannot be decoded");
                return None;
            }
        };
        let shared = &self.shared;
        let now = shared.now();
        if report.is_leaving {
            let removed = shared.membership().remove_process(report.addr);
            shared.aggregators().remove(report.addr);
            shared.peer_loads().remove(report.addr);
            if let Some(node) = removed {
                tracing::info!(addr = %report.addr, node, "process left");
                shared.rate_limiter().apply_admissions(
                    node,
                    &report.admissions,
                    Duration::ZERO,
                    now,
                );
                shared.rate_limiter().remove_process(node);
            }
            self.update_process_counts(now);
            return None;
        }
        let effect = {
            let mut membership = shared.membership();
            membership.add_candidates(&report.known_addrs, now);
            membership.record_report(report.addr, report.node, now)
        };
        if effect.is_new {
            tracing::info!(addr = %report.addr, node = report.node, replaced = effect.replaced,
                "process joined");
        } else if !effect.silence.is_zero() {
            tracing::info!(addr = %report.addr, node = report.node,
                silence_ms = effect.silence.as_millis(), "process reachable again");
        }
        if let Some(node) = effect.replaced {
            shared.rate_limiter().remove_process(node);
        }
        let welcome = report.welcome.as_ref();
        let welcome =
            welcome.filter(|welcome| shared.membership().accept_welcome(welcome.processes, now));
        self.update_process_counts(now);
        if let Some(welcome) = welcome {
            tracing::info!(addr = %report.addr, processes = welcome.processes,
                "process count and team tokens adopted");
            shared
                .rate_limiter()
                .adopt_tokens(&welcome.team_tokens, now);
        }
        shared.rate_limiter().apply_admissions(
            report.node,
            &report.admissions,
            effect.silence,
            now,
        );
        shared.strike_table().merge(&report.strikes, now);
        effect.is_new.then_some(report.addr)
    }

    /// Removes the processes whose reports have been missing for so long that they count as gone, and updates
    /// the process counts of the rate limiter.
    fn remove_gone_processes(&self) {
        let now = self.shared.now();
        let removed = self.shared.membership().remove_gone_processes(now);
        for node in removed {
            tracing::info!(
                node,
                "process gone, its share of the rates goes to the others"
            );
            self.shared.rate_limiter().remove_process(node);
        }
        self.update_process_counts(now);
    }

    /// Passes the current process counts to the rate limiter, and logs them if they changed.
    fn update_process_counts(&self, now: Duration) {
        let process_counts = self.shared.membership().process_counts(now);
        let previous_counts = self.shared.rate_limiter().process_counts();
        if process_counts == previous_counts {
            return;
        }
        tracing::info!(
            processes = process_counts.total,
            silent = process_counts.silent,
            processes_before = previous_counts.total,
            silent_before = previous_counts.silent,
            "number of processes that share the rates changed"
        );
        self.shared
            .rate_limiter()
            .set_process_counts(process_counts, now);
        self.shared.room_notifier.wake_all();
    }
}

/// Returns the number of rounds in which every process gets a regular report once.
fn rounds_per_turn(report_interval: Duration) -> u64 {
    (report_interval.as_millis() / REPORT_PERIOD.as_millis()).max(1) as u64
}
