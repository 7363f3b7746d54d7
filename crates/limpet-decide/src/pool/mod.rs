//! Connections of one target.

mod connections;

pub use connections::{
    Checkout,
    ConnectionId,
    Pool,
    REPLACEMENT_INTERVAL,
    budget,
    suspect_after, //
};
