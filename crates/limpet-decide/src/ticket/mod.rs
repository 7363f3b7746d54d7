//! Order tickets: each runs at most once.

mod table;
mod ticket_id;

pub use table::{
    Begin,
    Outcome,
    TicketLimits,
    TicketTable, //
};
pub use ticket_id::{
    TicketError,
    TicketId, //
};
