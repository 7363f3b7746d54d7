//! The other processes of the fleet: who they are and what they admitted.

mod gossip;
mod message;
mod roster;

pub use self::{
    gossip::{
        Gossip,
        GossipError, //
    },
    message::{
        NodeId,
        Report,
        Welcome, //
    },
    roster::{
        REPORT_FANOUT,
        REPORT_PERIOD,
        Roster,
        RosterLimits, //
    },
};
