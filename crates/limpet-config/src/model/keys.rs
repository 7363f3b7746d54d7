//! Teams by the digest of an API key.

use std::collections::HashMap;

use subtle::ConstantTimeEq;

use crate::model::Team;

/// Bytes of a digest that select the candidates.
const PREFIX_BYTES: usize = 4;

/// Digests by prefix.
///
/// The prefix may show in the time of a look-up. It is the digest's, not the key's, so it tells
/// nothing about a key; the whole digest is compared in constant time.
#[derive(Clone, Debug, Default, PartialEq)]
pub(crate) struct Keys {
    by_prefix: HashMap<[u8; PREFIX_BYTES], Vec<([u8; 32], usize)>>,
}

impl Keys {
    pub(crate) fn new(teams: &[Team]) -> Self {
        let mut keys = Self::default();
        for (team, digest) in teams
            .iter()
            .enumerate()
            .flat_map(|(at, team)| team.key_digests.iter().map(move |digest| (at, digest)))
        {
            let candidates = keys.by_prefix.entry(prefix(digest)).or_default();
            candidates.push((*digest, team));
        }
        keys
    }

    /// Returns the position of the team with this digest.
    pub(crate) fn team(&self, digest: &[u8; 32]) -> Option<usize> {
        let mut found = None;
        for (known, team) in self.by_prefix.get(&prefix(digest))? {
            if bool::from(known.ct_eq(digest)) {
                found = Some(*team);
            }
        }
        found
    }
}

fn prefix(digest: &[u8; 32]) -> [u8; PREFIX_BYTES] {
    let mut prefix = [0; PREFIX_BYTES];
    prefix.copy_from_slice(&digest[..PREFIX_BYTES]);
    prefix
}
