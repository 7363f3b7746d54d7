//! Half-open ranges of the key space.

use serde::{
    Deserialize,
    Serialize, //
};

/// End of the key space: record keys are hashed to `0..KEY_SPACE_END`.
pub const KEY_SPACE_END: u64 = 1 << 32;

/// Half-open range `start..end` of hashed keys.
///
/// # Examples
///
/// ```
/// use limpet_types::KeyRange;
///
/// let left = KeyRange::new(0, 10);
/// assert!(left.contains(9) && !left.contains(10));
/// assert_eq!(left.intersect(KeyRange::new(5, 20)), Some(KeyRange::new(5, 10)));
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct KeyRange {
    /// First key of the range.
    pub start: u64,
    /// First key after the range.
    pub end: u64,
}

impl KeyRange {
    /// Creates a range.
    pub const fn new(start: u64, end: u64) -> Self {
        Self { start, end }
    }

    /// Returns the range of all keys.
    pub const fn full() -> Self {
        Self::new(0, KEY_SPACE_END)
    }

    /// Returns whether the range contains no key.
    pub const fn is_empty(&self) -> bool {
        self.start >= self.end
    }

    /// Returns whether the range contains `key`.
    pub const fn contains(&self, key: u64) -> bool {
        self.start <= key && key < self.end
    }

    /// Returns the intersection of two ranges, `None` if they are disjoint.
    pub fn intersect(self, other: Self) -> Option<Self> {
        let common = Self::new(self.start.max(other.start), self.end.min(other.end));
        (!common.is_empty()).then_some(common)
    }

    /// Returns the hash of a record key in the key space.
    pub fn hash_key(record_key: &[u8]) -> u64 {
        crate::hash::stable_hash(record_key) % KEY_SPACE_END
    }
}
