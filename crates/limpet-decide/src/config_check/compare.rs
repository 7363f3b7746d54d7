//! Compares a configuration with the version in force.

use std::collections::{
    BTreeSet,
    HashMap,
    HashSet, //
};

use limpet_types::deployment::{
    Config,
    Team, //
};

use super::{
    Difference, DifferenceKind, Finding, FindingKind, Place,
    fields::{
        Fields,
        config_fields,
        limit_fields,
        route_fields,
        service_fields,
        team_fields, //
    },
    route_order::compare_order,
};

/// Result of a comparison.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Comparison {
    /// What is wrong with the new version as the successor of the one in force.
    pub findings: Vec<Finding>,
    /// Differences in the order of the configuration: routes, services, teams, limits.
    pub differences: Vec<Difference>,
}

/// Compares a configuration with the version in force.
///
/// Entries are matched by name, and those of equal names in their order. The order is compared only for routes of equal host
/// and prefix, of which the first one gets all requests. It has no effect for other routes, services, shards and keys. A configuration that is equal to the one in force needs no higher version.
pub fn compare(config: &Config, in_force: &Config) -> Comparison {
    let mut differences = compare_fields(
        &Place::Config,
        &config_fields(in_force),
        &config_fields(config),
    );
    differences.extend(compare_entries(
        &in_force.routes,
        &config.routes,
        |route| &route.name,
        Place::route,
        |place, old, new| compare_fields(place, &route_fields(old), &route_fields(new)),
    ));
    differences.extend(compare_order(&in_force.routes, &config.routes));
    differences.extend(compare_entries(
        &in_force.services,
        &config.services,
        |service| &service.name,
        Place::service,
        |place, old, new| compare_fields(place, &service_fields(old), &service_fields(new)),
    ));
    differences.extend(compare_entries(
        in_force.teams.as_deref().unwrap_or_default(),
        config.teams.as_deref().unwrap_or_default(),
        |team| &team.name,
        Place::team,
        |place, old, new| {
            let mut differences = compare_fields(place, &team_fields(old), &team_fields(new));
            differences.extend(compare_keys(place, old, new));
            differences
        },
    ));
    differences.extend(compare_fields(
        &Place::Limits,
        &limit_fields(in_force),
        &limit_fields(config),
    ));
    let (version, version_in_force) = (config.version, in_force.version);
    let mut findings = Vec::new();
    if version < version_in_force || (version == version_in_force && !differences.is_empty()) {
        findings.push(Finding::new(
            FindingKind::VersionNotHigher,
            Place::Config,
            format!(
                "version {version} is not higher than the version in force, {version_in_force}, and is not installed"
            ),
        ));
    }
    if version != version_in_force {
        let place = Place::Config;
        let difference = changed(&place, "version", version_in_force, version);
        differences.insert(0, difference);
    }
    Comparison {
        findings,
        differences,
    }
}

/// Returns the difference of a field with another value.
fn changed(place: &Place, field: &str, old: impl ToString, new: impl ToString) -> Difference {
    Difference {
        place: place.clone(),
        field: Some(field.into()),
        kind: DifferenceKind::Changed {
            old: old.to_string().into(),
            new: new.to_string().into(),
        },
    }
}

/// Compares two lists of entries; `compare_entry` compares two entries of equal names.
fn compare_entries<T>(
    old_entries: &[T],
    new_entries: &[T],
    name: fn(&T) -> &str,
    place: fn(usize, &str) -> Place,
    compare_entry: impl Fn(&Place, &T, &T) -> Vec<Difference>,
) -> Vec<Difference> {
    let mut differences = Vec::new();
    let mut unmatched = indexes_by_name(old_entries, name);
    for (index, new) in new_entries.iter().enumerate() {
        let place = place(index, name(new));
        // The indexes of a name are in descending order.
        match unmatched.get_mut(name(new)).and_then(Vec::pop) {
            Some(old_index) => {
                differences.extend(compare_entry(&place, &old_entries[old_index], new));
            }
            None => differences.push(Difference {
                place,
                field: None,
                kind: DifferenceKind::Added,
            }),
        }
    }
    let mut removed_indexes: Vec<usize> = unmatched.into_values().flatten().collect();
    removed_indexes.sort_unstable();
    differences.extend(removed_indexes.into_iter().map(|index| Difference {
        place: place(index, name(&old_entries[index])),
        field: None,
        kind: DifferenceKind::Removed,
    }));
    differences
}

/// Returns the indexes of the entries of each name, the highest first.
fn indexes_by_name<T>(entries: &[T], name: fn(&T) -> &str) -> HashMap<&str, Vec<usize>> {
    let mut indexes: HashMap<&str, Vec<usize>> = HashMap::new();
    for (index, entry) in entries.iter().enumerate().rev() {
        indexes.entry(name(entry)).or_default().push(index);
    }
    indexes
}

/// Compares the fields of an entry.
fn compare_fields(place: &Place, old: &Fields, new: &Fields) -> Vec<Difference> {
    let names: BTreeSet<&String> = old.keys().chain(new.keys()).collect();
    let difference = |field: &String| {
        let kind = match (old.get(field), new.get(field)) {
            (Some(old), Some(new)) if old != new => return Some(changed(place, field, old, new)),
            (Some(_), None) => DifferenceKind::Removed,
            (None, Some(_)) => DifferenceKind::Added,
            _ => return None,
        };
        Some(Difference {
            place: place.clone(),
            field: Some(field.as_str().into()),
            kind,
        })
    };
    names.into_iter().filter_map(difference).collect()
}

/// Compares the API keys of a team without naming one.
fn compare_keys(place: &Place, old: &Team, new: &Team) -> Option<Difference> {
    let old_keys: HashSet<&str> = old.api_keys.iter().map(|key| &**key).collect();
    let new_keys: HashSet<&str> = new.api_keys.iter().map(|key| &**key).collect();
    let added_count = new_keys.difference(&old_keys).count();
    let removed_count = old_keys.difference(&new_keys).count();
    if added_count + removed_count == 0 {
        return None;
    }
    let new_text = format!(
        "{} ({added_count} added, {removed_count} removed)",
        new_keys.len()
    );
    Some(changed(place, "API keys", old_keys.len(), new_text))
}
