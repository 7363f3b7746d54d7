//! Queues of the queries that this process runs, one for each group of services.

use std::{
    collections::HashMap,
    sync::{
        Arc,
        Mutex,
        MutexGuard,
        PoisonError, //
    },
    time::Duration,
};

use limpet_decide::admission::{
    AdmissionQueue,
    Arrival,
    Decision,
    EpisodeChange,
    Permit,
    Refusal,
    RefusalEpisode,
    RunReport,
    Verdict, //
};
use limpet_types::{
    deployment::ScatterGather,
    hash::stable_hash,
    message::GatherLoad, //
};
use metrics::Gauge;
use tokio::sync::oneshot;

use crate::shared_state::SharedState;

/// Part of the memory for bodies that the queries waiting in one queue may use.
const QUEUE_MEMORY_DIVISOR: usize = 2;
/// Time after which a queue that is not used is dropped.
const UNUSED_TIME: Duration = Duration::from_secs(600);

/// Shortest time between two log lines about a fall of the limit of a group.
const FALL_LOG_INTERVAL: Duration = Duration::from_secs(1);

/// Verdict on a query that waited.
pub(super) type WaitVerdict = Result<PermitGuard, Refusal>;

/// Identifies a group of services that share a limit and a queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(super) enum GroupKey {
    /// The shards of scatter-gather queries, by the hash of their names.
    Gather(u64),
    /// The service of single lookups, by the hash of its name.
    Lookup(u64),
}

/// Queue of a group with the callers that wait in it.
#[derive(Debug)]
struct Group {
    name: Box<str>,
    queue: AdmissionQueue,
    senders: HashMap<u64, oneshot::Sender<WaitVerdict>>,
    episode: RefusalEpisode,
    /// Limit of the latest log line about a fall, or the highest one since.
    logged_limit: usize,
    fall_logged_at: Duration,
    used_at: Duration,
    waiting_gauge: Gauge,
    limit_gauge: Gauge,
    expected_wait_gauge: Gauge,
}

/// Queues of the queries that this process runs.
#[derive(Debug, Default)]
pub struct AdmissionState {
    groups: Mutex<HashMap<GroupKey, Group>>,
}

/// Right to run a query, given back on drop.
#[derive(Debug)]
pub(super) struct PermitGuard {
    shared: Arc<SharedState>,
    key: GroupKey,
    permit: Option<Permit>,
}

impl GroupKey {
    /// Returns the group of a scatter-gather query; it does not depend on the order of the shards.
    pub(super) fn of_gather(gather: &ScatterGather) -> Self {
        let hashes = gather
            .shards
            .iter()
            .map(|shard| stable_hash(shard.as_bytes()));
        Self::Gather(hashes.fold(0, u64::wrapping_add))
    }

    /// Returns the group of the single lookups at a service.
    pub(super) fn of_lookup(service: &str) -> Self {
        Self::Lookup(stable_hash(service.as_bytes()))
    }
}

impl PermitGuard {
    /// Guards a permit of a group.
    pub(super) fn new(shared: &Arc<SharedState>, key: GroupKey, permit: Permit) -> Self {
        Self {
            shared: Arc::clone(shared),
            key,
            permit: Some(permit),
        }
    }

    /// Returns the time for which the query waited.
    pub(super) fn waited(&self) -> Duration {
        self.permit.as_ref().map_or(Duration::ZERO, Permit::waited)
    }

    /// Returns whether the use of the services matters when the query ends.
    pub(super) fn is_group_loaded(&self) -> bool {
        let admission = self.shared.admission();
        let groups = admission.lock();
        let now = self.shared.now();
        let (permit, group) = (self.permit.as_ref(), groups.get(&self.key));
        permit
            .zip(group)
            .is_some_and(|(permit, group)| group.queue.is_loaded(permit, now))
    }

    /// Gives back the permit of a query that ran. `in_flight_per_slot` holds the use of the services as far as it is
    /// known, of which an answer needs `needed_count`.
    pub(super) fn finish(
        mut self,
        report: RunReport,
        in_flight_per_slot: &[f64],
        needed_count: usize,
    ) {
        if let Some(permit) = self.permit.take() {
            let admission = self.shared.admission();
            admission.update(&self.shared, self.key, |queue, now| {
                let has_free_slots = queue.record_pressure(in_flight_per_slot, needed_count, now);
                let report = RunReport {
                    has_free_slots,
                    ..report
                };
                queue.finish(permit, &report, now);
            });
        }
    }
}

impl Drop for PermitGuard {
    /// Gives back the permit of a query that was cancelled or did not run.
    fn drop(&mut self) {
        if let Some(permit) = self.permit.take() {
            let admission = self.shared.admission();
            admission.update(&self.shared, self.key, |queue, now| {
                queue.cancel(permit, now);
            });
        }
    }
}

impl AdmissionState {
    /// Creates the state of a process without queries.
    pub fn new() -> Self {
        Self::default()
    }

    /// Decides on a query that arrives. If it waits, `sender` gets the verdict.
    pub(super) fn arrive(
        &self,
        shared: &Arc<SharedState>,
        key: GroupKey,
        group_name: impl FnOnce() -> Box<str>,
        arrival: Arrival,
        sender: oneshot::Sender<WaitVerdict>,
    ) -> Decision {
        let now = shared.now();
        let mut groups = self.lock();
        if !groups.contains_key(&key) {
            groups.retain(|_, group| {
                let is_idle = group.queue.running_count() == 0 && group.queue.waiting_count() == 0;
                let is_kept = !is_idle || now.saturating_sub(group.used_at) < UNUSED_TIME;
                if !is_kept {
                    // Nothing sets the gauges of a group that is gone.
                    group.set_gauges(now);
                }
                is_kept
            });
            groups.insert(key, Group::new(shared, group_name()));
        }
        let group = groups.get_mut(&key).expect("the group was inserted");
        group.used_at = now;
        let decision = group.queue.arrive(arrival, now);
        let refused_count = usize::from(matches!(decision, Decision::Refuse(_)));
        if let Decision::Wait { id, .. } = decision {
            group.senders.insert(id, sender);
        }
        let deliveries = group.take_deliveries(refused_count, now);
        drop(groups);
        deliver(shared, key, deliveries);
        decision
    }

    /// Refuses the queries that can no longer be in time. Returns when the check is due again for a query;
    /// `None` if it no longer waits.
    pub(super) fn check(
        &self,
        shared: &Arc<SharedState>,
        key: GroupKey,
        id: u64,
    ) -> Option<Duration> {
        self.update(shared, key, |queue, now| queue.check(id, now))
            .flatten()
    }

    /// Removes a query that may still wait.
    pub(super) fn leave(&self, key: GroupKey, id: u64) {
        if let Some(group) = self.lock().get_mut(&key)
            && group.senders.remove(&id).is_some()
        {
            group.queue.leave(id);
        }
    }

    /// Returns the scatter-gather queries of all groups.
    pub(crate) fn gather_load(&self, now: Duration) -> GatherLoad {
        let groups = self.lock();
        let gathers = groups
            .iter()
            .filter(|(key, _)| matches!(key, GroupKey::Gather(_)));
        let mut load = GatherLoad::default();
        for (_, group) in gathers {
            let queue = &group.queue;
            let add = |sum: u16, number: usize| sum.saturating_add(saturate(number as u128));
            load.running = add(load.running, queue.running_count());
            load.waiting = add(load.waiting, queue.waiting_count());
            load.limit = add(load.limit, queue.limit().permit_count());
            let expected_wait_ms = saturate(queue.expected_wait(0, now).as_millis());
            load.expected_wait_ms = load.expected_wait_ms.max(expected_wait_ms);
        }
        load
    }

    /// Sets the gauges of all groups.
    pub(crate) fn set_gauges(&self, now: Duration) {
        for group in self.lock().values() {
            group.set_gauges(now);
        }
    }

    /// Returns the time until capacity is expected for a query that no target accepted: at least that of one
    /// query of the group, after which a target has a free slot.
    pub(super) fn retry_wait(
        &self,
        shared: &SharedState,
        key: GroupKey,
        priority: u32,
    ) -> Duration {
        let groups = self.lock();
        groups.get(&key).map_or(Duration::ZERO, |group| {
            let mean_run_time = group.queue.limit().mean_run_time();
            let expected_wait = group.queue.expected_wait(priority, shared.now());
            expected_wait.max(mean_run_time)
        })
    }

    /// Changes the queue of a group and delivers the verdicts that follow from it.
    fn update<T>(
        &self,
        shared: &Arc<SharedState>,
        key: GroupKey,
        apply: impl FnOnce(&mut AdmissionQueue, Duration) -> T,
    ) -> Option<T> {
        let now = shared.now();
        let mut groups = self.lock();
        let group = groups.get_mut(&key)?;
        let result = apply(&mut group.queue, now);
        let deliveries = group.take_deliveries(0, now);
        drop(groups);
        deliver(shared, key, deliveries);
        Some(result)
    }

    /// Locks the groups. A poisoned lock is accepted, because the queues stay usable after a panic of another task.
    fn lock(&self) -> MutexGuard<'_, HashMap<GroupKey, Group>> {
        self.groups.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Group {
    /// Creates a group without queries.
    fn new(shared: &SharedState, name: Box<str>) -> Self {
        let settings = &shared.settings;
        let queue_bytes_max = settings.body_memory_bytes / QUEUE_MEMORY_DIVISOR;
        let queue =
            AdmissionQueue::new(settings.overload, settings.capacity_cores, queue_bytes_max);
        let label = String::from(&*name);
        Self {
            logged_limit: queue.limit().permit_count(),
            fall_logged_at: Duration::ZERO,
            queue,
            senders: HashMap::new(),
            episode: RefusalEpisode::default(),
            used_at: shared.now(),
            waiting_gauge: metrics::gauge!("limpet_queries_waiting", "group" => label.clone()),
            limit_gauge: metrics::gauge!("limpet_concurrency_limit", "group" => label.clone()),
            expected_wait_gauge: metrics::gauge!("limpet_expected_wait_seconds", "group" => label),
            name,
        }
    }

    /// Sets the gauges.
    fn set_gauges(&self, now: Duration) {
        let queue = &self.queue;
        let expected_wait = queue.expected_wait(0, now);
        self.waiting_gauge.set(queue.waiting_count() as f64);
        self.limit_gauge.set(queue.limit().permit_count() as f64);
        self.expected_wait_gauge.set(expected_wait.as_secs_f64());
    }

    /// Takes the verdicts with the senders of the queries, and logs if the group begins or stops refusing.
    fn take_deliveries(
        &mut self,
        refused_count: usize,
        now: Duration,
    ) -> Vec<(oneshot::Sender<WaitVerdict>, Verdict)> {
        self.log_fall(now);
        let verdicts = self.queue.take_verdicts();
        let is_refusal = |verdict: &&(u64, Verdict)| matches!(verdict.1, Verdict::Refuse(_));
        let refused_count = refused_count + verdicts.iter().filter(is_refusal).count();
        if let Some(change) = self.episode.update(refused_count, now) {
            self.log_change(change, now);
        }
        let deliveries = verdicts.into_iter().filter_map(|(id, verdict)| {
            let sender = self.senders.remove(&id)?;
            Some((sender, verdict))
        });
        deliveries.collect()
    }

    /// Logs that the limit fell, with at most one line in a while.
    fn log_fall(&mut self, now: Duration) {
        let limit = self.queue.limit().permit_count();
        if limit >= self.logged_limit {
            self.logged_limit = limit;
            return;
        }
        if now.saturating_sub(self.fall_logged_at) < FALL_LOG_INTERVAL {
            return;
        }
        tracing::info!(
            group = &*self.name,
            limit,
            limit_before = self.logged_limit,
            "concurrency limit of a group fell"
        );
        self.logged_limit = limit;
        self.fall_logged_at = now;
    }

    /// Logs that the group begins or stops refusing queries.
    fn log_change(&self, change: EpisodeChange, now: Duration) {
        let (running, waiting) = (self.queue.running_count(), self.queue.waiting_count());
        let limit = self.queue.limit().permit_count();
        let expected_wait_ms = self.queue.expected_wait(0, now).as_millis() as u64;
        match change {
            EpisodeChange::Began => tracing::warn!(
                group = &*self.name,
                running,
                waiting,
                limit,
                expected_wait_ms,
                "group begins to refuse queries"
            ),
            EpisodeChange::Ended {
                refused_count,
                duration,
            } => tracing::info!(
                group = &*self.name,
                refused = refused_count,
                refused_for_ms = duration.as_millis() as u64,
                limit,
                "group stops refusing queries"
            ),
        }
    }
}

/// Sends the verdicts. A permit whose query no longer waits is given back when its guard is dropped, so no lock
/// may be held here.
fn deliver(
    shared: &Arc<SharedState>,
    key: GroupKey,
    deliveries: Vec<(oneshot::Sender<WaitVerdict>, Verdict)>,
) {
    for (sender, verdict) in deliveries {
        let verdict = match verdict {
            Verdict::Start(permit) => Ok(PermitGuard::new(shared, key, permit)),
            Verdict::Refuse(refusal) => Err(refusal),
        };
        let _ = sender.send(verdict);
    }
}

/// Converts a number for a load report.
fn saturate(number: u128) -> u16 {
    u16::try_from(number).unwrap_or(u16::MAX)
}
