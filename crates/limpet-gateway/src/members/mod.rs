//! The other processes of the fleet: who they are and what they admitted.

mod gossip;
mod membership;
mod message;

pub use self::{
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
