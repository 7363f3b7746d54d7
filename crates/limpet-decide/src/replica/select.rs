//! Selects one of the replicas of a shard.

use std::time::Duration;

use limpet_types::{
    IndexVersion,
    RefusalCode,
    TargetAddr, //
};

use crate::replica::TargetStatsTable;

/// Share of attempts sent to a cold target although a warm one exists, so that it can warm up.
pub const COLD_PROBE_SHARE: f64 = 1.0 / 20.0;
/// Latency assumed for a target without latency samples.
const LATENCY_DEFAULT_S: f64 = 0.001;
/// Number of attempts in flight that one recent failure counts as.
const FAILURE_WEIGHT: f64 = 4.0;

/// One replica that may be selected.
#[derive(Clone, Copy, Debug)]
pub struct ReplicaCandidate {
    /// Address of the target.
    pub addr: TargetAddr,
    /// Why the replica can't be used: its zone is out of service, its target is leaving or has no owner, or
    /// the query has tried the replica already. `None` if the replica can be used.
    pub unusable_reason: Option<RefusalCode>,
}

/// Why a replica was selected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SelectionReason {
    /// The replica has the lowest expected wait.
    LowestWait,
    /// The replica is cold and gets its share of attempts.
    ColdProbe,
    /// Every usable replica is cold.
    OnlyCold,
}

impl SelectionReason {
    /// Returns the name of the reason in log lines.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::LowestWait => "lowest_wait",
            Self::ColdProbe => "cold_probe",
            Self::OnlyCold => "only_cold",
        }
    }
}

/// A selected replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Selection {
    /// Index of the replica among the candidates.
    pub index: usize,
    /// Why the replica was selected.
    pub reason: SelectionReason,
}

/// Selects the warm replica with the lowest expected wait, or in some calls a cold one.
///
/// With a `pinned_version`, a target that has reported only other versions is rejected. `random_fraction` is
/// a uniformly distributed number in `0..1`. It decides whether to probe a cold replica, and between replicas
/// with equal scores.
///
/// # Errors
///
/// Returns the reason of the last rejected candidate if none is usable, and [`RefusalCode::NoTarget`] without
/// candidates.
pub fn select_replica(
    table: &TargetStatsTable,
    candidates: &[ReplicaCandidate],
    pinned_version: Option<IndexVersion>,
    now: Duration,
    random_fraction: f64,
) -> Result<Selection, RefusalCode> {
    // Score and index of the best warm replica and of the best cold one.
    let mut best: [Option<(f64, usize)>; 2] = [None, None];
    let mut refusal = RefusalCode::NoTarget;
    let count = candidates.len();
    // Equal scores are decided by the order, so each call starts at another candidate. The factor spreads
    // the starts evenly also over the small range of numbers that selects a cold replica.
    let start_index = (random_fraction * 1000.0 * count as f64) as usize;
    for offset in 0..count {
        let index = (start_index + offset) % count;
        let candidate = &candidates[index];
        if let Some(code) = candidate.unusable_reason {
            refusal = code;
            continue;
        }
        let (score, is_cold) = match table.get(candidate.addr) {
            None => (LATENCY_DEFAULT_S, false),
            Some(stats) => {
                if let Some(version) = pinned_version
                    && !stats.reported_versions.is_empty()
                    && !stats.reported_versions.contains(&version)
                {
                    refusal = RefusalCode::SnapshotUnavailable;
                    continue;
                }
                let latency = if stats.smoothed_latency.is_zero() {
                    LATENCY_DEFAULT_S
                } else {
                    stats.smoothed_latency.as_secs_f64()
                };
                let load = 1.0 + f64::from(stats.in_flight);
                let failure_load = FAILURE_WEIGHT * stats.recent_failures(now);
                (latency * (load + failure_load), stats.is_cold)
            }
        };
        let best = &mut best[usize::from(is_cold)];
        if best.is_none_or(|(lowest, _)| score < lowest) {
            *best = Some((score, index));
        }
    }
    match best {
        [_, Some((_, index))] if random_fraction < COLD_PROBE_SHARE => Ok(Selection {
            index,
            reason: SelectionReason::ColdProbe,
        }),
        [Some((_, index)), _] => Ok(Selection {
            index,
            reason: SelectionReason::LowestWait,
        }),
        [None, Some((_, index))] => Ok(Selection {
            index,
            reason: SelectionReason::OnlyCold,
        }),
        [None, None] => Err(refusal),
    }
}
