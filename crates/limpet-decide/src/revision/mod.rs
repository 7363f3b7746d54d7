//! Which revision of the operators' text may replace which.

mod revisions;

pub use revisions::{
    Origin,
    Revisions,
    Seen,
    Verdict, //
};
