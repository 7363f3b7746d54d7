//! Budget of the extra attempts at a service, which all processes share without talking about each attempt.
//!
//! Answers this load: targets reject or pause, and every process repeats requests. The extra attempts of all processes
//! together must stay within a fraction of the requests plus a slack, in any window, although a process knows the use
//! of the others only from reports that may be late or missing.

mod budget;
mod retry_rank;
mod slack_share;

pub use self::{
    budget::{
        AttemptBudget,
        ExtraAttempt,
        RetryLimits, //
    },
    retry_rank::RetryRank,
    slack_share::SlackShare,
};
