//! Queries the shards of a service for one lookup and combines their answers.

use std::{
    collections::HashMap,
    time::Duration, //
};

use futures::{
    StreamExt,
    stream::FuturesUnordered, //
};
use limpet_config::{
    Config,
    Lookup,
    Service,
    Shard,
    TargetState, //
};
use limpet_decide::{
    plan::{
        Coverage,
        MissingRange,
        ShardCandidates,
        ShardRange,
        plan_attempts, //
    },
    replica::ReplicaCandidate,
    snapshot::{
        VersionMatch,
        VersionPin,
        choose_version, //
    },
};
use limpet_types::{
    IndexVersion, KeyRange, Refusal, RefusalCode, ShardName,
    hash::stable_hash_parts,
    message::{
        AttemptAnswer,
        AttemptKind, //
    },
};

use crate::entry::{
    request_context::RequestContext,
    shard_query::ShardQuery,
    state::Entry, //
};

/// Answer of one shard.
#[derive(Clone, Debug)]
pub(super) struct ShardResult {
    /// Index of the shard among the queried shards. Results arrive in any order and are sorted by this
    /// index.
    shard_index: usize,
    pub(super) shard: ShardName,
    pub(super) body: Vec<u8>,
}

/// Combined result of the shards for one lookup, without the results of the lookups that it depends on.
#[derive(Clone, Debug)]
pub(super) struct LookupResult {
    /// Index version that all results were read from; `None` if none was pinned.
    pub(super) pinned_version: Option<IndexVersion>,
    /// Whether every key range of the lookup was answered.
    pub(super) is_complete: bool,
    pub(super) answered: Vec<ShardRange>,
    pub(super) missing: Vec<MissingRange>,
    /// Whether any shard found a match; `None` if none did and some key ranges have no answer.
    pub(super) found: Option<bool>,
    pub(super) shard_results: Vec<ShardResult>,
}

/// Returns the replicas of each shard, with the reason for each that may not be used.
///
/// A zone that the configuration does not list counts as disabled.
pub(super) fn list_candidates(config: &Config, shards: &[&Shard]) -> Vec<ShardCandidates> {
    let is_disabled_by_zone: HashMap<&str, bool> = config
        .zones
        .iter()
        .map(|zone| (&*zone.name, config.is_zone_disabled(&zone.name)))
        .collect();
    let list_shard_candidates = |shard: &&Shard| {
        let candidates = shard.targets.iter().map(|target| ReplicaCandidate {
            addr: target.addr,
            unusable_reason: if target.state == TargetState::Leaving {
                Some(RefusalCode::TargetLeaving)
            } else if is_disabled_by_zone
                .get(&*target.zone)
                .copied()
                .unwrap_or(true)
            {
                Some(RefusalCode::ZoneOut)
            } else {
                None
            },
        });
        ShardCandidates {
            candidates: candidates.collect(),
        }
    };
    shards.iter().map(list_shard_candidates).collect()
}

/// A running query of one lookup.
pub(super) struct LookupQuery<'a> {
    entry: &'a Entry,
    request_context: &'a RequestContext,
    lookup: &'a Lookup,
    service: &'a Service,
    /// Shards to query: the one that holds the record, or all of the service.
    shards: Vec<&'a Shard>,
    /// Hash of the record key, if the lookup concerns a single record.
    record_key_hash: Option<u64>,
    /// Hash that is equal for repetitions of the request, so that relays recognize and quarantine a request
    /// that crashes targets.
    fingerprint: u64,
}

impl<'a> LookupQuery<'a> {
    /// Selects the shards to query for `lookup`.
    pub(super) fn new(
        entry: &'a Entry,
        request_context: &'a RequestContext,
        lookup: &'a Lookup,
    ) -> Result<Self, Refusal> {
        let config = &request_context.config_in_force.config;
        let service = config.service(&lookup.service).ok_or_else(|| {
            request_context.refuse_request(Refusal::not_run(
                RefusalCode::UnknownLookup,
                "the service of the lookup is gone",
            ))
        })?;
        let is_single_record = matches!(lookup.kind, AttemptKind::Record | AttemptKind::Order);
        let (shards, record_key_hash) = if is_single_record {
            let record_key_hash = request_context.record_key_hash().ok_or_else(|| {
                let message = "x-limpet-record is required for this lookup";
                request_context.refuse_request(Refusal::not_run(RefusalCode::BadRequest, message))
            })?;
            (
                service.shard_of_key(record_key_hash).into_iter().collect(),
                Some(record_key_hash),
            )
        } else {
            (service.shards.iter().collect(), None)
        };
        let kind = lookup.kind.as_str().as_bytes();
        // Requests for two records may have equal bodies. The record key is part of the fingerprint, so
        // that a crash caused by one record does not quarantine requests for the other.
        let record_key = request_context
            .record_key
            .as_deref()
            .filter(|_| is_single_record);
        let record_key = record_key.unwrap_or_default().as_bytes();
        Ok(Self {
            entry,
            request_context,
            lookup,
            service,
            shards,
            record_key_hash,
            fingerprint: stable_hash_parts(&[
                service.name.as_bytes(),
                kind,
                record_key,
                &request_context.body,
            ]),
        })
    }

    /// Queries the shards until the lookup is answered, every shard has an answer or a refusal, or the time
    /// for answers has passed.
    ///
    /// For a service with snapshots, all answers must have the same index version, except for a single
    /// record, which only one shard answers. If a shard lacks the pinned version or answers with a different
    /// one, the query pins another version, if there is one, and starts over, at most once.
    pub(super) async fn run(self) -> Result<LookupResult, Refusal> {
        let config = &self.request_context.config_in_force.config;
        let candidates_by_shard = list_candidates(config, &self.shards);
        let should_pin = self.service.is_snapshot_required && self.record_key_hash.is_none();
        let (initial_version, first_selections) = {
            let target_stats = self.entry.target_stats();
            let now = self.entry.board.now();
            plan_attempts(
                &target_stats,
                &candidates_by_shard,
                should_pin,
                now,
                rand::random,
            )
        };
        let mut version_pin = VersionPin::new(initial_version);
        let mut coverage = Coverage::new();
        for shard in &self.shards {
            let range = match self.record_key_hash {
                Some(record_key_hash) => KeyRange::new(record_key_hash, record_key_hash + 1),
                None => shard.range,
            };
            coverage.require(shard.name.clone(), range);
        }
        let mut shard_results = Vec::new();
        let mut last_refusal = None;
        let mut found = false;
        let start_shard_query = |shard_index: usize, first_selection, pinned_version| {
            let shard_query = ShardQuery {
                entry: self.entry,
                request_context: self.request_context,
                service: self.service,
                shard: self.shards[shard_index],
                kind: self.lookup.kind,
                pinned_version,
                fingerprint: self.fingerprint,
                replicas: candidates_by_shard[shard_index].clone(),
            };
            async move { (shard_index, shard_query.run(first_selection).await) }
        };
        let mut running: FuturesUnordered<_> = first_selections
            .into_iter()
            .enumerate()
            .map(|(shard_index, first_selection)| {
                start_shard_query(shard_index, first_selection, initial_version)
            })
            .collect();
        let time_left = self
            .request_context
            .answer_deadline()
            .saturating_sub(self.entry.board.now());
        let deadline_timer = tokio::time::sleep(time_left);
        tokio::pin!(deadline_timer);
        loop {
            let (shard_index, outcome) = tokio::select! {
                biased;
                outcome = running.next() => match outcome {
                    Some(outcome) => outcome,
                    None => break,
                },
                () = &mut deadline_timer => break,
            };
            let shard = self.shards[shard_index];
            let is_version_mismatch = match &outcome {
                Ok(answer) => {
                    should_pin && version_pin.check(answer.snapshot) == VersionMatch::Different
                }
                Err(refusal) => should_pin && refusal.code == RefusalCode::SnapshotUnavailable,
            };
            if is_version_mismatch {
                let new_version = choose_version(&self.entry.target_stats(), &candidates_by_shard);
                if version_pin.repin(new_version) {
                    self.record_repin(shard, initial_version, new_version);
                    // Dropping the futures cancels the attempts at the old version.
                    running = FuturesUnordered::new();
                    coverage.reset();
                    shard_results.clear();
                    found = false;
                    last_refusal = None;
                    let (_, first_selections) = {
                        let target_stats = self.entry.target_stats();
                        let now = self.entry.board.now();
                        // Only selects replicas, without regard to the new version.
                        plan_attempts(
                            &target_stats,
                            &candidates_by_shard,
                            false,
                            now,
                            rand::random,
                        )
                    };
                    for (shard_index, first_selection) in first_selections.into_iter().enumerate() {
                        running.push(start_shard_query(
                            shard_index,
                            first_selection,
                            version_pin.version(),
                        ));
                    }
                } else {
                    coverage.record_refusal(&shard.name, RefusalCode::SnapshotUnavailable);
                    last_refusal = Some(Refusal::maybe_run(
                        RefusalCode::SnapshotUnavailable,
                        "no index version that every shard holds",
                    ));
                }
                continue;
            }
            match outcome {
                Ok(answer) => {
                    if !self.accept_answer(&mut coverage, shard, &answer) {
                        coverage.record_refusal(&shard.name, RefusalCode::TargetFailed);
                        last_refusal = Some(Refusal::maybe_run(
                            RefusalCode::TargetFailed,
                            "the target answered for other keys than asked",
                        ));
                        continue;
                    }
                    found |= answer.found;
                    shard_results.push(ShardResult {
                        shard_index,
                        shard: shard.name.clone(),
                        body: answer.body,
                    });
                    // One match answers an exists lookup, whatever the other shards hold.
                    if found && self.lookup.kind == AttemptKind::Exists {
                        break;
                    }
                }
                Err(refusal) => {
                    coverage.record_refusal(&shard.name, refusal.code);
                    last_refusal = Some(refusal);
                }
            }
        }
        drop(running);
        self.build_result(coverage, version_pin, found, shard_results, last_refusal)
    }

    /// Adds the key range of an answer to the coverage; `false` if the answer covers other keys than asked
    /// for and must be dropped.
    fn accept_answer(
        &self,
        coverage: &mut Coverage,
        shard: &Shard,
        answer: &AttemptAnswer,
    ) -> bool {
        match self.record_key_hash {
            // The range of an answer about a single record only has to contain its key.
            Some(record_key_hash) if answer.range.contains(record_key_hash) => coverage.accept(
                &shard.name,
                KeyRange::new(record_key_hash, record_key_hash + 1),
            ),
            Some(_) => false,
            None => coverage.accept(&shard.name, answer.range),
        }
    }

    /// Builds the result, or a refusal if key ranges have no answer, unless a match already answers an exists
    /// lookup or the caller accepts a partial result.
    ///
    /// A lookup of a single record and a lookup without any answer have no partial result.
    fn build_result(
        &self,
        coverage: Coverage,
        version_pin: VersionPin,
        found: bool,
        mut shard_results: Vec<ShardResult>,
        last_refusal: Option<Refusal>,
    ) -> Result<LookupResult, Refusal> {
        let is_complete = coverage.is_complete();
        let is_exists_answered = found && self.lookup.kind == AttemptKind::Exists;
        let missing = coverage.missing();
        metrics::counter!("limpet_entry_shards_missing").increment(missing.len() as u64);
        if !is_complete && !is_exists_answered {
            let is_partial_returned = self.record_key_hash.is_none()
                && self.request_context.is_partial_allowed
                && !shard_results.is_empty();
            if !is_partial_returned {
                return Err(self
                    .request_context
                    .refuse_request(self.build_refusal(&missing, last_refusal)));
            }
        }
        shard_results.sort_unstable_by_key(|result| result.shard_index);
        Ok(LookupResult {
            pinned_version: version_pin.version(),
            is_complete,
            answered: coverage.answered(),
            missing,
            found: (found || is_complete).then_some(found),
            shard_results,
        })
    }

    /// Returns the refusal of a query that failed.
    ///
    /// This is the last refusal of a shard, if there is one and the query concerns a single record or every
    /// shard is missing; otherwise a refusal that says how much is missing.
    fn build_refusal(&self, missing: &[MissingRange], last_refusal: Option<Refusal>) -> Refusal {
        let is_single_record = self.record_key_hash.is_some();
        match last_refusal {
            Some(refusal) if is_single_record || missing.len() == self.shards.len() => refusal,
            Some(refusal) => Refusal::maybe_run(
                RefusalCode::IncompleteCoverage,
                format!(
                    "{} of {} shards are missing, the last because of {refusal}",
                    missing.len(),
                    self.shards.len()
                ),
            ),
            None => Refusal::maybe_run(
                RefusalCode::DeadlineExceeded,
                format!("{} key ranges are missing at the deadline", missing.len()),
            ),
        }
    }

    /// Counts and logs that the query starts over with another index version.
    fn record_repin(
        &self,
        shard: &Shard,
        old_version: Option<IndexVersion>,
        new_version: Option<IndexVersion>,
    ) {
        metrics::counter!("limpet_entry_repins").increment(1);
        let time_left: Duration = self
            .request_context
            .deadline
            .saturating_sub(self.entry.board.now());
        tracing::info!(
            request_id = %format_args!("{:032x}", self.request_context.request_id),
            shard = %shard.name,
            old = old_version,
            new = new_version,
            time_left_ms = time_left.as_millis() as u64,
            "query restarted with another index version"
        );
    }
}
