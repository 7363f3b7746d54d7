//! `limpetctl status`.

use limpet_types::status::StatusDocument;

use crate::{
    arguments::StatusArguments,
    command::admin,
    exit::Exit, //
    output::say,
};

/// Gets the view of a process and prints it.
pub(crate) async fn run(arguments: StatusArguments, json: bool) -> Exit {
    match admin::get::<StatusDocument>(arguments.admin.admin, "/status").await {
        Ok(received) if json => say!("{}", received.json),
        Ok(received) => print_text(&received.document),
        Err(error) => return error.report(),
    }
    Exit::Success
}

fn print_text(status: &StatusDocument) {
    say!(
        "node       {} {:?} zone {}",
        status.node,
        status.role,
        status.zone
    );
    let reason = status.not_ready_reason.as_deref().unwrap_or("ready");
    say!("phase      {:?}, {reason}", status.phase);
    match &status.config {
        Some(config) => say!(
            "config     revision {}, digest {:.16}, {} bytes, fresh for {} ms",
            config.revision,
            config.digest,
            config.size_bytes,
            status.fresh_for_ms,
        ),
        None => say!("config     none yet"),
    }
    for refused in &status.refused_texts {
        say!("refused    revision {}", refused.revision);
        for problem in &refused.problems {
            say!("           {problem}");
        }
    }
    say!("\nmembers ({})", status.members.len());
    for member in &status.members {
        say!(
            "  {:<42} {:<6} {:<10} {:<9} revision {:<6} heard {} ms ago",
            member.node,
            format!("{:?}", member.role),
            member.zone,
            format!("{:?}", member.phase),
            member.revision,
            member.age_ms,
        );
    }
    say!("\ncoordinators ({})", status.coordinators.len());
    for coordinator in &status.coordinators {
        say!("  group {}: {}", coordinator.group, coordinator.node);
    }
    say!("\ntargets ({})", status.targets.len());
    for target in &status.targets {
        let owner = target
            .owner
            .map_or("no owner".into(), |owner| owner.to_string());
        let own = target.owned_for_ms.map_or(String::new(), |left| {
            format!(" (this relay, for {left} ms)")
        });
        say!(
            "  {:<28} {:<21} {:<10} {:<8} {}/{} owner {owner}{own}",
            target.name,
            target.addr,
            target.zone,
            target.state,
            target.service,
            target.shard,
        );
    }
    say!("\ntokens ({} teams)", status.tokens.len());
    for tokens in &status.tokens {
        say!("  {:<20} {}", tokens.team, tokens.tokens);
    }
}
