//! Readiness check: whether a process accepts new work. Load balancers send no requests to an entry that
//! isn't ready.

use limpet_config::Config;
use limpet_types::{
    Phase,
    Role, //
};

use crate::Blackboard;

/// Reason why a process accepts no new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum NotReadyReason {
    /// The process is starting: the evidence that its configuration is current is not sufficient yet.
    #[error("starting: no proof yet that the configuration is current")]
    Starting,
    /// The process is shutting down and only finishes the work in flight.
    #[error("draining: finishing the work in flight")]
    Draining,
    /// The evidence that the configuration in force is current is too old.
    #[error("config_stale: the evidence that the configuration is current is too old")]
    ConfigStale,
    /// The entry knows an owner for at most half of the shards, and has never known more.
    #[error(
        "owners_unknown: an owner is known for {owned_shard_count} of {shard_count} shards, \
         more than half is needed"
    )]
    OwnersUnknown {
        /// Number of shards with a replica whose owner is known.
        owned_shard_count: usize,
        /// Number of shards of all services.
        shard_count: usize,
    },
    /// Operators took the zone of this entry out of service.
    #[error("zone_out: operators took the zone of this entry out")]
    ZoneOut,
}

/// Checks whether the process accepts new work, and returns the reason if it does not.
///
/// A relay in a zone that is out of service stays ready, because it still finishes work and votes.
pub(crate) fn check(board: &Blackboard) -> Result<(), NotReadyReason> {
    match board.phase() {
        Phase::Starting => return Err(NotReadyReason::Starting),
        Phase::Draining => return Err(NotReadyReason::Draining),
        Phase::Serving => {}
    }
    if !board.is_config_fresh() {
        return Err(NotReadyReason::ConfigStale);
    }
    if board.role != Role::Entry {
        return Ok(());
    }
    let Some(in_force) = board.config_in_force() else {
        return Err(NotReadyReason::ZoneOut);
    };
    if in_force.config.is_zone_disabled(&board.zone) {
        return Err(NotReadyReason::ZoneOut);
    }
    check_owners(board, &in_force.config)
}

/// Checks that an owner is known for a replica of more than half of the shards of all services.
///
/// An entry that has just started would refuse all requests to the other shards as `not_owner`. After
/// its first success the check always passes: a later failure of relays affects all entries alike, and
/// if no entry were ready the load balancer would cut off the shards that can still answer.
fn check_owners(board: &Blackboard, config: &Config) -> Result<(), NotReadyReason> {
    if board.has_known_owners.get().is_some() {
        return Ok(());
    }
    let directory = board.owner_directory.load();
    let services = config.services.iter();
    let shards = services.flat_map(|service| &service.shards);
    let (mut owned_shard_count, mut shard_count) = (0, 0);
    for shard in shards {
        shard_count += 1;
        let mut targets = shard.targets.iter();
        let has_owner = targets.any(|target| directory.owner_of(target.addr).is_some());
        owned_shard_count += usize::from(has_owner);
    }
    if shard_count > 0 && owned_shard_count * 2 <= shard_count {
        return Err(NotReadyReason::OwnersUnknown {
            owned_shard_count,
            shard_count,
        });
    }
    // Another thread may have set the flag at the same moment.
    let _ = board.has_known_owners.set(());
    Ok(())
}
