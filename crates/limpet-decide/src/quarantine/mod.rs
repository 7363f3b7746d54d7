//! Requests that crash the targets that run them.

mod strike_table;

pub use strike_table::{
    StrikeTable,
    Verdict, //
};
