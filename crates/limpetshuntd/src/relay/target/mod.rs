//! One actor per owned target.

mod actor;
mod dispatch;
mod outcome;

pub(crate) use actor::{
    TargetActor,
    TargetMessage, //
};
pub(crate) use outcome::maybe_run;
