//! Sender of the load: sends the requests of each team at the team's rate.

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
    balancer::LoadBalancer,
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

/// Time after the deadline at which a request without a response counts as timed out.
const RESPONSE_GRACE: Duration = Duration::from_secs(2);
/// Number of distinct record keys.
const RECORD_KEY_COUNT: u32 = 10_000;

/// Sends the requests of every team.
#[derive(Clone, Debug)]
pub(crate) struct LoadSender {
    arguments: Arc<LoadArguments>,
    balancer: Arc<LoadBalancer>,
    recorder: Arc<LoadRecorder>,
}

/// A request of the load, before it is sent.
#[derive(Clone, Debug)]
struct PlannedRequest {
    /// Index of the team in the arguments.
    team_index: usize,
    lookup: LookupLoad,
    request_id: u128,
    /// Number in the record key; used if the lookup has a record.
    record_number: u32,
}

impl LoadSender {
    /// Creates a sender.
    pub(crate) fn new(
        arguments: &LoadArguments,
        balancer: Arc<LoadBalancer>,
        recorder: Arc<LoadRecorder>,
    ) -> Self {
        Self {
            arguments: Arc::new(arguments.clone()),
            balancer,
            recorder,
        }
    }

    /// Sends one team's requests until `end`, without waiting for earlier responses (open loop).
    pub(crate) async fn send_team_requests(self, team_index: usize, end: Instant) {
        let rate_per_s = self.arguments.team[team_index].rate_per_s;
        let mut rng = ChaCha8Rng::seed_from_u64(self.arguments.seed ^ ((team_index as u64) << 32));
        let mut in_flight = JoinSet::new();
        let mut due = Instant::now();
        loop {
            // Exponential gaps make the arrivals a Poisson process.
            let gap_s = -(1.0 - rng.random::<f64>()).ln() / rate_per_s;
            due += Duration::from_secs_f64(gap_s);
            if due >= end {
                break;
            }
            tokio::time::sleep_until(due.into()).await;
            let lookups = &self.arguments.lookup;
            let planned = PlannedRequest {
                team_index,
                lookup: lookups[rng.random_range(0..lookups.len())].clone(),
                request_id: rng.random(),
                record_number: rng.random_range(0..RECORD_KEY_COUNT),
            };
            in_flight.spawn(self.clone().send(planned, due));
            while in_flight.try_join_next().is_some() {}
        }
        while in_flight.join_next().await.is_some() {}
    }

    /// Sends a request and records its outcome.
    async fn send(self, planned: PlannedRequest, due: Instant) {
        let timeout = Duration::from_millis(self.arguments.deadline_ms) + RESPONSE_GRACE;
        let outcome = tokio::time::timeout(timeout, self.exchange(&planned))
            .await
            .unwrap_or(RequestOutcome::TimedOut);
        // Latency counts from the due time, so that a late sender does not hide queueing
        // (coordinated omission).
        self.recorder
            .record(planned.team_index, &planned.lookup.name, due, outcome);
    }

    /// Sends a request; repeats an order with the ticket that the entry issues for it.
    async fn exchange(&self, planned: &PlannedRequest) -> RequestOutcome {
        let first_outcome = self.exchange_once(planned, None).await;
        match first_outcome {
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
        let Some(request) = self.build_request(planned, &request_id, ticket) else {
            return RequestOutcome::Response(ResponseClass::Wrong(
                "the request cannot be built".into(),
            ));
        };
        match client.exchange(request).await {
            Ok(response) => RequestOutcome::Response(response_class::classify_response(
                &response,
                &request_id,
                planned.lookup.input,
            )),
            Err(ExchangeError::Connect(_) | ExchangeError::NotSent) => RequestOutcome::NotConnected,
            Err(ExchangeError::Interrupted(_)) => RequestOutcome::Interrupted,
        }
    }

    fn build_request(
        &self,
        planned: &PlannedRequest,
        request_id: &str,
        ticket: Option<&str>,
    ) -> Option<Request<Full<Bytes>>> {
        let key = &self.arguments.team[planned.team_index].key;
        let mut request = Request::post(format!("/v1/lookups/{}", planned.lookup.name))
            .header("host", "entry")
            .header("authorization", format!("Bearer {key}"))
            .header("x-limpet-request-id", request_id)
            .header("x-limpet-deadline-ms", self.arguments.deadline_ms);
        if self.arguments.allow_partial {
            request = request.header("x-limpet-allow-partial", "true");
        }
        if planned.lookup.input != LookupInput::BodyOnly {
            request = request.header(
                "x-limpet-record",
                format!("record-{}", planned.record_number),
            );
        }
        if let Some(ticket) = ticket {
            request = request.header("x-limpet-ticket", ticket);
        }
        let body = format!("query {request_id}");
        request.body(Full::new(body.into())).ok()
    }
}
