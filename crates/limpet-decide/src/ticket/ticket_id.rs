//! Ticket and its text form.

use std::{
    fmt,
    net::SocketAddr,
    str::FromStr, //
};

use limpet_types::{
    NodeId,
    TeamName, //
};

/// Size above which a text is not parsed as a ticket.
const TEXT_SIZE_MAX_BYTES: usize = 512;

/// Identity of a ticket: the entry incarnation that issued it, its sequence number there, and the
/// team.
///
/// # Examples
///
/// ```
/// use limpet_decide::ticket::TicketId;
/// use limpet_types::NodeId;
///
/// let ticket = TicketId::new(NodeId::new("10.0.0.1:7101".parse().unwrap(), 7), 3, "cork".into());
/// assert_eq!(ticket.to_string().parse(), Ok(ticket));
/// ```
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TicketId {
    /// Entry that issued the ticket.
    pub issuer: NodeId,
    /// Sequence number within the issuer's incarnation.
    pub sequence: u64,
    /// Team that the ticket was issued to.
    pub team: TeamName,
}

/// Error for a text that is not a ticket.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("not a ticket: expected ADDRESS/INCARNATION/SEQUENCE/TEAM")]
pub struct ParseTicketError;

impl TicketId {
    /// Creates a ticket ID.
    pub const fn new(issuer: NodeId, sequence: u64, team: TeamName) -> Self {
        Self {
            issuer,
            sequence,
            team,
        }
    }
}

impl fmt::Display for TicketId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let NodeId { addr, incarnation } = self.issuer;
        let (sequence, team) = (self.sequence, &self.team);
        write!(f, "{addr}/{incarnation:016x}/{sequence:x}/{team}")
    }
}

impl FromStr for TicketId {
    type Err = ParseTicketError;

    fn from_str(text: &str) -> Result<Self, ParseTicketError> {
        if text.len() > TEXT_SIZE_MAX_BYTES {
            return Err(ParseTicketError);
        }
        let mut parts = text.splitn(4, '/');
        let mut part = || parts.next().ok_or(ParseTicketError);
        let addr: SocketAddr = part()?.parse().map_err(|_| ParseTicketError)?;
        let incarnation = u64::from_str_radix(part()?, 16).map_err(|_| ParseTicketError)?;
        let sequence = u64::from_str_radix(part()?, 16).map_err(|_| ParseTicketError)?;
        let team = part()?;
        if team.is_empty() {
            return Err(ParseTicketError);
        }
        Ok(Self::new(
            NodeId::new(addr, incarnation),
            sequence,
            team.into(),
        ))
    }
}
