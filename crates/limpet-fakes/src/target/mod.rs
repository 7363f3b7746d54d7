//! Fake targets: HTTP/1.1 servers with the headers that limpetshunt relies on.

mod answer;
mod control;
mod event;
mod server;
mod spec;
mod state;

pub use control::{
    ControlError,
    serve_control, //
};
pub use event::{
    Event,
    Outcome, //
};
pub use server::FakeTarget;
pub use spec::TargetSpec;
pub use state::{
    Fault,
    Stats, //
};
