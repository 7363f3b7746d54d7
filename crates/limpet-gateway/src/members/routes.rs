//! Whom this process follows, and the ways of its reports, by what it knows of the other processes.

use std::net::SocketAddr;

use limpet_decide::{
    aggregator::AggregatorNode,
    spread::{
        ReaderRank,
        Readers,
        ReportPeer,
        ReportRoute,
        readers,
        report_routes, //
    },
};
use rand::Rng;

use crate::shared_state::SharedState;

/// Returns whom this process follows for the state of the deployment, chosen from the live processes.
pub(crate) fn state_readers(shared: &SharedState, live_addrs: &[SocketAddr]) -> Readers {
    let aggregators = shared.aggregators();
    let live: Vec<ReaderRank<'_>> = live_addrs
        .iter()
        .map(|addr| {
            let node = aggregators.node(*addr);
            ReaderRank {
                addr: *addr,
                zone: node.map(|node| &*node.zone),
                capacity_millicores: node.map_or(0, AggregatorNode::capacity_millicores),
            }
        })
        .collect();
    readers(shared.settings.peer_addr, &live)
}

/// Returns the addresses of the other processes of this zone that have announced themselves.
pub(super) fn zone_addrs(shared: &SharedState) -> Vec<SocketAddr> {
    let membership = shared.membership();
    let aggregators = shared.aggregators();
    let is_in_zone = |addr: &SocketAddr| {
        let node = aggregators.node(*addr);
        node.is_some_and(|node| node.zone == shared.settings.zone)
    };
    membership.known_addrs().filter(is_in_zone).collect()
}

/// Returns the ways on which a report of this process reaches all others.
pub(super) fn own_report_routes(shared: &SharedState) -> Vec<ReportRoute> {
    let (addrs, live_addrs) = {
        let membership = shared.membership();
        (
            membership.report_addrs(),
            membership.live_addrs(shared.now()),
        )
    };
    let aggregators = shared.aggregators();
    let peers: Vec<ReportPeer<'_>> = addrs
        .into_iter()
        .map(|addr| ReportPeer {
            addr,
            zone: aggregators.node(addr).map(|node| &*node.zone),
            is_live: live_addrs.binary_search(&addr).is_ok(),
        })
        .collect();
    let mut rng = rand::rng();
    report_routes(&shared.settings.zone, &peers, |count| {
        rng.random_range(0..count)
    })
}
