//! Index of teams by the digests of their API keys.

use std::collections::HashMap;

use subtle::ConstantTimeEq;

use crate::model::Team;

/// Length of the digest prefix that serves as the hash map key.
const PREFIX_BYTES: usize = 4;

/// Finds the team of an API key digest without leaking the key through timing.
///
/// The time of a search may depend on the prefix. That reveals nothing about the API key, because the
/// prefix is one of the digest; the whole digest is compared in constant time.
#[derive(Clone, Debug, Default, PartialEq)]
pub(crate) struct KeyIndex {
    by_prefix: HashMap<[u8; PREFIX_BYTES], Vec<([u8; 32], usize)>>,
}

impl KeyIndex {
    pub(crate) fn new(teams: &[Team]) -> Self {
        let mut index = Self::default();
        for (team_index, digest) in teams
            .iter()
            .enumerate()
            .flat_map(|(index, team)| team.key_digests.iter().map(move |digest| (index, digest)))
        {
            let candidates = index.by_prefix.entry(digest_prefix(digest)).or_default();
            candidates.push((*digest, team_index));
        }
        index
    }

    /// Returns the index of the team that has this digest.
    pub(crate) fn team_index(&self, digest: &[u8; 32]) -> Option<usize> {
        let mut found = None;
        for (known, team_index) in self.by_prefix.get(&digest_prefix(digest))? {
            if bool::from(known.ct_eq(digest)) {
                found = Some(*team_index);
            }
        }
        found
    }
}

fn digest_prefix(digest: &[u8; 32]) -> [u8; PREFIX_BYTES] {
    let mut prefix = [0; PREFIX_BYTES];
    prefix.copy_from_slice(&digest[..PREFIX_BYTES]);
    prefix
}
