//! Checks that an attempt must pass when it arrives and again directly before it is sent.

use std::time::Duration;

use limpet_decide::quarantine::Restriction;
use limpet_types::{
    Phase,
    Refusal,
    RefusalCode,
    TargetAddr, //
};

use crate::relay::{
    state::RelayState,
    target_table::TargetConfig, //
};

/// Minimum remaining ownership for an attempt whose deadline is after the end of the ownership.
///
/// A renewal, every 500 ms, leaves 3.6 s of ownership, so less than this means that renewals fail.
/// With at least this much left, the attempt is sent with the end of the ownership as its deadline.
const OWNERSHIP_LEFT_MIN: Duration = Duration::from_secs(2);
/// Minimum time left before the deadline for an attempt to be sent; with less, its response would come too
/// late.
pub(crate) const TIME_LEFT_MIN: Duration = Duration::from_millis(1);

/// Refuses a new attempt unless the process is serving.
pub(crate) fn check_phase(relay: &RelayState) -> Result<(), Refusal> {
    match relay.board.phase() {
        Phase::Serving => Ok(()),
        Phase::Starting => Err(Refusal::not_run(
            RefusalCode::Starting,
            "the relay is starting",
        )),
        Phase::Draining => Err(Refusal::not_run(
            RefusalCode::Draining,
            "the relay is draining",
        )),
    }
}

/// Refuses an attempt that must not be sent now; otherwise returns the configuration of the target and the
/// time since boot by which the attempt must end.
///
/// The phase of the process is not checked, because a draining relay finishes the attempts that it
/// accepted before.
pub(crate) fn check_sendable(
    relay: &RelayState,
    addr: TargetAddr,
    deadline: Duration,
    fingerprint: u64,
) -> Result<(TargetConfig, Duration), Refusal> {
    let refuse = |code, message: &str| Err(Refusal::not_run(code, message));
    let board = &relay.board;
    if !board.is_config_fresh() {
        return refuse(
            RefusalCode::ConfigStale,
            "no proof that the configuration is current",
        );
    }
    let now = board.now();
    if now + TIME_LEFT_MIN >= deadline {
        return refuse(RefusalCode::DeadlineExceeded, "the deadline passed unsent");
    }
    let Some(owned_until) = board.ownership_deadlines.load().owned_until(addr, now) else {
        return refuse(RefusalCode::NotOwner, "the relay does not own the target");
    };
    if owned_until < deadline && owned_until < now + OWNERSHIP_LEFT_MIN {
        return refuse(
            RefusalCode::NotOwner,
            "ownership ends before the deadline of the attempt",
        );
    }
    let Some(target_config) = relay
        .target_table()
        .and_then(|table| table.get_by_addr(addr))
    else {
        return refuse(
            RefusalCode::NoTarget,
            "the configuration does not have the target",
        );
    };
    if target_config.is_zone_disabled {
        return refuse(RefusalCode::ZoneOut, "the zone of the target is out");
    }
    if target_config.is_leaving {
        return refuse(RefusalCode::TargetLeaving, "the target is leaving");
    }
    if board.strikes().restriction(fingerprint, now) == Restriction::Quarantined {
        return refuse(
            RefusalCode::RequestQuarantined,
            "the request crashed targets",
        );
    }
    Ok((target_config, deadline.min(owned_until)))
}
