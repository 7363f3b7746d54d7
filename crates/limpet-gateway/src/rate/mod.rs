//! Rates of teams over the whole fleet, without a coordinator.

mod account;
mod ledger;
mod patience;

pub use self::{
    account::Account,
    ledger::{
        Ledger,
        Presence,
        Sums,
        TeamCount,
        TeamLevel, //
    },
    patience::Patience,
};
