//! The document of `/explain`.

use limpet_config::{
    Config,
    Lookup,
    Shard,
    TargetRef, //
};
use limpet_types::{
    KeyRange,
    message::AttemptKind,
    status::{
        ExplainDocument,
        ExplainReplica,
        ExplainShard,
        ExplainStep, //
    },
};

use crate::{
    Blackboard,
    admin::status, //
};

/// Why a route cannot be explained.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub(crate) enum ExplainError {
    /// The query string lacks `lookup`.
    #[error("missing parameter 'lookup'; write /explain?lookup=NAME")]
    MissingLookup,
    /// No configuration is in force yet.
    #[error("no configuration is in force yet")]
    NoConfig,
    /// The text names no such lookup.
    #[error("unknown lookup '{0}'")]
    UnknownLookup(Box<str>),
}

/// Returns how a lookup would be routed, dependencies first.
pub(crate) fn document(
    board: &Blackboard,
    lookup: Option<&str>,
    record: Option<&str>,
) -> Result<ExplainDocument, ExplainError> {
    let name = lookup.ok_or(ExplainError::MissingLookup)?;
    let in_force = board.config_in_force().ok_or(ExplainError::NoConfig)?;
    let config = &in_force.config;
    let root = config
        .lookup(name)
        .ok_or_else(|| ExplainError::UnknownLookup(name.into()))?;
    let mut order = Vec::new();
    visit(config, root, &mut order);
    let steps = order
        .into_iter()
        .filter_map(|lookup| step(board, config, lookup, record))
        .collect();
    Ok(ExplainDocument {
        revision: in_force.revision,
        steps,
    })
}

/// Appends the dependencies of a lookup, then the lookup; each once. Checked texts have no cycles.
fn visit<'a>(config: &'a Config, lookup: &'a Lookup, order: &mut Vec<&'a Lookup>) {
    if order.iter().any(|seen| seen.name == lookup.name) {
        return;
    }
    for name in &lookup.depends_on {
        if let Some(dependency) = config.lookup(name) {
            visit(config, dependency, order);
        }
    }
    order.push(lookup);
}

fn step(
    board: &Blackboard,
    config: &Config,
    lookup: &Lookup,
    record: Option<&str>,
) -> Option<ExplainStep> {
    let service = config.service(&lookup.service)?;
    let is_keyed = matches!(lookup.kind, AttemptKind::Record | AttemptKind::Order);
    let key = record
        .filter(|_| is_keyed)
        .map(|record| KeyRange::hash_key(record.as_bytes()));
    let is_asked = |shard: &&Shard| key.is_none_or(|key| shard.range.contains(key));
    let shards = service.shards.iter().filter(is_asked).map(|shard| {
        let sites = shard.targets.iter().enumerate();
        let replicas = sites.map(|(replica_index, target)| {
            let site = TargetRef {
                service,
                shard,
                replica_index,
                target,
            };
            replica(board, config, &site)
        });
        ExplainShard {
            shard: shard.name.clone(),
            start: shard.range.start,
            end: shard.range.end,
            replicas: replicas.collect(),
        }
    });
    Some(ExplainStep {
        lookup: lookup.name.clone(),
        service: service.name.clone(),
        kind: format!("{:?}", lookup.kind).to_lowercase().into(),
        open: service.open,
        shards: shards.collect(),
    })
}

fn replica(board: &Blackboard, config: &Config, site: &TargetRef<'_>) -> ExplainReplica {
    let addr = site.target.addr;
    let owner = board.owner_directory.load().owner_of(addr);
    let (usable, reason) = match (status::state_of(config, site), owner) {
        ("live", Some(_)) => (true, "live and owned"),
        ("live", None) => (false, "no relay is known to own the target"),
        ("leaving", _) => (false, "the target is leaving"),
        _ => (false, "the zone is out"),
    };
    ExplainReplica {
        target: site.target.name.clone(),
        addr,
        zone: site.target.zone.clone(),
        relay: owner.map(|node| node.addr),
        usable,
        reason: reason.into(),
    }
}
