//! Fake configuration service and VM list.
//!
//! Admin requests:
//!
//! - `PUT /admin/text`: sets the configuration text (body); the revision increases by one.
//! - `PUT /admin/vms`: sets the document of `/v1/vms` (body).
//! - `PUT /admin/down?on=true|false`: while on, requests to `/v1` get no response; turning it
//!   on also closes every open connection.
//! - `PUT /admin/stale?by=N`: serves the text of N revisions ago.
//! - `GET /admin/calls`: returns the number of calls.

mod calls;
mod http;
mod server;
mod state;

pub use calls::CallCounts;
pub use server::{
    Frontend,
    Platform, //
};
pub use state::{
    FakeVm,
    FakeVmList, //
};
