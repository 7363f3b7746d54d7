//! Fake targets: HTTP/1.1 servers that send the headers that limpetshunt relies on, and can fail in
//! chosen ways.

mod answer;
mod control;
mod received_request;
mod server;
mod spec;
mod state;

pub use control::{
    ControlError,
    serve_control, //
};
pub use received_request::{
    ReceivedRequest,
    TargetOutcome, //
};
pub use server::FakeTarget;
pub use spec::TargetSpec;
pub use state::{
    FakeTargetStats,
    Fault, //
};
