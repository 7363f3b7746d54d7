//! Membership: which gateway processes run, and the reports that they exchange.

mod announcement;
mod gossip;
mod load_reports;
mod membership;
mod message;
mod reported_loads;
mod routes;

pub use self::{
    announcement::Announcement,
    gossip::{
        Gossip,
        GossipError, //
    },
    membership::{
        Membership,
        MembershipLimits,
        REPORT_FANOUT,
        REPORT_PERIOD, //
    },
    message::{
        NodeId,
        Report,
        Welcome, //
    },
    reported_loads::ReportedLoads,
};
pub(crate) use self::{
    reported_loads::record_load_spreads,
    routes::state_readers, //
};
