//! How much concurrent work a target may get.

mod state;

pub use state::{
    Change,
    ColdState,
    Evidence,
    RAMP_WINDOW, //
};
