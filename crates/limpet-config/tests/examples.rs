//! Guards against good texts refused, bad texts accepted, and problems that point to another place.
//!
//! A bad text starts with one comment line `# expect LINE:COLUMN: MESSAGE; HELP` for each problem.

use std::path::Path;

use limpet_config::Config;

fn accepts(_path: &Path, text: String) -> datatest_stable::Result<()> {
    match Config::parse(&text) {
        Ok(_) => Ok(()),
        Err(problems) => Err(format!("refused: {problems:#?}").into()),
    }
}

fn refuses(_path: &Path, text: String) -> datatest_stable::Result<()> {
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
    { test = accepts, root = "tests/good", pattern = r"\.toml$" },
    { test = refuses, root = "tests/bad", pattern = r"\.toml$" },
}
