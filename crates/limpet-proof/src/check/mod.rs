//! Decides the properties of a history.

mod answers;
mod index;
mod runs;
mod targets;
mod teams;
mod violation;

pub use violation::{
    Property,
    Violation, //
};

use crate::history::Record;
use index::Index;

/// Time after which an accepted change of the operators must be in force everywhere.
pub const CHANGE_LIMIT_US: u64 = 5_000_000;

/// Returns every violation of a property in a history.
///
/// # Examples
///
/// ```
/// assert!(limpet_proof::check::violations(&[]).is_empty());
/// ```
pub fn violations(records: &[Record]) -> Vec<Violation> {
    let index = Index::new(records);
    let mut found = Vec::new();
    answers::check(&index, &mut found);
    targets::check(&index, &mut found);
    teams::check(&index, &mut found);
    runs::check(&index, &mut found);
    found
}
