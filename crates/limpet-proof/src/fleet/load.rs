//! Load of several callers.

use std::time::Duration;

use rand::{
    Rng,
    SeedableRng, //
};
use rand_chacha::ChaCha8Rng;
use tokio::{
    sync::watch,
    task::JoinSet, //
};

use crate::fleet::{
    Caller,
    Query, //
};

/// Time between two requests of one caller.
const PACE: Duration = Duration::from_millis(15);

/// Callers that send until they are stopped.
#[derive(Debug)]
pub struct Load {
    stop: watch::Sender<bool>,
    callers: JoinSet<()>,
}

impl Load {
    /// Starts one task for each list of callers; each picks entry, team and kind by the seed.
    pub(super) fn start(seed: u64, lists: Vec<Vec<Caller>>) -> Self {
        let (stop, stopped) = watch::channel(false);
        let mut callers = JoinSet::new();
        for (number, list) in lists.into_iter().enumerate() {
            let rng = ChaCha8Rng::seed_from_u64(seed.wrapping_add(number as u64));
            callers.spawn(send_until(stopped.clone(), rng, list));
        }
        Self { stop, callers }
    }

    /// Stops the callers after the request that each is sending.
    pub async fn stop(mut self) {
        self.stop.send_replace(true);
        while self.callers.join_next().await.is_some() {}
    }
}

async fn send_until(stopped: watch::Receiver<bool>, mut rng: ChaCha8Rng, mut list: Vec<Caller>) {
    let mut pace = tokio::time::interval(PACE);
    pace.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    while !*stopped.borrow() {
        pace.tick().await;
        let place = rng.random_range(0..list.len());
        let team = ["retail", "small"][usize::from(rng.random_ratio(1, 4))];
        let kind = ["search", "exists", "record", "order"][rng.random_range(0..4)];
        let record = format!("A-{}", rng.random_range(0..1000));
        // Requests with one body are one request to the quarantine, and a crash would strike them all.
        let body = format!("oak {}", rng.random_range(0..1_000_000));
        let query = Query::new(kind, team).with_record(&record).with_body(&body);
        let response = list[place].send(&query).await;
        let ticket = response.and_then(|response| response.answer.ticket);
        if let Some(ticket) = ticket {
            let other = rng.random_range(0..list.len());
            list[other].send(&query.clone().with_ticket(&ticket)).await;
            // A caller that lost the response, or a load balancer, sends again elsewhere.
            let other = rng.random_range(0..list.len());
            list[other].send(&query.with_ticket(&ticket)).await;
        }
    }
}
