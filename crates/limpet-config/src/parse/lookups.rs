//! Lookups and their dependencies.

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
        Unique,
        fields::Located, //
    },
};

const KINDS: [(&str, AttemptKind); 4] = [
    ("search", AttemptKind::Search),
    ("exists", AttemptKind::Exists),
    ("record", AttemptKind::Record),
    ("order", AttemptKind::Order),
];

/// A lookup with the places that later checks refer to.
struct Draft<'a> {
    lookup: Lookup,
    depends_on: Vec<Located<'a>>,
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
    let mut names = Unique::new("lookup name");
    let mut drafts = Vec::new();
    for fields in root.tables(report, "lookup", &known) {
        let name = fields.name(report);
        if let Some(name) = &name {
            names.note(report, &name.span, name.text, name.text, name.text);
        }
        let service_name = fields.text(report, "service", "the name of a service");
        let kind = fields.choice(report, "kind", &KINDS, None);
        let depends_on = fields.strings(report, "depends_on");
        let allowed = parse_allowed(report, &fields, teams);
        let service = service_name.as_ref().and_then(|name| {
            let service = by_name.get(name.text).copied();
            if service.is_none() {
                let known = services.iter().map(|service| &*service.name);
                report.add_unknown(&name.span, "service", name.text, known);
            }
            service
        });
        if let (Some(service), Some(kind)) = (service, kind) {
            check_kind(report, &fields, service, kind);
        }
        if let (Some(name), Some(service), Some(kind)) = (name, service_name, kind) {
            drafts.push(Draft {
                lookup: Lookup {
                    name: name.text.into(),
                    service: service.text.into(),
                    kind,
                    depends_on: depends_on.iter().map(|d| d.text.into()).collect(),
                    teams: allowed,
                },
                depends_on,
                is_open: by_name.get(service.text).is_some_and(|s| s.open),
            });
        }
    }
    check_dependencies(report, &drafts);
    drafts.into_iter().map(|draft| draft.lookup).collect()
}

fn parse_allowed(report: &mut Report, fields: &Fields<'_, '_>, teams: &[Team]) -> Vec<Box<str>> {
    let mut seen = Unique::new("team of the lookup");
    let allowed = fields.strings(report, "teams");
    for team in &allowed {
        if !teams.iter().any(|known| &*known.name == team.text) {
            let known = teams.iter().map(|team| &*team.name);
            report.add_unknown(&team.span, "team", team.text, known);
        }
        seen.note(report, &team.span, team.text, team.text, team.text);
    }
    allowed.into_iter().map(|team| team.text.into()).collect()
}

/// Refuses kinds that the service cannot answer, and rules of API keys that contradict it.
fn check_kind(report: &mut Report, fields: &Fields<'_, '_>, service: &Service, kind: AttemptKind) {
    let (fits, service_kinds) = match kind {
        AttemptKind::Search => (service.kind != ServiceKind::Accounts, "search or ledger"),
        AttemptKind::Exists => (service.kind != ServiceKind::Accounts, "search or ledger"),
        AttemptKind::Record => (service.kind != ServiceKind::Search, "ledger or accounts"),
        AttemptKind::Order => (service.kind == ServiceKind::Accounts, "accounts"),
    };
    if !fits {
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
    if service.open && kind == AttemptKind::Order {
        report.add(
            &fields.span_of("kind"),
            "an order on an open service belongs to no team",
            "use a service with open = false",
        );
    }
    if service.open && fields.has("teams") {
        report.add(
            &fields.span_of("teams"),
            format!("service {:?} is open, so no team is checked", service.name),
            "remove teams or use a service with open = false",
        );
    }
}

/// Reports unknown, repeated, cyclic and forbidden dependencies.
fn check_dependencies(report: &mut Report, drafts: &[Draft<'_>]) {
    let by_name: HashMap<&str, usize> = drafts
        .iter()
        .enumerate()
        .map(|(index, draft)| (&*draft.lookup.name, index))
        .collect();
    let mut edges: Vec<Vec<(usize, Range<usize>)>> = Vec::with_capacity(drafts.len());
    for draft in drafts {
        let mut seen = Unique::new("dependency of the lookup");
        let mut out = Vec::new();
        for dependency in &draft.depends_on {
            let name = dependency.text;
            seen.note(report, &dependency.span, name, name, &draft.lookup.name);
            let Some(index) = by_name.get(name) else {
                let known = drafts.iter().map(|draft| &*draft.lookup.name);
                report.add_unknown(&dependency.span, "lookup", name, known);
                continue;
            };
            check_access(report, draft, &drafts[*index], &dependency.span);
            out.push((*index, dependency.span.clone()));
        }
        edges.push(out);
    }
    check_cycles(report, drafts, &edges);
}

/// Refuses a dependency that a caller of the lookup could not ask for directly.
fn check_access(report: &mut Report, draft: &Draft<'_>, on: &Draft<'_>, span: &Range<usize>) {
    let name = &on.lookup.name;
    if on.lookup.kind == AttemptKind::Order {
        let message = format!("{name:?} is an order, which needs a ticket of its own");
        report.add(span, message, "let the order depend on the other lookup");
    }
    if draft.is_open && !on.is_open {
        let message = format!("{name:?} needs an API key and this lookup is open");
        report.add(span, message, "depend on lookups of open services only");
        return;
    }
    let (from, to) = (&draft.lookup.teams, &on.lookup.teams);
    let refused = match (from.is_empty(), to.is_empty()) {
        (_, true) => None,
        (true, false) => Some("every team".to_owned()),
        (false, false) => from
            .iter()
            .find(|team| !on.lookup.allows(team))
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

/// Reports each edge that closes a cycle; walks without recursion, as a chain may be long.
fn check_cycles(report: &mut Report, drafts: &[Draft<'_>], edges: &[Vec<(usize, Range<usize>)>]) {
    #[derive(Clone, Copy, PartialEq)]
    enum Mark {
        New,
        OnPath,
        Done,
    }
    let mut marks = vec![Mark::New; drafts.len()];
    for root in 0..drafts.len() {
        if marks[root] != Mark::New {
            continue;
        }
        let mut path = vec![(root, 0)];
        marks[root] = Mark::OnPath;
        while let Some((index, next)) = path.last_mut() {
            let Some((to, span)) = edges[*index].get(*next) else {
                marks[*index] = Mark::Done;
                path.pop();
                continue;
            };
            *next += 1;
            match marks[*to] {
                Mark::New => {
                    marks[*to] = Mark::OnPath;
                    path.push((*to, 0));
                }
                Mark::OnPath => {
                    const SHOWN: usize = 8;
                    let start = path.iter().position(|(on, _)| on == to).unwrap_or_default();
                    let names: Vec<&str> = path[start..]
                        .iter()
                        .take(SHOWN)
                        .map(|(on, _)| &*drafts[*on].lookup.name)
                        .chain([&*drafts[*to].lookup.name])
                        .collect();
                    let message = format!("dependency cycle {}", names.join(" -> "));
                    report.add(span, message, "remove one of these dependencies");
                }
                Mark::Done => {}
            }
        }
    }
}
