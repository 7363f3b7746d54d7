//! Targets: their health, their connections and the load balancing between them.

mod attempt_error;
mod cold_rate_limiter;
mod connection;
mod connection_pool;
mod crash_watch;
mod fleet;
mod head_limit;
mod one_target;
mod room_notifier;
mod service_load;
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
    crash_watch::{
        ConfirmedCrash,
        CrashWatch,
        FailedAttempt, //
    },
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
    target_reply::TargetReply, //
};
