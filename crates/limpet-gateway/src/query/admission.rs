//! Lets a query run once its group of services has capacity, or refuses it.

use std::{
    net::SocketAddr,
    sync::Arc,
    time::Duration, //
};

use limpet_decide::{
    admission::{
        Arrival,
        Decision,
        Refusal,
        RefusalReason,
        RunReport,
        retry_after, //
    },
    gather::Parts,
    peer_load::name_hash,
};
use limpet_types::deployment::ScatterGather;
use rand::Rng;
use tokio::{
    sync::oneshot,
    time::{
        Instant,
        sleep, //
    },
};

use super::{
    Answer, Outcome, QueryContext, RequestError, RequestErrorKind,
    admission_state::{
        GroupKey,
        PermitGuard,
        WaitVerdict, //
    },
    run_scatter_gather,
    service_attempts::ServiceAttempts,
    slot_use::{
        in_flight_per_slot,
        lookup_in_flight_per_slot, //
    },
};
use crate::shared_state::SharedState;

/// Shortest time between two checks of a query that waits, the resolution of the timer.
const CHECK_INTERVAL_MIN: Duration = Duration::from_millis(1);
/// Part of the goal after which a caller should retry if the process that refused its query did not report its expected
/// wait.
const BUSY_RETRY_GOAL_DIVISOR: u32 = 4;

/// Use of the services of a group.
struct ServiceUse<'a> {
    /// Requests in flight per slot of each service; empty if that is not known.
    in_flight_per_slot: &'a [f64],
    /// Number of services that an answer needs.
    needed_count: usize,
}

/// Runs a scatter-gather query in this process once its group has capacity, or refuses it.
pub(super) async fn run_admitted(query: Arc<QueryContext>, gather: &ScatterGather) -> Outcome {
    let key = GroupKey::of_gather(gather);
    let permit = wait_for_permit(&query, key, || gather_group_name(gather)).await?;
    let outcome = run_scatter_gather(Arc::clone(&query), gather).await;
    // Counting the requests of all targets is needed only under load.
    let in_flight_per_slot = match permit.is_group_loaded() {
        true => {
            let mut shards: Vec<&str> = gather.shards.iter().map(|shard| &**shard).collect();
            // Routes of the group may list the shards in different orders.
            shards.sort_unstable();
            in_flight_per_slot(&query.shared, &shards)
        }
        false => Vec::new(),
    };
    let needed_count = Parts::new(gather.shards.len(), gather.coverage_min).needed_count;
    let services = ServiceUse {
        in_flight_per_slot: &in_flight_per_slot,
        needed_count,
    };
    end_run(&query, permit, key, outcome, gather.shards.len(), &services)
}

/// Runs a request at one target of a service once the service has capacity, or refuses it.
pub(super) async fn run_admitted_lookup(query: Arc<QueryContext>, service: &str) -> Outcome {
    let key = GroupKey::of_lookup(service);
    let permit = wait_for_permit(&query, key, || service.into()).await?;
    let attempts = ServiceAttempts::new(Arc::clone(&query), service);
    let outcome = match attempts.run().await {
        Ok(reply) => Ok(Answer::Reply(reply)),
        Err(error) if error.is_not_run => Err(RequestError {
            retry_after: error.retry_after,
            ..RequestError::not_run(error.kind)
        }),
        Err(error) => Err(RequestError::may_have_run(error.kind)),
    };
    let in_flight_per_slot = match permit.is_group_loaded() {
        true => vec![lookup_in_flight_per_slot(&query.shared, service)],
        false => Vec::new(),
    };
    let services = ServiceUse {
        in_flight_per_slot: &in_flight_per_slot,
        needed_count: 1,
    };
    end_run(&query, permit, key, outcome, 1, &services)
}

/// Returns the refusal of a query that all asked aggregators refused because others wait there.
pub(super) fn refuse_busy(query: &QueryContext, aggregators: &[SocketAddr]) -> RequestError {
    let shared = &query.shared;
    let now = shared.now();
    let reported_wait = {
        let peer_loads = shared.peer_loads();
        let loads = aggregators
            .iter()
            .filter_map(|addr| peer_loads.gather_load(*addr, now));
        let waits_ms = loads.map(|reported| reported.load.expected_wait_ms);
        waits_ms.min()
    };
    let default_wait = query.route.latency_goal / BUSY_RETRY_GOAL_DIVISOR;
    let expected_wait = reported_wait
        .map(|wait_ms| Duration::from_millis(u64::from(wait_ms)))
        .unwrap_or(default_wait);
    count_refusal("aggregators_busy", query.priority);
    overloaded_error(query, expected_wait)
}

/// Waits until a query may run.
async fn wait_for_permit(
    query: &QueryContext,
    key: GroupKey,
    group_name: impl FnOnce() -> Box<str>,
) -> Result<PermitGuard, RequestError> {
    let shared = &query.shared;
    let admission = shared.admission();
    let now = shared.now();
    // The queue does not hold a query beyond its deadline.
    let goal_at = query.goal_at.min(query.deadline);
    let arrival = Arrival {
        route: name_hash(&query.route.name),
        priority: query.priority,
        goal: query.route.latency_goal,
        goal_at: time_of(goal_at, now),
        body_bytes: query.request.body.len(),
    };
    let (sender, receiver) = oneshot::channel();
    let decision = admission.arrive(shared, key, group_name, arrival, sender);
    let verdict = match decision {
        Decision::Start(permit) => return Ok(PermitGuard::new(shared, key, permit)),
        Decision::Refuse(refusal) => Err(refusal),
        Decision::Wait { id, check_at } => {
            let guard = WaitGuard { shared, key, id };
            guard.wait(receiver, check_at).await
        }
    };
    match verdict {
        Ok(permit) => {
            let waited = permit.waited();
            metrics::histogram!("limpet_queue_wait_seconds").record(waited.as_secs_f64());
            Ok(permit)
        }
        Err(refusal) => {
            count_refusal(refusal.reason.label(), query.priority);
            Err(overloaded_error(query, refusal.expected_wait))
        }
    }
}

/// Place of a query in the queue of its group; it is given up on drop.
struct WaitGuard<'a> {
    shared: &'a Arc<SharedState>,
    key: GroupKey,
    id: u64,
}

impl WaitGuard<'_> {
    /// Waits for the verdict, and checks at `check_at` whether the query can still be in time.
    async fn wait(
        self,
        mut receiver: oneshot::Receiver<WaitVerdict>,
        mut check_at: Duration,
    ) -> WaitVerdict {
        let admission = self.shared.admission();
        loop {
            let delay = check_at.saturating_sub(self.shared.now());
            tokio::select! {
                biased;
                verdict = &mut receiver => return verdict.unwrap_or_else(|_| Err(closed_refusal())),
                () = sleep(delay.max(CHECK_INTERVAL_MIN)) => {}
            }
            match admission.check(self.shared, self.key, self.id) {
                Some(next_check_at) => check_at = next_check_at,
                // The verdict is on its way.
                None => return receiver.await.unwrap_or_else(|_| Err(closed_refusal())),
            }
        }
    }
}

impl Drop for WaitGuard<'_> {
    fn drop(&mut self) {
        let admission = self.shared.admission();
        admission.leave(self.key, self.id);
    }
}

/// Returns the refusal of a query whose group has been removed.
const fn closed_refusal() -> Refusal {
    Refusal {
        reason: RefusalReason::Late,
        expected_wait: Duration::ZERO,
    }
}

/// Gives back the permit of a query that ended; adds the time to a retry if no target ran it.
fn end_run(
    query: &QueryContext,
    permit: PermitGuard,
    key: GroupKey,
    outcome: Outcome,
    part_count: usize,
    services: &ServiceUse<'_>,
) -> Outcome {
    let report = run_report(query, &outcome, part_count);
    // A query for which nothing was sent says nothing about the targets.
    if report.has_run_time || report.attempt_count > 0 {
        permit.finish(report, services.in_flight_per_slot, services.needed_count);
    } else {
        drop(permit);
    }
    outcome.map_err(|error| {
        with_retry_after(query, error, || {
            let admission = query.shared.admission();
            admission.retry_wait(&query.shared, key, query.priority)
        })
    })
}

/// Adds the time to a retry to the error of a query that another process could not run, if it is missing.
pub fn complete_error(query: &QueryContext, error: RequestError) -> RequestError {
    with_retry_after(query, error, || {
        query.route.latency_goal / BUSY_RETRY_GOAL_DIVISOR
    })
}

/// Adds the time to a retry to an error if no target ran the query and the time is missing.
fn with_retry_after(
    query: &QueryContext,
    error: RequestError,
    expected_wait: impl FnOnce() -> Duration,
) -> RequestError {
    let is_shed = matches!(
        error.kind,
        RequestErrorKind::Shed | RequestErrorKind::CoverageLow
    );
    if !error.is_not_run || error.retry_after.is_some() || !is_shed {
        return error;
    }
    error.with_retry_after(draw_retry_after(query, expected_wait()))
}

/// Returns what the admission control learns from a query.
fn run_report(query: &QueryContext, outcome: &Outcome, part_count: usize) -> RunReport {
    let statistics = &query.run_statistics;
    let (attempt_count, rejected_count) = (
        statistics.attempt_count(),
        statistics.rejected_attempt_count(),
    );
    let part_count = part_count as u32;
    let arrived_count = match outcome {
        Ok(answer) => part_count.saturating_sub(answer.missing_count() as u32),
        Err(_) => attempt_count.saturating_sub(rejected_count).min(part_count),
    };
    let is_server_error =
        matches!(outcome, Ok(Answer::Reply(reply)) if reply.status.is_server_error());
    let is_timed_out = matches!(outcome, Err(error) if error.kind == RequestErrorKind::TimedOut);
    RunReport {
        has_run_time: is_timed_out || (outcome.is_ok() && !is_server_error),
        is_in_time: outcome.is_ok() && Instant::now() <= query.goal_at,
        is_cut: outcome.is_ok() && arrived_count < part_count,
        has_free_slots: false,
        part_count,
        // Parts that targets rejected and that others answered in the end are no sign of overload.
        failed_part_count: rejected_count.min(part_count - arrived_count),
        attempt_count,
        rejected_attempt_count: rejected_count,
    }
}

/// Returns the error of a query that its queue refused.
fn overloaded_error(query: &QueryContext, expected_wait: Duration) -> RequestError {
    RequestError::not_run(RequestErrorKind::Overloaded)
        .with_retry_after(draw_retry_after(query, expected_wait))
}

/// Draws the time after which the caller should retry.
fn draw_retry_after(query: &QueryContext, expected_wait: Duration) -> Duration {
    let draw = rand::rng().random_range(0.0..1.0);
    retry_after(expected_wait, query.time_left(), draw)
}

/// Counts a refusal.
fn count_refusal(reason: &'static str, priority: u32) {
    metrics::counter!(
        "limpet_refusals_total", "reason" => reason, "priority" => priority.to_string()
    )
    .increment(1);
}

/// Converts a point in time to the clock of the process, whose time is `now`.
fn time_of(instant: Instant, now: Duration) -> Duration {
    let current = Instant::now();
    match instant.checked_duration_since(current) {
        Some(left) => now + left,
        None => now.saturating_sub(current - instant),
    }
}

/// Returns the name of the group of a scatter-gather query in logs and metrics.
fn gather_group_name(gather: &ScatterGather) -> Box<str> {
    let first = gather.shards.first().map_or("", |shard| shard);
    match gather.shards.len() {
        0 | 1 => first.into(),
        count => format!("{first}+{}", count - 1).into(),
    }
}
