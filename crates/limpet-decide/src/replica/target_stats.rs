//! What an entry has observed of each target.

use std::{
    collections::HashMap,
    hash::{
        BuildHasherDefault,
        Hasher, //
    },
    time::Duration, //
};

use limpet_types::{
    IndexVersion,
    TargetAddr, //
};

/// Weight of a new sample in the smoothed latency, which thus follows about the last ten samples.
const LATENCY_SAMPLE_WEIGHT: f64 = 0.1;
/// Time in which a failure loses half of its weight.
const FAILURE_HALF_LIFE: Duration = Duration::from_secs(2);

/// What an entry has observed of one target.
#[derive(Clone, Debug, Default)]
pub struct TargetStats {
    /// Number of attempts of this entry that are in flight at the target.
    pub in_flight: u32,
    /// Smoothed latency of the attempts at the target; zero before the first sample.
    pub smoothed_latency: Duration,
    /// Whether the last reply reported the target as cold.
    pub is_cold: bool,
    /// Index versions that the target last reported to hold.
    pub reported_versions: Vec<IndexVersion>,
    /// Failures up to `failed_at`, each weighted by its age at that time.
    weighted_failures: f64,
    /// When the last failure was recorded.
    failed_at: Duration,
}

impl TargetStats {
    /// Records the latency of an attempt.
    pub fn record_latency(&mut self, sample: Duration) {
        self.smoothed_latency = if self.smoothed_latency.is_zero() {
            sample
        } else {
            self.smoothed_latency.mul_f64(1.0 - LATENCY_SAMPLE_WEIGHT)
                + sample.mul_f64(LATENCY_SAMPLE_WEIGHT)
        };
    }

    /// Records a failed attempt.
    pub fn record_failure(&mut self, now: Duration) {
        self.weighted_failures = self.recent_failures(now) + 1.0;
        self.failed_at = now;
    }

    /// Returns the number of failures, each weighted by its age.
    pub fn recent_failures(&self, now: Duration) -> f64 {
        if self.weighted_failures == 0.0 {
            return 0.0;
        }
        let age = now.saturating_sub(self.failed_at).as_secs_f64();
        self.weighted_failures * 0.5_f64.powf(age / FAILURE_HALF_LIFE.as_secs_f64())
    }
}

/// Odd multiplier without a pattern in its bits (the golden ratio).
const HASH_MULTIPLIER: u64 = 0x9e37_79b9_7f4a_7c15;

/// Fast hasher for target addresses.
///
/// Planning looks up about 2,000 addresses for one query. The hasher need not resist deliberate
/// collisions, because the addresses come from the operators.
#[derive(Clone, Copy, Debug, Default)]
struct AddrHasher(u64);

impl AddrHasher {
    fn mix(&mut self, word: u64) {
        self.0 = (self.0.rotate_left(23) ^ word).wrapping_mul(HASH_MULTIPLIER);
    }
}

impl Hasher for AddrHasher {
    fn write(&mut self, bytes: &[u8]) {
        for chunk in bytes.chunks(8) {
            let mut word = [0; 8];
            word[..chunk.len()].copy_from_slice(chunk);
            self.mix(u64::from_le_bytes(word));
        }
    }

    fn write_u16(&mut self, value: u16) {
        self.mix(value.into());
    }

    fn write_u32(&mut self, value: u32) {
        self.mix(value.into());
    }

    fn write_u64(&mut self, value: u64) {
        self.mix(value);
    }

    fn write_usize(&mut self, value: usize) {
        self.mix(value as u64);
    }

    fn finish(&self) -> u64 {
        // The hash table indexes by the low bits, which are the least mixed ones of a product.
        self.0 ^ (self.0 >> 32)
    }
}

/// Observations of all targets that the entry has used.
#[derive(Debug, Default)]
pub struct TargetStatsTable {
    targets: HashMap<TargetAddr, TargetStats, BuildHasherDefault<AddrHasher>>,
}

impl TargetStatsTable {
    /// Creates an empty table.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the observations of a target, if there are any.
    pub fn get(&self, target: TargetAddr) -> Option<&TargetStats> {
        self.targets.get(&target)
    }

    /// Returns the observations of a target for an update; adds the target if it is missing.
    pub fn get_or_insert(&mut self, target: TargetAddr) -> &mut TargetStats {
        self.targets.entry(target).or_default()
    }

    /// Returns the number of targets in the table.
    pub fn len(&self) -> usize {
        self.targets.len()
    }

    /// Returns whether the table has no targets.
    pub fn is_empty(&self) -> bool {
        self.targets.is_empty()
    }

    /// Removes the targets that `keep` rejects, but none with attempts in flight.
    pub fn retain(&mut self, keep: impl Fn(TargetAddr) -> bool) {
        self.targets
            .retain(|addr, stats| stats.in_flight > 0 || keep(*addr));
    }
}
