//! Load generator: several concurrent callers.

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

/// Interval between requests of one task.
const REQUEST_INTERVAL: Duration = Duration::from_millis(15);

/// Tasks that send requests until they are stopped.
#[derive(Debug)]
pub struct Load {
    stop: watch::Sender<bool>,
    tasks: JoinSet<()>,
}

impl Load {
    /// Starts one task for each list of callers; each picks entry, team and kind at random from the seed.
    pub(super) fn start(seed: u64, callers: Vec<Vec<Caller>>) -> Self {
        let (stop, stopped) = watch::channel(false);
        let mut tasks = JoinSet::new();
        for (number, callers) in callers.into_iter().enumerate() {
            let rng = ChaCha8Rng::seed_from_u64(seed.wrapping_add(number as u64));
            tasks.spawn(send_until(stopped.clone(), rng, callers));
        }
        Self { stop, tasks }
    }

    /// Stops the tasks, each after its current request.
    pub async fn stop(mut self) {
        self.stop.send_replace(true);
        while self.tasks.join_next().await.is_some() {}
    }
}

async fn send_until(stopped: watch::Receiver<bool>, mut rng: ChaCha8Rng, mut callers: Vec<Caller>) {
    let mut interval = tokio::time::interval(REQUEST_INTERVAL);
    interval.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    while !*stopped.borrow() {
        interval.tick().await;
        let first = rng.random_range(0..callers.len());
        let team = ["retail", "small"][usize::from(rng.random_ratio(1, 4))];
        let kind = ["search", "exists", "record", "order"][rng.random_range(0..4)];
        let record = format!("A-{}", rng.random_range(0..1000));
        // The quarantine counts crashes by body, so equal bodies would share their strikes.
        let body = format!("oak {}", rng.random_range(0..1_000_000));
        let query = Query::new(kind, team).with_record(&record).with_body(&body);
        let response = callers[first].send(&query).await;
        let ticket = response.and_then(|response| response.answer.ticket);
        if let Some(ticket) = ticket {
            let other = rng.random_range(0..callers.len());
            callers[other]
                .send(&query.clone().with_ticket(&ticket))
                .await;
            // A caller that lost the response, or a load balancer, resends to another entry.
            let other = rng.random_range(0..callers.len());
            callers[other].send(&query.with_ticket(&ticket)).await;
        }
    }
}
