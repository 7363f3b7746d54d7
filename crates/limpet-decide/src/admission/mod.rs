//! Decides which queries of a group of services run, which wait and which are refused.
//!
//! Answers this load: more queries arrive than the targets of the group can answer within their goals. Without a
//! limit each of them gets slower until none is in time; with one, the queries that can still be in time run, the
//! urgent ones first, and the others are refused at once.

mod admission_limits;
mod admission_queue;
mod concurrency_limit;
mod refusal_episode;
mod retry_after;
mod route_runs;
mod service_pressure;
mod slot_use;
mod waiting_queue;

pub use self::{
    admission_limits::AdmissionLimits,
    admission_queue::{
        AdmissionQueue,
        Decision,
        Permit,
        Refusal,
        RefusalReason,
        Verdict, //
    },
    concurrency_limit::{
        CompletedRun,
        ConcurrencyLimit,
        RunReport, //
    },
    refusal_episode::{
        EpisodeChange,
        RefusalEpisode, //
    },
    retry_after::retry_after,
    route_runs::RouteRuns,
    service_pressure::ServicePressure,
    slot_use::SlotUse,
    waiting_queue::{
        Arrival,
        WaitingQueue, //
    },
};
