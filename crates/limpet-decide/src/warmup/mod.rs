//! Warm-up of a target: how many attempts it may run at a time.

mod state;

pub use state::{
    RAMP_WINDOW,
    WarmupEvidence,
    WarmupState,
    WarmupTransition, //
};
