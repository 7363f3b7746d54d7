//! Parsing of lookups and checks of their dependencies.

use std::{
    collections::HashMap,
    ops::Range, //
};

use limpet_types::message::AttemptKind;

use crate::{
    Lookup, Service, ServiceKind, Team,
    parse::{
        Fields,
        Report,
        UniqueValues,
        fields::SpannedStr, //
    },
};

const LOOKUP_KINDS: [(&str, AttemptKind); 4] = [
    ("search", AttemptKind::Search),
    ("exists", AttemptKind::Exists),
    ("record", AttemptKind::Record),
    ("order", AttemptKind::Order),
];

/// A parsed lookup whose dependencies are not checked yet.
struct LookupDraft<'a> {
    lookup: Lookup,
    /// Names of the dependencies, with their spans for problems.
    depends_on: Vec<SpannedStr<'a>>,
    /// Whether the service of the lookup is open.
    is_open: bool,
}

/// Parses every lookup and checks its service, its teams and its dependencies.
pub(super) fn parse_lookups(
    report: &mut Report,
    root: &Fields<'_, '_>,
    services: &[Service],
    teams: &[Team],
) -> Vec<Lookup> {
    let services_by_name: HashMap<&str, &Service> = services
        .iter()
        .map(|service| (&*service.name, service))
        .collect();
    let known_fields = ["name", "service", "kind", "depends_on", "teams"];
    let mut lookup_names = UniqueValues::new("lookup name");
    let mut drafts = Vec::new();
    for fields in root.tables(report, "lookup", &known_fields) {
        let name = fields.name(report);
        if let Some(name) = &name {
            lookup_names.insert(report, &name.span, name.text, name.text, name.text);
        }
        let service_name = fields.text(report, "service", "the name of a service");
        let kind = fields.choice(report, "kind", &LOOKUP_KINDS, None);
        let depends_on = fields.strings(report, "depends_on");
        let allowed_teams = parse_allowed_teams(report, &fields, teams);
        let service = service_name.as_ref().and_then(|name| {
            let service = services_by_name.get(name.text).copied();
            if service.is_none() {
                let service_names = services.iter().map(|service| &*service.name);
                report.add_unknown(&name.span, "service", name.text, service_names);
            }
            service
        });
        if let (Some(service), Some(kind)) = (service, kind) {
            check_service(report, &fields, service, kind);
        }
        if let (Some(name), Some(service_name), Some(kind)) = (name, service_name, kind) {
            drafts.push(LookupDraft {
                lookup: Lookup {
                    name: name.text.into(),
                    service: service_name.text.into(),
                    kind,
                    depends_on: depends_on.iter().map(|name| name.text.into()).collect(),
                    allowed_teams,
                },
                depends_on,
                is_open: services_by_name
                    .get(service_name.text)
                    .is_some_and(|service| service.is_open),
            });
        }
    }
    check_dependencies(report, &drafts);
    drafts.into_iter().map(|draft| draft.lookup).collect()
}

/// Parses the teams that may use a lookup; reports unknown and duplicate ones.
fn parse_allowed_teams(
    report: &mut Report,
    fields: &Fields<'_, '_>,
    teams: &[Team],
) -> Vec<Box<str>> {
    let mut unique_names = UniqueValues::new("team of the lookup");
    let allowed = fields.strings(report, "teams");
    for team in &allowed {
        if !teams.iter().any(|known| &*known.name == team.text) {
            let team_names = teams.iter().map(|team| &*team.name);
            report.add_unknown(&team.span, "team", team.text, team_names);
        }
        unique_names.insert(report, &team.span, team.text, team.text, team.text);
    }
    allowed.into_iter().map(|team| team.text.into()).collect()
}

/// Reports a lookup of a kind that its service cannot answer.
///
/// On an open service, whose callers send no API key, also reports an order and a list of allowed teams,
/// because both need to know the team of the caller.
fn check_service(
    report: &mut Report,
    fields: &Fields<'_, '_>,
    service: &Service,
    kind: AttemptKind,
) {
    let (is_supported, service_kinds) = match kind {
        AttemptKind::Search => (service.kind != ServiceKind::Accounts, "search or ledger"),
        AttemptKind::Exists => (service.kind != ServiceKind::Accounts, "search or ledger"),
        AttemptKind::Record => (service.kind != ServiceKind::Search, "ledger or accounts"),
        AttemptKind::Order => (service.kind == ServiceKind::Accounts, "accounts"),
    };
    if !is_supported {
        report.add(
            &fields.span_of("kind"),
            format!(
                "service {:?} cannot answer the kind {}",
                service.name,
                kind.as_str()
            ),
            format!(
                "the kind {} needs a service of kind {service_kinds}",
                kind.as_str()
            ),
        );
    }
    if service.is_open && kind == AttemptKind::Order {
        report.add(
            &fields.span_of("kind"),
            "an order on an open service belongs to no team",
            "use a service with open = false",
        );
    }
    if service.is_open && fields.has("teams") {
        report.add(
            &fields.span_of("teams"),
            format!("service {:?} is open, so no team is checked", service.name),
            "remove teams or use a service with open = false",
        );
    }
}

/// Reports unknown, duplicate, cyclic and forbidden dependencies.
fn check_dependencies(report: &mut Report, drafts: &[LookupDraft<'_>]) {
    let indexes_by_name: HashMap<&str, usize> = drafts
        .iter()
        .enumerate()
        .map(|(index, draft)| (&*draft.lookup.name, index))
        .collect();
    let mut edges_by_lookup: Vec<Vec<(usize, Range<usize>)>> = Vec::with_capacity(drafts.len());
    for draft in drafts {
        let mut unique_names = UniqueValues::new("dependency of the lookup");
        let mut dependencies = Vec::new();
        for dependency in &draft.depends_on {
            let name = dependency.text;
            unique_names.insert(report, &dependency.span, name, name, &draft.lookup.name);
            let Some(index) = indexes_by_name.get(name) else {
                let lookup_names = drafts.iter().map(|draft| &*draft.lookup.name);
                report.add_unknown(&dependency.span, "lookup", name, lookup_names);
                continue;
            };
            check_access(report, draft, &drafts[*index], &dependency.span);
            dependencies.push((*index, dependency.span.clone()));
        }
        edges_by_lookup.push(dependencies);
    }
    check_cycles(report, drafts, &edges_by_lookup);
}

/// Reports a dependency that is an order or that some caller of the lookup may not run directly.
fn check_access(
    report: &mut Report,
    draft: &LookupDraft<'_>,
    dependency: &LookupDraft<'_>,
    span: &Range<usize>,
) {
    let name = &dependency.lookup.name;
    if dependency.lookup.kind == AttemptKind::Order {
        let message = format!("{name:?} is an order, which needs a ticket of its own");
        report.add(span, message, "let the order depend on the other lookup");
    }
    if draft.is_open && !dependency.is_open {
        let message = format!("{name:?} needs an API key and this lookup is open");
        report.add(span, message, "depend on lookups of open services only");
        return;
    }
    let (teams, dependency_teams) = (
        &draft.lookup.allowed_teams,
        &dependency.lookup.allowed_teams,
    );
    let refused_teams = match (teams.is_empty(), dependency_teams.is_empty()) {
        (_, true) => None,
        (true, false) => Some("every team".to_owned()),
        (false, false) => teams
            .iter()
            .find(|team| !dependency.lookup.allows_team(team))
            .map(|team| format!("team {team:?}")),
    };
    if let Some(refused_teams) = refused_teams {
        let message = format!("this lookup allows {refused_teams}, but {name:?} does not");
        report.add(
            span,
            message,
            "allow only teams that may use every dependency",
        );
    }
}

/// Reports each dependency that closes a cycle.
///
/// The depth-first search does not recurse, because a long chain of dependencies would overflow the
/// stack. `edges_by_lookup` holds, by the index of a lookup in `drafts`, the index and the span of each of
/// its dependencies.
fn check_cycles(
    report: &mut Report,
    drafts: &[LookupDraft<'_>],
    edges_by_lookup: &[Vec<(usize, Range<usize>)>],
) {
    #[derive(Clone, Copy, PartialEq)]
    enum VisitState {
        Unvisited,
        InProgress,
        Done,
    }
    let mut states = vec![VisitState::Unvisited; drafts.len()];
    for root_index in 0..drafts.len() {
        if states[root_index] != VisitState::Unvisited {
            continue;
        }
        let mut path = vec![(root_index, 0)];
        states[root_index] = VisitState::InProgress;
        while let Some((lookup_index, next_edge_index)) = path.last_mut() {
            let Some((dependency_index, span)) =
                edges_by_lookup[*lookup_index].get(*next_edge_index)
            else {
                states[*lookup_index] = VisitState::Done;
                path.pop();
                continue;
            };
            *next_edge_index += 1;
            match states[*dependency_index] {
                VisitState::Unvisited => {
                    states[*dependency_index] = VisitState::InProgress;
                    path.push((*dependency_index, 0));
                }
                VisitState::InProgress => {
                    const SHOWN_LOOKUPS_MAX: usize = 8;
                    let cycle_start = path
                        .iter()
                        .position(|(visited_index, _)| visited_index == dependency_index)
                        .unwrap_or_default();
                    let names: Vec<&str> = path[cycle_start..]
                        .iter()
                        .take(SHOWN_LOOKUPS_MAX)
                        .map(|(visited_index, _)| &*drafts[*visited_index].lookup.name)
                        .chain([&*drafts[*dependency_index].lookup.name])
                        .collect();
                    let message = format!("dependency cycle {}", names.join(" -> "));
                    report.add(span, message, "remove one of these dependencies");
                }
                VisitState::Done => {}
            }
        }
    }
}
