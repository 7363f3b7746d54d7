//! Whom a process follows for the state of the deployment.

use std::{
    cmp::Reverse,
    net::SocketAddr, //
};

use super::DIRECT_PROCESSES_MAX;

/// Number of processes of the fleet that a process tries to follow.
const FLEET_CANDIDATES: usize = 3;
/// Number of processes of its own zone that a process tries to follow before those of the fleet.
const ZONE_CANDIDATES: usize = 2;

/// Number of processes without followers that ask a failing source in each round of the fleet.
const PROBES_PER_ROUND: f64 = 8.0;

/// What the choice of readers depends on, for one live process.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ReaderRank<'a> {
    /// Address of the process.
    pub addr: SocketAddr,
    /// Availability zone; `None` if it is not known.
    pub zone: Option<&'a str>,
    /// Processor capacity in thousandths of a core; 0 if it is not known.
    pub capacity_millicores: u64,
}

/// Whom one process follows.
#[derive(Clone, Debug, PartialEq)]
pub struct Readers {
    /// Processes that it tries to follow, in this order. If it comes to its own address, or to the end, it reads
    /// the source.
    pub candidates: Vec<SocketAddr>,
    /// Whether other processes try to follow it.
    pub has_followers: bool,
    /// Probability with which it asks the source after none of the candidates was current. Those that others
    /// follow always do. Of the rest of a large fleet only a few do in each round: when the source fails for all,
    /// more calls are of no use, and when it serves some, one of them is enough to find that out.
    pub probe_probability: f64,
}

/// Returns whom the process at `own_addr` follows, chosen from all live processes, itself included.
///
/// All processes agree on the candidates if they know the same processes. The largest processors come first,
/// and the lowest address among equal ones. In a large fleet a process first tries the best two of its zone,
/// which follow those of the whole fleet.
pub fn readers(own_addr: SocketAddr, live: &[ReaderRank<'_>]) -> Readers {
    let fleet = best(live.iter(), FLEET_CANDIDATES);
    let zone = match live.len() > DIRECT_PROCESSES_MAX {
        true => zone_candidates(own_addr, live),
        false => Vec::new(),
    };
    let has_followers = fleet.contains(&own_addr) || zone.contains(&own_addr);
    // A candidate of the fleet follows none of its zone, and one of the zone only those before it.
    let first = match fleet.contains(&own_addr) {
        true => &[][..],
        false => zone
            .split(|addr| *addr == own_addr)
            .next()
            .unwrap_or_default(),
    };
    let mut candidates = first.to_vec();
    for addr in fleet {
        if !candidates.contains(&addr) {
            candidates.push(addr);
        }
    }
    let probe_probability = match has_followers {
        true => 1.0,
        false => (PROBES_PER_ROUND / live.len() as f64).min(1.0),
    };
    Readers {
        candidates,
        has_followers,
        probe_probability,
    }
}

/// Returns the candidates of the zone of the process at `own_addr`.
fn zone_candidates(own_addr: SocketAddr, live: &[ReaderRank<'_>]) -> Vec<SocketAddr> {
    let own = live.iter().find(|process| process.addr == own_addr);
    let Some(own_zone) = own.and_then(|process| process.zone) else {
        return Vec::new();
    };
    let in_zone = live.iter().filter(|process| process.zone == Some(own_zone));
    best(in_zone, ZONE_CANDIDATES)
}

/// Returns the addresses of the first `count` processes in the order of their rank.
fn best<'a>(processes: impl Iterator<Item = &'a ReaderRank<'a>>, count: usize) -> Vec<SocketAddr> {
    let mut best: Vec<(Reverse<u64>, SocketAddr)> = Vec::with_capacity(count + 1);
    for process in processes {
        let rank = (Reverse(process.capacity_millicores), process.addr);
        let index = best.partition_point(|better| *better < rank);
        if index < count {
            best.insert(index, rank);
            best.truncate(count);
        }
    }
    best.into_iter().map(|(_, addr)| addr).collect()
}
