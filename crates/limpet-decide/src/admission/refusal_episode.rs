//! The time during which a group refuses queries.

use std::time::Duration;

/// Time without a refusal after which a group has stopped refusing. It also limits the changes to one of each kind
/// per second.
const QUIET_TIME: Duration = Duration::from_secs(1);

/// Beginning or end of an episode.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EpisodeChange {
    /// The group refused the first query.
    Began,
    /// The group has refused no query for a second.
    Ended {
        /// Number of queries that were refused.
        refused_count: u64,
        /// Time from the first to the last refusal.
        duration: Duration,
    },
}

/// Tells when a group begins and stops refusing.
#[derive(Clone, Copy, Debug, Default)]
pub struct RefusalEpisode {
    /// Time of the first and of the last refusal, while the group refuses.
    times: Option<(Duration, Duration)>,
    refused_count: u64,
}

impl RefusalEpisode {
    /// Records `refused_count` refusals, which may be none; returns the change that this makes.
    pub fn update(&mut self, refused_count: usize, now: Duration) -> Option<EpisodeChange> {
        if refused_count > 0 {
            let began_at = self.times.map(|(began_at, _)| began_at);
            self.times = Some((began_at.unwrap_or(now), now));
            self.refused_count += refused_count as u64;
            return began_at.is_none().then_some(EpisodeChange::Began);
        }
        let (began_at, refused_at) = self.times?;
        if now.saturating_sub(refused_at) < QUIET_TIME {
            return None;
        }
        self.times = None;
        Some(EpisodeChange::Ended {
            refused_count: std::mem::take(&mut self.refused_count),
            duration: refused_at - began_at,
        })
    }
}
