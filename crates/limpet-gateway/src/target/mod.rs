//! Targets: what is known of each, its connections, and which one gets a request.

mod cold_gate;
mod connection;
mod error;
mod fleet;
mod one_target;
mod pool;
mod reply;
mod view;

pub use self::{
    cold_gate::ColdGate,
    connection::{
        Connection,
        OutgoingRequest, //
    },
    error::{
        AttemptError,
        AttemptErrorKind, //
    },
    fleet::{
        Fleet,
        Wanted, //
    },
    one_target::{
        InFlight,
        Target, //
    },
    pool::Pool,
    reply::TargetReply,
    view::View, //
};
