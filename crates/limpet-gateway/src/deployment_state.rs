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

use limpet_types::deployment::{
    Change,
    Config,
    TargetId,
    TargetRecord,
    Update,
    VersionedChange, //
};

/// Changes kept for followers.
const CHANGE_LOG_MAX: usize = 512;

/// Effect of an update on the state.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct UpdateEffect {
    /// Whether a newer configuration was installed.
    pub has_new_config: bool,
    /// Whether targets or disabled zones changed.
    pub has_target_changes: bool,
}

/// State of the deployment at one revision.
///
/// Revisions only increase: older changes are ignored, whether they come from the source or a process.
#[derive(Debug)]
pub struct DeploymentState {
    revision: u64,
    config: Option<Arc<Config>>,
    config_revision: u64,
    /// Targets, with the revision of each record.
    targets: BTreeMap<TargetId, (u64, Arc<TargetRecord>)>,
    /// Targets whose record lapsed around an outage of the source, with the end of their grace period.
    lapsed: HashMap<TargetId, Duration>,
    /// Disabled zones, with the revision at which each was disabled.
    disabled_zones: BTreeMap<Box<str>, u64>,
    change_log: VecDeque<VersionedChange>,
    /// Revision after which the change log is complete.
    change_log_start: u64,
    /// Latest time at which this was known to be the latest state.
    verified_at: Option<Duration>,
    source_failed_at: Option<Duration>,
    lapse_grace: Duration,
}

impl DeploymentState {
    /// Creates an empty state.
    pub fn new(lapse_grace: Duration) -> Self {
        Self {
            revision: 0,
            config: None,
            config_revision: 0,
            targets: BTreeMap::new(),
            lapsed: HashMap::new(),
            disabled_zones: BTreeMap::new(),
            change_log: VecDeque::new(),
            change_log_start: 0,
            verified_at: None,
            source_failed_at: None,
            lapse_grace,
        }
    }

    /// Returns the revision; 0 before the first update.
    pub const fn revision(&self) -> u64 {
        self.revision
    }

    /// Returns the latest configuration.
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

    /// Returns whether operators took a zone out of service.
    pub fn is_zone_disabled(&self, zone: &str) -> bool {
        self.disabled_zones.contains_key(zone)
    }

    /// Returns the time since this was last known to be the latest state.
    pub fn age(&self, now: Duration) -> Option<Duration> {
        self.verified_at.map(|at| now.saturating_sub(at))
    }

    /// Records that the source did not answer.
    pub fn record_source_failure(&mut self, now: Duration) {
        self.source_failed_at = Some(now);
    }

    /// Applies an update; `as_of` is the time to which the age of the update refers.
    pub fn apply(&mut self, update: &Update, as_of: Duration, now: Duration) -> UpdateEffect {
        let mut effect = UpdateEffect::default();
        if update.is_full_state {
            if update.revision < self.revision {
                return effect;
            }
            effect.has_target_changes |= self.remove_missing(update, now);
            self.change_log.clear();
            self.change_log_start = update.revision;
        }
        for versioned in &update.changes {
            self.apply_change(versioned, &mut effect, now);
        }
        if update.revision >= self.revision {
            self.revision = update.revision;
            let verified_at = as_of.saturating_sub(update.age);
            self.verified_at = self.verified_at.max(Some(verified_at));
        }
        effect
    }

    /// Returns the changes after a revision, or the whole state if the change log does not reach back
    /// to it.
    pub fn update_since(&self, after: u64, now: Duration) -> Update {
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
        Update {
            is_full_state,
            revision: self.revision,
            changes,
            age: self.age(now).unwrap_or(Duration::MAX),
        }
    }

    /// Removes lapsed targets whose grace period is over; returns whether any was removed.
    pub fn expire_lapsed(&mut self, now: Duration) -> bool {
        let expired: Vec<TargetId> = self
            .lapsed
            .iter()
            .filter(|(_, end)| now >= **end)
            .map(|(id, _)| id.clone())
            .collect();
        for id in &expired {
            self.lapsed.remove(id);
            self.targets.remove(id);
            tracing::info!(target_id = %id, "target removed: its record did not return");
        }
        !expired.is_empty()
    }

    fn all_changes(&self) -> Vec<VersionedChange> {
        let mut changes = Vec::new();
        let mut add = |revision, change| changes.push(VersionedChange { revision, change });
        if let Some(config) = &self.config {
            add(self.config_revision, Change::Config(Arc::clone(config)));
        }
        for (id, (revision, record)) in &self.targets {
            if !self.lapsed.contains_key(id) {
                add(*revision, Change::Target(id.clone(), Arc::clone(record)));
            }
        }
        for (zone, revision) in &self.disabled_zones {
            add(*revision, Change::ZoneDisabled(zone.clone()));
        }
        changes
    }

    /// Removes the targets and disabled zones that a full state does not contain.
    fn remove_missing(&mut self, update: &Update, now: Duration) -> bool {
        let mut present = BTreeSet::new();
        let mut zones = BTreeSet::new();
        for versioned in &update.changes {
            match &versioned.change {
                Change::Target(id, _) => {
                    present.insert(id.clone());
                }
                Change::ZoneDisabled(zone) => {
                    zones.insert(zone.clone());
                }
                Change::Config(_) | Change::TargetRemoved(_) | Change::ZoneEnabled(_) => {}
            }
        }
        let missing: Vec<TargetId> = self
            .targets
            .iter()
            .filter(|(id, (revision, _))| *revision <= update.revision && !present.contains(*id))
            .map(|(id, _)| id.clone())
            .collect();
        let mut is_changed = false;
        for id in &missing {
            is_changed |= self.remove_target(id, now);
        }
        let zones_before = self.disabled_zones.len();
        self.disabled_zones.retain(|zone, _| zones.contains(zone));
        is_changed || zones_before != self.disabled_zones.len()
    }

    fn apply_change(
        &mut self,
        versioned: &VersionedChange,
        effect: &mut UpdateEffect,
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
                self.lapsed.remove(id);
                let known = self.targets.get(id);
                if known.is_some_and(|(known, _)| *known >= revision) {
                    return;
                }
                tracing::info!(
                    target_id = %id, service = %record.service, addr = %record.addr,
                    state = ?record.state, cold_left_ms = record.warmup_left.as_millis(), revision,
                    "target record"
                );
                self.targets
                    .insert(id.clone(), (revision, Arc::clone(record)));
                effect.has_target_changes = true;
            }
            Change::TargetRemoved(id) => {
                let known = self.targets.get(id);
                if known.is_none_or(|(known, _)| *known >= revision) {
                    return;
                }
                effect.has_target_changes |= self.remove_target(id, now);
            }
            Change::ZoneDisabled(zone) => {
                let before = self.disabled_zones.insert(zone.clone(), revision);
                if before.is_none() {
                    tracing::info!(%zone, revision, "zone disabled");
                }
                effect.has_target_changes |= before.is_none();
            }
            Change::ZoneEnabled(zone) => {
                let is_older = self
                    .disabled_zones
                    .get(zone)
                    .is_some_and(|at| *at < revision);
                if is_older {
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
                .map_or(self.change_log_start, |c| c.revision);
        }
    }

    /// Installs a configuration unless it is older than the current one.
    fn install_config(&mut self, config: &Arc<Config>, revision: u64) -> bool {
        let version = self.config.as_ref().map_or(0, |config| config.version);
        if revision <= self.config_revision || (self.config.is_some() && config.version <= version)
        {
            return false;
        }
        tracing::info!(
            version = config.version,
            replaced = version,
            revision,
            "configuration installed"
        );
        self.config = Some(Arc::clone(config));
        self.config_revision = revision;
        true
    }

    /// Removes a target at once, or after the grace period if the source has failed recently.
    ///
    /// An outage of the source can make records lapse whose targets still run.
    fn remove_target(&mut self, id: &TargetId, now: Duration) -> bool {
        let recent = self.lapse_grace * 2;
        let has_source_failed = self.source_failed_at.is_some_and(|at| now < at + recent);
        if has_source_failed {
            let end = *self
                .lapsed
                .entry(id.clone())
                .or_insert(now + self.lapse_grace);
            tracing::info!(target_id = %id, ends_ms = end.as_millis(), "target record lapsed");
            return false;
        }
        self.lapsed.remove(id);
        tracing::info!(target_id = %id, "target removed");
        self.targets.remove(id).is_some()
    }
}
