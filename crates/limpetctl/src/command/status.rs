//! `limpetctl status`: shows the state of one process and its view of the fleet.

use limpet_types::status::StatusDocument;

use crate::{
    arguments::StatusArguments,
    command::admin_client,
    exit_status::ExitStatus,
    output::print_line, //
};

/// Requests the status document of a process and prints it.
pub(crate) async fn run(arguments: StatusArguments, is_json: bool) -> ExitStatus {
    match admin_client::get::<StatusDocument>(arguments.admin.admin, "/status").await {
        Ok(received) if is_json => print_line!("{}", received.json),
        Ok(received) => print_text(&received.document),
        Err(error) => return error.report(),
    }
    ExitStatus::Success
}

/// Prints the state of the process, then each list of the document.
fn print_text(status: &StatusDocument) {
    print_line!(
        "node       {} {:?} zone {}",
        status.node,
        status.role,
        status.zone
    );
    let readiness = status.not_ready_reason.as_deref().unwrap_or("ready");
    print_line!("phase      {:?}, {readiness}", status.phase);
    match &status.config {
        Some(config) => print_line!(
            "config     revision {}, digest {:.16}, {} bytes, fresh for {} ms",
            config.revision,
            config.digest,
            config.size_bytes,
            status.fresh_for_ms,
        ),
        None => print_line!("config     none yet"),
    }
    for refused_text in &status.refused_texts {
        print_line!("refused    revision {}", refused_text.revision);
        for problem in &refused_text.problems {
            print_line!("           {problem}");
        }
    }
    print_line!("\nmembers ({})", status.members.len());
    for member in &status.members {
        print_line!(
            "  {:<42} {:<6} {:<10} {:<9} revision {:<6} heard {} ms ago",
            member.node,
            format!("{:?}", member.role),
            member.zone,
            format!("{:?}", member.phase),
            member.revision,
            member.age_ms,
        );
    }
    print_line!("\ncoordinators ({})", status.coordinators.len());
    for coordinator in &status.coordinators {
        print_line!("  group {}: {}", coordinator.group, coordinator.node);
    }
    print_line!("\ntargets ({})", status.targets.len());
    for target in &status.targets {
        let owner = target
            .owner
            .map_or("no owner".into(), |owner| owner.to_string());
        let ownership = target.owned_for_ms.map_or(String::new(), |time_left_ms| {
            format!(" (this relay, for {time_left_ms} ms)")
        });
        print_line!(
            "  {:<28} {:<21} {:<10} {:<8} {}/{} owner {owner}{ownership}",
            target.name,
            target.addr,
            target.zone,
            target.state,
            target.service,
            target.shard,
        );
    }
    print_line!("\ntokens ({} teams)", status.tokens.len());
    for team_tokens in &status.tokens {
        print_line!("  {:<20} {}", team_tokens.team, team_tokens.tokens);
    }
}
