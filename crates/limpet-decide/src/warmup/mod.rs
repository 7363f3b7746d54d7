//! How much concurrent work a target may get.

mod state;

pub use state::{
    Evidence,
    RAMP_WINDOW,
    Transition,
    WarmupState, //
};
