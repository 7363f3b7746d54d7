//! State of the deployment as this process knows it.

use std::{
    collections::{
        BTreeMap,
        BTreeSet,
        HashMap,
        VecDeque, //
    },
    sync::Arc,
    time::Duration,
};

use limpet_decide::refresh::{
    LapseLimits,
    SourceOutage, //
};
use limpet_types::deployment::{
    Change,
    Config,
    StateUpdate,
    TargetId,
    TargetRecord,
    VersionedChange, //
};

/// Maximum number of changes kept for followers, the processes that take the state from this one.
const CHANGE_LOG_MAX: usize = 512;

/// Effect of an update on the state.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct UpdateEffect {
    /// Whether a newer config was installed.
    pub has_new_config: bool,
    /// Whether targets or disabled zones changed.
    pub has_target_changes: bool,
}

/// Age of a state at a point in time. The state may have been verified before this process started.
#[derive(Clone, Copy, Debug)]
struct KnownAge {
    age: Duration,
    /// Time since the start of the process to which the age refers.
    as_of: Duration,
}

impl KnownAge {
    /// Returns the age at a later time.
    fn at(self, now: Duration) -> Duration {
        self.age.saturating_add(now.saturating_sub(self.as_of))
    }
}

/// State of the deployment at one revision.
///
/// Revisions only increase: older changes are ignored, whether they come from the source or another process.
#[derive(Debug)]
pub struct DeploymentState {
    /// Revision of the latest update.
    revision: u64,
    config: Option<Arc<Config>>,
    /// Revision of the change that brought the config.
    config_revision: u64,
    /// Targets, with the revision of each record.
    targets: BTreeMap<TargetId, (u64, Arc<TargetRecord>)>,
    /// Targets whose record lapsed around an outage of the source, each with the time since the start of the
    /// process at which its grace period ends.
    lapsed_targets: HashMap<TargetId, Duration>,
    /// Disabled zones, with the revision at which each was disabled.
    disabled_zones: BTreeMap<Box<str>, u64>,
    /// Latest changes, the oldest first.
    change_log: VecDeque<VersionedChange>,
    /// Revision after which the change log is complete.
    change_log_start: u64,
    /// How old this state was at a point in time; `None` if it was never known to be the latest one.
    known_age: Option<KnownAge>,
    /// Latest outage of the source.
    outage: SourceOutage,
}

impl DeploymentState {
    /// Creates an empty state.
    pub fn new(lapse_limits: LapseLimits) -> Self {
        Self {
            revision: 0,
            config: None,
            config_revision: 0,
            targets: BTreeMap::new(),
            lapsed_targets: HashMap::new(),
            disabled_zones: BTreeMap::new(),
            change_log: VecDeque::new(),
            change_log_start: 0,
            known_age: None,
            outage: SourceOutage::new(lapse_limits),
        }
    }

    /// Returns the revision; 0 before the first update.
    pub const fn revision(&self) -> u64 {
        self.revision
    }

    /// Returns the latest config; `None` before the first one.
    pub const fn config(&self) -> Option<&Arc<Config>> {
        self.config.as_ref()
    }

    /// Returns whether any target is known.
    pub fn has_targets(&self) -> bool {
        !self.targets.is_empty()
    }

    /// Returns the targets, including those whose record lapsed within the grace period.
    pub fn targets(&self) -> impl Iterator<Item = (&TargetId, &Arc<TargetRecord>)> {
        self.targets.iter().map(|(id, (_, record))| (id, record))
    }

    /// Returns whether operators disabled a zone, so that its targets get no requests.
    pub fn is_zone_disabled(&self, zone: &str) -> bool {
        self.disabled_zones.contains_key(zone)
    }

    /// Returns the time since this state was last known to be the deployment's latest, if it ever was.
    pub fn age(&self, now: Duration) -> Option<Duration> {
        self.known_age.map(|known_age| known_age.at(now))
    }

    /// Records that the source did not answer a call sent at `sent_at`, so that targets whose records lapse soon
    /// after are kept for the grace period.
    pub fn record_source_failure(&mut self, sent_at: Duration) {
        self.outage.record_failure(sent_at);
    }

    /// Applies an update from the source or another process; `as_of` is the time to which the age of the
    /// update refers.
    pub fn apply(&mut self, update: &StateUpdate, as_of: Duration, now: Duration) -> UpdateEffect {
        let mut effect = UpdateEffect::default();
        // A late reply: applying it could bring back what was removed since.
        if update.revision < self.revision {
            return effect;
        }
        let verified_at = self.verified_at();
        self.record_age(update, as_of, now);
        if update.is_full_state {
            effect.has_target_changes |= self.remove_missing(update, verified_at, now);
            self.change_log.clear();
            self.change_log_start = update.revision;
        }
        for versioned in &update.changes {
            self.apply_change(versioned, &mut effect, verified_at, now);
        }
        self.revision = update.revision;
        effect
    }

    /// Returns when this state was last known to be the latest; `None` if never, or before this process started.
    fn verified_at(&self) -> Option<Duration> {
        let known_age = self.known_age?;
        known_age.as_of.checked_sub(known_age.age)
    }

    /// Records the age of an update, unless this state is known to be younger or the sender never knew how old
    /// its own was.
    fn record_age(&mut self, update: &StateUpdate, as_of: Duration, now: Duration) {
        if update.age == Duration::MAX {
            return;
        }
        if let Some(verified_at) = as_of.checked_sub(update.age) {
            self.outage.record_verified(verified_at, now);
        }
        let age = KnownAge {
            age: update.age,
            as_of,
        };
        let is_younger = self
            .known_age
            .is_none_or(|known_age| age.at(as_of) <= known_age.at(as_of));
        if is_younger {
            self.known_age = Some(age);
        }
    }

    /// Returns the changes after a revision, or the whole state if the revision is 0, lies before the start
    /// of the change log or is newer than this state.
    pub fn update_since(&self, after: u64, now: Duration) -> StateUpdate {
        let is_full_state = after < self.change_log_start || after > self.revision || after == 0;
        let changes = if is_full_state {
            self.all_changes()
        } else {
            let newer = self
                .change_log
                .iter()
                .filter(|change| change.revision > after);
            newer.cloned().collect()
        };
        StateUpdate {
            is_full_state,
            revision: self.revision,
            changes,
            age: self.age(now).unwrap_or(Duration::MAX),
        }
    }

    /// Removes lapsed targets whose grace period is over; returns whether any was removed.
    pub fn remove_lapsed_targets(&mut self, now: Duration) -> bool {
        let expired: Vec<TargetId> = self
            .lapsed_targets
            .iter()
            .filter(|(_, grace_end)| now >= **grace_end)
            .map(|(id, _)| id.clone())
            .collect();
        for id in &expired {
            self.lapsed_targets.remove(id);
            self.targets.remove(id);
            tracing::info!(target_id = %id, "target removed: its record did not return");
        }
        !expired.is_empty()
    }

    /// Returns when the next grace period of a lapsed target ends; `None` if no target lapsed.
    pub fn next_lapse_end(&self) -> Option<Duration> {
        self.lapsed_targets.values().min().copied()
    }

    /// Returns the whole state as a list of changes; targets whose record lapsed are left out.
    fn all_changes(&self) -> Vec<VersionedChange> {
        let mut changes = Vec::new();
        let mut add = |revision, change| changes.push(VersionedChange { revision, change });
        if let Some(config) = &self.config {
            add(self.config_revision, Change::Config(Arc::clone(config)));
        }
        for (id, (revision, record)) in &self.targets {
            if !self.lapsed_targets.contains_key(id) {
                add(*revision, Change::Target(id.clone(), Arc::clone(record)));
            }
        }
        for (zone, revision) in &self.disabled_zones {
            add(*revision, Change::ZoneDisabled(zone.clone()));
        }
        changes
    }

    /// Removes the targets and disabled zones that a full state does not contain; returns whether any was
    /// removed at once, not only after the grace period.
    fn remove_missing(
        &mut self,
        update: &StateUpdate,
        verified_at: Option<Duration>,
        now: Duration,
    ) -> bool {
        let mut listed_targets = BTreeSet::new();
        let mut listed_zones = BTreeSet::new();
        for versioned in &update.changes {
            match &versioned.change {
                Change::Target(id, _) => {
                    listed_targets.insert(id.clone());
                }
                Change::ZoneDisabled(zone) => {
                    listed_zones.insert(zone.clone());
                }
                Change::Config(_) | Change::TargetRemoved(_) | Change::ZoneEnabled(_) => {}
            }
        }
        let missing: Vec<TargetId> = self
            .targets
            .iter()
            .filter(|(id, (revision, _))| {
                *revision <= update.revision && !listed_targets.contains(*id)
            })
            .map(|(id, _)| id.clone())
            .collect();
        let mut is_changed = false;
        for id in &missing {
            is_changed |= self.remove_target(id, verified_at, now);
        }
        let zone_count_before = self.disabled_zones.len();
        self.disabled_zones
            .retain(|zone, _| listed_zones.contains(zone));
        is_changed || zone_count_before != self.disabled_zones.len()
    }

    /// Applies one change and adds it to the change log; ignores a change of the config or of a target that
    /// is not newer than what is known, and the removal of an unknown target.
    fn apply_change(
        &mut self,
        versioned: &VersionedChange,
        effect: &mut UpdateEffect,
        verified_at: Option<Duration>,
        now: Duration,
    ) {
        let revision = versioned.revision;
        match &versioned.change {
            Change::Config(config) => {
                if !self.install_config(config, revision) {
                    return;
                }
                effect.has_new_config = true;
            }
            Change::Target(id, record) => {
                self.lapsed_targets.remove(id);
                let known_target = self.targets.get(id);
                if known_target.is_some_and(|(known_revision, _)| *known_revision >= revision) {
                    return;
                }
                tracing::info!(
                    target_id = %id, service = %record.service, addr = %record.addr,
                    state = ?record.state, cold_left_ms = record.warmup_left.as_millis(), revision,
                    "target record applied"
                );
                self.targets
                    .insert(id.clone(), (revision, Arc::clone(record)));
                effect.has_target_changes = true;
            }
            Change::TargetRemoved(id) => {
                let known_target = self.targets.get(id);
                if known_target.is_none_or(|(known_revision, _)| *known_revision >= revision) {
                    return;
                }
                effect.has_target_changes |= self.remove_target(id, verified_at, now);
            }
            Change::ZoneDisabled(zone) => {
                let previous = self.disabled_zones.insert(zone.clone(), revision);
                if previous.is_none() {
                    tracing::info!(%zone, revision, "zone disabled");
                }
                effect.has_target_changes |= previous.is_none();
            }
            Change::ZoneEnabled(zone) => {
                let is_disabled_before = self
                    .disabled_zones
                    .get(zone)
                    .is_some_and(|disabled_at| *disabled_at < revision);
                if is_disabled_before {
                    self.disabled_zones.remove(zone);
                    tracing::info!(%zone, revision, "zone enabled");
                    effect.has_target_changes = true;
                }
            }
        }
        if revision > self.change_log_start {
            self.change_log.push_back(versioned.clone());
        }
        while self.change_log.len() > CHANGE_LOG_MAX {
            self.change_log_start = self
                .change_log
                .pop_front()
                .map_or(self.change_log_start, |dropped| dropped.revision);
        }
    }

    /// Installs a config if its revision and its version are both newer than those of the current one;
    /// returns whether it was installed.
    fn install_config(&mut self, config: &Arc<Config>, revision: u64) -> bool {
        let current_version = self.config.as_ref().map_or(0, |config| config.version);
        if revision <= self.config_revision
            || (self.config.is_some() && config.version <= current_version)
        {
            return false;
        }
        tracing::info!(
            version = config.version,
            replaced = current_version,
            revision,
            "configuration installed"
        );
        self.config = Some(Arc::clone(config));
        self.config_revision = revision;
        true
    }

    /// Removes a target at once, or after the grace period if its record lapsed around an outage of the source;
    /// returns whether it was removed at once. `verified_at` is when the state before was known to be the latest.
    fn remove_target(
        &mut self,
        id: &TargetId,
        verified_at: Option<Duration>,
        now: Duration,
    ) -> bool {
        if let Some(lapse_end) = self.outage.lapse_end(verified_at, now) {
            let lapse_end = *self.lapsed_targets.entry(id.clone()).or_insert(lapse_end);
            tracing::info!(
                target_id = %id, ends_ms = lapse_end.as_millis() as u64,
                left_ms = lapse_end.saturating_sub(now).as_millis() as u64,
                "target record lapsed after a source failure, target kept for the grace period"
            );
            return false;
        }
        self.lapsed_targets.remove(id);
        tracing::info!(target_id = %id, "target removed");
        self.targets.remove(id).is_some()
    }
}
