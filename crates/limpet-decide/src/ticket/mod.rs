//! Order tickets.
