//! What targets say in their replies about further requests.

mod notices;
mod retry_after;

pub use self::{
    notices::TargetNotices,
    retry_after::parse_retry_after, //
};
