//! Order of the routes, as far as it determines which one matches.

use std::collections::{
    BTreeMap,
    HashMap, //
};

use limpet_types::deployment::Route;

use super::{
    Difference,
    DifferenceKind,
    Place,
    route_rules::normalize_host, //
};

/// Host and prefix of a route.
type Matched<'a> = (String, &'a str);

/// Returns a difference for each host and prefix whose requests go to another route than in the version in force,
/// because that comes first now.
///
/// The order matters only between routes of equal host and prefix, of which the first one gets all requests: among
/// different prefixes the longest one decides. If the former first one is gone, that is a difference of its own.
pub(super) fn compare_order(old_routes: &[Route], new_routes: &[Route]) -> Vec<Difference> {
    let old_groups = group(old_routes);
    let mut differences = BTreeMap::new();
    for (matched, new_indexes) in group(new_routes) {
        let Some(old_first) = old_groups.get(&matched).map(|indexes| indexes[0]) else {
            continue;
        };
        let new_first = new_indexes[0];
        let (old_name, new_name) = (&old_routes[old_first].name, &new_routes[new_first].name);
        let mut names = new_indexes.iter().map(|index| &new_routes[*index].name);
        if old_name != new_name && names.any(|name| name == old_name) {
            let (host, prefix) = matched;
            let difference = Difference {
                place: Place::route(new_first, new_name),
                field: Some(format!("first route of host {host:?} and prefix {prefix:?}").into()),
                kind: DifferenceKind::Changed {
                    old: format!("{old_name:?}").into(),
                    new: format!("{new_name:?}").into(),
                },
            };
            differences.insert(new_first, difference);
        }
    }
    differences.into_values().collect()
}

/// Returns the indexes of the routes of each host and prefix, in their order.
fn group(routes: &[Route]) -> HashMap<Matched<'_>, Vec<usize>> {
    let mut groups: HashMap<Matched<'_>, Vec<usize>> = HashMap::new();
    for (index, route) in routes.iter().enumerate() {
        let matched = (normalize_host(&route.host), &*route.prefix);
        groups.entry(matched).or_default().push(index);
    }
    groups
}
