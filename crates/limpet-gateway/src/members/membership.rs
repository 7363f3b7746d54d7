//! Which processes are there, as far as one of them can tell.

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

/// Processes that get a report in one period; with more, each gets one in turn.
pub const REPORT_FANOUT: usize = 16;
/// Time between two rounds of reports.
pub const REPORT_PERIOD: Duration = Duration::from_millis(150);
/// Reports that may be lost before a process counts as silent.
const REPORTS_LOST_MAX: u32 = 4;

/// Processes that one which was started later expects until it has had time to meet them.
const EXPECTED_PROCESSES: usize = 16;

/// Times after which a process counts as silent or gone.
#[derive(Clone, Copy, Debug)]
pub struct MembershipLimits {
    /// A process not heard for this time is silent, or longer where reports are rarer.
    pub silent_after: Duration,
    /// A process not heard for this time is gone.
    pub gone_after: Duration,
    /// Time that a started process takes to meet the others; zero if the whole system starts.
    pub discovery_time: Duration,
    /// Addresses to ask first; they may be stale.
    pub seeds_max: usize,
}

#[derive(Clone, Debug)]
struct Member {
    node: NodeId,
    heard_at: Duration,
}

/// Processes heard, by address.
#[derive(Debug)]
pub struct Membership {
    limits: MembershipLimits,
    own_addr: SocketAddr,
    seeds: BTreeSet<SocketAddr>,
    members: BTreeMap<SocketAddr, Member>,
    /// Addresses that others told, not heard yet, with the time of the first mention.
    candidates: BTreeMap<SocketAddr, Duration>,
    /// Processes that are expected until the time to meet them is over.
    expected: usize,
    is_welcomed: bool,
}

/// What a report changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Heard {
    /// Whether the sender was not known before.
    pub is_new: bool,
    /// Incarnation that the sender replaces.
    pub replaced: Option<NodeId>,
    /// Time beyond the limit for which the sender was silent.
    pub silence: Duration,
}

impl Membership {
    /// Creates a roster that knows only the seeds.
    pub fn new(limits: MembershipLimits, own_addr: SocketAddr, seeds: &[SocketAddr]) -> Self {
        let seeds = seeds.iter().copied().filter(|seed| *seed != own_addr);
        Self {
            limits,
            own_addr,
            seeds: seeds.collect(),
            members: BTreeMap::new(),
            candidates: BTreeMap::new(),
            expected: EXPECTED_PROCESSES,
            is_welcomed: false,
        }
    }

    /// Replaces the addresses to ask first.
    pub fn set_seeds(&mut self, seeds: &[SocketAddr]) {
        let own = self.own_addr;
        self.seeds = seeds.iter().copied().filter(|seed| *seed != own).collect();
    }

    /// Returns the time between two reports of one process to another.
    pub fn report_interval(&self) -> Duration {
        let rounds = self.members.len().div_ceil(REPORT_FANOUT).max(1);
        REPORT_PERIOD * rounds as u32
    }

    /// Returns the time after which a process is silent.
    fn silent_after(&self) -> Duration {
        let lost = self.report_interval() * REPORTS_LOST_MAX;
        self.limits.silent_after.max(lost)
    }

    /// Notes a report of a process.
    pub fn hear(&mut self, addr: SocketAddr, node: NodeId, now: Duration) -> Heard {
        self.candidates.remove(&addr);
        let member = Member {
            node,
            heard_at: now,
        };
        let before = self.members.insert(addr, member);
        let same = before.as_ref().filter(|before| before.node == node);
        let silence = same.map_or(Duration::ZERO, |before| now.saturating_sub(before.heard_at));
        Heard {
            is_new: same.is_none(),
            replaced: before.filter(|b| b.node != node).map(|b| b.node),
            silence: silence.saturating_sub(self.silent_after()),
        }
    }

    /// Notes addresses that another process knows.
    pub fn mention(&mut self, known: &[SocketAddr], now: Duration) {
        for addr in known {
            if *addr != self.own_addr && !self.members.contains_key(addr) {
                self.candidates.entry(*addr).or_insert(now);
            }
        }
    }

    /// Removes a process that stops; returns its incarnation.
    pub fn leave(&mut self, addr: SocketAddr) -> Option<NodeId> {
        self.candidates.remove(&addr);
        self.members.remove(&addr).map(|member| member.node)
    }

    /// Removes processes that were silent too long; returns their incarnations.
    ///
    /// A process that hears less than half of those it once knew may itself be the one that is cut
    /// off, so it gives up nobody and keeps to its own part of every rate.
    pub fn expire(&mut self, now: Duration) -> Vec<NodeId> {
        let gone_after = self.limits.gone_after.max(self.silent_after());
        self.candidates.retain(|_, since| now < *since + gone_after);
        let heard = self.heard(now);
        if (heard + 1) * 2 < self.members.len() + 1 {
            return Vec::new();
        }
        let mut gone = Vec::new();
        self.members.retain(|_, member| {
            let is_kept = now < member.heard_at + gone_after;
            if !is_kept {
                gone.push(member.node);
            }
            is_kept
        });
        gone
    }

    /// Returns who shares the rates, `now` being the time since the start of this process.
    ///
    /// A process that was started later expects more of them than it has met for a while; one that met
    /// nobody counts the seeds as silent processes.
    pub fn process_counts(&self, now: Duration) -> ProcessCounts {
        let met = match self.members.is_empty() {
            true => self.seeds.len() + 1,
            false => self.members.len() + 1,
        };
        let processes = match now < self.limits.discovery_time {
            true => met.max(self.expected),
            false => met,
        };
        ProcessCounts {
            total: processes,
            silent: processes - 1 - self.heard(now),
        }
    }

    /// Returns whether the process has had time to meet the others.
    pub fn has_met_others(&self, now: Duration) -> bool {
        now >= self.limits.discovery_time
    }

    /// Takes over how many processes another one knows that was there before; false if this process
    /// knows already.
    pub fn welcome(&mut self, processes: usize, now: Duration) -> bool {
        if self.is_welcomed || self.has_met_others(now) {
            return false;
        }
        self.is_welcomed = true;
        self.expected = processes;
        true
    }

    /// Returns the number of other processes heard within the limit.
    pub fn heard(&self, now: Duration) -> usize {
        let silent_after = self.silent_after();
        let is_heard = |m: &&Member| now < m.heard_at + silent_after;
        self.members.values().filter(is_heard).count()
    }

    /// Returns every address to report to.
    pub fn addrs(&self) -> Vec<SocketAddr> {
        let mut addrs: BTreeSet<SocketAddr> = self.members.keys().copied().collect();
        addrs.extend(&self.candidates.keys().copied().collect::<Vec<_>>());
        if self.members.len() < self.limits.seeds_max {
            addrs.extend(&self.seeds);
        }
        addrs.into_iter().collect()
    }

    /// Returns the addresses of the processes heard, this one included, in a fixed order.
    pub fn live_addrs(&self, now: Duration) -> Vec<SocketAddr> {
        let silent_after = self.silent_after();
        let is_heard = |m: &Member| now < m.heard_at + silent_after;
        let live = self.members.iter().filter(|(_, member)| is_heard(member));
        let mut addrs: Vec<SocketAddr> = live.map(|(addr, _)| *addr).collect();
        addrs.push(self.own_addr);
        addrs.sort_unstable();
        addrs
    }
}
