//! Merging of the records in the parts of a scatter-gather answer.

use bytes::Bytes;

/// Size of one record in a part.
pub(super) const RECORD_BYTES: usize = 16;

/// Returns the greatest `records_max` records of all parts in descending order.
///
/// Records are compared as bytes. Duplicates are kept; trailing bytes that do not fill a record are ignored.
///
/// # Examples
///
/// ```
/// use bytes::Bytes;
/// use limpet_gateway::query::greatest_records;
///
/// let parts = [Bytes::from_static(b"aaaaaaaaaaaaaaaabbbbbbbbbbbbbbbbrest")];
/// assert_eq!(greatest_records(&parts, 1), b"bbbbbbbbbbbbbbbb");
/// ```
pub fn greatest_records(parts: &[Bytes], records_max: usize) -> Vec<u8> {
    let records = parts
        .iter()
        .flat_map(|part| part.chunks_exact(RECORD_BYTES));
    let mut records: Vec<&[u8]> = records.collect();
    records.sort_unstable_by(|a, b| b.cmp(a));
    records.truncate(records_max);
    records.concat()
}
