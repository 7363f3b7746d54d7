//! Checks the properties of a history.

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

/// Time within which each process must apply an accepted configuration change.
pub const CHANGE_DEADLINE_US: u64 = 5_000_000;

/// Returns all property violations in a history.
///
/// # Examples
///
/// ```
/// assert!(limpet_proof::check::violations(&[]).is_empty());
/// ```
pub fn violations(records: &[Record]) -> Vec<Violation> {
    let index = Index::new(records);
    let mut violations = Vec::new();
    answers::check(&index, &mut violations);
    targets::check(&index, &mut violations);
    teams::check(&index, &mut violations);
    runs::check(&index, &mut violations);
    violations
}
