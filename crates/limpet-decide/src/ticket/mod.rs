//! Order tickets: at most one order runs under each ticket.

mod ticket_id;
mod ticket_table;

pub use ticket_id::{
    ParseTicketError,
    TicketId, //
};
pub use ticket_table::{
    OutcomeStatus,
    TicketClaim,
    TicketLimits,
    TicketTable, //
};
