//! Collects the node records that gossip brings, from which the members of the fleet are published.

use std::{
    collections::HashMap,
    net::SocketAddr,
    time::Duration, //
};

use limpet_types::NodeRecord;

use crate::blackboard::Member;

/// Age at which a node record expires, before the additional age per node.
const RECORD_TTL: Duration = Duration::from_secs(10);
/// Additional age per known node. A message carries only a few records, so each record is renewed less often
/// in a large fleet.
const RECORD_TTL_PER_NODE: Duration = Duration::from_millis(50);

/// Latest record of the node at each address.
#[derive(Debug, Default)]
pub(super) struct NodeRecords {
    by_addr: HashMap<SocketAddr, Member>,
}

impl NodeRecords {
    /// Inserts a record that is `record.age` old at `now`, unless a newer one for its address is known.
    pub(super) fn insert_if_newer(&mut self, now: Duration, record: NodeRecord) {
        // A record that was written before this VM booted has no time since boot, and is ignored.
        let Some(last_seen_at) = now.checked_sub(record.age) else {
            return;
        };
        let known = self.by_addr.get(&record.node.addr);
        // Only the incarnation that runs renews its record, so the later record is the one of the current
        // incarnation.
        let is_newer = known.is_none_or(|known| {
            let is_same_node = known.record.node == record.node;
            let known_version = known.record.version;
            (is_same_node && record.version > known_version)
                || (last_seen_at > known.last_seen_at
                    && (!is_same_node || record.version == known_version))
        });
        if is_newer {
            let last_seen_at = known
                .filter(|known| known.record.node == record.node)
                .map_or(last_seen_at, |known| last_seen_at.max(known.last_seen_at));
            self.by_addr.insert(
                record.node.addr,
                Member {
                    record,
                    last_seen_at,
                },
            );
        }
    }

    /// Removes expired records and returns the remaining ones, sorted by address.
    pub(super) fn prune(&mut self, now: Duration) -> Vec<Member> {
        let ttl = RECORD_TTL + RECORD_TTL_PER_NODE * self.by_addr.len() as u32;
        self.by_addr
            .retain(|_, member| now < member.last_seen_at + ttl);
        let mut members: Vec<Member> = self.by_addr.values().cloned().collect();
        members.sort_by_key(|member| member.record.node.addr);
        members
    }
}
