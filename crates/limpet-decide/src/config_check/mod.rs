//! Checks a configuration before it is sent, and compares it with the version in force.
//!
//! Answers this load: one wrong entry of a configuration takes effect in all processes at once, at the full rate of
//! requests. The rules describe what the gateway does with the entries of a configuration.
//!
//! No text contains an API key.

mod check;
mod compare;
mod difference;
mod fields;
mod finding;
mod finding_kind;
mod place;
mod route_order;
mod route_rules;
mod service_rules;
mod team_rules;
mod unknown_field;

pub use self::{
    check::{
        KnownTargets,
        check, //
    },
    compare::{
        Comparison,
        compare, //
    },
    difference::{
        Difference,
        DifferenceKind, //
    },
    finding::Finding,
    finding_kind::{
        FindingKind,
        Severity, //
    },
    place::Place,
    unknown_field::UnknownField,
};
