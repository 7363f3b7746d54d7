//! Settings of a fake target.

use std::net::SocketAddr;

use limpet_types::{
    IndexVersion,
    KeyRange, //
};
use serde::{
    Deserialize,
    Serialize, //
};

/// Settings of a fake target.
///
/// # Examples
///
/// ```
/// use limpet_fakes::target::TargetSpec;
///
/// let spec = TargetSpec::new("a").with_slots(2);
/// assert_eq!(spec.slots, 2);
/// ```
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct TargetSpec {
    /// Name of the target.
    pub name: Box<str>,
    /// Address to listen on; port 0 picks a free one.
    pub addr: SocketAddr,
    /// Name of the shard; only copied to each [`ReceivedRequest`](crate::target::ReceivedRequest).
    pub shard: Box<str>,
    /// Range of keys that the target holds.
    pub range: KeyRange,
    /// Index versions held; empty if the service has no snapshots.
    pub versions_held: Vec<IndexVersion>,
    /// Maximum number of requests that run at a time; further ones are shed.
    pub slots: u32,
    /// Maximum number of open connections; further ones are closed at once.
    pub connections_max: u32,
    /// Delay before a new connection is served.
    pub connect_delay_ms: u64,
    /// Time that a warm target takes for a request that is not a straggler.
    pub service_time_us: u64,
    /// Share of requests that take `straggler_factor` times as long (stragglers).
    pub straggler_share: f64,
    /// Factor on the service time of a straggler.
    pub straggler_factor: u32,
    /// Seed of the choice of stragglers and of the incarnations.
    pub seed: u64,
    /// Whether the target starts cold.
    pub starts_cold: bool,
    /// Maximum number of requests that run at a time while cold; a further one crashes the target.
    #[serde(rename = "cold_bears")]
    pub cold_requests_max: u32,
    /// Factor on the service time while cold.
    pub cold_factor: u32,
    /// Number of answers after which a cold target becomes warm.
    #[serde(rename = "cold_answers")]
    pub warm_after_answers: u32,
    /// Time for which a cancelled request still occupies its slot.
    pub cancel_lag_ms: u64,
    /// Time between a crash and the restart.
    pub restart_delay_ms: u64,
    /// Body of requests that crash the target.
    pub poison: Option<Box<str>>,
}

impl Default for TargetSpec {
    fn default() -> Self {
        Self {
            name: "target".into(),
            addr: SocketAddr::from(([127, 0, 0, 1], 0)),
            shard: "shard".into(),
            range: KeyRange::full(),
            versions_held: Vec::new(),
            slots: 2,
            connections_max: 25,
            connect_delay_ms: 0,
            service_time_us: 1_000,
            straggler_share: 0.0,
            straggler_factor: 10,
            seed: 1,
            starts_cold: false,
            cold_requests_max: 1,
            cold_factor: 5,
            warm_after_answers: 10,
            cancel_lag_ms: 0,
            restart_delay_ms: 50,
            poison: None,
        }
    }
}

impl TargetSpec {
    /// Creates the settings of a warm target on a free loopback port.
    pub fn new(name: &str) -> Self {
        Self {
            name: name.into(),
            ..Self::default()
        }
    }

    /// Sets the maximum number of requests that run at a time.
    pub const fn with_slots(mut self, slots: u32) -> Self {
        self.slots = slots;
        self
    }

    /// Sets the service time of a warm target.
    pub const fn with_service_time_us(mut self, service_time_us: u64) -> Self {
        self.service_time_us = service_time_us;
        self
    }

    /// Makes the target start cold, and sets how many requests run at a time while it is cold and how
    /// many answers make it warm.
    pub const fn with_cold_start(
        mut self,
        cold_requests_max: u32,
        warm_after_answers: u32,
    ) -> Self {
        self.starts_cold = true;
        self.cold_requests_max = cold_requests_max;
        self.warm_after_answers = warm_after_answers;
        self
    }

    /// Sets the body of requests that crash the target.
    pub fn with_poison(mut self, poison: &str) -> Self {
        self.poison = Some(poison.into());
        self
    }

    /// Sets the index versions held.
    pub fn with_versions_held(mut self, versions_held: &[IndexVersion]) -> Self {
        self.versions_held = versions_held.to_vec();
        self
    }
}
