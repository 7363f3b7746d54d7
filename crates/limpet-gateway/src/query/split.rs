//! A request to one service, chosen by weight among those of a split.

use std::sync::Arc;

use limpet_types::deployment::WeightedService;
use rand::Rng;

use super::{
    Outcome,
    QueryContext,
    RequestError,
    admission::run_admitted_lookup, //
};

/// Chooses a service with a probability proportional to its weight; `draw` is a random number in 0..1.
///
/// Returns `None` if no service has a positive weight.
pub(super) fn choose_service(split: &[WeightedService], draw: f64) -> Option<&str> {
    let total_weight: f64 = split.iter().map(|entry| entry.weight.max(0.0)).sum();
    let mut remaining_weight = draw * total_weight;
    let mut chosen = None;
    for entry in split.iter().filter(|entry| entry.weight > 0.0) {
        chosen = Some(&*entry.service);
        if remaining_weight < entry.weight {
            break;
        }
        remaining_weight -= entry.weight;
    }
    chosen
}

/// Chooses a service of `split` by weight and runs a request at one of its targets.
pub async fn run_split(query: Arc<QueryContext>, split: &[WeightedService]) -> Outcome {
    let draw = rand::rng().random_range(0.0..1.0);
    let no_target_error = RequestError::not_run(super::RequestErrorKind::NoTarget);
    let service = choose_service(split, draw).ok_or(no_target_error)?;
    run_admitted_lookup(query, service).await
}
