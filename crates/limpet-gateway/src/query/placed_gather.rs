//! Runs a scatter-gather query where it is placed: in this process or at an aggregator.

use std::{
    net::SocketAddr,
    sync::Arc,
    time::Duration, //
};

use http::HeaderValue;
use limpet_decide::{
    aggregator::{
        AggregatorChoice,
        AggregatorLoad,
        OwnObservation,
        Place,
        Urgency, //
    },
    gather::Parts,
    peer_load::ReportedGatherLoad,
};
use limpet_peer::{
    PeerError,
    PeerErrorKind, //
};
use limpet_types::{
    deployment::ScatterGather,
    message::{
        GatherRefusal,
        GatherReply,
        GatherRequest,
        PeerReply,
        PeerRequest, //
    },
};
use rand::Rng;
use tokio::time::Instant;

use super::{
    Answer, Outcome, QueryContext, RequestError, RequestErrorKind,
    admission::{
        refuse_busy,
        run_admitted, //
    },
};
use crate::{
    shared_state::SharedState,
    target::connections_share, //
};

/// Number of aggregators that are asked before the query runs in this process.
const AGGREGATORS_MAX: usize = 2;
/// Longest time until an aggregator must have accepted a query.
const ACCEPT_TIMEOUT_MAX: Duration = Duration::from_millis(40);
/// Longest time until an aggregator must have accepted a query, as a fraction of the latency goal.
const ACCEPT_TIMEOUT_GOAL_FRACTION: f64 = 0.4;
/// Multiple of the latency goal after which an aggregator that has not answered is asked whether it is alive.
const LIVENESS_GOAL_FACTOR: f64 = 1.5;
/// Shortest time after which an aggregator that has not answered is asked whether it is alive.
const LIVENESS_DELAY_MIN: Duration = Duration::from_millis(200);
/// Time within which a live aggregator answers that question.
const LIVENESS_TIMEOUT: Duration = Duration::from_millis(150);

/// How an aggregator dealt with a query.
enum Aggregation {
    /// It ran the query.
    Ended(Outcome),
    /// It did not start the query.
    NotStarted,
    /// It refused the query because others wait there.
    Busy,
}

/// Runs a scatter-gather query at an aggregator if that serves the caller better, else in this process.
///
/// A query that no aggregator starts runs here. One that an aggregator has got is never started again: it may have
/// made all attempts at a shard that the route allows.
pub async fn run_placed_gather(query: Arc<QueryContext>, gather: &ScatterGather) -> Outcome {
    let shared = Arc::clone(&query.shared);
    let is_rate_high = shared.record_scatter_gather();
    if is_rate_high && has_connections_for_all(&query, gather) {
        return run_admitted(query, gather).await;
    }
    let shard_shares = shared.fleet().shard_shares(&gather.shards, shared.now());
    let mut refused_by = Vec::new();
    let mut busy = Vec::new();
    while refused_by.len() < AGGREGATORS_MAX {
        let aggregator = match choose_place(&query, &shard_shares, &refused_by) {
            Place::At(aggregator) => aggregator,
            Place::Here => break,
            Place::AllBusy => return Err(refuse_busy(&query, &busy)),
        };
        match aggregate_at(&query, aggregator).await {
            Aggregation::Ended(outcome) => return outcome,
            Aggregation::NotStarted => refused_by.push(aggregator),
            Aggregation::Busy => {
                refused_by.push(aggregator);
                busy.push(aggregator);
            }
        }
    }
    // The group is overloaded, and a query on new connections here would only add to the load of its targets.
    let is_busy_elsewhere = !busy.is_empty() && refused_by.len() == AGGREGATORS_MAX;
    if is_busy_elsewhere && (busy.len() == AGGREGATORS_MAX || !has_warm_connections(&query, gather))
    {
        return Err(refuse_busy(&query, &busy));
    }
    metrics::counter!("limpet_gathers_total", "place" => "here").increment(1);
    run_here(&query, gather, &shard_shares).await
}

/// Returns whether the targets of every shard can hold a connection of each process.
fn has_connections_for_all(query: &QueryContext, gather: &ScatterGather) -> bool {
    let process_count = query.shared.rate_limiter().process_counts().total;
    let services = gather
        .shards
        .iter()
        .map(|shard| query.route_table.service(shard));
    services
        .flatten()
        .all(|service| connections_share(service.connections_max, process_count) >= 1.0)
}

/// Returns whether this process holds idle connections to as many shards as an answer needs.
fn has_warm_connections(query: &QueryContext, gather: &ScatterGather) -> bool {
    let shared = &query.shared;
    let now = shared.now();
    let needed_count = Parts::new(gather.shards.len(), gather.coverage_min).needed_count;
    let fleet = shared.fleet();
    let shards = gather.shards.iter();
    let warm = shards.filter(|shard| fleet.has_idle_connection(shard, now));
    warm.count() >= needed_count
}

/// Runs a query in this process, with the connections of an aggregator if it is one.
async fn run_here(
    query: &QueryContext,
    gather: &ScatterGather,
    shard_shares: &[(Box<str>, f64)],
) -> Outcome {
    let shared = &query.shared;
    let own_addr = shared.settings.peer_addr;
    let aggregator_count = shared
        .aggregators()
        .extended_count_with(own_addr, shard_shares);
    let query = QueryContext {
        aggregator_count,
        ..query.copy()
    };
    run_admitted(Arc::new(query), gather).await
}

/// Chooses where a query runs.
fn choose_place(
    query: &QueryContext,
    shard_shares: &[(Box<str>, f64)],
    refused_by: &[SocketAddr],
) -> Place {
    let shared = &query.shared;
    let own_addr = shared.settings.peer_addr;
    let now = shared.now();
    let live_addrs = shared.membership().live_addrs(now);
    shared.remove_gone_aggregators();
    let own_gathers = shared.admission().gather_load(now);
    let urgency = urgency(query);
    let peer_ejection = shared.peer_ejection();
    let peer_loads = shared.peer_loads();
    let aggregator_use = shared.aggregator_use();
    let is_usable = |addr: SocketAddr| {
        live_addrs.binary_search(&addr).is_ok() && !peer_ejection.is_ejected(addr, now)
    };
    let load_of = |addr: SocketAddr, capacity_cores: f64| {
        let reported = match addr == own_addr {
            true => Some(ReportedGatherLoad {
                load: own_gathers,
                age: Duration::ZERO,
            }),
            false => peer_loads.gather_load(addr, now),
        };
        let reported_at = reported.map(|reported| now.saturating_sub(reported.age));
        let own = aggregator_use.observation(addr, reported_at, now);
        AggregatorLoad::estimate(reported, own, capacity_cores)
    };
    let choice = AggregatorChoice {
        own_addr,
        own_zone: &shared.settings.zone,
        shard_shares,
        goal: query.route.latency_goal,
        is_usable: &is_usable,
        is_busy: &|addr| aggregator_use.is_busy(addr, urgency, now),
        load_of: &load_of,
        refused_by,
        now,
    };
    let mut rng = rand::rng();
    shared.choose_aggregator(&choice, &mut || rng.random_range(0.0..1.0))
}

/// Returns how urgent a query is.
fn urgency(query: &QueryContext) -> Urgency {
    Urgency {
        priority: query.priority,
        goal_left: query.goal_at.saturating_duration_since(Instant::now()),
    }
}

/// Counts a query at an aggregator until it is dropped.
struct SentQuery<'a> {
    shared: &'a SharedState,
    aggregator: SocketAddr,
    sent_at: Duration,
}

impl<'a> SentQuery<'a> {
    /// Counts a query that is sent now.
    fn begin(shared: &'a SharedState, aggregator: SocketAddr) -> Self {
        let sent_at = shared.now();
        shared.aggregator_use().record_send(aggregator, sent_at);
        Self {
            shared,
            aggregator,
            sent_at,
        }
    }
}

impl Drop for SentQuery<'_> {
    fn drop(&mut self) {
        let now = self.shared.now();
        let mut aggregator_use = self.shared.aggregator_use();
        aggregator_use.record_end(self.aggregator, self.sent_at, now);
    }
}

/// Sends a query to an aggregator and waits for its answer.
async fn aggregate_at(query: &Arc<QueryContext>, aggregator: SocketAddr) -> Aggregation {
    let shared = &query.shared;
    let goal = query.route.latency_goal;
    let accept_timeout = goal
        .mul_f64(ACCEPT_TIMEOUT_GOAL_FRACTION)
        .min(ACCEPT_TIMEOUT_MAX);
    let started_at = Instant::now();
    let urgency = urgency(query);
    let request = PeerRequest::Gather(Box::new(build_request(query)));
    let _sent_query = SentQuery::begin(shared, aggregator);
    let call = shared.peer_client.call_with_accept_timeout(
        aggregator,
        &request,
        accept_timeout,
        query.time_left(),
    );
    let liveness_delay = goal.mul_f64(LIVENESS_GOAL_FACTOR).max(LIVENESS_DELAY_MIN);
    let reply = tokio::select! {
        reply = call => reply,
        error = wait_until_dead(query, aggregator, liveness_delay) => Err(error),
    };
    let aggregation = match reply {
        Ok(PeerReply::Gather(reply)) => handle_reply(query, aggregator, urgency, reply),
        // A process of an earlier release.
        Ok(_) => {
            let now = shared.now();
            shared.peer_ejection().record_stopping(aggregator, now);
            Aggregation::NotStarted
        }
        Err(error) => {
            let now = shared.now();
            // The liveness checks find an aggregator that is dead. One query that reached its deadline, as in an
            // overload, must not keep others off the other aggregators, since they would run on cold connections here.
            let is_lost = !error.is_not_sent() && error.kind != PeerErrorKind::Timeout;
            shared
                .peer_ejection()
                .record_failure(aggregator, is_lost, now);
            tracing::info!(
                request_id = query.request_id(), %aggregator, %error,
                took_us = started_at.elapsed().as_micros(), "aggregator failed"
            );
            handle_error(&error)
        }
    };
    let label = match &aggregation {
        Aggregation::Ended(_) => "aggregator",
        Aggregation::NotStarted | Aggregation::Busy => "refused",
    };
    metrics::counter!("limpet_gathers_total", "place" => label).increment(1);
    aggregation
}

/// Returns once an aggregator that has not answered for `delay` does not react to other requests either.
async fn wait_until_dead(
    query: &QueryContext,
    aggregator: SocketAddr,
    delay: Duration,
) -> PeerError {
    loop {
        tokio::time::sleep(delay).await;
        let probe = query.shared.peer_client.call_with_accept_timeout(
            aggregator,
            &PeerRequest::Status,
            LIVENESS_TIMEOUT,
            LIVENESS_TIMEOUT,
        );
        if let Err(error) = probe.await {
            let context = format!("no sign of life: {error}");
            return PeerError::new(PeerErrorKind::ConnectionLost, aggregator, context);
        }
    }
}

/// Converts the reply of an aggregator to a query that was this urgent when it was sent.
fn handle_reply(
    query: &QueryContext,
    aggregator: SocketAddr,
    urgency: Urgency,
    reply: GatherReply,
) -> Aggregation {
    let shared = &query.shared;
    match reply {
        GatherReply::Refused(refusal) => {
            let now = shared.now();
            match refusal {
                GatherRefusal::Stopping => {
                    shared.peer_ejection().record_stopping(aggregator, now);
                }
                GatherRefusal::Busy => {
                    shared
                        .aggregator_use()
                        .record_busy(aggregator, urgency, now);
                }
                GatherRefusal::OtherConfig => {}
            }
            tracing::info!(request_id = query.request_id(), %aggregator, ?refusal, "aggregator refused");
            match refusal {
                GatherRefusal::Busy => Aggregation::Busy,
                GatherRefusal::Stopping | GatherRefusal::OtherConfig => Aggregation::NotStarted,
            }
        }
        GatherReply::Gathered {
            signatures,
            missing_count,
            body,
        } => {
            record_answer_time(query, aggregator);
            let signatures: Result<Vec<HeaderValue>, _> = signatures
                .iter()
                .map(|signature| HeaderValue::from_bytes(signature))
                .collect();
            Aggregation::Ended(match signatures {
                Ok(signatures) => Ok(Answer::Gathered {
                    signatures,
                    missing_count: missing_count as usize,
                    body: body.into(),
                }),
                Err(_) => Err(RequestError::may_have_run(RequestErrorKind::OutcomeUnknown)),
            })
        }
        GatherReply::Failed {
            is_timed_out,
            is_not_run,
        } => {
            record_answer_time(query, aggregator);
            let kind = match is_timed_out {
                true => RequestErrorKind::TimedOut,
                false => RequestErrorKind::CoverageLow,
            };
            Aggregation::Ended(Err(match is_not_run {
                true => RequestError::not_run(kind),
                false => RequestError::may_have_run(kind),
            }))
        }
    }
}

/// Returns the capacity that a process announced, in cores.
fn capacity_cores(shared: &SharedState, addr: SocketAddr) -> f64 {
    let aggregators = shared.aggregators();
    let node = aggregators.node(addr);
    node.map_or(0.0, |node| node.capacity_cores)
}

/// Records whether an aggregator answered within the latency goal. A late answer counts as load.
fn record_answer_time(query: &QueryContext, aggregator: SocketAddr) {
    let shared = &query.shared;
    let now = shared.now();
    if query.arrived_at.elapsed() <= query.route.latency_goal {
        shared.peer_ejection().record_success(aggregator, now);
    } else {
        let reported = shared.peer_loads().gather_load(aggregator, now);
        let is_full = reported.is_some_and(|reported| {
            let observed = OwnObservation::default();
            let cores = capacity_cores(shared, aggregator);
            AggregatorLoad::estimate(Some(reported), observed, cores).is_full()
        });
        shared.peer_ejection().record_late(aggregator, is_full, now);
        shared.aggregator_use().record_late(aggregator, now);
    }
}

/// Converts the failure of a call to an aggregator.
const fn handle_error(error: &PeerError) -> Aggregation {
    match error.kind {
        _ if error.is_not_sent() => Aggregation::NotStarted,
        PeerErrorKind::Timeout => {
            Aggregation::Ended(Err(RequestError::may_have_run(RequestErrorKind::TimedOut)))
        }
        _ => Aggregation::Ended(Err(RequestError::may_have_run(
            RequestErrorKind::OutcomeUnknown,
        ))),
    }
}

/// Builds the message that asks an aggregator to run a query.
fn build_request(query: &QueryContext) -> GatherRequest {
    let request = &query.request;
    let headers = request.headers.iter();
    GatherRequest {
        config_version: query.route_table.config().version,
        route: query.route.name.clone(),
        method: request.method.as_str().into(),
        uri: request.uri.to_string().into(),
        headers: headers
            .map(|(name, value)| (name.as_str().into(), value.as_bytes().to_vec()))
            .collect(),
        body: request.body.to_vec(),
        request_id: request.request_id.as_bytes().to_vec(),
        fingerprint: query.fingerprint,
        waited: query.time_since_first_attempt(),
        time_left: query.time_left(),
    }
}
