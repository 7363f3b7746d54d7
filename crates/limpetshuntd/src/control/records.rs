//! Merging of node records.

use std::{
    collections::HashMap,
    net::SocketAddr,
    time::Duration, //
};

use limpet_types::NodeRecord;

use crate::blackboard::Member;

/// Age at which a record is dropped, in a small fleet.
const RECORD_TTL: Duration = Duration::from_secs(10);
/// Addition for each node: a message carries a few records only, so in a large fleet each record is
/// renewed more rarely.
const RECORD_TTL_PER_NODE: Duration = Duration::from_millis(50);

/// The latest record of each address.
#[derive(Debug, Default)]
pub(super) struct Records {
    by_addr: HashMap<SocketAddr, Member>,
}

impl Records {
    /// Notes a record that is `record.age` old now.
    pub(super) fn note(&mut self, now: Duration, record: NodeRecord) {
        let Some(last_seen_at) = now.checked_sub(record.age) else {
            return;
        };
        let known = self.by_addr.get(&record.node.addr);
        // An old incarnation has stopped to renew its record, so the later one is the living one.
        let is_newer = known.is_none_or(|known| {
            let same_node = known.record.node == record.node;
            let version = known.record.version;
            (same_node && record.version > version)
                || (last_seen_at > known.last_seen_at && (!same_node || record.version == version))
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

    /// Drops old records and returns the rest in the order of their addresses.
    pub(super) fn members(&mut self, now: Duration) -> Vec<Member> {
        let ttl = RECORD_TTL + RECORD_TTL_PER_NODE * self.by_addr.len() as u32;
        self.by_addr
            .retain(|_, member| now < member.last_seen_at + ttl);
        let mut members: Vec<Member> = self.by_addr.values().cloned().collect();
        members.sort_by_key(|member| member.record.node.addr);
        members
    }
}
