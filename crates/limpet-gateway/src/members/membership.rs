//! The other gateway processes that one process knows, with the time of their latest reports.

use std::{
    collections::{
        BTreeMap,
        BTreeSet, //
    },
    net::SocketAddr,
    time::Duration,
};

use super::NodeId;
use crate::rate::ProcessCounts;

/// Number of processes to which this process sends a regular report in each round after its startup rounds;
/// if it knows more processes, they take turns.
pub const REPORT_FANOUT: usize = 16;
/// Time between two rounds of reports.
pub const REPORT_PERIOD: Duration = Duration::from_millis(150);
/// Number of report intervals without a report after which a process counts as silent at the earliest.
const MISSED_REPORTS_MAX: u32 = 4;

/// Smallest number of processes that a process assumes until its discovery is over, unless a
/// [`Welcome`](super::Welcome) message of another process states another number.
const ASSUMED_PROCESS_COUNT: usize = 16;

/// Limits for the discovery and the failure detection of processes.
#[derive(Clone, Copy, Debug)]
pub struct MembershipLimits {
    /// Time without a report after which a process counts as silent; longer where reports are rarer.
    pub silent_after: Duration,
    /// Time without a report after which a process counts as gone.
    pub gone_after: Duration,
    /// Time after the start of a process at which its discovery of the other processes is over; zero if the
    /// whole deployment starts for the first time.
    pub discovery_time: Duration,
    /// Number of known other processes below which this process also reports to its seeds. If it knows that
    /// many or more, it does not, because seeds may be stale.
    pub report_to_seeds_below: usize,
}

/// The process that reported last from an address.
#[derive(Clone, Debug)]
struct Member {
    node: NodeId,
    last_report_at: Duration,
}

/// The other gateway processes: those that have sent reports, and addresses at which more may run.
#[derive(Debug)]
pub struct Membership {
    limits: MembershipLimits,
    own_addr: SocketAddr,
    seeds: BTreeSet<SocketAddr>,
    /// Processes that have sent reports, by address.
    members: BTreeMap<SocketAddr, Member>,
    /// Addresses that other processes reported and from which no report has arrived yet, each with the time
    /// since the start of this process at which it was learnt.
    candidates: BTreeMap<SocketAddr, Duration>,
    /// Smallest number of processes, this one included, that is assumed until the discovery is over.
    assumed_process_count: usize,
    /// Whether this process has adopted the process count of a [`Welcome`](super::Welcome) message; later
    /// ones are ignored.
    has_accepted_welcome: bool,
    /// Number of times that a process, or an address of one, was added or removed.
    version: u64,
}

/// Effect of a report on the membership.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReportEffect {
    /// Whether the sender was unknown before.
    pub is_new: bool,
    /// Identifier of the former process at the same address, if another process had that address.
    pub replaced: Option<NodeId>,
    /// Time for which the sender counted as silent before this report; zero if it did not.
    pub silence: Duration,
}

impl Membership {
    /// Creates a membership that knows only the seeds.
    pub fn new(limits: MembershipLimits, own_addr: SocketAddr, seeds: &[SocketAddr]) -> Self {
        let seeds = seeds.iter().copied().filter(|seed| *seed != own_addr);
        Self {
            limits,
            own_addr,
            seeds: seeds.collect(),
            members: BTreeMap::new(),
            candidates: BTreeMap::new(),
            assumed_process_count: ASSUMED_PROCESS_COUNT,
            has_accepted_welcome: false,
            version: 0,
        }
    }

    /// Replaces the seeds after a reload of the settings; leaves out the address of this process, which the
    /// new seeds may contain.
    pub fn set_seeds(&mut self, seeds: &[SocketAddr]) {
        let own_addr = self.own_addr;
        self.seeds = seeds
            .iter()
            .copied()
            .filter(|seed| *seed != own_addr)
            .collect();
    }

    /// Returns the time between two regular reports from one process to another.
    pub fn report_interval(&self) -> Duration {
        let round_count = self.members.len().div_ceil(REPORT_FANOUT).max(1);
        REPORT_PERIOD * round_count as u32
    }

    /// Returns the time without a report after which a process counts as silent.
    fn silent_after(&self) -> Duration {
        let missed_reports_time = self.report_interval() * MISSED_REPORTS_MAX;
        self.limits.silent_after.max(missed_reports_time)
    }

    /// Records that a report of the process `node` at `addr` has arrived, so that the process counts as live.
    pub fn record_report(&mut self, addr: SocketAddr, node: NodeId, now: Duration) -> ReportEffect {
        self.candidates.remove(&addr);
        let member = Member {
            node,
            last_report_at: now,
        };
        let previous = self.members.insert(addr, member);
        self.version += u64::from(previous.is_none());
        let same_process = previous.as_ref().filter(|previous| previous.node == node);
        let time_since_report = same_process.map_or(Duration::ZERO, |member| {
            now.saturating_sub(member.last_report_at)
        });
        ReportEffect {
            is_new: same_process.is_none(),
            replaced: previous
                .filter(|previous| previous.node != node)
                .map(|previous| previous.node),
            silence: time_since_report.saturating_sub(self.silent_after()),
        }
    }

    /// Adds addresses that another process reported, so that this process sends reports to them too.
    pub fn add_candidates(&mut self, addrs: &[SocketAddr], now: Duration) {
        for addr in addrs {
            if *addr != self.own_addr && !self.members.contains_key(addr) {
                let previous = self.candidates.insert(*addr, now);
                self.candidates.insert(*addr, previous.unwrap_or(now));
                self.version += u64::from(previous.is_none());
            }
        }
    }

    /// Removes a process that is stopping; returns its identifier, or `None` if no process is known at
    /// `addr`.
    pub fn remove_process(&mut self, addr: SocketAddr) -> Option<NodeId> {
        self.candidates.remove(&addr);
        let removed = self.members.remove(&addr)?;
        self.version += 1;
        Some(removed.node)
    }

    /// Removes the processes that are gone; returns their identifiers. Also removes each address that another
    /// process reported and from which no report has arrived for as long.
    ///
    /// Removes no process if less than half of the processes are live, this one included: this process may be
    /// the one in the minority of a network partition, and must keep to its own share of every rate.
    pub fn remove_gone_processes(&mut self, now: Duration) -> Vec<NodeId> {
        let gone_after = self.limits.gone_after.max(self.silent_after());
        self.candidates
            .retain(|_, learnt_at| now < *learnt_at + gone_after);
        let live_peer_count = self.live_peer_count(now);
        if (live_peer_count + 1) * 2 < self.members.len() + 1 {
            return Vec::new();
        }
        let mut gone = Vec::new();
        self.members.retain(|_, member| {
            let is_kept = now < member.last_report_at + gone_after;
            if !is_kept {
                gone.push(member.node);
            }
            is_kept
        });
        self.version += gone.len() as u64;
        gone
    }

    /// Returns the numbers of processes that share the rates; `now` is the time since the start of this
    /// process.
    ///
    /// Until its discovery is over, a process assumes more processes than it knows. A process that knows
    /// no other counts the seeds as silent processes.
    pub fn process_counts(&self, now: Duration) -> ProcessCounts {
        let known_count = match self.members.is_empty() {
            true => self.seeds.len() + 1,
            false => self.members.len() + 1,
        };
        let total = match now < self.limits.discovery_time {
            true => known_count.max(self.assumed_process_count),
            false => known_count,
        };
        ProcessCounts {
            total,
            silent: total - 1 - self.live_peer_count(now),
        }
    }

    /// Returns whether the time to discover the other processes is over.
    pub fn is_discovery_over(&self, now: Duration) -> bool {
        now >= self.limits.discovery_time
    }

    /// Assumes the number of processes that a [`Welcome`](super::Welcome) message states, until the discovery
    /// is over.
    ///
    /// Returns whether the message was accepted: false if an earlier one was accepted or the discovery is
    /// over.
    pub fn accept_welcome(&mut self, process_count: usize, now: Duration) -> bool {
        if self.has_accepted_welcome || self.is_discovery_over(now) {
            return false;
        }
        self.has_accepted_welcome = true;
        self.assumed_process_count = process_count;
        true
    }

    /// Returns the number of other processes that are not silent.
    pub fn live_peer_count(&self, now: Duration) -> usize {
        let silent_after = self.silent_after();
        let is_live = |member: &&Member| now < member.last_report_at + silent_after;
        self.members.values().filter(is_live).count()
    }

    /// Returns the addresses to which this process sends reports: those of the known processes, those learnt
    /// from other processes, and the seeds while few processes are known.
    pub fn report_addrs(&self) -> Vec<SocketAddr> {
        let mut addrs: BTreeSet<SocketAddr> = self.members.keys().copied().collect();
        addrs.extend(&self.candidates.keys().copied().collect::<Vec<_>>());
        if self.members.len() < self.limits.report_to_seeds_below {
            addrs.extend(&self.seeds);
        }
        addrs.into_iter().collect()
    }

    /// Returns a number that changes whenever a process is added or removed.
    pub const fn version(&self) -> u64 {
        self.version
    }

    /// Returns the identifier of the process that reported last from an address.
    pub fn node_at(&self, addr: SocketAddr) -> Option<NodeId> {
        self.members.get(&addr).map(|member| member.node)
    }

    /// Returns the addresses of all other processes that count, the silent ones included.
    pub fn known_addrs(&self) -> impl Iterator<Item = SocketAddr> {
        self.members.keys().copied()
    }

    /// Returns the addresses of the live processes, this one included, in ascending order.
    pub fn live_addrs(&self, now: Duration) -> Vec<SocketAddr> {
        let silent_after = self.silent_after();
        let is_live = |member: &Member| now < member.last_report_at + silent_after;
        let live = self.members.iter().filter(|(_, member)| is_live(member));
        let mut addrs: Vec<SocketAddr> = live.map(|(addr, _)| *addr).collect();
        addrs.push(self.own_addr);
        addrs.sort_unstable();
        addrs
    }
}
