//! Rate tokens that an entry holds and requests.

mod token_pool;

pub use token_pool::{
    PrefetchPolicy,
    TokenPool, //
};
