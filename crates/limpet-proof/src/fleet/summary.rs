//! Summary of a history, printed by the tests.

use std::{
    collections::BTreeMap,
    fmt, //
};

use crate::history::HistoryRecord;

/// Numbers of the records of a history by what happened.
#[derive(Debug, Default)]
pub(super) struct HistorySummary<'a> {
    answers: usize,
    complete_answers: usize,
    lost_responses: usize,
    target_requests: usize,
    /// Numbers of refusals by code.
    refusals: BTreeMap<&'a str, usize>,
}

impl<'a> HistorySummary<'a> {
    pub(super) fn new(records: &'a [HistoryRecord]) -> Self {
        let mut summary = Self::default();
        for record in records {
            match record {
                HistoryRecord::Response {
                    status: 200, body, ..
                } => {
                    summary.answers += 1;
                    summary.complete_answers += usize::from(body.complete);
                }
                HistoryRecord::Response { body, .. } => {
                    let code = body.code.as_deref().unwrap_or_default();
                    *summary.refusals.entry(code).or_default() += 1;
                }
                HistoryRecord::LostResponse { .. } => summary.lost_responses += 1,
                HistoryRecord::TargetRequest { .. } => summary.target_requests += 1,
                _ => {}
            }
        }
        summary
    }
}

impl fmt::Display for HistorySummary<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{} answers ({} complete), {} lost responses, {} requests at targets, refusals {:?}",
            self.answers,
            self.complete_answers,
            self.lost_responses,
            self.target_requests,
            self.refusals
        )
    }
}
