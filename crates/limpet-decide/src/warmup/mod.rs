//! Warm-up of a target: how many attempts it may run at a time.

mod warmup_state;

pub use warmup_state::{
    RAMP_WINDOW,
    WarmupEvidence,
    WarmupState,
    WarmupTransition, //
};
