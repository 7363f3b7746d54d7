//! Which revision of the operators' text may replace which.

mod revision_tracker;

pub use revision_tracker::{
    ConfigVersion,
    OfferStatus,
    Origin,
    RevisionTracker, //
};
