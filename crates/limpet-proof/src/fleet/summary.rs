//! Summary of a history, printed by the tests.

use std::{
    collections::BTreeMap,
    fmt, //
};

use crate::history::HistoryRecord;

/// Numbers of the records of a history by what happened.
#[derive(Debug, Default)]
pub(super) struct HistorySummary<'a> {
    answer_count: usize,
    complete_answer_count: usize,
    lost_response_count: usize,
    target_request_count: usize,
    /// Numbers of refusals by code.
    refusal_counts: BTreeMap<&'a str, usize>,
}

impl<'a> HistorySummary<'a> {
    pub(super) fn new(records: &'a [HistoryRecord]) -> Self {
        let mut summary = Self::default();
        for record in records {
            match record {
                HistoryRecord::Response {
                    status: 200, body, ..
                } => {
                    summary.answer_count += 1;
                    summary.complete_answer_count += usize::from(body.complete);
                }
                HistoryRecord::Response { body, .. } => {
                    let code = body.code.as_deref().unwrap_or_default();
                    *summary.refusal_counts.entry(code).or_default() += 1;
                }
                HistoryRecord::LostResponse { .. } => summary.lost_response_count += 1,
                HistoryRecord::TargetRequest { .. } => summary.target_request_count += 1,
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
            self.answer_count,
            self.complete_answer_count,
            self.lost_response_count,
            self.target_request_count,
            self.refusal_counts
        )
    }
}
