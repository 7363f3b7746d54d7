//! A lookup with its dependencies.

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

/// Results of a lookup and of everything that it depends on.
pub(super) type LookupResults = HashMap<LookupName, LookupResult>;

/// Lists a lookup and everything that it depends on, each once, dependencies first.
pub(super) fn resolve_dependencies<'a>(
    config: &'a Config,
    lookup: &'a Lookup,
) -> Result<Vec<&'a Lookup>, Refusal> {
    fn visit<'a>(
        config: &'a Config,
        lookup: &'a Lookup,
        path: &mut Vec<&'a str>,
        ordered: &mut Vec<&'a Lookup>,
    ) -> Result<(), Refusal> {
        if ordered.iter().any(|known| known.name == lookup.name) {
            return Ok(());
        }
        let broken = |message: String| Refusal::not_run(RefusalCode::UnknownLookup, message);
        if path.contains(&&*lookup.name) {
            return Err(broken(format!("lookup {} depends on itself", lookup.name)));
        }
        path.push(&lookup.name);
        for name in &lookup.depends_on {
            let dependency = config
                .lookup(name)
                .ok_or_else(|| broken(format!("dependency {name} does not exist")))?;
            if dependency.kind == AttemptKind::Order {
                // An order runs under a ticket of its own, which a dependency does not have.
                return Err(broken(format!("dependency {name} is an order")));
            }
            visit(config, dependency, path, ordered)?;
        }
        path.pop();
        ordered.push(lookup);
        Ok(())
    }
    let mut ordered = Vec::new();
    visit(config, lookup, &mut Vec::new(), &mut ordered)?;
    Ok(ordered)
}

/// Runs a lookup after its dependencies; those that do not depend on each other run concurrently.
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
            let mut needed = lookup.depends_on.iter();
            needed.all(|name| results.contains_key(name))
        };
        let (ready, rest): (Vec<_>, Vec<_>) = waiting
            .into_iter()
            .partition(|lookup| is_ready(lookup, &results));
        waiting = rest;
        for lookup in ready {
            let query = LookupQuery::new(entry, request_context, lookup)?;
            running.push(async move { (lookup.name.clone(), query.run().await) });
        }
        let Some((name, result)) = running.next().await else {
            return Ok(results);
        };
        // Dropping the others cancels their attempts.
        results.insert(name, result?);
    }
}
