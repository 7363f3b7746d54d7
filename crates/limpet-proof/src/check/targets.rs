//! Checks targets: the limit of cold ones, and no new work in zones that are out or while leaving.

use super::{
    CHANGE_DEADLINE_US,
    Property,
    Violation,
    index::Index, //
};
use crate::history::Change;

pub(super) fn check(index: &Index<'_>, violations: &mut Vec<Violation>) {
    for (target, event) in &index.target_events {
        let Some(config) = index.targets.get(target) else {
            continue;
        };
        if event.cold && event.has_run() && event.running > config.cold_requests_max {
            let reason = format!(
                "{target} ran {} requests at once while cold, its limit is {}",
                event.running, config.cold_requests_max
            );
            violations.push(Violation::new(Property::ColdLimit, reason));
        }
        let mut zone_out_us = None;
        for (at_us, change) in &index.changes {
            let is_past_deadline = event.start_us > at_us + CHANGE_DEADLINE_US;
            match change {
                Change::ZoneOut(zone) if **zone == *config.zone && event.start_us > *at_us => {
                    zone_out_us = Some(*at_us);
                }
                Change::ZoneIn(zone) if **zone == *config.zone && event.start_us > *at_us => {
                    zone_out_us = None;
                }
                Change::Leaving(name) if **name == **target && is_past_deadline => {
                    let reason = format!("{target} received {} while leaving", event.request);
                    violations.push(Violation::new(Property::Leaving, reason));
                }
                _ => {}
            }
        }
        if zone_out_us.is_some_and(|at_us| event.start_us > at_us + CHANGE_DEADLINE_US) {
            let reason = format!("{target} received {} while its zone was out", event.request);
            violations.push(Violation::new(Property::ZoneOut, reason));
        }
    }
}
