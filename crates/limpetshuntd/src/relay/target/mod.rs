//! The actor that runs all attempts on one owned target.

mod actor;
mod dispatch;
mod outcome;

pub(crate) use actor::{
    TargetActor,
    TargetActorMessage, //
};
pub(crate) use outcome::build_maybe_run_refusal;
