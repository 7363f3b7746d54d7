//! Messages between limpetshunt processes, which are peers of each other.

mod attempt;
mod follow;
mod gather;
mod gossip;
mod grant;
mod load;
mod order;
mod peer;
mod vote;

pub use attempt::{
    AttemptAnswer,
    AttemptKind,
    AttemptReply,
    AttemptRequest, //
};
pub use follow::FollowRequest;
pub use gather::{
    GatherRefusal,
    GatherReply,
    GatherRequest, //
};
pub use gossip::{
    ConfigServiceReachability,
    ConfigText,
    GossipReply,
    GossipRequest,
    Strike, //
};
pub use grant::{
    DirectoryEntry,
    GrantReply,
    GrantRequest,
    OwnershipDecision,
    TokenDemand,
    TokenGrant,
    TokenUsage, //
};
pub use load::{
    GatherLoad,
    LOAD_REPORT_MARKER,
    LoadReport,
    NameHash,
    ServiceUse,
    TargetUse, //
};
pub use order::{
    ForwardOrderReply,
    ForwardOrderRequest,
    OrderOutcome, //
};
pub use peer::{
    PeerReply,
    PeerRequest,
    StatusReply, //
};
pub use vote::{
    VoteReply,
    VoteRequest, //
};
