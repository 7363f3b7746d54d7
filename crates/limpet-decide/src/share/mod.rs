//! Rate tokens held by an entry.

mod shares;

pub use shares::{
    SharePolicy,
    Shares, //
};
