//! Connection pool of one target.

mod connections;

pub use connections::{
    Checkout,
    ConnectionId,
    ConnectionPool,
    REPLACEMENT_INTERVAL,
    connection_budget,
    suspicion_timeout, //
};
