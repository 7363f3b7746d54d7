//! Stand-in for the configuration service and the list of VMs.
//!
//! Admin requests: `PUT /admin/text` (body: the text; the revision increases by one), `PUT /admin/vms`
//! (body: the document of `/v1/vms`), `PUT /admin/down?on=true|false`, `PUT /admin/stale?by=N` (answer
//! as it was N revisions ago) and `GET /admin/calls`.

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
    FakeVms, //
};
