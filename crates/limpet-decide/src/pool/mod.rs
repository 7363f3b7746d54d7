//! Connection pool of one target.

mod connection_pool;

pub use connection_pool::{
    Checkout,
    ConnectionId,
    ConnectionPool,
    REPLACEMENT_INTERVAL,
    connection_budget,
    suspicion_timeout, //
};
