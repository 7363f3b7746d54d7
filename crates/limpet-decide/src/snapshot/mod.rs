//! Chooses and pins the index version that a query reads.

use limpet_types::IndexVersion;

use crate::{
    plan::ShardCandidates,
    replica::TargetStatsTable, //
};

/// Returns the newest index version that every shard has on at least one usable target.
///
/// A shard whose targets have not reported versions yet does not restrict the choice. Its first reply
/// reports them; if the choice was wrong, the query uses up its only change of version. Returns `None` if no
/// versions were reported at all or if the shards have none in common.
pub fn choose_version(
    table: &TargetStatsTable,
    shards: &[ShardCandidates],
) -> Option<IndexVersion> {
    let mut common_versions: Option<Vec<IndexVersion>> = None;
    let mut shard_versions: Vec<IndexVersion> = Vec::new();
    for shard in shards {
        shard_versions.clear();
        for candidate in shard
            .candidates
            .iter()
            .filter(|c| c.unusable_reason.is_none())
        {
            if let Some(stats) = table.get(candidate.addr) {
                shard_versions.extend_from_slice(&stats.reported_versions);
            }
        }
        if shard_versions.is_empty() {
            continue;
        }
        match &mut common_versions {
            None => common_versions = Some(shard_versions.clone()),
            Some(common) => common.retain(|version| shard_versions.contains(version)),
        }
    }
    common_versions.and_then(|versions| versions.into_iter().max())
}

/// Index version of one query; it changes at most once.
#[derive(Clone, Copy, Debug)]
pub struct VersionPin {
    version: Option<IndexVersion>,
    is_repinned: bool,
}

/// Whether an answer has the pinned index version.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum VersionMatch {
    /// The answer has the pinned version.
    Same,
    /// The answer has another version or none, and must be dropped.
    Different,
}

impl VersionPin {
    /// Creates a pin; with `None`, the first answer sets the version.
    pub const fn new(version: Option<IndexVersion>) -> Self {
        Self {
            version,
            is_repinned: false,
        }
    }

    /// Returns the pinned version.
    pub const fn version(&self) -> Option<IndexVersion> {
        self.version
    }

    /// Compares the version of an answer with the pinned one; if none is pinned yet, pins the answer's
    /// version first.
    ///
    /// An answer without a version never matches.
    pub fn check(&mut self, version: Option<IndexVersion>) -> VersionMatch {
        if self.version.is_none() {
            self.version = version;
        }
        if version.is_some() && self.version == version {
            VersionMatch::Same
        } else {
            VersionMatch::Different
        }
    }

    /// Pins `version` instead; returns `false` if the query has re-pinned already, or if `version` is `None`
    /// or pinned already.
    ///
    /// After a change the caller must drop all answers received so far.
    pub fn repin(&mut self, version: Option<IndexVersion>) -> bool {
        if self.is_repinned || version.is_none() || version == self.version {
            return false;
        }
        self.version = version;
        self.is_repinned = true;
        true
    }
}
