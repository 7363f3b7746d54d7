//! The task that runs one attempt on one connection.

use std::{
    sync::Arc,
    time::Duration, //
};

use bytes::Bytes;
use limpet_adapters::target::{
    TargetConnection,
    TargetError,
    TargetErrorKind,
    TargetRequest,
    TargetResponse, //
};
use limpet_decide::pool::ConnectionId;
use limpet_types::TargetAddr;
use ractor::ActorRef;

use limpet_types::Refusal;

use crate::relay::{
    attempt::Attempt,
    checks::check_sendable,
    state::RelayState,
    target::TargetActorMessage, //
};

/// Maximum time for opening a connection.
pub(crate) const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
/// Maximum time for opening the probe connection that shows whether a target still listens after a connection
/// broke.
const PROBE_TIMEOUT: Duration = Duration::from_millis(50);

/// How an attempt ended.
#[derive(Debug)]
pub(crate) enum AttemptEnd {
    /// A check directly before the send failed.
    Refused(Refusal),
    /// The target answered, or the attempt failed at the target or on the way there.
    TargetResult(Result<TargetResponse, TargetError>),
    /// The deadline, or the end of the ownership if that is earlier, passed after the send.
    DeadlinePassed,
    /// The entry reset the stream before the attempt had ended.
    Cancelled {
        /// Whether the attempt was sent, so that the target may run it.
        is_sent: bool,
    },
}

/// Result of an attempt, which its task reports to the actor of the target.
#[derive(Debug)]
pub(crate) struct FinishedAttempt {
    pub(crate) connection_id: ConnectionId,
    pub(crate) attempt: Attempt,
    pub(crate) end: AttemptEnd,
    /// The connection, if it can be reused.
    pub(crate) connection: Option<TargetConnection>,
    /// Whether the connection broke and the target then refused a probe connection, which confirms a crash.
    pub(crate) is_refusing_connections: bool,
    /// Time since boot at which the attempt was sent, or at which it ended if it was not sent.
    pub(crate) sent_at: Duration,
    /// Time since boot at which the attempt ended.
    pub(crate) ended_at: Duration,
}

/// How the task of an attempt gets its connection.
#[derive(Debug)]
pub(crate) enum ConnectionSource {
    /// Uses an idle connection.
    Idle(TargetConnection),
    /// Opens a new connection.
    New,
}

/// Runs one attempt and reports its result to the actor of the target.
pub(crate) async fn run(
    relay: Arc<RelayState>,
    actor: ActorRef<TargetActorMessage>,
    connection_id: ConnectionId,
    mut attempt: Attempt,
    source: ConnectionSource,
    suspicion_timeout: Duration,
) {
    let addr = attempt.addr;
    let ended = match prepare_connection(&relay, &mut attempt, source).await {
        Ok((connection, end_by)) => {
            let sent_at = relay.board.now();
            let (end, connection) = send(
                &relay,
                &actor,
                connection_id,
                &mut attempt,
                connection,
                end_by,
                suspicion_timeout,
            )
            .await;
            (end, connection, sent_at)
        }
        Err(end) => (end, None, relay.board.now()),
    };
    let (end, connection, sent_at) = ended;
    let ended_at = relay.board.now();
    let is_broken = matches!(
        &end,
        AttemptEnd::TargetResult(Err(error)) if error.kind == TargetErrorKind::Broken
    );
    let is_refusing_connections = is_broken && probe_is_refused(addr).await;
    let finished = FinishedAttempt {
        connection_id,
        attempt,
        end,
        connection,
        is_refusing_connections,
        sent_at,
        ended_at,
    };
    // Fails only if the actor has stopped, for example because the target is no longer owned;
    // `handle_attempt` then builds the reply.
    let _ = actor.cast(TargetActorMessage::AttemptFinished(Box::new(finished)));
}

/// Gets a connection, runs the checks before the send, and returns the connection and the time since boot
/// by which the attempt must end.
async fn prepare_connection(
    relay: &RelayState,
    attempt: &mut Attempt,
    source: ConnectionSource,
) -> Result<(TargetConnection, Duration), AttemptEnd> {
    let connection = match source {
        ConnectionSource::Idle(connection) => connection,
        ConnectionSource::New => {
            let time_left = attempt.deadline.saturating_sub(relay.board.now());
            let opening = TargetConnection::open(attempt.addr, CONNECT_TIMEOUT.min(time_left));
            tokio::select! {
                opened = opening => opened.map_err(|error| AttemptEnd::TargetResult(Err(error)))?,
                () = attempt.reply_sender.closed() => return Err(AttemptEnd::Cancelled { is_sent: false }),
            }
        }
    };
    let checked = check_sendable(
        relay,
        attempt.addr,
        attempt.deadline,
        attempt.request.fingerprint,
    );
    let (_, end_by) = checked.map_err(AttemptEnd::Refused)?;
    Ok((connection, end_by))
}

/// Sends an attempt, waits until it ends, at the latest at `end_by`, a time since boot, and returns the
/// connection if it can be reused.
///
/// Reports the connection as suspected if nothing is received on it for `suspicion_timeout`.
async fn send(
    relay: &RelayState,
    actor: &ActorRef<TargetActorMessage>,
    connection_id: ConnectionId,
    attempt: &mut Attempt,
    connection: TargetConnection,
    end_by: Duration,
    suspicion_timeout: Duration,
) -> (AttemptEnd, Option<TargetConnection>) {
    let sent_at = relay.board.now();
    let time_left = end_by.saturating_sub(sent_at);
    let request = TargetRequest {
        request_id: attempt.request.request_id,
        attempt: attempt.request.attempt_number,
        kind: attempt.request.kind,
        range: attempt.request.range,
        snapshot: attempt.request.snapshot,
        time_left,
        record: attempt.request.record.take(),
        ticket: attempt.request.ticket.take(),
        body: Bytes::from(std::mem::take(&mut attempt.request.body)),
    };
    let progress = connection.response_progress();
    let deadline_timer = tokio::time::sleep(time_left);
    let silence_timer = tokio::time::sleep(suspicion_timeout);
    let sending = connection.send(&request);
    tokio::pin!(deadline_timer, silence_timer, sending);
    let mut is_suspected = false;
    loop {
        tokio::select! {
            (result, connection) = &mut sending => return (AttemptEnd::TargetResult(result), connection),
            () = attempt.reply_sender.closed() => return (AttemptEnd::Cancelled { is_sent: true }, None),
            () = &mut deadline_timer => return (AttemptEnd::DeadlinePassed, None),
            () = &mut silence_timer, if !is_suspected => {
                let last_received = progress.last_received().max(sent_at);
                let silence = relay.board.now().saturating_sub(last_received);
                if silence >= suspicion_timeout {
                    is_suspected = true;
                    let _ = actor.cast(TargetActorMessage::ConnectionSuspected { connection_id });
                } else {
                    let remaining = suspicion_timeout - silence;
                    silence_timer.as_mut().reset(tokio::time::Instant::now() + remaining);
                }
            }
        }
    }
}

/// Opens a probe connection and returns whether the target refused it.
async fn probe_is_refused(addr: TargetAddr) -> bool {
    let probe = TargetConnection::open(addr, PROBE_TIMEOUT).await;
    probe.is_err_and(|error| error.kind == TargetErrorKind::Refused)
}
