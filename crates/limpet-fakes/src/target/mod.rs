//! Fake targets: HTTP/1.1 servers with the headers that limpetshunt relies on.

mod answer;
mod control;
mod request_event;
mod server;
mod spec;
mod state;

pub use control::{
    ControlError,
    serve_control, //
};
pub use request_event::{
    Outcome,
    RequestEvent, //
};
pub use server::FakeTarget;
pub use spec::TargetSpec;
pub use state::{
    Fault,
    Stats, //
};
