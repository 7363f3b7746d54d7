//! Outcomes and latencies of a load by second.

use std::time::Duration;

use hdrhistogram::Histogram;
use serde::Serialize;

use crate::load::{
    LatencyPercentiles,
    report::{
        RequestOutcome,
        new_latency_histogram,
        record_latency, //
    },
    response_class::ResponseClass,
};

/// Outcomes and latency of the requests that were due in one second.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct SecondStats {
    /// Requests sent.
    pub sent: u64,
    /// Answers with full coverage.
    pub complete: u64,
    /// Answers with partial coverage.
    pub partial: u64,
    /// Refusals that state that no target ran the request, and requests that reached no entry.
    pub refused: u64,
    /// Wrong responses, interrupted and timed-out requests, and refusals that do not state that no
    /// target ran the request.
    pub failed: u64,
    /// Latency of the answered requests.
    pub latency: LatencyPercentiles,
}

/// Collects outcomes and latencies by second.
#[derive(Debug, Default)]
pub(crate) struct Timeline {
    seconds: Vec<(SecondStats, Option<Histogram<u64>>)>,
}

impl Timeline {
    /// Adds a request that was due `due_after_start` after the start of the load.
    pub(crate) fn record(
        &mut self,
        due_after_start: Duration,
        latency_us: u64,
        outcome: &RequestOutcome,
    ) {
        let second_index = usize::try_from(due_after_start.as_secs()).unwrap_or(usize::MAX);
        while self.seconds.len() <= second_index {
            self.seconds.push(Default::default());
        }
        let (second, histogram) = &mut self.seconds[second_index];
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
            record_latency(
                histogram.get_or_insert_with(new_latency_histogram),
                latency_us,
            );
        }
    }

    /// Returns the outcomes and latency of each second since the start of the load.
    pub(crate) fn seconds(&self) -> Vec<SecondStats> {
        let with_latency =
            |(second, histogram): &(SecondStats, Option<Histogram<u64>>)| SecondStats {
                latency: histogram
                    .as_ref()
                    .map(LatencyPercentiles::from_histogram)
                    .unwrap_or_default(),
                ..second.clone()
            };
        self.seconds.iter().map(with_latency).collect()
    }
}
