//! Orders forwarded to the entry that issued their ticket.

use std::time::Duration;

use serde::{
    Deserialize,
    Serialize, //
};

use crate::{
    ids::{
        LookupName,
        RequestId,
        TeamName, //
    },
    refusal::Refusal, //
};

/// Forwards an order to the entry that issued its ticket.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ForwardOrderRequest {
    /// Identifier of the caller's request.
    pub request_id: RequestId,
    /// Team that the sender authenticated.
    pub team: TeamName,
    /// Lookup that places the order.
    pub lookup: LookupName,
    /// Ticket as the caller sent it.
    pub ticket: Box<str>,
    /// Record key that selects the shard.
    pub key: Box<str>,
    /// Time left until the deadline of the caller's request when the sender forwarded it.
    pub time_left: Duration,
    /// Order as the caller sent it.
    pub body: Vec<u8>,
}

/// Final answer to an order, or the reason why there is none; a repeated request with the same ticket gets
/// the same outcome.
pub type OrderOutcome = Result<Vec<u8>, Refusal>;

/// Reply to a [`ForwardOrderRequest`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ForwardOrderReply {
    /// Identifier of the caller's request, as in the forwarded request.
    pub request_id: RequestId,
    /// Outcome of the order.
    pub outcome: OrderOutcome,
}
