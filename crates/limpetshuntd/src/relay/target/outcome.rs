//! Handles an attempt that has ended: records what it shows about the target, and replies to the entry.

use limpet_adapters::target::{
    ReportedState,
    TargetError,
    TargetErrorKind,
    TargetReport,
    TargetResponse, //
};
use limpet_decide::warmup::WarmupEvidence;
use limpet_types::{
    IndexVersion, Refusal, RefusalCode,
    message::{
        AttemptAnswer,
        AttemptRequest, //
    },
};

use crate::relay::target::actor::{
    ABANDONED_GRACE,
    AbandonedAttempt,
    TargetActorState, //
};
use crate::relay::{
    attempt::{
        build_refusal_reply,
        build_reply, //
    },
    attempt_task::{
        AttemptEnd,
        FinishedAttempt, //
    },
};

impl TargetActorState {
    /// Updates the state of the target after an attempt has ended, and replies to the entry unless the
    /// attempt was cancelled.
    pub(super) fn handle_attempt_finished(&mut self, finished: FinishedAttempt) {
        let FinishedAttempt {
            connection_id,
            attempt,
            end,
            connection,
            is_refusing_connections,
            sent_at,
            ended_at,
        } = finished;
        // Runs before the attempt is removed from `running`: if the target crashed, the attempt belongs to
        // the requests in flight.
        self.observe_end(&end, is_refusing_connections, sent_at);
        if self.pool.check_in(connection_id, connection.is_some())
            && let Some(connection) = connection
        {
            self.idle_connections.insert(connection_id, connection);
        }
        // A response that was not accepted does not show that the target has finished this attempt.
        let may_still_run = match &end {
            AttemptEnd::DeadlinePassed | AttemptEnd::Cancelled { is_sent: true } => true,
            AttemptEnd::TargetResult(Err(error)) => {
                matches!(
                    error.kind,
                    TargetErrorKind::Crossed | TargetErrorKind::Malformed
                )
            }
            _ => false,
        };
        if may_still_run {
            self.abandoned.push(AbandonedAttempt {
                runs_until: attempt.deadline + ABANDONED_GRACE,
                _in_flight_guard: self.relay.count_in_flight(self.addr),
            });
        }
        if let Some(running) = self.running.remove(&connection_id)
            && running.is_isolated
        {
            let now = self.relay.board.now();
            let is_success = matches!(&end, AttemptEnd::TargetResult(Ok(_)));
            let mut strikes = self.relay.board.strikes();
            strikes.end_isolated_run(running.fingerprint, is_success, now);
        }
        let is_cancelled = matches!(end, AttemptEnd::Cancelled { .. });
        if is_cancelled {
            metrics::counter!("limpet_relay_cancelled_total").increment(1);
            return;
        }
        let queue_time = sent_at.saturating_sub(attempt.arrived_at);
        let target_latency = ended_at.saturating_sub(sent_at);
        if matches!(&end, AttemptEnd::TargetResult(Ok(_))) {
            self.record_latency(target_latency);
        }
        let (outcome, versions_held) = build_outcome(&attempt.request, end);
        let mut reply = match outcome {
            Ok(answer) => {
                metrics::counter!("limpet_relay_answered_total").increment(1);
                metrics::histogram!("limpet_relay_queue_seconds").record(queue_time.as_secs_f64());
                build_reply(&attempt.request, Ok(answer), versions_held)
            }
            Err(refusal) => {
                let mut reply = build_refusal_reply(&attempt.request, self.addr, refusal);
                reply.versions_held = versions_held;
                reply
            }
        };
        reply.is_target_cold = self.warmup.is_cold();
        reply.queue_time = queue_time;
        reply.target_latency = target_latency;
        // Fails only if the entry no longer waits.
        let _ = attempt.reply_sender.send(reply);
    }

    /// Updates warm-up state and crash detector by what the end of an attempt shows about the target.
    fn observe_end(
        &mut self,
        end: &AttemptEnd,
        is_refusing_connections: bool,
        sent_at: std::time::Duration,
    ) {
        match end {
            AttemptEnd::TargetResult(Ok(response)) => {
                self.observe_report(&response.report, true, sent_at)
            }
            AttemptEnd::TargetResult(Err(error)) => {
                self.observe_error(error, is_refusing_connections, sent_at)
            }
            AttemptEnd::DeadlinePassed => self.observe(WarmupEvidence::Failure),
            AttemptEnd::Refused(_) | AttemptEnd::Cancelled { .. } => {}
        }
    }

    /// Updates warm-up state and crash detector by a failed attempt.
    fn observe_error(
        &mut self,
        error: &TargetError,
        is_refusing_connections: bool,
        sent_at: std::time::Duration,
    ) {
        match error.kind {
            TargetErrorKind::Refused | TargetErrorKind::Unreachable => {
                self.handle_connect_failure(error)
            }
            TargetErrorKind::NotWritten => self.observe(WarmupEvidence::ConnectionLost),
            TargetErrorKind::Broken => {
                let broke_at = self.relay.board.now();
                let unsuspected_attempts = self
                    .running
                    .values_mut()
                    .filter(|running| !running.is_in_suspected_crash);
                let fingerprints: Vec<u64> = unsuspected_attempts
                    .map(|running| {
                        running.is_in_suspected_crash = true;
                        running.fingerprint
                    })
                    .collect();
                if !fingerprints.is_empty() {
                    self.crash_detector.record_broken_connection(
                        self.warmup.incarnation(),
                        fingerprints,
                        broke_at,
                    );
                }
                self.observe(WarmupEvidence::ConnectionLost);
                if is_refusing_connections {
                    self.handle_connect_failure(&TargetError::new(
                        TargetErrorKind::Refused,
                        self.addr,
                        "refuses connections after a broken one",
                    ));
                }
            }
            _ => {
                if let Some(report) = &error.report {
                    self.observe_report(report, false, sent_at);
                }
                self.observe(WarmupEvidence::Failure);
            }
        }
    }

    /// Updates warm-up state and crash detector by the state and the incarnation that the target reported
    /// with its response to an attempt. `sent_at` is the time since boot at which the attempt was sent.
    fn observe_report(
        &mut self,
        report: &TargetReport,
        is_success: bool,
        sent_at: std::time::Duration,
    ) {
        let incarnation = report.incarnation;
        let crash = self.crash_detector.record_response(incarnation, sent_at);
        self.record_crash(crash);
        match report.state {
            ReportedState::Cold => self.observe(WarmupEvidence::ReportedCold { incarnation }),
            // Only a successful attempt shows that the target can do work.
            ReportedState::Warm if is_success => self.observe(WarmupEvidence::ReportedWarm {
                incarnation,
                sent_at,
            }),
            ReportedState::Warm | ReportedState::Draining => {}
        }
    }
}

/// Returns the outcome of an attempt for the entry, and the index versions that the target reported.
///
/// A refusal is marked as not run only if nothing was sent or the target itself reported so.
fn build_outcome(
    request: &AttemptRequest,
    end: AttemptEnd,
) -> (Result<AttemptAnswer, Refusal>, Vec<IndexVersion>) {
    match end {
        AttemptEnd::Refused(refusal) => (Err(refusal), Vec::new()),
        AttemptEnd::TargetResult(Ok(response)) => {
            let versions_held = response.report.versions_held.clone();
            (build_answer(request, response), versions_held)
        }
        AttemptEnd::TargetResult(Err(error)) => {
            let code = match error.kind {
                TargetErrorKind::VersionNotHeld => RefusalCode::SnapshotUnavailable,
                TargetErrorKind::Shed => RefusalCode::TargetShed,
                _ => RefusalCode::TargetFailed,
            };
            let refusal = if error.is_not_run() {
                Refusal::not_run(code, error.to_string())
            } else {
                build_maybe_run_refusal(request, code, error.to_string())
            };
            let report = error.report;
            (
                Err(refusal),
                report
                    .map(|report| report.versions_held)
                    .unwrap_or_default(),
            )
        }
        AttemptEnd::DeadlinePassed => {
            let reason = "the target did not respond before the deadline".to_owned();
            let refusal = build_maybe_run_refusal(request, RefusalCode::DeadlineExceeded, reason);
            (Err(refusal), Vec::new())
        }
        AttemptEnd::Cancelled { is_sent } => {
            let reason = "the entry cancelled the attempt".to_owned();
            let refusal = if is_sent {
                build_maybe_run_refusal(request, RefusalCode::DeadlineExceeded, reason)
            } else {
                Refusal::not_run(RefusalCode::DeadlineExceeded, reason)
            };
            (Err(refusal), Vec::new())
        }
    }
}

/// Converts a complete response into an answer that covers only requested keys.
fn build_answer(
    request: &AttemptRequest,
    response: TargetResponse,
) -> Result<AttemptAnswer, Refusal> {
    // A target may hold more keys than requested.
    let Some(range) = response.range.intersect(request.range) else {
        let reason = "the target covers none of the keys asked for".to_owned();
        return Err(build_maybe_run_refusal(
            request,
            RefusalCode::TargetFailed,
            reason,
        ));
    };
    Ok(AttemptAnswer {
        range,
        snapshot: response.snapshot,
        found: response.found,
        body: response.body.into(),
    })
}

/// Returns the refusal of an attempt that may have run. An order always gets the code
/// `OutcomeUnknown`, because it must not be repeated.
pub(crate) fn build_maybe_run_refusal(
    request: &AttemptRequest,
    code: RefusalCode,
    reason: String,
) -> Refusal {
    let code = if request.kind.is_idempotent() {
        code
    } else {
        RefusalCode::OutcomeUnknown
    };
    Refusal::maybe_run(code, reason)
}
