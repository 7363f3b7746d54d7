//! Rates of teams over the whole fleet, without a coordinator.

mod account;
mod ledger;

pub use self::{
    account::Account,
    ledger::{
        Ledger,
        Presence,
        Sums,
        TeamCount,
        TeamLevel, //
    },
};
