//! Load on a fleet: tasks that send requests at the same time.

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

/// Minimum interval between two queries of one task; an order is sent again with its ticket without this
/// interval.
const REQUEST_INTERVAL: Duration = Duration::from_millis(15);

/// Running tasks that send requests until they are stopped.
#[derive(Debug)]
pub struct RunningLoad {
    stop: watch::Sender<bool>,
    tasks: JoinSet<()>,
}

impl RunningLoad {
    /// Starts one task for each list of callers; each task chooses callers, teams and kinds at random
    /// from the seed.
    pub(super) fn start(seed: u64, callers: Vec<Vec<Caller>>) -> Self {
        let (stop, stopped) = watch::channel(false);
        let mut tasks = JoinSet::new();
        for (task_index, callers) in callers.into_iter().enumerate() {
            let rng = ChaCha8Rng::seed_from_u64(seed.wrapping_add(task_index as u64));
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

/// Sends queries until `stopped` is true; sends each order twice with its ticket.
async fn send_until(stopped: watch::Receiver<bool>, mut rng: ChaCha8Rng, mut callers: Vec<Caller>) {
    let mut interval = tokio::time::interval(REQUEST_INTERVAL);
    interval.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    while !*stopped.borrow() {
        interval.tick().await;
        let caller_index = rng.random_range(0..callers.len());
        let team = ["retail", "small"][usize::from(rng.random_ratio(1, 4))];
        let kind = ["search", "exists", "record", "order"][rng.random_range(0..4)];
        let record = format!("A-{}", rng.random_range(0..1000));
        // The quarantine counts crashes by body, so requests with equal bodies would share their strikes.
        let body = format!("oak {}", rng.random_range(0..1_000_000));
        let query = Query::new(kind, team).with_record(&record).with_body(&body);
        let response = callers[caller_index].send(&query).await;
        let ticket = response.and_then(|response| response.body.ticket);
        if let Some(ticket) = ticket {
            let ticket_caller_index = rng.random_range(0..callers.len());
            callers[ticket_caller_index]
                .send(&query.clone().with_ticket(&ticket))
                .await;
            // Repeats the order, as a caller that lost the response or a load balancer would, often to
            // another entry.
            let resending_caller_index = rng.random_range(0..callers.len());
            callers[resending_caller_index]
                .send(&query.with_ticket(&ticket))
                .await;
        }
    }
}
