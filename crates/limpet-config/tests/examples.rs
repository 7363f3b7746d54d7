//! Checks that every text in `good` is accepted and every text in `bad` reports exactly its problems.
//!
//! A text in `bad` contains a comment line `# expect LINE:COLUMN: MESSAGE; HELP` for each problem, in the
//! order of their positions.

use std::path::Path;

use limpet_config::Config;

fn is_accepted(_path: &Path, text: String) -> datatest_stable::Result<()> {
    match Config::parse(&text) {
        Ok(_) => Ok(()),
        Err(problems) => Err(format!("refused: {problems:#?}").into()),
    }
}

fn reports_expected_problems(_path: &Path, text: String) -> datatest_stable::Result<()> {
    let expected: Vec<&str> = text
        .lines()
        .filter_map(|line| line.strip_prefix("# expect "))
        .collect();
    let Err(problems) = Config::parse(&text) else {
        return Err("accepted".into());
    };
    let found: Vec<String> = problems.iter().map(ToString::to_string).collect();
    if found == expected && !found.is_empty() {
        return Ok(());
    }
    Err(format!("found:\n# expect {}", found.join("\n# expect ")).into())
}

datatest_stable::harness! {
    { test = is_accepted, root = "tests/good", pattern = r"\.toml$" },
    { test = reports_expected_problems, root = "tests/bad", pattern = r"\.toml$" },
}
