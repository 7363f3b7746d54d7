//! Suggestion of a known name for an unknown one.

/// Longest name compared; the cost grows with the square of the length.
const LENGTH_MAX: usize = 64;

/// Returns the candidate with the fewest edits from `name`, if a third of its length suffices.
pub(super) fn nearest<'a>(
    name: &str,
    candidates: impl Iterator<Item = &'a str>, //
) -> Option<&'a str> {
    let allowed = (name.chars().count() / 3).max(1);
    candidates
        .filter(|candidate| name.len() <= LENGTH_MAX && candidate.len() <= LENGTH_MAX)
        .map(|candidate| (distance(name, candidate), candidate))
        .filter(|(edits, _)| *edits <= allowed)
        .min()
        .map(|(_, candidate)| candidate)
}

/// Counts the insertions, deletions and replacements between two names (Levenshtein).
fn distance(left: &str, right: &str) -> usize {
    let right: Vec<char> = right.chars().collect();
    let mut row: Vec<usize> = (0..=right.len()).collect();
    for (i, l) in left.chars().enumerate() {
        let mut diagonal = row[0];
        row[0] = i + 1;
        for (j, r) in right.iter().enumerate() {
            let replaced = diagonal + usize::from(l != *r);
            diagonal = row[j + 1];
            row[j + 1] = replaced.min(row[j] + 1).min(diagonal + 1);
        }
    }
    row[right.len()]
}
