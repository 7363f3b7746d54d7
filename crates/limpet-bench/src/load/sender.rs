//! Requests of one team at its rate.

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
        LookupLoad,
        LookupNeed, //
    },
    balancer::Balancer,
    check::{
        self,
        Outcome, //
    },
    client::ExchangeError,
    report::{
        Ending,
        Tally, //
    },
};

/// Wait beyond the deadline until a request counts as lost.
const RESPONSE_GRACE: Duration = Duration::from_secs(2);
/// Most distinct record keys.
const RECORDS: u32 = 10_000;

/// Sends the requests of every team.
#[derive(Clone, Debug)]
pub(crate) struct Sender {
    arguments: Arc<LoadArguments>,
    balancer: Arc<Balancer>,
    tally: Arc<Tally>,
}

/// One request to be sent.
#[derive(Clone, Debug)]
struct Shot {
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
        tally: Arc<Tally>,
    ) -> Self {
        Self {
            arguments: Arc::new(arguments.clone()),
            balancer,
            tally,
        }
    }

    /// Sends one team's requests until `end`; arrivals do not wait for earlier responses.
    pub(crate) async fn run_team(self, team: usize, end: Instant) {
        let rate_per_s = self.arguments.team[team].rate_per_s;
        let mut rng = ChaCha8Rng::seed_from_u64(self.arguments.seed ^ ((team as u64) << 32));
        let mut running = JoinSet::new();
        let mut at = Instant::now();
        loop {
            // Exponential gaps make the arrivals independent of each other.
            let gap_s = -(1.0 - rng.random::<f64>()).ln() / rate_per_s;
            at += Duration::from_secs_f64(gap_s);
            if at >= end {
                break;
            }
            tokio::time::sleep_until(at.into()).await;
            let lookups = &self.arguments.lookup;
            let shot = Shot {
                team,
                lookup: lookups[rng.random_range(0..lookups.len())].clone(),
                request_id: rng.random(),
                record: rng.random_range(0..RECORDS),
            };
            running.spawn(self.clone().send(shot, at));
            while running.try_join_next().is_some() {}
        }
        while running.join_next().await.is_some() {}
    }

    async fn send(self, shot: Shot, due: Instant) {
        let limit = Duration::from_millis(self.arguments.deadline_ms) + RESPONSE_GRACE;
        let ending = tokio::time::timeout(limit, self.exchange(&shot))
            .await
            .unwrap_or(Ending::Lost);
        // Latency counts from when the request was due, so that a slow sender hides no queueing.
        self.tally.note(shot.team, &shot.lookup.name, due, ending);
    }

    async fn exchange(&self, shot: &Shot) -> Ending {
        let first = self.exchange_once(shot, None).await;
        match first {
            Ending::Judged(Outcome::Refused {
                ticket: Some(ticket),
                ..
            }) if shot.lookup.need == LookupNeed::Order => {
                self.exchange_once(shot, Some(&ticket)).await
            }
            ending => ending,
        }
    }

    async fn exchange_once(&self, shot: &Shot, ticket: Option<&str>) -> Ending {
        let Some(client) = self.balancer.choose() else {
            return Ending::NoEntry;
        };
        let request_id = format!("{:032x}", shot.request_id);
        let Some(request) = self.request(shot, &request_id, ticket) else {
            return Ending::Judged(Outcome::Wrong("the request cannot be built".into()));
        };
        match client.exchange(request).await {
            Ok(response) => {
                Ending::Judged(check::classify(&response, &request_id, shot.lookup.need))
            }
            Err(ExchangeError::Connect(_) | ExchangeError::NotSent) => Ending::NotConnected,
            Err(ExchangeError::Cut(_)) => Ending::Cut,
        }
    }

    fn request(
        &self,
        shot: &Shot,
        request_id: &str,
        ticket: Option<&str>,
    ) -> Option<Request<Full<Bytes>>> {
        let key = &self.arguments.team[shot.team].key;
        let mut request = Request::post(format!("/v1/lookups/{}", shot.lookup.name))
            .header("host", "entry")
            .header("authorization", format!("Bearer {key}"))
            .header("x-limpet-request-id", request_id)
            .header("x-limpet-deadline-ms", self.arguments.deadline_ms);
        if self.arguments.allow_partial {
            request = request.header("x-limpet-allow-partial", "true");
        }
        if shot.lookup.need != LookupNeed::Nothing {
            request = request.header("x-limpet-record", format!("record-{}", shot.record));
        }
        if let Some(ticket) = ticket {
            request = request.header("x-limpet-ticket", ticket);
        }
        let body = format!("query {request_id}");
        request.body(Full::new(body.into())).ok()
    }
}
