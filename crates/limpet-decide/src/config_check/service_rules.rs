//! Rules for services.

use std::collections::BTreeSet;

use limpet_types::deployment::Config;

use super::{
    Finding,
    FindingKind,
    Place,
    check::check_names,
    route_rules::services_of, //
};

/// Checks all services.
pub(super) fn check_services(config: &Config, findings: &mut Vec<Finding>) {
    let names = config.services.iter().map(|service| &*service.name);
    check_names(names, Place::service, findings);
    let used_services: BTreeSet<&str> = config.routes.iter().flat_map(services_of).collect();
    for (index, service) in config.services.iter().enumerate() {
        let mut add = |kind, text: String| {
            let place = Place::service(index, &service.name);
            findings.push(Finding::new(kind, place, text));
        };
        if !used_services.contains(&*service.name) {
            add(FindingKind::UnusedService, "no route uses it".into());
        }
        if service.connections_max == 0 {
            let text = "the maximum number of connections is 0";
            add(FindingKind::ZeroLimit, text.into());
        }
        let rate = service.cold_rate_per_s;
        if !rate.is_finite() || rate < 0.0 {
            let text = format!("the rate while cold, {rate}, is not a finite number from 0");
            add(FindingKind::InvalidRate, text);
        } else if rate == 0.0 && !service.warmup_time.is_zero() {
            let warmup_time = service.warmup_time;
            let text = format!(
                "a warm-up time of {warmup_time:?} without a rate while cold limits nothing"
            );
            add(FindingKind::WarmupWithoutRate, text);
        }
    }
}
