//! Index of teams by the digests of their API keys.

use std::collections::HashMap;

use subtle::ConstantTimeEq;

use crate::model::Team;

/// Length of the digest prefix that serves as the hash map key.
const PREFIX_BYTES: usize = 4;

/// Finds the team of an API key digest without leaking the key through timing.
///
/// The time of a search may depend on the prefix of the digest, which reveals nothing about the API key
/// itself. The whole digest is compared in constant time.
#[derive(Clone, Debug, Default, PartialEq)]
pub(crate) struct ApiKeyIndex {
    /// Digests with their team indexes, by the prefix of the digest.
    candidates_by_prefix: HashMap<[u8; PREFIX_BYTES], Vec<([u8; 32], usize)>>,
}

impl ApiKeyIndex {
    pub(crate) fn new(teams: &[Team]) -> Self {
        let mut index = Self::default();
        for (team_index, digest) in teams.iter().enumerate().flat_map(|(team_index, team)| {
            team.key_digests
                .iter()
                .map(move |digest| (team_index, digest))
        }) {
            let candidates = index
                .candidates_by_prefix
                .entry(digest_prefix(digest))
                .or_default();
            candidates.push((*digest, team_index));
        }
        index
    }

    /// Returns the index of the team that has an API key with this digest.
    pub(crate) fn team_index(&self, digest: &[u8; 32]) -> Option<usize> {
        let mut found_team_index = None;
        for (known_digest, team_index) in self.candidates_by_prefix.get(&digest_prefix(digest))? {
            if bool::from(known_digest.ct_eq(digest)) {
                found_team_index = Some(*team_index);
            }
        }
        found_team_index
    }
}

fn digest_prefix(digest: &[u8; 32]) -> [u8; PREFIX_BYTES] {
    let mut prefix = [0; PREFIX_BYTES];
    prefix.copy_from_slice(&digest[..PREFIX_BYTES]);
    prefix
}
