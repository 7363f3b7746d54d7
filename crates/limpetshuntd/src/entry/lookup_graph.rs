//! Resolves and runs the dependency graph of a lookup.

use std::collections::HashMap;

use futures::{
    StreamExt,
    stream::FuturesUnordered, //
};
use limpet_config::{
    Config,
    Lookup, //
};
use limpet_types::{
    LookupName,
    Refusal,
    RefusalCode,
    message::AttemptKind, //
};

use crate::entry::{
    lookup_query::{
        LookupQuery,
        LookupResult, //
    },
    request_context::RequestContext,
    state::Entry,
};

/// Results of a lookup and of all its direct and indirect dependencies, by lookup name.
pub(super) type LookupResults = HashMap<LookupName, LookupResult>;

/// Returns a lookup and all its direct and indirect dependencies in topological order, each once and
/// after its own dependencies.
///
/// # Errors
///
/// Refuses a cycle, a dependency that does not exist and a dependency that is an order.
pub(super) fn resolve_dependencies<'a>(
    config: &'a Config,
    lookup: &'a Lookup,
) -> Result<Vec<&'a Lookup>, Refusal> {
    /// Appends `lookup` to `resolved` after its dependencies; `ancestors` are the lookups that led to it.
    fn append_with_dependencies<'a>(
        config: &'a Config,
        lookup: &'a Lookup,
        ancestors: &mut Vec<&'a str>,
        resolved: &mut Vec<&'a Lookup>,
    ) -> Result<(), Refusal> {
        if resolved.iter().any(|known| known.name == lookup.name) {
            return Ok(());
        }
        let invalid_lookup_refusal =
            |message: String| Refusal::not_run(RefusalCode::UnknownLookup, message);
        if ancestors.contains(&&*lookup.name) {
            return Err(invalid_lookup_refusal(format!(
                "lookup {} depends on itself",
                lookup.name
            )));
        }
        ancestors.push(&lookup.name);
        for name in &lookup.depends_on {
            let dependency = config.lookup(name).ok_or_else(|| {
                invalid_lookup_refusal(format!("dependency {name} does not exist"))
            })?;
            if dependency.kind == AttemptKind::Order {
                // Each order needs a ticket of its own, and the request brings one only for its lookup.
                return Err(invalid_lookup_refusal(format!(
                    "dependency {name} is an order"
                )));
            }
            append_with_dependencies(config, dependency, ancestors, resolved)?;
        }
        ancestors.pop();
        resolved.push(lookup);
        Ok(())
    }
    let mut resolved = Vec::new();
    append_with_dependencies(config, lookup, &mut Vec::new(), &mut resolved)?;
    Ok(resolved)
}

/// Runs a lookup and all its dependencies. Each lookup starts once its own dependencies are done; lookups
/// that do not depend on each other run concurrently.
///
/// The first refusal ends the whole run.
pub(super) async fn run_with_dependencies(
    entry: &Entry,
    request_context: &RequestContext,
    lookup: &Lookup,
) -> Result<LookupResults, Refusal> {
    let mut waiting = resolve_dependencies(&request_context.config_in_force.config, lookup)?;
    let mut results = LookupResults::new();
    let mut running = FuturesUnordered::new();
    loop {
        let is_ready = |lookup: &Lookup, results: &LookupResults| {
            let mut dependencies = lookup.depends_on.iter();
            dependencies.all(|name| results.contains_key(name))
        };
        let (ready, blocked): (Vec<_>, Vec<_>) = waiting
            .into_iter()
            .partition(|lookup| is_ready(lookup, &results));
        waiting = blocked;
        for lookup in ready {
            let query = LookupQuery::new(entry, request_context, lookup)?;
            running.push(async move { (lookup.name.clone(), query.run().await) });
        }
        let Some((name, result)) = running.next().await else {
            return Ok(results);
        };
        // On a refusal, dropping the queries that still run cancels their attempts.
        results.insert(name, result?);
    }
}
