//! Rate limits of teams over all processes, without a coordinator.

mod rate_limiter;
mod timeout_estimator;
mod token_bucket;

pub use self::{
    rate_limiter::{
        AdmissionCounts,
        ProcessCounts,
        RateLimiter,
        TeamAdmissions,
        TeamTokens, //
    },
    timeout_estimator::TimeoutEstimator,
    token_bucket::TokenBucket,
};
