//! `limpetctl explain`: shows how an entry would route a lookup.

use limpet_types::status::ExplainDocument;

use crate::{
    arguments::ExplainArguments,
    command::admin,
    exit_status::ExitStatus,
    output::print_line, //
};

/// Asks an entry how it would route a lookup and prints the route.
pub(crate) async fn run(arguments: ExplainArguments, json: bool) -> ExitStatus {
    let mut path = format!(
        "/explain?lookup={}",
        admin::percent_encode(&arguments.lookup)
    );
    if let Some(record) = &arguments.record {
        path.push_str(&format!("&record={}", admin::percent_encode(record)));
    }
    match admin::get::<ExplainDocument>(arguments.admin.admin, &path).await {
        Ok(received) if json => print_line!("{}", received.json),
        Ok(received) => print_text(&received.document),
        Err(error) => return error.report(),
    }
    ExitStatus::Success
}

fn print_text(document: &ExplainDocument) {
    print_line!("revision {}", document.revision);
    for step in &document.steps {
        let access = if step.open {
            "open to all"
        } else {
            "needs an API key"
        };
        print_line!(
            "{} ({} on {}, {access}, {} shards)",
            step.lookup,
            step.kind,
            step.service,
            step.shards.len(),
        );
        for shard in &step.shards {
            print_line!("  {} {}..{}", shard.shard, shard.start, shard.end);
            for replica in &shard.replicas {
                let mark = if replica.usable { "+" } else { "-" };
                let relay = replica
                    .relay
                    .map_or("none".into(), |relay| relay.to_string());
                print_line!(
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
