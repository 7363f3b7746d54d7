//! `limpetctl explain`.

use limpet_types::status::ExplainDocument;

use crate::{
    arguments::ExplainArguments,
    command::admin,
    exit::Exit, //
    output::say,
};

/// Asks an entry how it would route a lookup and prints the route.
pub(crate) async fn run(arguments: ExplainArguments, json: bool) -> Exit {
    let mut path = format!("/explain?lookup={}", admin::escape(&arguments.lookup));
    if let Some(record) = &arguments.record {
        path.push_str(&format!("&record={}", admin::escape(record)));
    }
    match admin::get::<ExplainDocument>(arguments.admin.admin, &path).await {
        Ok(received) if json => say!("{}", received.json),
        Ok(received) => print_text(&received.document),
        Err(error) => return error.report(),
    }
    Exit::Success
}

fn print_text(document: &ExplainDocument) {
    say!("revision {}", document.revision);
    for step in &document.steps {
        let access = if step.open {
            "open to all"
        } else {
            "needs an API key"
        };
        say!(
            "{} ({} on {}, {access}, {} shards)",
            step.lookup,
            step.kind,
            step.service,
            step.shards.len(),
        );
        for shard in &step.shards {
            say!("  {} {}..{}", shard.shard, shard.start, shard.end);
            for replica in &shard.replicas {
                let mark = if replica.usable { "+" } else { "-" };
                let relay = replica
                    .relay
                    .map_or("none".into(), |relay| relay.to_string());
                say!(
                    "    {mark} {} {} zone {} through relay {relay}: {}",
                    replica.target,
                    replica.addr,
                    replica.zone,
                    replica.reason,
                );
            }
        }
    }
}
