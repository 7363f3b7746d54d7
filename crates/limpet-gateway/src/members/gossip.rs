//! Reports between processes, in datagrams.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{
            AtomicU64,
            Ordering, //
        },
    },
    time::Duration,
};

use limpet_types::codec;
use rand::seq::SliceRandom;
use tokio::{
    net::UdpSocket,
    time::{
        MissedTickBehavior,
        interval, //
    },
};

use super::{
    NodeId,
    REPORT_FANOUT,
    REPORT_PERIOD,
    Report,
    Welcome, //
};
use crate::{
    rate::AdmissionCounts,
    shared_state::SharedState, //
};

/// Addresses of other processes in a report, and in the first ones.
const KNOWN_MAX: usize = 6;
const KNOWN_FIRST_MAX: usize = 32;
/// Processes that get a report in each of the first rounds.
const FIRST_FANOUT: usize = 64;
/// Rounds between two reports of every sum; the others hold those that changed.
const COMPLETE_ROUNDS: u64 = 8;
/// First rounds, which hold every sum.
const FIRST_ROUNDS: u64 = 16;
/// Suspected requests in a report.
const STRIKES_MAX: usize = 8;
/// Largest datagram.
const DATAGRAM_MAX_BYTES: usize = 16 << 10;

/// Why reports cannot be exchanged.
#[derive(Debug, thiserror::Error)]
pub enum GossipError {
    /// The address cannot be used.
    #[error("cannot use {addr} for reports: {error}")]
    Bind {
        /// The address.
        addr: SocketAddr,
        /// Error of the system.
        error: std::io::Error,
    },
}

/// The controller that tells other processes what this one admitted and hears the same of them.
#[derive(Debug)]
pub struct Gossip {
    shared: Arc<SharedState>,
    socket: UdpSocket,
    node: NodeId,
    rounds: AtomicU64,
}

impl Gossip {
    /// Binds the address for reports.
    ///
    /// # Errors
    ///
    /// Fails if the address cannot be used.
    pub async fn bind(shared: Arc<SharedState>) -> Result<Self, GossipError> {
        let addr = shared.settings.peer_addr;
        let socket = UdpSocket::bind(addr).await;
        let socket = socket.map_err(|error| GossipError::Bind { addr, error })?;
        Ok(Self {
            shared,
            socket,
            node: rand::random(),
            rounds: AtomicU64::new(0),
        })
    }

    /// Exchanges reports until it is dropped.
    pub async fn run(self: Arc<Self>) {
        let mut ticks = interval(REPORT_PERIOD);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut buffer = vec![0; DATAGRAM_MAX_BYTES];
        loop {
            tokio::select! {
                _ = ticks.tick() => {
                    self.expire();
                    self.send(false).await;
                }
                received = self.socket.recv_from(&mut buffer) => match received {
                    Ok((size, from)) => {
                        if let Some(addr) = self.receive(&buffer[..size], from) {
                            self.greet(addr).await;
                        }
                    }
                    // A host without a listener may report that; its silence is seen anyway.
                    Err(error) => tracing::debug!(%error, "report not received"),
                },
            }
        }
    }

    /// Tells every process that this one admits nothing more.
    pub async fn announce_leave(&self) {
        self.send(true).await;
    }

    /// Sends the reports of one round: to some processes in turn, and to the others at once what teams
    /// that use up their rates were admitted.
    async fn send(&self, is_leaving: bool) {
        let shared = &self.shared;
        let now = shared.now();
        let round = self.rounds.fetch_add(1, Ordering::Relaxed);
        let mut addrs = shared.roster().addrs();
        let mut others = Vec::new();
        let fanout = match round < FIRST_ROUNDS {
            true => FIRST_FANOUT,
            false => REPORT_FANOUT,
        };
        if !is_leaving && addrs.len() > fanout {
            let start = round as usize * fanout % addrs.len();
            addrs.rotate_left(start);
            others = addrs.split_off(fanout);
        }
        let interval = shared.roster().report_interval();
        let turn = round / (interval.as_millis() / REPORT_PERIOD.as_millis()) as u64;
        let is_complete =
            is_leaving || round < FIRST_ROUNDS || turn.is_multiple_of(COMPLETE_ROUNDS);
        // Two intervals, so that a change is told twice.
        let since = match is_complete {
            true => Duration::ZERO,
            false => now.saturating_sub(interval * 2),
        };
        let teams = shared.ledger().admissions_since(since);
        let admissions = AdmissionCounts { is_complete, teams };
        self.send_to(&self.report(admissions, is_leaving), &addrs)
            .await;
        let pressed = shared
            .ledger()
            .near_limit_admissions_since(now.saturating_sub(REPORT_PERIOD * 2));
        if !pressed.is_empty() {
            let admissions = AdmissionCounts {
                is_complete: false,
                teams: pressed,
            };
            self.send_to(&self.report(admissions, false), &others).await;
        }
    }

    /// Tells a process that was just met everything at once.
    async fn greet(&self, addr: SocketAddr) {
        let admissions = AdmissionCounts {
            is_complete: true,
            teams: self.shared.ledger().admissions(),
        };
        let now = self.shared.now();
        let process_counts = self.shared.ledger().process_counts();
        let has_met = self.shared.roster().has_met_others(now);
        let welcome = has_met.then(|| Welcome {
            processes: process_counts.total,
            team_tokens: self.shared.ledger().team_tokens(now),
        });
        let report = Report {
            welcome,
            ..self.report(admissions, false)
        };
        self.send_to(&report, &[addr]).await;
    }

    fn report(&self, admissions: AdmissionCounts, is_leaving: bool) -> Report {
        let shared = &self.shared;
        let now = shared.now();
        let mut known = shared.roster().live_addrs(now);
        known.shuffle(&mut rand::rng());
        known.truncate(match admissions.is_complete {
            true => KNOWN_FIRST_MAX,
            false => KNOWN_MAX,
        });
        Report {
            node: self.node,
            addr: shared.settings.peer_addr,
            is_leaving,
            admissions,
            welcome: None,
            known,
            strikes: shared.strikes().export(STRIKES_MAX, now),
        }
    }

    async fn send_to(&self, report: &Report, addrs: &[SocketAddr]) {
        let bytes = match codec::encode(report) {
            Ok(bytes) => bytes,
            Err(error) => {
                tracing::error!(%error, "report cannot be encoded");
                return;
            }
        };
        for addr in addrs {
            if let Err(error) = self.socket.send_to(&bytes, addr).await {
                tracing::debug!(%addr, %error, "report not sent");
            }
            metrics::counter!("limpet_report_bytes_total").increment(bytes.len() as u64);
        }
    }

    /// Takes in a report; returns the address of a process that is met by it.
    fn receive(&self, bytes: &[u8], from: SocketAddr) -> Option<SocketAddr> {
        let report: Report = match codec::decode(bytes) {
            Ok(report) => report,
            Err(error) => {
                tracing::warn!(%from, %error, "report cannot be read");
                return None;
            }
        };
        let shared = &self.shared;
        let now = shared.now();
        if report.is_leaving {
            let left = shared.roster().leave(report.addr);
            if let Some(node) = left {
                tracing::info!(addr = %report.addr, node, "process left");
                shared
                    .ledger()
                    .apply_admissions(node, &report.admissions, Duration::ZERO, now);
                shared.ledger().remove_process(node);
            }
            self.update_presence(now);
            return None;
        }
        let heard = {
            let mut roster = shared.roster();
            roster.mention(&report.known, now);
            roster.hear(report.addr, report.node, now)
        };
        if heard.is_new {
            tracing::info!(addr = %report.addr, node = report.node, replaced = heard.replaced,
                "process met");
        } else if !heard.silence.is_zero() {
            tracing::info!(addr = %report.addr, node = report.node,
                silence_ms = heard.silence.as_millis(), "process heard again");
        }
        if let Some(node) = heard.replaced {
            shared.ledger().remove_process(node);
        }
        let welcome = report.welcome.as_ref();
        let welcome = welcome.filter(|w| shared.roster().welcome(w.processes, now));
        self.update_presence(now);
        if let Some(welcome) = welcome {
            tracing::info!(addr = %report.addr, processes = welcome.processes, "welcomed");
            shared.ledger().adopt_tokens(&welcome.team_tokens, now);
        }
        shared
            .ledger()
            .apply_admissions(report.node, &report.admissions, heard.silence, now);
        shared.strikes().merge(&report.strikes, now);
        heard.is_new.then_some(report.addr)
    }

    fn expire(&self) {
        let now = self.shared.now();
        let gone = self.shared.roster().expire(now);
        for node in gone {
            tracing::info!(node, "process gone, its part of the rates is shared again");
            self.shared.ledger().remove_process(node);
        }
        self.update_presence(now);
    }

    fn update_presence(&self, now: Duration) {
        let process_counts = self.shared.roster().process_counts(now);
        let before = self.shared.ledger().process_counts();
        if process_counts == before {
            return;
        }
        tracing::info!(
            processes = process_counts.total,
            silent = process_counts.silent,
            processes_before = before.total,
            silent_before = before.silent,
            "processes that share the rates"
        );
        self.shared.ledger().set_process_counts(process_counts, now);
    }
}
