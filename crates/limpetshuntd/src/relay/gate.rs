//! Checks that an attempt must pass at its arrival and directly before it is sent.

use std::time::Duration;

use limpet_decide::quarantine::Restriction;
use limpet_types::{
    Phase,
    Refusal,
    RefusalCode,
    TargetAddr, //
};

use crate::relay::{
    sites::Site, //
    state::RelayState,
};

/// Ownership that must be left for an attempt whose own deadline is later.
///
/// Ownership is renewed every 500 ms and then has 3.6 s left, so less than this means that renewals
/// fail. The deadline of a longer attempt is cut to the end of the ownership.
const OWNERSHIP_LEFT_MIN: Duration = Duration::from_secs(2);
/// Time that must be left for a target to be of use.
pub(crate) const TIME_LEFT_MIN: Duration = Duration::from_millis(1);

/// Refuses new work unless the process serves.
pub(crate) fn check_serving(relay: &RelayState) -> Result<(), Refusal> {
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

/// Returns the target as the configuration in force has it and the latest moment at which an
/// attempt with this deadline must be over, if the attempt may be sent now.
///
/// The phase is no part of this: work taken before a drain is finished.
pub(crate) fn check_send(
    relay: &RelayState,
    addr: TargetAddr,
    deadline: Duration,
    fingerprint: u64,
) -> Result<(Site, Duration), Refusal> {
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
    let Some(until) = board.ownership_deadlines.load().owned_until(addr, now) else {
        return refuse(RefusalCode::NotOwner, "the relay does not own the target");
    };
    if until < deadline && until < now + OWNERSHIP_LEFT_MIN {
        return refuse(
            RefusalCode::NotOwner,
            "ownership ends before the deadline of the attempt",
        );
    }
    let Some(site) = relay.sites().and_then(|sites| sites.at(addr)) else {
        return refuse(
            RefusalCode::NoTarget,
            "the configuration does not have the target",
        );
    };
    if site.is_zone_out {
        return refuse(RefusalCode::ZoneOut, "the zone of the target is out");
    }
    if site.is_leaving {
        return refuse(RefusalCode::TargetLeaving, "the target is leaving");
    }
    if board.strikes().restriction(fingerprint, now) == Restriction::Quarantined {
        return refuse(
            RefusalCode::RequestQuarantined,
            "the request crashed targets",
        );
    }
    Ok((site, deadline.min(until)))
}
