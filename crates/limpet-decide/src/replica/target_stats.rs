//! What an entry has seen of each target.

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

/// Weight of a new latency sample; about the last ten samples count.
const LATENCY_WEIGHT: f64 = 0.1;
/// Failures lose half of their weight in this time.
const FAILURE_HALF_LIFE: Duration = Duration::from_secs(2);

/// What an entry has seen of one target.
#[derive(Clone, Debug, Default)]
pub struct TargetStats {
    /// Attempts of this entry in flight.
    pub in_flight: u32,
    /// Smoothed latency; zero before the first sample.
    pub latency: Duration,
    /// Whether the last reply said that the target is cold.
    pub cold: bool,
    /// Index versions last reported.
    pub versions: Vec<IndexVersion>,
    failures: f64,
    failed_at: Duration,
}

impl TargetStats {
    /// Notes the end of an attempt.
    pub fn record_latency(&mut self, sample: Duration) {
        self.latency = if self.latency.is_zero() {
            sample
        } else {
            self.latency.mul_f64(1.0 - LATENCY_WEIGHT) + sample.mul_f64(LATENCY_WEIGHT)
        };
    }

    /// Notes a failed attempt.
    pub fn record_failure(&mut self, now: Duration) {
        self.failures = self.recent_failures(now) + 1.0;
        self.failed_at = now;
    }

    /// Returns the failures, each weighed by its age.
    pub fn recent_failures(&self, now: Duration) -> f64 {
        if self.failures == 0.0 {
            return 0.0;
        }
        let age = now.saturating_sub(self.failed_at).as_secs_f64();
        self.failures * 0.5_f64.powf(age / FAILURE_HALF_LIFE.as_secs_f64())
    }
}

/// Odd multiplier without a pattern in its bits (the golden ratio).
const HASH_MULTIPLIER: u64 = 0x9e37_79b9_7f4a_7c15;

/// Hasher of addresses: planning looks up some 2,000 of them for one query, and the addresses come
/// from the operators, so nobody can choose them to collide.
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
        // The table takes its index from the low bits, which a product fills worst.
        self.0 ^ (self.0 >> 32)
    }
}

/// Views of every target seen.
#[derive(Debug, Default)]
pub struct TargetStatsTable {
    targets: HashMap<TargetAddr, TargetStats, BuildHasherDefault<AddrHasher>>,
}

impl TargetStatsTable {
    /// Creates an empty set.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the view of a target, if there is one.
    pub fn get(&self, target: TargetAddr) -> Option<&TargetStats> {
        self.targets.get(&target)
    }

    /// Returns the view of a target for a change.
    pub fn get_mut(&mut self, target: TargetAddr) -> &mut TargetStats {
        self.targets.entry(target).or_default()
    }

    /// Returns the number of targets that the entry remembers.
    pub fn len(&self) -> usize {
        self.targets.len()
    }

    /// Returns whether the entry remembers no target.
    pub fn is_empty(&self) -> bool {
        self.targets.is_empty()
    }

    /// Forgets targets that left the text; those with attempts in flight stay.
    pub fn retain(&mut self, keep: impl Fn(TargetAddr) -> bool) {
        self.targets
            .retain(|addr, view| view.in_flight > 0 || keep(*addr));
    }
}
