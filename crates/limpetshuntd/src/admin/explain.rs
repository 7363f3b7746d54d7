//! Document of `/explain`, which shows how an entry would route a lookup.

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

/// Reason why the route of a lookup cannot be explained.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub(crate) enum ExplainError {
    /// The query string lacks `lookup`.
    #[error("missing parameter 'lookup'; write /explain?lookup=NAME")]
    MissingLookup,
    /// No configuration is in force yet.
    #[error("no configuration is in force yet")]
    NoConfig,
    /// The configuration in force has no lookup of this name.
    #[error("unknown lookup '{0}'")]
    UnknownLookup(Box<str>),
}

/// Returns the route of a lookup and of its dependencies, dependencies first.
pub(crate) fn build_document(
    board: &Blackboard,
    lookup: Option<&str>,
    record: Option<&str>,
) -> Result<ExplainDocument, ExplainError> {
    let name = lookup.ok_or(ExplainError::MissingLookup)?;
    let in_force = board.config_in_force().ok_or(ExplainError::NoConfig)?;
    let config = &in_force.config;
    let requested_lookup = config
        .lookup(name)
        .ok_or_else(|| ExplainError::UnknownLookup(name.into()))?;
    let mut ordered_lookups = Vec::new();
    append_in_dependency_order(config, requested_lookup, &mut ordered_lookups);
    let steps = ordered_lookups
        .into_iter()
        .filter_map(|lookup| explain_step(board, config, lookup, record))
        .collect();
    Ok(ExplainDocument {
        revision: in_force.revision,
        steps,
    })
}

/// Appends a lookup to `ordered_lookups` after its dependencies, each lookup once.
///
/// The recursion ends because the checks of a configuration reject cyclic dependencies.
fn append_in_dependency_order<'a>(
    config: &'a Config,
    lookup: &'a Lookup,
    ordered_lookups: &mut Vec<&'a Lookup>,
) {
    if ordered_lookups.iter().any(|seen| seen.name == lookup.name) {
        return;
    }
    for name in &lookup.depends_on {
        if let Some(dependency) = config.lookup(name) {
            append_in_dependency_order(config, dependency, ordered_lookups);
        }
    }
    ordered_lookups.push(lookup);
}

/// Returns the shards that a lookup would query: only the shard of `record` if a record is given and the
/// lookup takes one; `None` if the configuration lacks the service of the lookup.
fn explain_step(
    board: &Blackboard,
    config: &Config,
    lookup: &Lookup,
    record: Option<&str>,
) -> Option<ExplainStep> {
    let service = config.service(&lookup.service)?;
    let has_record_key = matches!(lookup.kind, AttemptKind::Record | AttemptKind::Order);
    let key = record
        .filter(|_| has_record_key)
        .map(|record| KeyRange::hash_key(record.as_bytes()));
    let is_queried = |shard: &&Shard| key.is_none_or(|key| shard.range.contains(key));
    let shards = service.shards.iter().filter(is_queried).map(|shard| {
        let targets = shard.targets.iter().enumerate();
        let replicas = targets.map(|(replica_index, target)| {
            let target_ref = TargetRef {
                service,
                shard,
                replica_index,
                target,
            };
            explain_replica(board, config, &target_ref)
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
        open: service.is_open,
        shards: shards.collect(),
    })
}

/// Returns whether an attempt could be sent to a target now, and through which relay.
fn explain_replica(
    board: &Blackboard,
    config: &Config,
    target_ref: &TargetRef<'_>,
) -> ExplainReplica {
    let addr = target_ref.target.addr;
    let owner = board.owner_directory.load().owner_of(addr);
    let (usable, reason) = match (status::target_state(config, target_ref), owner) {
        ("live", Some(_)) => (true, "live and owned"),
        ("live", None) => (false, "no relay is known to own the target"),
        ("leaving", _) => (false, "the target is leaving"),
        _ => (false, "the zone is out"),
    };
    ExplainReplica {
        target: target_ref.target.name.clone(),
        addr,
        zone: target_ref.target.zone.clone(),
        relay: owner.map(|node| node.addr),
        usable,
        reason: reason.into(),
    }
}
