//! Stand-ins of the review: store, backends and clients, and the cases that are scripts.
//!
//! Usage: `standin CASE RECORD`, in the repository's root. Exits with 1 if the rule was broken, 0 if it held and 2
//! if the case could not run. With `TROUBLE=0` the case runs without its disruption.

mod backend;
mod cases;
mod http;
mod load;
mod record;
mod store;
mod system;

use std::process::ExitCode;

use record::Record;

/// Whether the rule of the case held.
pub enum Verdict {
    Held,
    Broken,
}

/// What a case needs to run.
pub struct Setup {
    pub record: Record,
    /// Whether the disruption happens.
    pub has_trouble: bool,
}

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let [case, path] = &arguments[..] else {
        eprintln!("usage: standin CASE RECORD");
        return ExitCode::from(2);
    };
    let record = match Record::create(path) {
        Ok(record) => record,
        Err(error) => {
            eprintln!("cannot write {path}: {error}");
            return ExitCode::from(2);
        }
    };
    let has_trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let setup = Setup {
        record: record.clone(),
        has_trouble,
    };
    record.show(&format!("case {case}, disruption: {has_trouble}"));
    let result =
        std::panic::catch_unwind(std::panic::AssertUnwindSafe(|| cases::run(case, &setup)));
    match result {
        Ok(Ok(Verdict::Held)) => {
            record.show("the rule held");
            ExitCode::SUCCESS
        }
        Ok(Ok(Verdict::Broken)) => {
            record.show("THE RULE WAS BROKEN");
            ExitCode::from(1)
        }
        Ok(Err(error)) => {
            record.show(&format!("the case could not run: {error}"));
            ExitCode::from(2)
        }
        Err(_) => {
            record.show("the case could not run: it panicked");
            ExitCode::from(2)
        }
    }
}
