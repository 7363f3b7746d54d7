//! `limpetctl check`: checks a file with a configuration text.

use limpet_config::{
    Config,
    Problem, //
};
use serde::Serialize;

use crate::{
    arguments::CheckArguments,
    exit_status::ExitStatus,
    output::print_line, //
};

/// One problem, as `--json` prints it.
#[derive(Debug, Serialize)]
struct ProblemRecord<'a> {
    line: usize,
    column: usize,
    wrong: &'a str,
    right: &'a str,
}

/// Checks a file and prints its problems, or a summary if there are none.
pub(crate) fn run(arguments: &CheckArguments, is_json: bool) -> ExitStatus {
    let file = arguments.file.display();
    let bytes = match std::fs::read(&arguments.file) {
        Ok(bytes) => bytes,
        Err(error) => {
            eprintln!("error: cannot read {file}: {error}");
            return ExitStatus::Usage;
        }
    };
    let result = match std::str::from_utf8(&bytes) {
        Ok(text) => Config::parse(text),
        Err(error) => Err(vec![invalid_utf8_problem(&bytes, error.valid_up_to())]),
    };
    let problems = result.as_ref().err().map_or(&[][..], Vec::as_slice);
    if is_json {
        print_json(problems);
    } else {
        for problem in problems {
            print_line!("{file}:{problem}");
        }
        if let Ok(config) = &result {
            print_line!(
                "{file}: ok: {} zones, {} teams, {} services, {} targets, {} lookups",
                config.zones.len(),
                config.teams.len(),
                config.services.len(),
                config.targets().count(),
                config.lookups.len(),
            );
        }
    }
    if problems.is_empty() {
        ExitStatus::Success
    } else {
        ExitStatus::Failed
    }
}

/// Returns the problem of a file that is valid UTF-8 only up to the byte offset `valid_up_to`.
fn invalid_utf8_problem(bytes: &[u8], valid_up_to: usize) -> Problem {
    let valid_text = String::from_utf8_lossy(&bytes[..valid_up_to]);
    let last_line = valid_text.rsplit('\n').next().unwrap_or_default();
    Problem {
        line: valid_text.matches('\n').count() + 1,
        column: last_line.chars().count() + 1,
        message: "bytes that are not UTF-8".into(),
        help: "save the file as UTF-8".into(),
    }
}

/// Prints the problems as a JSON array.
fn print_json(problems: &[Problem]) {
    let records: Vec<ProblemRecord<'_>> = problems
        .iter()
        .map(|problem| ProblemRecord {
            line: problem.line,
            column: problem.column,
            wrong: &problem.message,
            right: &problem.help,
        })
        .collect();
    match serde_json::to_string_pretty(&records) {
        Ok(text) => print_line!("{text}"),
        Err(error) => eprintln!("error: {error}"),
    }
}
