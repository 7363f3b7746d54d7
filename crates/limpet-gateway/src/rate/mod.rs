//! Rate limits of teams over all processes, without a coordinator.

mod rate_limiter;
mod token_bucket;
mod wait_time_estimator;

pub use self::{
    rate_limiter::{
        AdmissionCounts,
        ProcessCounts,
        RateLimiter,
        TeamAdmissions,
        TeamTokens, //
    },
    token_bucket::TokenBucket,
    wait_time_estimator::WaitTimeEstimator,
};
