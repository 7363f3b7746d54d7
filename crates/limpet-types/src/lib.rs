//! Types that limpetshunt processes and their tools share: identifiers, key ranges, refusals, peer messages,
//! status documents and the state of a deployment.
//!
//! The crate holds plain data only: no sockets and no async runtime.

pub mod clock;
pub mod codec;
pub mod deployment;
pub mod hash;
pub mod ids;
pub mod key_range;
pub mod message;
pub mod node;
pub mod refusal;
pub mod status;

pub use clock::BootClock;
pub use ids::{
    Incarnation,
    IndexVersion,
    LeaseGroupId,
    LookupName,
    RequestId,
    Revision,
    ServiceName,
    ShardName,
    TargetAddr,
    TargetName,
    TeamName,
    Term,
    ZoneName, //
};
pub use key_range::KeyRange;
pub use node::{
    NodeId,
    NodeRecord,
    Phase,
    Role, //
};
pub use refusal::{
    Refusal,
    RefusalCode, //
};
