//! Whether a process takes new work.

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
    if !board.is_fresh() {
        return Err(NotReady::ConfigStale);
    }
    let is_out = board
        .in_force()
        .is_none_or(|in_force| in_force.config.zone_is_out(&board.zone));
    if board.role == Role::Entry && is_out {
        return Err(NotReady::ZoneOut);
    }
    Ok(())
}
