//! Search for the known name that is closest to an unknown one.

/// Longest name that is compared; the cost grows with the square of the length.
const COMPARED_NAME_MAX_BYTES: usize = 64;

/// Returns the candidate with the smallest edit distance to `name`, if the distance is at most a third
/// of the length of `name`, or 1 for a shorter name.
pub(super) fn find_closest_name<'a>(
    name: &str,
    candidates: impl Iterator<Item = &'a str>, //
) -> Option<&'a str> {
    let distance_max = (name.chars().count() / 3).max(1);
    candidates
        .filter(|candidate| {
            name.len() <= COMPARED_NAME_MAX_BYTES && candidate.len() <= COMPARED_NAME_MAX_BYTES
        })
        .map(|candidate| (levenshtein_distance(name, candidate), candidate))
        .filter(|(distance, _)| *distance <= distance_max)
        .min()
        .map(|(_, candidate)| candidate)
}

/// Returns the Levenshtein distance of two names, computed one row of the distance matrix at a time.
fn levenshtein_distance(left: &str, right: &str) -> usize {
    let right_chars: Vec<char> = right.chars().collect();
    let mut row: Vec<usize> = (0..=right_chars.len()).collect();
    for (left_index, left_char) in left.chars().enumerate() {
        let mut diagonal = row[0];
        row[0] = left_index + 1;
        for (right_index, right_char) in right_chars.iter().enumerate() {
            let substitution_distance = diagonal + usize::from(left_char != *right_char);
            diagonal = row[right_index + 1];
            row[right_index + 1] = substitution_distance
                .min(row[right_index] + 1)
                .min(diagonal + 1);
        }
    }
    row[right_chars.len()]
}
