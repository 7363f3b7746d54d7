//! One attempt on its way through the relay.

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

use crate::relay::state::InFlight;

/// One attempt on its way through the relay.
#[derive(Debug)]
pub(crate) struct Work {
    pub(crate) request: AttemptRequest,
    pub(crate) addr: TargetAddr,
    pub(crate) weight: u32,
    pub(crate) arrived: Duration,
    pub(crate) deadline: Duration,
    /// Kept until the target can no longer run the attempt.
    pub(crate) _in_flight: InFlight,
    /// Closed when the entry resets the stream.
    pub(crate) reply: oneshot::Sender<AttemptReply>,
}

impl Work {
    /// Replies with a refusal and logs it.
    pub(crate) fn refuse(self, refusal: Refusal, is_target_cold: bool, now: Duration) {
        let mut reply = refused(&self.request, self.addr, refusal);
        reply.is_target_cold = is_target_cold;
        reply.queue_time = now.saturating_sub(self.arrived);
        // The receiver is gone only if the entry no longer waits.
        let _ = self.reply.send(reply);
    }
}

/// Builds the reply to an attempt that is refused, and logs the reason.
pub(crate) fn refused(
    request: &AttemptRequest,
    addr: TargetAddr,
    refusal: Refusal,
) -> AttemptReply {
    tracing::info!(
        request_id = format_args!("{:032x}", request.request_id),
        attempt = request.attempt,
        target = %request.target,
        %addr,
        code = %refusal.code,
        not_run = refusal.not_run,
        reason = %refusal.message,
        "attempt refused"
    );
    metrics::counter!("limpet_relay_refused_total", "code" => refusal.code.as_str()).increment(1);
    reply_to(request, Err(refusal), Vec::new())
}

/// Builds a reply that repeats what it belongs to.
pub(crate) fn reply_to(
    request: &AttemptRequest,
    outcome: Result<AttemptAnswer, Refusal>,
    versions_held: Vec<IndexVersion>,
) -> AttemptReply {
    AttemptReply {
        request_id: request.request_id,
        attempt: request.attempt,
        shard: request.shard.clone(),
        target: request.target.clone(),
        outcome,
        versions_held,
        is_target_cold: false,
        target_latency: Duration::ZERO,
        queue_time: Duration::ZERO,
    }
}
