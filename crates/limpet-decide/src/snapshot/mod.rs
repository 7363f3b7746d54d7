//! Choice of the index version that a query reads.

use limpet_types::IndexVersion;

use crate::{
    plan::ShardCandidates,
    replica::TargetStatsTable, //
};

/// Returns the newest version that every shard has on some usable target.
///
/// A shard whose targets have reported nothing yet does not restrict the choice: its first reply
/// tells, and a wrong guess costs the one re-pin. Returns `None` if nothing was reported at all or if
/// no version is common.
pub fn choose_version(
    views: &TargetStatsTable,
    shards: &[ShardCandidates],
) -> Option<IndexVersion> {
    let mut common: Option<Vec<IndexVersion>> = None;
    let mut held: Vec<IndexVersion> = Vec::new();
    for shard in shards {
        held.clear();
        for candidate in shard.candidates.iter().filter(|c| c.unusable.is_none()) {
            if let Some(view) = views.get(candidate.addr) {
                held.extend_from_slice(&view.versions);
            }
        }
        if held.is_empty() {
            continue;
        }
        match &mut common {
            None => common = Some(held.clone()),
            Some(common) => common.retain(|version| held.contains(version)),
        }
    }
    common.and_then(|versions| versions.into_iter().max())
}

/// Version of one query; it changes at most once.
#[derive(Clone, Copy, Debug)]
pub struct VersionPin {
    version: Option<IndexVersion>,
    is_repinned: bool,
}

/// What to do with an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum VersionMatch {
    /// It is of the pinned version.
    Same,
    /// It is of another version and must be dropped.
    Different,
}

impl VersionPin {
    /// Creates the pin of a query; `None` takes the version of the first answer.
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

    /// Checks the version of an answer; an answer without a version never fits.
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

    /// Moves to `version`; false if the one move is used up or would change nothing.
    ///
    /// The caller must drop every answer received so far.
    pub fn repin(&mut self, version: Option<IndexVersion>) -> bool {
        if self.is_repinned || version.is_none() || version == self.version {
            return false;
        }
        self.version = version;
        self.is_repinned = true;
        true
    }
}
