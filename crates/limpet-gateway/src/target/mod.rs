//! Targets: their health, their connections and the load balancing between them.

mod cold_rate_limiter;
mod connection;
mod connection_pool;
mod error;
mod fleet;
mod one_target;
mod reply;
mod target_health;

pub use self::{
    cold_rate_limiter::ColdRateLimiter,
    connection::{
        Connection,
        OutgoingRequest, //
    },
    connection_pool::ConnectionPool,
    error::{
        AttemptError,
        AttemptErrorKind, //
    },
    fleet::{
        Fleet,
        TargetCriteria, //
    },
    one_target::{
        InFlightGuard,
        Target, //
    },
    reply::TargetReply,
    target_health::TargetHealth, //
};
