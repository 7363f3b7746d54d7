//! Rate tokens held by an entry.

mod token_pool;

pub use token_pool::{
    PrefetchPolicy,
    TokenPool, //
};
