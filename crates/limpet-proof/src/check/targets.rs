//! Targets: cold limit, zones, leaving.

use super::{
    CHANGE_LIMIT_US,
    Property,
    Violation,
    index::Index, //
};
use crate::history::Change;

pub(super) fn check(index: &Index<'_>, found: &mut Vec<Violation>) {
    for (target, event) in &index.seen {
        let Some(site) = index.sites.get(target) else {
            continue;
        };
        if event.cold && event.ran() && event.running > site.cold_bears {
            let reason = format!(
                "{target} ran {} while cold and bears {}",
                event.running, site.cold_bears
            );
            found.push(Violation::new(Property::ColdLimit, reason));
        }
        let mut zone_out_us = None;
        for (at_us, change) in &index.changes {
            let is_after = event.start_us > at_us + CHANGE_LIMIT_US;
            match change {
                Change::ZoneOut(zone) if **zone == *site.zone && event.start_us > *at_us => {
                    zone_out_us = Some(*at_us);
                }
                Change::ZoneIn(zone) if **zone == *site.zone && event.start_us > *at_us => {
                    zone_out_us = None;
                }
                Change::Leaving(name) if **name == **target && is_after => {
                    let reason = format!("{target} got {} while leaving", event.request);
                    found.push(Violation::new(Property::Leaving, reason));
                }
                _ => {}
            }
        }
        if zone_out_us.is_some_and(|at_us| event.start_us > at_us + CHANGE_LIMIT_US) {
            let reason = format!("{target} got {} with its zone out", event.request);
            found.push(Violation::new(Property::ZoneOut, reason));
        }
    }
}
