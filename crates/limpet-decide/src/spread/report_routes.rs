//! On which ways a report of one process reaches all others.

use std::{
    collections::BTreeMap,
    net::SocketAddr, //
};

use super::DIRECT_PROCESSES_MAX;

/// Smallest number of processes of another zone for which a relay is used.
const RELAYED_PROCESSES_MIN: usize = 3;

/// A process that a report must reach.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ReportPeer<'a> {
    /// Address of the process.
    pub addr: SocketAddr,
    /// Availability zone; `None` if the process has not announced it, and then it cannot relay either.
    pub zone: Option<&'a str>,
    /// Whether reports of the process have arrived lately.
    pub is_live: bool,
}

/// A datagram that carries the report.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReportRoute {
    /// Where it is sent.
    pub to: SocketAddr,
    /// Whether the receiver passes the report on to the other processes of its zone.
    pub is_relayed: bool,
}

/// Returns the ways on which a report reaches all `peers`: directly to those of the sender's own zone, and by
/// one random live process to those of each other zone.
///
/// `draw` returns a random index below its argument. In a small fleet, and to processes whose zone is not
/// known or has few processes, reports go directly.
pub fn report_routes(
    own_zone: &str,
    peers: &[ReportPeer<'_>],
    mut draw: impl FnMut(usize) -> usize,
) -> Vec<ReportRoute> {
    let direct = |to: SocketAddr| ReportRoute {
        to,
        is_relayed: false,
    };
    if peers.len() < DIRECT_PROCESSES_MAX {
        return peers.iter().map(|peer| direct(peer.addr)).collect();
    }
    let mut routes = Vec::new();
    let mut other_zones: BTreeMap<&str, Vec<&ReportPeer<'_>>> = BTreeMap::new();
    for peer in peers {
        match peer.zone {
            Some(zone) if zone != own_zone => other_zones.entry(zone).or_default().push(peer),
            _ => routes.push(direct(peer.addr)),
        }
    }
    for zone_peers in other_zones.values() {
        let live: Vec<&&ReportPeer<'_>> = zone_peers.iter().filter(|peer| peer.is_live).collect();
        if live.len() < RELAYED_PROCESSES_MIN {
            routes.extend(zone_peers.iter().map(|peer| direct(peer.addr)));
            continue;
        }
        routes.push(ReportRoute {
            to: live[draw(live.len()).min(live.len() - 1)].addr,
            is_relayed: true,
        });
    }
    routes
}
