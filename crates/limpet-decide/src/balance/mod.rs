//! Choice of the target of a service that gets a request.
//!
//! Answers this load: in a large fleet each process sends a target only a small part of its requests, and what it
//! hears of the others is up to a second old. If all processes took the least loaded target by such figures, they
//! would send a second's requests to the same one. So each compares a few targets drawn at random, by what all
//! processes sent over a time that is much longer than the reports are old, and by the time that these requests took.

mod candidate;
mod choice;
mod load_sums;
mod rejection_backoff;
mod target_health;
mod target_load;

pub use self::{
    candidate::{
        Availability,
        Candidate, //
    },
    choice::{
        View,
        choose, //
    },
    rejection_backoff::RejectionBackoff,
    target_health::TargetHealth,
    target_load::TargetLoad, //
};
