//! Suggestion of the known name closest to an unknown one.

/// Longest name that is compared; the cost grows with the square of the length.
const COMPARED_NAME_MAX_BYTES: usize = 64;

/// Returns the candidate with the smallest edit distance to `name`, if the distance is at most a third
/// of the length of `name`, or 1 for a shorter name.
pub(super) fn nearest<'a>(
    name: &str,
    candidates: impl Iterator<Item = &'a str>, //
) -> Option<&'a str> {
    let distance_max = (name.chars().count() / 3).max(1);
    candidates
        .filter(|candidate| {
            name.len() <= COMPARED_NAME_MAX_BYTES && candidate.len() <= COMPARED_NAME_MAX_BYTES
        })
        .map(|candidate| (edit_distance(name, candidate), candidate))
        .filter(|(distance, _)| *distance <= distance_max)
        .min()
        .map(|(_, candidate)| candidate)
}

/// Returns the Levenshtein distance of two names.
fn edit_distance(left: &str, right: &str) -> usize {
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
