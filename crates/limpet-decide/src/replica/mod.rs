//! Replica selection by the entry's own view.

mod select;
mod view;

pub use select::{
    COLD_PROBE_SHARE,
    Candidate,
    Choice,
    Reason,
    select, //
};
pub use view::{
    TargetView,
    Views, //
};
