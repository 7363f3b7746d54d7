//! Sends the requests of each team at the team's rate.

use std::{
    sync::Arc,
    time::{
        Duration,
        Instant, //
    },
};

use bytes::Bytes;
use http::Request;
use http_body_util::Full;
use rand::{
    Rng as _,
    SeedableRng as _, //
};
use rand_chacha::ChaCha8Rng;
use tokio::task::JoinSet;

use crate::load::{
    arguments::{
        LoadArguments,
        LookupInput,
        LookupLoad, //
    },
    balancer::Balancer,
    client::ExchangeError,
    report::{
        LoadRecorder,
        RequestOutcome, //
    },
    response_class::{
        self,
        ResponseClass, //
    },
};

/// Wait beyond the deadline until a request counts as timed out.
const RESPONSE_GRACE: Duration = Duration::from_secs(2);
/// Number of distinct record keys.
const RECORD_KEYS: u32 = 10_000;

/// Sends the requests of every team.
#[derive(Clone, Debug)]
pub(crate) struct Sender {
    arguments: Arc<LoadArguments>,
    balancer: Arc<Balancer>,
    recorder: Arc<LoadRecorder>,
}

/// A request that is due to be sent.
#[derive(Clone, Debug)]
struct PlannedRequest {
    team: usize,
    lookup: LookupLoad,
    request_id: u128,
    record: u32,
}

impl Sender {
    /// Creates a sender.
    pub(crate) fn new(
        arguments: &LoadArguments,
        balancer: Arc<Balancer>,
        recorder: Arc<LoadRecorder>,
    ) -> Self {
        Self {
            arguments: Arc::new(arguments.clone()),
            balancer,
            recorder,
        }
    }

    /// Sends one team's requests until `end`, without waiting for earlier responses (open loop).
    pub(crate) async fn run_team(self, team: usize, end: Instant) {
        let rate_per_s = self.arguments.team[team].rate_per_s;
        let mut rng = ChaCha8Rng::seed_from_u64(self.arguments.seed ^ ((team as u64) << 32));
        let mut running = JoinSet::new();
        let mut at = Instant::now();
        loop {
            // Exponential gaps make the arrivals a Poisson process.
            let gap_s = -(1.0 - rng.random::<f64>()).ln() / rate_per_s;
            at += Duration::from_secs_f64(gap_s);
            if at >= end {
                break;
            }
            tokio::time::sleep_until(at.into()).await;
            let lookups = &self.arguments.lookup;
            let planned = PlannedRequest {
                team,
                lookup: lookups[rng.random_range(0..lookups.len())].clone(),
                request_id: rng.random(),
                record: rng.random_range(0..RECORD_KEYS),
            };
            running.spawn(self.clone().send(planned, at));
            while running.try_join_next().is_some() {}
        }
        while running.join_next().await.is_some() {}
    }

    async fn send(self, planned: PlannedRequest, due: Instant) {
        let limit = Duration::from_millis(self.arguments.deadline_ms) + RESPONSE_GRACE;
        let outcome = tokio::time::timeout(limit, self.exchange(&planned))
            .await
            .unwrap_or(RequestOutcome::TimedOut);
        // Latency counts from the due time, so that a late sender does not hide queueing
        // (coordinated omission).
        self.recorder
            .record(planned.team, &planned.lookup.name, due, outcome);
    }

    async fn exchange(&self, planned: &PlannedRequest) -> RequestOutcome {
        let first = self.exchange_once(planned, None).await;
        match first {
            RequestOutcome::Response(ResponseClass::Refused {
                ticket: Some(ticket),
                ..
            }) if planned.lookup.input == LookupInput::Order => {
                self.exchange_once(planned, Some(&ticket)).await
            }
            outcome => outcome,
        }
    }

    async fn exchange_once(
        &self,
        planned: &PlannedRequest,
        ticket: Option<&str>,
    ) -> RequestOutcome {
        let Some(client) = self.balancer.next_ready() else {
            return RequestOutcome::NoReadyEntry;
        };
        let request_id = format!("{:032x}", planned.request_id);
        let Some(request) = self.request(planned, &request_id, ticket) else {
            return RequestOutcome::Response(ResponseClass::Wrong(
                "the request cannot be built".into(),
            ));
        };
        match client.exchange(request).await {
            Ok(response) => RequestOutcome::Response(response_class::classify(
                &response,
                &request_id,
                planned.lookup.input,
            )),
            Err(ExchangeError::Connect(_) | ExchangeError::NotSent) => RequestOutcome::NotConnected,
            Err(ExchangeError::Interrupted(_)) => RequestOutcome::Interrupted,
        }
    }

    fn request(
        &self,
        planned: &PlannedRequest,
        request_id: &str,
        ticket: Option<&str>,
    ) -> Option<Request<Full<Bytes>>> {
        let key = &self.arguments.team[planned.team].key;
        let mut request = Request::post(format!("/v1/lookups/{}", planned.lookup.name))
            .header("host", "entry")
            .header("authorization", format!("Bearer {key}"))
            .header("x-limpet-request-id", request_id)
            .header("x-limpet-deadline-ms", self.arguments.deadline_ms);
        if self.arguments.allow_partial {
            request = request.header("x-limpet-allow-partial", "true");
        }
        if planned.lookup.input != LookupInput::BodyOnly {
            request = request.header("x-limpet-record", format!("record-{}", planned.record));
        }
        if let Some(ticket) = ticket {
            request = request.header("x-limpet-ticket", ticket);
        }
        let body = format!("query {request_id}");
        request.body(Full::new(body.into())).ok()
    }
}
