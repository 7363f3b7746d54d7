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

const KINDS: [(&str, AttemptKind); 4] = [
    ("search", AttemptKind::Search),
    ("exists", AttemptKind::Exists),
    ("record", AttemptKind::Record),
    ("order", AttemptKind::Order),
];

/// A parsed lookup whose dependencies have not been checked yet.
struct LookupDraft<'a> {
    lookup: Lookup,
    depends_on: Vec<SpannedStr<'a>>,
    is_open: bool,
}

/// Parses every lookup.
pub(super) fn parse_lookups(
    report: &mut Report,
    root: &Fields<'_, '_>,
    services: &[Service],
    teams: &[Team],
) -> Vec<Lookup> {
    let by_name: HashMap<&str, &Service> = services.iter().map(|s| (&*s.name, s)).collect();
    let known = ["name", "service", "kind", "depends_on", "teams"];
    let mut names = UniqueValues::new("lookup name");
    let mut drafts = Vec::new();
    for fields in root.tables(report, "lookup", &known) {
        let name = fields.name(report);
        if let Some(name) = &name {
            names.insert(report, &name.span, name.text, name.text, name.text);
        }
        let service_name = fields.text(report, "service", "the name of a service");
        let kind = fields.choice(report, "kind", &KINDS, None);
        let depends_on = fields.strings(report, "depends_on");
        let allowed = parse_allowed_teams(report, &fields, teams);
        let service = service_name.as_ref().and_then(|name| {
            let service = by_name.get(name.text).copied();
            if service.is_none() {
                let known = services.iter().map(|service| &*service.name);
                report.add_unknown(&name.span, "service", name.text, known);
            }
            service
        });
        if let (Some(service), Some(kind)) = (service, kind) {
            check_service(report, &fields, service, kind);
        }
        if let (Some(name), Some(service), Some(kind)) = (name, service_name, kind) {
            drafts.push(LookupDraft {
                lookup: Lookup {
                    name: name.text.into(),
                    service: service.text.into(),
                    kind,
                    depends_on: depends_on.iter().map(|d| d.text.into()).collect(),
                    allowed_teams: allowed,
                },
                depends_on,
                is_open: by_name.get(service.text).is_some_and(|s| s.is_open),
            });
        }
    }
    check_dependencies(report, &drafts);
    drafts.into_iter().map(|draft| draft.lookup).collect()
}

fn parse_allowed_teams(
    report: &mut Report,
    fields: &Fields<'_, '_>,
    teams: &[Team],
) -> Vec<Box<str>> {
    let mut seen = UniqueValues::new("team of the lookup");
    let allowed = fields.strings(report, "teams");
    for team in &allowed {
        if !teams.iter().any(|known| &*known.name == team.text) {
            let known = teams.iter().map(|team| &*team.name);
            report.add_unknown(&team.span, "team", team.text, known);
        }
        seen.insert(report, &team.span, team.text, team.text, team.text);
    }
    allowed.into_iter().map(|team| team.text.into()).collect()
}

/// Reports a lookup of a kind that its service cannot answer, and one that relies on API keys although
/// its service is open.
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
    let by_name: HashMap<&str, usize> = drafts
        .iter()
        .enumerate()
        .map(|(index, draft)| (&*draft.lookup.name, index))
        .collect();
    let mut edges: Vec<Vec<(usize, Range<usize>)>> = Vec::with_capacity(drafts.len());
    for draft in drafts {
        let mut seen = UniqueValues::new("dependency of the lookup");
        let mut dependencies = Vec::new();
        for dependency in &draft.depends_on {
            let name = dependency.text;
            seen.insert(report, &dependency.span, name, name, &draft.lookup.name);
            let Some(index) = by_name.get(name) else {
                let known = drafts.iter().map(|draft| &*draft.lookup.name);
                report.add_unknown(&dependency.span, "lookup", name, known);
                continue;
            };
            check_access(report, draft, &drafts[*index], &dependency.span);
            dependencies.push((*index, dependency.span.clone()));
        }
        edges.push(dependencies);
    }
    check_cycles(report, drafts, &edges);
}

/// Reports a dependency that a caller of the lookup could not run directly.
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
    let refused = match (teams.is_empty(), dependency_teams.is_empty()) {
        (_, true) => None,
        (true, false) => Some("every team".to_owned()),
        (false, false) => teams
            .iter()
            .find(|team| !dependency.lookup.allows_team(team))
            .map(|team| format!("team {team:?}")),
    };
    if let Some(refused) = refused {
        let message = format!("this lookup allows {refused}, but {name:?} does not");
        report.add(
            span,
            message,
            "allow only teams that may use every dependency",
        );
    }
}

/// Reports each edge that closes a cycle, by a depth-first search without recursion, because a long
/// chain of dependencies would overflow the stack.
fn check_cycles(
    report: &mut Report,
    drafts: &[LookupDraft<'_>],
    edges: &[Vec<(usize, Range<usize>)>],
) {
    #[derive(Clone, Copy, PartialEq)]
    enum VisitState {
        Unvisited,
        InProgress,
        Done,
    }
    let mut states = vec![VisitState::Unvisited; drafts.len()];
    for root in 0..drafts.len() {
        if states[root] != VisitState::Unvisited {
            continue;
        }
        let mut path = vec![(root, 0)];
        states[root] = VisitState::InProgress;
        while let Some((index, next)) = path.last_mut() {
            let Some((to, span)) = edges[*index].get(*next) else {
                states[*index] = VisitState::Done;
                path.pop();
                continue;
            };
            *next += 1;
            match states[*to] {
                VisitState::Unvisited => {
                    states[*to] = VisitState::InProgress;
                    path.push((*to, 0));
                }
                VisitState::InProgress => {
                    const SHOWN_MAX: usize = 8;
                    let start = path
                        .iter()
                        .position(|(visited, _)| visited == to)
                        .unwrap_or_default();
                    let names: Vec<&str> = path[start..]
                        .iter()
                        .take(SHOWN_MAX)
                        .map(|(visited, _)| &*drafts[*visited].lookup.name)
                        .chain([&*drafts[*to].lookup.name])
                        .collect();
                    let message = format!("dependency cycle {}", names.join(" -> "));
                    report.add(span, message, "remove one of these dependencies");
                }
                VisitState::Done => {}
            }
        }
    }
}
