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

/// An order that arrived at another entry than the one that issued its ticket.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ForwardOrderRequest {
    /// Caller request.
    pub request_id: RequestId,
    /// Team, already authenticated by the sender.
    pub team: TeamName,
    /// Lookup that places the order.
    pub lookup: LookupName,
    /// Ticket as the caller sent it.
    pub ticket: Box<str>,
    /// Record key that chooses the shard.
    pub key: Box<str>,
    /// Time left when the request was forwarded.
    pub time_left: Duration,
    /// Order as the caller sent it.
    pub body: Vec<u8>,
}

/// Final outcome of an order; a repetition of the ticket gets the same.
pub type OrderOutcome = Result<Vec<u8>, Refusal>;

/// Reply to a [`ForwardOrderRequest`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ForwardOrderReply {
    /// As in the request.
    pub request_id: RequestId,
    /// What became of the order.
    pub outcome: OrderOutcome,
}
