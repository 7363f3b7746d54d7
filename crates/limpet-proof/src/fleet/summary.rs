//! Summary of a history for the test output.

use std::{
    collections::BTreeMap,
    fmt, //
};

use crate::history::Record;

/// Record counts of a history.
#[derive(Debug, Default)]
pub(super) struct Summary<'a> {
    answers: usize,
    complete: usize,
    lost: usize,
    target_events: usize,
    refusals: BTreeMap<&'a str, usize>,
}

impl<'a> Summary<'a> {
    pub(super) fn new(records: &'a [Record]) -> Self {
        let mut summary = Self::default();
        for record in records {
            match record {
                Record::Answer {
                    status: 200, body, ..
                } => {
                    summary.answers += 1;
                    summary.complete += usize::from(body.complete);
                }
                Record::Answer { body, .. } => {
                    let code = body.code.as_deref().unwrap_or_default();
                    *summary.refusals.entry(code).or_default() += 1;
                }
                Record::Lost { .. } => summary.lost += 1,
                Record::Target { .. } => summary.target_events += 1,
                _ => {}
            }
        }
        summary
    }
}

impl fmt::Display for Summary<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{} answers ({} complete), {} lost, {} target events, refusals {:?}",
            self.answers, self.complete, self.lost, self.target_events, self.refusals
        )
    }
}
