//! A fleet of real `limpetshuntd` processes on loopback, with the fake platform and targets of
//! `limpet-fakes`.

mod caller;
mod error;
mod layout;
mod load;
mod ports;
mod process;
mod recorder;
mod running;
mod summary;
mod waits;

pub use caller::{
    Caller,
    Query, //
};
pub use error::FleetError;
pub use layout::Layout;
pub use load::Load;
pub use process::Role;
pub use recorder::Recorder;
pub use running::Fleet;
