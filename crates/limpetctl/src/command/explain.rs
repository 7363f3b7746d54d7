//! `limpetctl explain`: shows how an entry would route a lookup.

use limpet_types::status::ExplainDocument;

use crate::{
    arguments::ExplainArguments,
    command::admin_client,
    exit_status::ExitStatus,
    output::print_line, //
};

/// Asks an entry how it would route a lookup and prints the reply.
pub(crate) async fn run(arguments: ExplainArguments, is_json: bool) -> ExitStatus {
    let mut path = format!(
        "/explain?lookup={}",
        admin_client::percent_encode(&arguments.lookup)
    );
    if let Some(record) = &arguments.record {
        path.push_str(&format!("&record={}", admin_client::percent_encode(record)));
    }
    match admin_client::get::<ExplainDocument>(arguments.admin.admin, &path).await {
        Ok(received) if is_json => print_line!("{}", received.json),
        Ok(received) => print_text(&received.document),
        Err(error) => return error.report(),
    }
    ExitStatus::Success
}

/// Prints each step of the route, with the shards that it queries and their replicas.
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
                let usable_mark = if replica.usable { "+" } else { "-" };
                let relay = replica
                    .relay
                    .map_or("none".into(), |relay| relay.to_string());
                print_line!(
                    "    {usable_mark} {} {} zone {} through relay {relay}: {}",
                    replica.target,
                    replica.addr,
                    replica.zone,
                    replica.reason,
                );
            }
        }
    }
}
