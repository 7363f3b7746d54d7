//! Fair queueing of queries by team.

mod queue;

pub use queue::{
    Admission,
    FairQueue,
    QueryId,
    QueueLimits,
    ReleasedQuery, //
};
