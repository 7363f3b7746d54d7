//! Counts and latencies by second.

use std::time::Duration;

use hdrhistogram::Histogram;
use serde::Serialize;

use crate::load::{
    Latency,
    report::{
        RequestOutcome,
        new_histogram,
        record, //
    },
    response_class::ResponseClass,
};

/// What became of the requests that were due in one second.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Second {
    /// Requests sent.
    pub sent: u64,
    /// Answers with full coverage.
    pub complete: u64,
    /// Answers with partial coverage.
    pub partial: u64,
    /// Refusals that say that nothing ran, and requests that met no entry.
    pub refused: u64,
    /// Cut, lost and wrong responses, and refusals that may have run.
    pub failed: u64,
    /// Latency of the answers.
    pub latency: Latency,
}

/// Collects seconds.
#[derive(Debug, Default)]
pub(crate) struct Timeline {
    seconds: Vec<(Second, Option<Histogram<u64>>)>,
}

impl Timeline {
    /// Adds a request that was due at a time after the start.
    pub(crate) fn note(&mut self, due: Duration, latency_us: u64, outcome: &RequestOutcome) {
        let index = usize::try_from(due.as_secs()).unwrap_or(usize::MAX);
        while self.seconds.len() <= index {
            self.seconds.push(Default::default());
        }
        let (second, histogram) = &mut self.seconds[index];
        second.sent += 1;
        match outcome {
            RequestOutcome::Response(ResponseClass::Complete) => second.complete += 1,
            RequestOutcome::Response(ResponseClass::Partial) => second.partial += 1,
            RequestOutcome::Response(ResponseClass::Refused { not_run: true, .. })
            | RequestOutcome::NoReadyEntry
            | RequestOutcome::NotConnected => second.refused += 1,
            _ => second.failed += 1,
        }
        if let RequestOutcome::Response(ResponseClass::Complete | ResponseClass::Partial) = outcome
        {
            record(histogram.get_or_insert_with(new_histogram), latency_us);
        }
    }

    /// Returns the seconds from the start on.
    pub(crate) fn seconds(&self) -> Vec<Second> {
        let with_latency = |(second, histogram): &(Second, Option<Histogram<u64>>)| Second {
            latency: histogram.as_ref().map(Latency::of).unwrap_or_default(),
            ..second.clone()
        };
        self.seconds.iter().map(with_latency).collect()
    }
}
