//! One attempt on one connection.

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
    gate::check_send,
    state::RelayState,
    target::TargetMessage,
    work::Work, //
};

/// Longest time for opening a connection.
pub(crate) const CONNECT_LIMIT: Duration = Duration::from_millis(250);
/// Longest time for telling whether a target that broke a connection still listens.
const PROBE_LIMIT: Duration = Duration::from_millis(50);

/// How an attempt ended.
#[derive(Debug)]
pub(crate) enum End {
    /// A check failed directly before the send.
    Refused(Refusal),
    /// The target responded whole, or failed.
    Target(Result<TargetResponse, TargetError>),
    /// The deadline passed after the send.
    Deadline,
    /// The entry reset the stream; `is_sent` tells whether the target may run the attempt.
    Cancelled {
        /// Whether the attempt was sent.
        is_sent: bool,
    },
}

/// What the task of an attempt hands back to the actor of the target.
#[derive(Debug)]
pub(crate) struct Finished {
    pub(crate) id: ConnectionId,
    pub(crate) work: Work,
    pub(crate) end: End,
    /// Connection that can be used again.
    pub(crate) connection: Option<TargetConnection>,
    /// Whether the target refused a connection directly after it broke this one.
    pub(crate) is_refusing: bool,
    pub(crate) sent_at: Duration,
    pub(crate) ended_at: Duration,
}

/// Where the task of an attempt gets its connection.
#[derive(Debug)]
pub(crate) enum Source {
    Ready(TargetConnection),
    Open,
}

/// Runs one attempt and reports to the actor of the target.
pub(crate) async fn run(
    relay: Arc<RelayState>,
    actor: ActorRef<TargetMessage>,
    id: ConnectionId,
    mut work: Work,
    source: Source,
    suspect_after: Duration,
) {
    let addr = work.addr;
    let sent = match ready(&relay, &mut work, source).await {
        Ok((connection, until)) => {
            let sent_at = relay.board.now();
            let (end, connection) = send(
                &relay,
                &actor,
                id,
                &mut work,
                connection,
                until,
                suspect_after,
            )
            .await;
            (end, connection, sent_at)
        }
        Err(end) => (end, None, relay.board.now()),
    };
    let (end, connection, sent_at) = sent;
    let ended_at = relay.board.now();
    let is_broken =
        matches!(&end, End::Target(Err(error)) if error.kind == TargetErrorKind::Broken);
    let is_refusing = is_broken && refuses(addr).await;
    let finished = Finished {
        id,
        work,
        end,
        connection,
        is_refusing,
        sent_at,
        ended_at,
    };
    // The actor is gone only when the target is no longer owned; the handler then replies.
    let _ = actor.cast(TargetMessage::Finished(Box::new(finished)));
}

/// Gets a connection and passes the checks that precede the send.
async fn ready(
    relay: &RelayState,
    work: &mut Work,
    source: Source,
) -> Result<(TargetConnection, Duration), End> {
    let connection = match source {
        Source::Ready(connection) => connection,
        Source::Open => {
            let limit = work.deadline.saturating_sub(relay.board.now());
            let opening = TargetConnection::open(work.addr, CONNECT_LIMIT.min(limit));
            tokio::select! {
                opened = opening => opened.map_err(|error| End::Target(Err(error)))?,
                () = work.reply.closed() => return Err(End::Cancelled { is_sent: false }),
            }
        }
    };
    let checked = check_send(relay, work.addr, work.deadline, work.request.fingerprint);
    let (_, until) = checked.map_err(End::Refused)?;
    Ok((connection, until))
}

async fn send(
    relay: &RelayState,
    actor: &ActorRef<TargetMessage>,
    id: ConnectionId,
    work: &mut Work,
    connection: TargetConnection,
    until: Duration,
    suspect_after: Duration,
) -> (End, Option<TargetConnection>) {
    let sent_at = relay.board.now();
    let time_left = until.saturating_sub(sent_at);
    let request = TargetRequest {
        request_id: work.request.request_id,
        attempt: work.request.attempt,
        kind: work.request.kind,
        range: work.request.range,
        snapshot: work.request.snapshot,
        time_left,
        record: work.request.record.take(),
        ticket: work.request.ticket.take(),
        body: Bytes::from(std::mem::take(&mut work.request.body)),
    };
    let progress = connection.progress();
    let deadline = tokio::time::sleep(time_left);
    let quiet = tokio::time::sleep(suspect_after);
    let sending = connection.send(&request);
    tokio::pin!(deadline, quiet, sending);
    let mut is_suspected = false;
    loop {
        tokio::select! {
            (result, connection) = &mut sending => return (End::Target(result), connection),
            () = work.reply.closed() => return (End::Cancelled { is_sent: true }, None),
            () = &mut deadline => return (End::Deadline, None),
            () = &mut quiet, if !is_suspected => {
                let last = progress.last_received().max(sent_at);
                let quiet_for = relay.board.now().saturating_sub(last);
                if quiet_for >= suspect_after {
                    is_suspected = true;
                    let _ = actor.cast(TargetMessage::Suspected { id });
                } else {
                    let rest = suspect_after - quiet_for;
                    quiet.as_mut().reset(tokio::time::Instant::now() + rest);
                }
            }
        }
    }
}

async fn refuses(addr: TargetAddr) -> bool {
    let probe = TargetConnection::open(addr, PROBE_LIMIT).await;
    probe.is_err_and(|error| error.kind == TargetErrorKind::Refused)
}
