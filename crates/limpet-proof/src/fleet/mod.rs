//! A test fleet: real `limpetshuntd` processes on loopback, with the fake platform and the fake targets of
//! `limpet-fakes`.

mod caller;
mod error;
mod fleet_layout;
mod ports;
mod process;
mod recorder;
mod running_fleet;
mod running_load;
mod summary;
mod waits;

pub use caller::{
    Caller,
    Query, //
};
pub use error::FleetError;
pub use fleet_layout::FleetLayout;
pub use process::Role;
pub use recorder::HistoryRecorder;
pub use running_fleet::Fleet;
pub use running_load::RunningLoad;
