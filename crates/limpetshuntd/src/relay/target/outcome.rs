//! What the end of an attempt tells of its target, and the reply to the entry.

use limpet_adapters::target::{
    ReportedState,
    TargetError,
    TargetErrorKind,
    TargetReport,
    TargetResponse, //
};
use limpet_decide::warmup::Evidence;
use limpet_types::{
    IndexVersion, Refusal, RefusalCode,
    message::{
        AttemptAnswer,
        AttemptRequest, //
    },
};

use crate::relay::target::actor::{
    ABANDONED_GRACE,
    Abandoned,
    TargetState, //
};
use crate::relay::{
    run::{
        End,
        Finished, //
    },
    work::{
        refused,
        reply_to, //
    },
};

impl TargetState {
    /// Takes in the end of an attempt and replies to the entry.
    pub(super) fn finished(&mut self, finished: Finished) {
        let Finished {
            id,
            work,
            end,
            connection,
            is_refusing,
            sent_at,
            ended_at,
        } = finished;
        // The crash watch needs to know what was in flight, this attempt included.
        self.learn(&end, is_refusing, sent_at);
        if self.pool.check_in(id, connection.is_some())
            && let Some(connection) = connection
        {
            self.idle.insert(id, connection);
        }
        let may_run_on = match &end {
            End::Deadline | End::Cancelled { is_sent: true } => true,
            End::Target(Err(error)) => {
                matches!(
                    error.kind,
                    TargetErrorKind::Crossed | TargetErrorKind::Malformed
                )
            }
            _ => false,
        };
        if may_run_on {
            self.abandoned.push(Abandoned {
                end: work.deadline + ABANDONED_GRACE,
                _in_flight: self.relay.enter(self.addr),
            });
        }
        if let Some(running) = self.running.remove(&id)
            && running.is_solo
        {
            let now = self.relay.board.now();
            let is_success = matches!(&end, End::Target(Ok(_)));
            let mut strikes = self.relay.board.strikes();
            strikes.end_isolated_run(running.fingerprint, is_success, now);
        }
        let is_cancelled = matches!(end, End::Cancelled { .. });
        if is_cancelled {
            metrics::counter!("limpet_relay_cancelled_total").increment(1);
            return;
        }
        let queue_time = sent_at.saturating_sub(work.arrived);
        let target_latency = ended_at.saturating_sub(sent_at);
        if matches!(&end, End::Target(Ok(_))) {
            self.note_latency(target_latency);
        }
        let (outcome, versions_held) = outcome(&work.request, end);
        let mut reply = match outcome {
            Ok(answer) => {
                metrics::counter!("limpet_relay_answered_total").increment(1);
                metrics::histogram!("limpet_relay_queue_seconds").record(queue_time.as_secs_f64());
                reply_to(&work.request, Ok(answer), versions_held)
            }
            Err(refusal) => {
                let mut reply = refused(&work.request, self.addr, refusal);
                reply.versions_held = versions_held;
                reply
            }
        };
        reply.is_target_cold = self.cold.is_cold();
        reply.queue_time = queue_time;
        reply.target_latency = target_latency;
        // The receiver is gone only if the entry no longer waits.
        let _ = work.reply.send(reply);
    }

    /// Takes in what an end shows of the target.
    fn learn(&mut self, end: &End, is_refusing: bool, sent_at: std::time::Duration) {
        match end {
            End::Target(Ok(response)) => self.learn_report(&response.report, true, sent_at),
            End::Target(Err(error)) => self.learn_error(error, is_refusing, sent_at),
            End::Deadline => self.observe(Evidence::Failure),
            End::Refused(_) | End::Cancelled { .. } => {}
        }
    }

    fn learn_error(
        &mut self,
        error: &TargetError,
        is_refusing: bool,
        sent_at: std::time::Duration,
    ) {
        match error.kind {
            TargetErrorKind::Refused | TargetErrorKind::Unreachable => self.not_opened(error),
            TargetErrorKind::NotWritten => self.observe(Evidence::ConnectionLost),
            TargetErrorKind::Broken => {
                let at = self.relay.board.now();
                let unstruck = self.running.values_mut().filter(|r| !r.is_struck);
                let fingerprints: Vec<u64> = unstruck
                    .map(|running| {
                        running.is_struck = true;
                        running.fingerprint
                    })
                    .collect();
                if !fingerprints.is_empty() {
                    self.crash.broke(self.cold.incarnation(), fingerprints, at);
                }
                self.observe(Evidence::ConnectionLost);
                if is_refusing {
                    self.not_opened(&TargetError::new(
                        TargetErrorKind::Refused,
                        self.addr,
                        "refuses connections after a broken one",
                    ));
                }
            }
            _ => {
                if let Some(report) = &error.report {
                    self.learn_report(report, false, sent_at);
                }
                self.observe(Evidence::Failure);
            }
        }
    }

    fn learn_report(
        &mut self,
        report: &TargetReport,
        is_success: bool,
        sent_at: std::time::Duration,
    ) {
        let incarnation = report.incarnation;
        let crash = self.crash.responded(incarnation, sent_at);
        self.note_crash(crash);
        match report.state {
            ReportedState::Cold => self.observe(Evidence::ReportedCold { incarnation }),
            // Only a response that did work proves that the target bears work.
            ReportedState::Warm if is_success => self.observe(Evidence::ReportedWarm {
                incarnation,
                sent_at,
            }),
            ReportedState::Warm | ReportedState::Draining => {}
        }
    }
}

/// Turns the end of an attempt into what the entry gets.
///
/// "Not run" is said only if no byte was written or the target itself said so.
fn outcome(
    request: &AttemptRequest,
    end: End,
) -> (Result<AttemptAnswer, Refusal>, Vec<IndexVersion>) {
    match end {
        End::Refused(refusal) => (Err(refusal), Vec::new()),
        End::Target(Ok(response)) => {
            let versions_held = response.report.versions_held.clone();
            (answer(request, response), versions_held)
        }
        End::Target(Err(error)) => {
            let code = match error.kind {
                TargetErrorKind::VersionNotHeld => RefusalCode::SnapshotUnavailable,
                TargetErrorKind::Shed => RefusalCode::TargetShed,
                _ => RefusalCode::TargetFailed,
            };
            let refusal = if error.is_not_run() {
                Refusal::not_run(code, error.to_string())
            } else {
                maybe_run(request, code, error.to_string())
            };
            let report = error.report;
            (
                Err(refusal),
                report.map(|r| r.versions_held).unwrap_or_default(),
            )
        }
        End::Deadline => {
            let reason = "the target did not respond before the deadline".to_owned();
            let refusal = maybe_run(request, RefusalCode::DeadlineExceeded, reason);
            (Err(refusal), Vec::new())
        }
        End::Cancelled { is_sent } => {
            let reason = "the entry cancelled the attempt".to_owned();
            let refusal = if is_sent {
                maybe_run(request, RefusalCode::DeadlineExceeded, reason)
            } else {
                Refusal::not_run(RefusalCode::DeadlineExceeded, reason)
            };
            (Err(refusal), Vec::new())
        }
    }
}

fn answer(request: &AttemptRequest, response: TargetResponse) -> Result<AttemptAnswer, Refusal> {
    // A target may hold more keys than asked for; only those asked for count as covered.
    let Some(range) = response.range.intersect(request.range) else {
        let reason = "the target covers none of the keys asked for".to_owned();
        return Err(maybe_run(request, RefusalCode::TargetFailed, reason));
    };
    Ok(AttemptAnswer {
        range,
        snapshot: response.snapshot,
        found: response.found,
        body: response.body.into(),
    })
}

/// Refusal of an attempt that may have run; an order has its own code.
pub(crate) fn maybe_run(request: &AttemptRequest, code: RefusalCode, reason: String) -> Refusal {
    let code = if request.kind.is_idempotent() {
        code
    } else {
        RefusalCode::OutcomeUnknown
    };
    Refusal::maybe_run(code, reason)
}
