//! Checks whether a history has the properties that the system guarantees.

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

use crate::history::HistoryRecord;
use index::HistoryIndex;

/// Time within which each process must apply an accepted configuration change.
pub const CHANGE_DEADLINE_US: u64 = 5_000_000;

/// Returns each violation of a property in a history.
///
/// # Examples
///
/// ```
/// assert!(limpet_proof::check::find_violations(&[]).is_empty());
/// ```
pub fn find_violations(records: &[HistoryRecord]) -> Vec<Violation> {
    let index = HistoryIndex::new(records);
    let mut violations = Vec::new();
    answers::check(&index, &mut violations);
    targets::check(&index, &mut violations);
    teams::check(&index, &mut violations);
    runs::check(&index, &mut violations);
    violations
}
