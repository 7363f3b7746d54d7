//! Membership: which gateway processes run, and the reports that they exchange.

mod announcement;
mod gossip;
mod load_reports;
mod membership;
mod message;
mod routes;

pub(crate) use self::routes::state_readers;
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
};
