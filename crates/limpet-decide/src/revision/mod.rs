//! Decides whether an offered configuration text replaces the current one.

mod revision_tracker;

pub use revision_tracker::{
    ConfigVersion,
    OfferStatus,
    Origin,
    RevisionTracker, //
};
