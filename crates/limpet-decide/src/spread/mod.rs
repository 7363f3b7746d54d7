//! Decides how state spreads over a fleet: whom each process follows, and on which ways its reports go.
//!
//! Answers this load: with hundreds of processes, one reader that serves every follower, and reports from each
//! process straight to each other one, are the largest part of the traffic between zones. Both use a step in
//! each zone here: one follower in each zone reads from the fleet's reader, and one process in each zone passes
//! a report on to the others there.

mod readers;
mod report_routes;

pub use self::{
    readers::{
        ReaderRank,
        Readers,
        readers, //
    },
    report_routes::{
        ReportPeer,
        ReportRoute,
        report_routes, //
    },
};

/// Number of processes up to which there are no steps: each one reaches all others directly.
pub const DIRECT_PROCESSES_MAX: usize = 32;
