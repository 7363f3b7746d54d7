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
const LOG_CHANGES_MAX: usize = 512;

/// What an update changed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Applied {
    /// Whether a newer text came.
    pub text: bool,
    /// Whether targets or zones changed.
    pub targets: bool,
}

/// State of the deployment at one revision.
///
/// Revisions only increase: what is older than the state is ignored, whichever way it came.
#[derive(Debug)]
pub struct DeploymentState {
    revision: u64,
    text: Option<Arc<Config>>,
    text_revision: u64,
    targets: BTreeMap<TargetId, (u64, Arc<TargetRecord>)>,
    /// Targets whose record lapsed around an outage of the source, with the end of the grace.
    lapsed: HashMap<TargetId, Duration>,
    zones_out: BTreeMap<Box<str>, u64>,
    log: VecDeque<VersionedChange>,
    /// Revision after which the log is complete.
    log_start: u64,
    verified_at: Option<Duration>,
    trouble_at: Option<Duration>,
    lapse_grace: Duration,
}

impl DeploymentState {
    /// Creates the state of a process that knows nothing.
    pub fn new(lapse_grace: Duration) -> Self {
        Self {
            revision: 0,
            text: None,
            text_revision: 0,
            targets: BTreeMap::new(),
            lapsed: HashMap::new(),
            zones_out: BTreeMap::new(),
            log: VecDeque::new(),
            log_start: 0,
            verified_at: None,
            trouble_at: None,
            lapse_grace,
        }
    }

    /// Returns the revision; 0 before the first update.
    pub const fn revision(&self) -> u64 {
        self.revision
    }

    /// Returns the newest text.
    pub const fn text(&self) -> Option<&Arc<Config>> {
        self.text.as_ref()
    }

    /// Returns whether any target is known.
    pub fn has_targets(&self) -> bool {
        !self.targets.is_empty()
    }

    /// Returns the targets that may be used, those included whose record lapsed a moment ago.
    pub fn targets(&self) -> impl Iterator<Item = (&TargetId, &Arc<TargetRecord>)> {
        self.targets.iter().map(|(id, (_, record))| (id, record))
    }

    /// Returns whether operators took a zone out.
    pub fn is_zone_out(&self, zone: &str) -> bool {
        self.zones_out.contains_key(zone)
    }

    /// Returns the time since the state was known to be the newest.
    pub fn age(&self, now: Duration) -> Option<Duration> {
        self.verified_at.map(|at| now.saturating_sub(at))
    }

    /// Notes that the source did not answer.
    pub fn note_trouble(&mut self, now: Duration) {
        self.trouble_at = Some(now);
    }

    /// Takes in an update; `asked_at` is when it was asked for.
    pub fn apply(&mut self, update: &Update, asked_at: Duration, now: Duration) -> Applied {
        let mut applied = Applied::default();
        if update.is_full_state {
            if update.revision < self.revision {
                return applied;
            }
            applied.targets |= self.drop_unnamed(update, now);
            self.log.clear();
            self.log_start = update.revision;
        }
        for stamped in &update.changes {
            self.apply_change(stamped, &mut applied, now);
        }
        if update.revision >= self.revision {
            self.revision = update.revision;
            let verified_at = asked_at.saturating_sub(update.age);
            self.verified_at = self.verified_at.max(Some(verified_at));
        }
        applied
    }

    /// Returns what happened after a revision, the whole state if the log does not reach so far.
    pub fn update_since(&self, after: u64, now: Duration) -> Update {
        let is_full_state = after < self.log_start || after > self.revision || after == 0;
        let changes = if is_full_state {
            self.all_changes()
        } else {
            let newer = self.log.iter().filter(|change| change.revision > after);
            newer.cloned().collect()
        };
        Update {
            is_full_state,
            revision: self.revision,
            changes,
            age: self.age(now).unwrap_or(Duration::MAX),
        }
    }

    /// Drops targets whose grace is over; returns whether any was dropped.
    pub fn expire_lapsed(&mut self, now: Duration) -> bool {
        let over: Vec<TargetId> = self
            .lapsed
            .iter()
            .filter(|(_, end)| now >= **end)
            .map(|(id, _)| id.clone())
            .collect();
        for id in &over {
            self.lapsed.remove(id);
            self.targets.remove(id);
            tracing::info!(target_id = %id, "target gone, its record did not return");
        }
        !over.is_empty()
    }

    fn all_changes(&self) -> Vec<VersionedChange> {
        let mut changes = Vec::new();
        let mut add = |revision, change| changes.push(VersionedChange { revision, change });
        if let Some(text) = &self.text {
            add(self.text_revision, Change::Config(Arc::clone(text)));
        }
        for (id, (revision, record)) in &self.targets {
            if !self.lapsed.contains_key(id) {
                add(*revision, Change::Target(id.clone(), Arc::clone(record)));
            }
        }
        for (zone, revision) in &self.zones_out {
            add(*revision, Change::ZoneDisabled(zone.clone()));
        }
        changes
    }

    /// Drops what a complete update does not name.
    fn drop_unnamed(&mut self, update: &Update, now: Duration) -> bool {
        let mut named = BTreeSet::new();
        let mut zones = BTreeSet::new();
        for stamped in &update.changes {
            match &stamped.change {
                Change::Target(id, _) => {
                    named.insert(id.clone());
                }
                Change::ZoneDisabled(zone) => {
                    zones.insert(zone.clone());
                }
                Change::Config(_) | Change::TargetRemoved(_) | Change::ZoneEnabled(_) => {}
            }
        }
        let gone: Vec<TargetId> = self
            .targets
            .iter()
            .filter(|(id, (revision, _))| *revision <= update.revision && !named.contains(*id))
            .map(|(id, _)| id.clone())
            .collect();
        let mut is_changed = false;
        for id in &gone {
            is_changed |= self.remove_target(id, now);
        }
        let zones_before = self.zones_out.len();
        self.zones_out.retain(|zone, _| zones.contains(zone));
        is_changed || zones_before != self.zones_out.len()
    }

    fn apply_change(&mut self, stamped: &VersionedChange, applied: &mut Applied, now: Duration) {
        let revision = stamped.revision;
        match &stamped.change {
            Change::Config(text) => {
                if !self.install_text(text, revision) {
                    return;
                }
                applied.text = true;
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
                applied.targets = true;
            }
            Change::TargetRemoved(id) => {
                let known = self.targets.get(id);
                if known.is_none_or(|(known, _)| *known >= revision) {
                    return;
                }
                applied.targets |= self.remove_target(id, now);
            }
            Change::ZoneDisabled(zone) => {
                let before = self.zones_out.insert(zone.clone(), revision);
                if before.is_none() {
                    tracing::info!(%zone, revision, "zone taken out");
                }
                applied.targets |= before.is_none();
            }
            Change::ZoneEnabled(zone) => {
                let is_older = self.zones_out.get(zone).is_some_and(|at| *at < revision);
                if is_older {
                    self.zones_out.remove(zone);
                    tracing::info!(%zone, revision, "zone given back");
                    applied.targets = true;
                }
            }
        }
        if revision > self.log_start {
            self.log.push_back(stamped.clone());
        }
        while self.log.len() > LOG_CHANGES_MAX {
            self.log_start = self.log.pop_front().map_or(self.log_start, |c| c.revision);
        }
    }

    /// Installs a text unless it is older than the one in force.
    fn install_text(&mut self, text: &Arc<Config>, revision: u64) -> bool {
        let version = self.text.as_ref().map_or(0, |text| text.version);
        if revision <= self.text_revision || (self.text.is_some() && text.version <= version) {
            return false;
        }
        tracing::info!(
            version = text.version,
            replaced = version,
            revision,
            "text installed"
        );
        self.text = Some(Arc::clone(text));
        self.text_revision = revision;
        true
    }

    /// Removes a target at once, or after the grace if the source was in trouble a moment ago.
    fn remove_target(&mut self, id: &TargetId, now: Duration) -> bool {
        let recent = self.lapse_grace * 2;
        let in_trouble = self.trouble_at.is_some_and(|at| now < at + recent);
        if in_trouble {
            let end = *self
                .lapsed
                .entry(id.clone())
                .or_insert(now + self.lapse_grace);
            tracing::info!(target_id = %id, ends_ms = end.as_millis(), "target record lapsed");
            return false;
        }
        self.lapsed.remove(id);
        tracing::info!(target_id = %id, "target gone");
        self.targets.remove(id).is_some()
    }
}
