//! A request to one target.

use std::sync::Arc;

use limpet_types::deployment::WeightedService;
use rand::Rng;

use super::{
    Answer,
    Outcome,
    QueryContext,
    RequestError,
    repeat::Repeater, //
};

/// Chooses a service by weight; `draw` lies in 0..1.
pub(super) fn choose_service(split: &[WeightedService], draw: f64) -> Option<&str> {
    let total: f64 = split.iter().map(|part| part.weight.max(0.0)).sum();
    let mut left = draw * total;
    let mut chosen = None;
    for part in split.iter().filter(|part| part.weight > 0.0) {
        chosen = Some(&*part.service);
        if left < part.weight {
            break;
        }
        left -= part.weight;
    }
    chosen
}

/// Runs a request at one target of a service of `split`.
pub async fn run_single(query: Arc<QueryContext>, split: &[WeightedService]) -> Outcome {
    let draw = rand::rng().random_range(0.0..1.0);
    let no_service = RequestError::not_run(super::RequestErrorKind::NoTarget);
    let service = choose_service(split, draw).ok_or(no_service)?;
    match Repeater::new(query, service).run().await {
        Ok(reply) => Ok(Answer::Reply(reply)),
        Err(error) if error.is_not_run => Err(RequestError::not_run(error.kind)),
        Err(error) => Err(RequestError::may_have_run(error.kind)),
    }
}
