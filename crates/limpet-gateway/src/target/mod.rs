//! Targets: their health, their connections and the load balancing between them.

mod attempt_error;
mod cold_rate_limiter;
mod connection;
mod connection_pool;
mod fleet;
mod head_limit;
mod one_target;
mod room_notifier;
mod target_health;
mod target_reply;

pub use self::{
    attempt_error::{
        AttemptError,
        AttemptErrorKind, //
    },
    cold_rate_limiter::ColdRateLimiter,
    connection::{
        Connection,
        OutgoingRequest,
        ReplyLimits, //
    },
    connection_pool::ConnectionPool,
    fleet::{
        Fleet,
        TargetCriteria,
        connections_share, //
    },
    one_target::{
        InFlightGuard,
        Target, //
    },
    room_notifier::{
        RoomGuard,
        RoomNotifier,
        ServiceRoom, //
    },
    target_health::TargetHealth,
    target_reply::TargetReply, //
};
