//! An attempt while the relay handles it, and the replies to it.

use std::time::Duration;

use limpet_types::{
    IndexVersion, Refusal, TargetAddr,
    message::{
        AttemptAnswer,
        AttemptReply,
        AttemptRequest, //
    },
};
use tokio::sync::oneshot;

use crate::relay::state::InFlightGuard;

/// An attempt that waits for its reply.
#[derive(Debug)]
pub(crate) struct Attempt {
    pub(crate) request: AttemptRequest,
    /// Address of the target.
    pub(crate) addr: TargetAddr,
    /// Number of attempts that the team may send in each round of the queue of the target.
    pub(crate) team_weight: u32,
    /// Time since boot at which the attempt arrived at the relay.
    pub(crate) arrived_at: Duration,
    /// Time since boot at which the entry stops waiting for the reply.
    pub(crate) deadline: Duration,
    /// Counts the attempt as in flight until the attempt is dropped.
    pub(crate) _in_flight_guard: InFlightGuard,
    /// Closed when the entry resets the stream, which cancels the attempt.
    pub(crate) reply_sender: oneshot::Sender<AttemptReply>,
}

impl Attempt {
    /// Logs and counts a refusal, and replies with it to the entry. `now` is the time since boot.
    pub(crate) fn refuse(self, refusal: Refusal, is_target_cold: bool, now: Duration) {
        let mut reply = build_refusal_reply(&self.request, self.addr, refusal);
        reply.is_target_cold = is_target_cold;
        reply.queue_time = now.saturating_sub(self.arrived_at);
        // Fails only if the entry no longer waits.
        let _ = self.reply_sender.send(reply);
    }
}

/// Logs and counts a refusal, and returns the reply with it.
pub(crate) fn build_refusal_reply(
    request: &AttemptRequest,
    addr: TargetAddr,
    refusal: Refusal,
) -> AttemptReply {
    tracing::info!(
        request_id = format_args!("{:032x}", request.request_id),
        attempt = request.attempt_number,
        target = %request.target,
        %addr,
        code = %refusal.code,
        not_run = refusal.not_run,
        reason = %refusal.message,
        "attempt refused"
    );
    metrics::counter!("limpet_relay_refused_total", "code" => refusal.code.as_str()).increment(1);
    build_reply(request, Err(refusal), Vec::new())
}

/// Returns a reply with the fields of the request that identify the attempt.
pub(crate) fn build_reply(
    request: &AttemptRequest,
    outcome: Result<AttemptAnswer, Refusal>,
    versions_held: Vec<IndexVersion>,
) -> AttemptReply {
    AttemptReply {
        request_id: request.request_id,
        attempt_number: request.attempt_number,
        shard: request.shard.clone(),
        target: request.target.clone(),
        outcome,
        versions_held,
        is_target_cold: false,
        target_latency: Duration::ZERO,
        queue_time: Duration::ZERO,
    }
}
