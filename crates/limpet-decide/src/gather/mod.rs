//! When a scatter-gather query sends extra attempts for its missing parts, and when it stops waiting for them.
//!
//! Answers this load: a part of the targets pauses at any time, so most queries over many shards meet one that does, and
//! one slow part must not hold an answer until the end of its goal.

mod hedge_timing;
mod parts;

pub use self::{
    hedge_timing::HedgeTiming,
    parts::{
        MissingPart,
        Parts, //
    },
};
