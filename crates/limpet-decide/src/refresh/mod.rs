//! Decides how a process keeps its state of the deployment current: whom it asks, for how long, and when it gives
//! up on an answer.
//!
//! The state of a process in contact with the source must never be older than a limit, whichever of the other
//! processes are lost, late or outdated. All waits of a process draw on this one limit: each wait for another
//! process ends early enough to ask the source, twice if the first call is lost.

mod limits;
mod outage;
mod planner;
mod step;
mod view;

pub use self::{
    limits::RefreshLimits,
    outage::{
        LapseLimits,
        SourceOutage, //
    },
    planner::RefreshPlanner,
    step::{
        PeerAnswer,
        RefreshStep,
        SourceAnswer, //
    },
    view::RefreshView,
};
