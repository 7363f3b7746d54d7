//! Fake platform: a configuration service (`/v1/config`) and a VM list (`/v1/vms`).
//!
//! Tests and scripts control it over HTTP, too:
//!
//! - `PUT /admin/text`: sets the configuration text to the body and returns its revision, which
//!   increases by one.
//! - `PUT /admin/vms`: sets the VM list to the body, in the form that `/v1/vms` returns.
//! - `PUT /admin/down?on=true|false`: while on, requests to `/v1` at this address get no response;
//!   turning it on also closes every open connection.
//! - `PUT /admin/stale?by=N`: serves the configuration text of N revisions ago.
//! - `GET /admin/calls`: returns the numbers of calls to the configuration service.

mod config_calls;
mod http;
mod server;
mod state;

pub use config_calls::ConfigCallCounts;
pub use server::{
    FakePlatform,
    FakePlatformServer, //
};
pub use state::{
    FakeVm,
    FakeVmList, //
};
