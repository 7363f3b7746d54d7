//! Whether a process takes new work.

use limpet_config::Config;
use limpet_types::{
    Phase,
    Role, //
};

use crate::Blackboard;

/// Why a process takes no new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum NotReady {
    /// It has no proof yet that its configuration is current.
    #[error("starting: no proof yet that the configuration is current")]
    Starting,
    /// It finishes what it has.
    #[error("draining: finishing the work in flight")]
    Draining,
    /// The evidence for its configuration is too old.
    #[error("config_stale: the evidence that the configuration is current is too old")]
    ConfigStale,
    /// It does not know yet who owns the targets of most shards.
    #[error(
        "owners_unknown: an owner is known for {known} of {shards} shards, more than half is needed"
    )]
    OwnersUnknown {
        /// Shards with a replica whose owner is known.
        known: usize,
        /// Shards of all services.
        shards: usize,
    },
    /// Operators took the zone of this entry out.
    #[error("zone_out: operators took the zone of this entry out")]
    ZoneOut,
}

/// Returns why the process takes no new work, if it does not.
///
/// A relay in a zone that is out stays ready: it still finishes work and votes.
pub(crate) fn check(board: &Blackboard) -> Result<(), NotReady> {
    match board.phase() {
        Phase::Starting => return Err(NotReady::Starting),
        Phase::Draining => return Err(NotReady::Draining),
        Phase::Serving => {}
    }
    if !board.is_config_fresh() {
        return Err(NotReady::ConfigStale);
    }
    if board.role != Role::Entry {
        return Ok(());
    }
    let Some(in_force) = board.config_in_force() else {
        return Err(NotReady::ZoneOut);
    };
    if in_force.config.is_zone_disabled(&board.zone) {
        return Err(NotReady::ZoneOut);
    }
    check_owners(board, &in_force.config)
}

/// Checks that an owner is known for a replica of more than half of the shards of all services.
///
/// An entry that has just started would refuse every request of the others as `not_owner`. The check
/// ends with its first success: relays that are lost later concern all entries alike, and a balancer
/// without any ready entry would cut off the shards that still answer.
fn check_owners(board: &Blackboard, config: &Config) -> Result<(), NotReady> {
    if board.has_known_owners.get().is_some() {
        return Ok(());
    }
    let directory = board.owner_directory.load();
    let services = config.services.iter();
    let shards = services.flat_map(|service| &service.shards);
    let (mut known, mut all) = (0, 0);
    for shard in shards {
        all += 1;
        let mut targets = shard.targets.iter();
        let has_owner = targets.any(|target| directory.owner_of(target.addr).is_some());
        known += usize::from(has_owner);
    }
    if all > 0 && known * 2 <= all {
        return Err(NotReady::OwnersUnknown { known, shards: all });
    }
    // Another thread may have set it at the same moment.
    let _ = board.has_known_owners.set(());
    Ok(())
}
