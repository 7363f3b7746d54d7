//! Checks targets: the limit of cold targets, and no new requests to leaving targets and to zones that
//! are out.

use super::{
    CHANGE_DEADLINE_US,
    Property,
    Violation,
    index::HistoryIndex, //
};
use crate::history::ConfigChange;

/// Adds a violation for each request that a target must not have received or run.
///
/// Requests may still arrive within [`CHANGE_DEADLINE_US`] after the target is marked as leaving or its zone
/// is taken out.
pub(super) fn check(index: &HistoryIndex<'_>, violations: &mut Vec<Violation>) {
    for (target, received) in &index.received_requests {
        let Some(target_config) = index.targets.get(target) else {
            continue;
        };
        if received.cold && received.has_run() && received.running > target_config.cold_requests_max
        {
            let reason = format!(
                "{target} ran {} requests at once while cold, its limit is {}",
                received.running, target_config.cold_requests_max
            );
            violations.push(Violation::new(Property::ColdLimit, reason));
        }
        let mut zone_out_us = None;
        for (at_us, change) in &index.config_changes {
            let is_past_deadline = received.start_us > at_us + CHANGE_DEADLINE_US;
            match change {
                ConfigChange::ZoneOut(zone)
                    if **zone == *target_config.zone && received.start_us > *at_us =>
                {
                    zone_out_us = Some(*at_us);
                }
                ConfigChange::ZoneIn(zone)
                    if **zone == *target_config.zone && received.start_us > *at_us =>
                {
                    zone_out_us = None;
                }
                ConfigChange::Leaving(name) if **name == **target && is_past_deadline => {
                    let reason = format!("{target} received {} while leaving", received.request);
                    violations.push(Violation::new(Property::Leaving, reason));
                }
                _ => {}
            }
        }
        if zone_out_us.is_some_and(|at_us| received.start_us > at_us + CHANGE_DEADLINE_US) {
            let reason = format!(
                "{target} received {} while its zone was out",
                received.request
            );
            violations.push(Violation::new(Property::ZoneOut, reason));
        }
    }
}
