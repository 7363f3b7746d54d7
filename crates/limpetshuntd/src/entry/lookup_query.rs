//! Runs one lookup over the shards of its service.

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
        AnsweredRange,
        Coverage,
        MissingRange,
        ShardCandidates,
        plan_attempts, //
    },
    replica::Candidate,
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
    /// Position of the shard in the plan, by which results are ordered.
    index: usize,
    pub(super) shard: ShardName,
    pub(super) body: Vec<u8>,
}

/// Result of one lookup.
#[derive(Clone, Debug)]
pub(super) struct LookupResult {
    pub(super) snapshot: Option<IndexVersion>,
    pub(super) is_complete: bool,
    pub(super) answered: Vec<AnsweredRange>,
    pub(super) missing: Vec<MissingRange>,
    /// `None` if nothing was found and the coverage is incomplete.
    pub(super) found: Option<bool>,
    pub(super) shard_results: Vec<ShardResult>,
}

/// Lists the replicas of each shard with the reason why one may not be used.
pub(super) fn plan_shards(config: &Config, shards: &[&Shard]) -> Vec<ShardCandidates> {
    let zones_out: HashMap<&str, bool> = config
        .zones
        .iter()
        .map(|zone| (&*zone.name, config.is_zone_disabled(&zone.name)))
        .collect();
    let plan_shard = |shard: &&Shard| {
        let candidates = shard.targets.iter().map(|target| Candidate {
            addr: target.addr,
            unusable: if target.state == TargetState::Leaving {
                Some(RefusalCode::TargetLeaving)
            } else if zones_out.get(&*target.zone).copied().unwrap_or(true) {
                Some(RefusalCode::ZoneOut)
            } else {
                None
            },
        });
        ShardCandidates {
            candidates: candidates.collect(),
        }
    };
    shards.iter().map(plan_shard).collect()
}

/// One lookup that runs.
pub(super) struct LookupQuery<'a> {
    entry: &'a Entry,
    request_context: &'a RequestContext,
    lookup: &'a Lookup,
    service: &'a Service,
    shards: Vec<&'a Shard>,
    key: Option<u64>,
    fingerprint: u64,
}

impl<'a> LookupQuery<'a> {
    /// Prepares a lookup.
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
        let is_keyed = matches!(lookup.kind, AttemptKind::Record | AttemptKind::Order);
        let (shards, key) = if is_keyed {
            let key = request_context.record_key_hash().ok_or_else(|| {
                let message = "x-limpet-record is required for this lookup";
                request_context.refuse_request(Refusal::not_run(RefusalCode::BadRequest, message))
            })?;
            (service.shard_of_key(key).into_iter().collect(), Some(key))
        } else {
            (service.shards.iter().collect(), None)
        };
        let kind = lookup.kind.as_str().as_bytes();
        // Two records with equal bodies are different requests: a crash by one must not strike the
        // other.
        let record = request_context.record_key.as_deref().filter(|_| is_keyed);
        let record = record.unwrap_or_default().as_bytes();
        Ok(Self {
            entry,
            request_context,
            lookup,
            service,
            shards,
            key,
            fingerprint: stable_hash_parts(&[
                service.name.as_bytes(),
                kind,
                record,
                &request_context.body,
            ]),
        })
    }

    /// Runs the lookup until it is answered or the deadline is near.
    pub(super) async fn run(self) -> Result<LookupResult, Refusal> {
        let config = &self.request_context.config_in_force.config;
        let plan_shards = plan_shards(config, &self.shards);
        let with_snapshot = self.service.snapshot && self.key.is_none();
        let (version, first) = {
            let views = self.entry.target_stats();
            let now = self.entry.board.now();
            plan_attempts(&views, &plan_shards, with_snapshot, now, rand::random)
        };
        let mut pin = VersionPin::new(version);
        let mut coverage = Coverage::new();
        for shard in &self.shards {
            let range = match self.key {
                Some(key) => KeyRange::new(key, key + 1),
                None => shard.range,
            };
            coverage.require(shard.name.clone(), range);
        }
        let mut results = Vec::new();
        let mut last_refusal = None;
        let mut found = false;
        let start = |index: usize, first, version| {
            let run = ShardQuery {
                entry: self.entry,
                request_context: self.request_context,
                service: self.service,
                shard: self.shards[index],
                kind: self.lookup.kind,
                snapshot: version,
                fingerprint: self.fingerprint,
                plan: plan_shards[index].clone(),
            };
            async move { (index, run.run(first).await) }
        };
        let mut running: FuturesUnordered<_> = first
            .into_iter()
            .enumerate()
            .map(|(index, first)| start(index, first, version))
            .collect();
        let time_left = self
            .request_context
            .answer_deadline()
            .saturating_sub(self.entry.board.now());
        let deadline = tokio::time::sleep(time_left);
        tokio::pin!(deadline);
        loop {
            let (index, ended) = tokio::select! {
                biased;
                ended = running.next() => match ended {
                    Some(ended) => ended,
                    None => break,
                },
                () = &mut deadline => break,
            };
            let shard = self.shards[index];
            let is_other_version = match &ended {
                Ok(answer) => {
                    with_snapshot && pin.check(answer.snapshot) == VersionMatch::Different
                }
                Err(refusal) => with_snapshot && refusal.code == RefusalCode::SnapshotUnavailable,
            };
            if is_other_version {
                let newer = choose_version(&self.entry.target_stats(), &plan_shards);
                if pin.repin(newer) {
                    self.log_repin(shard, version, newer);
                    // Dropping the futures cancels the attempts at the other version.
                    running = FuturesUnordered::new();
                    coverage.reset();
                    results.clear();
                    found = false;
                    last_refusal = None;
                    let (_, first) = {
                        let views = self.entry.target_stats();
                        let now = self.entry.board.now();
                        plan_attempts(&views, &plan_shards, false, now, rand::random)
                    };
                    for (index, first) in first.into_iter().enumerate() {
                        running.push(start(index, first, pin.version()));
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
            match ended {
                Ok(answer) => {
                    if !self.cover(&mut coverage, shard, &answer) {
                        coverage.record_refusal(&shard.name, RefusalCode::TargetFailed);
                        last_refusal = Some(Refusal::maybe_run(
                            RefusalCode::TargetFailed,
                            "the target answered for other keys than asked",
                        ));
                        continue;
                    }
                    found |= answer.found;
                    results.push(ShardResult {
                        index,
                        shard: shard.name.clone(),
                        body: answer.body,
                    });
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
        self.conclude(coverage, pin, found, results, last_refusal)
    }

    fn cover(&self, coverage: &mut Coverage, shard: &Shard, answer: &AttemptAnswer) -> bool {
        match self.key {
            // One record: any range with its key will do.
            Some(key) if answer.range.contains(key) => {
                coverage.accept(&shard.name, KeyRange::new(key, key + 1))
            }
            Some(_) => false,
            None => coverage.accept(&shard.name, answer.range),
        }
    }

    fn conclude(
        &self,
        coverage: Coverage,
        pin: VersionPin,
        found: bool,
        mut results: Vec<ShardResult>,
        last_refusal: Option<Refusal>,
    ) -> Result<LookupResult, Refusal> {
        let is_complete = coverage.is_complete();
        let is_answered = found && self.lookup.kind == AttemptKind::Exists;
        let missing = coverage.missing();
        metrics::counter!("limpet_entry_shards_missing").increment(missing.len() as u64);
        if !is_complete && !is_answered {
            let is_partial_sent = self.key.is_none()
                && self.request_context.is_partial_allowed
                && !results.is_empty();
            if !is_partial_sent {
                return Err(self
                    .request_context
                    .refuse_request(self.refusal(&missing, last_refusal)));
            }
        }
        results.sort_unstable_by_key(|result| result.index);
        Ok(LookupResult {
            snapshot: pin.version(),
            is_complete,
            answered: coverage.answered(),
            missing,
            found: (found || is_complete).then_some(found),
            shard_results: results,
        })
    }

    fn refusal(&self, missing: &[MissingRange], last_refusal: Option<Refusal>) -> Refusal {
        let is_keyed = self.key.is_some();
        match last_refusal {
            Some(refusal) if is_keyed || missing.len() == self.shards.len() => refusal,
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

    fn log_repin(&self, shard: &Shard, old: Option<IndexVersion>, new: Option<IndexVersion>) {
        metrics::counter!("limpet_entry_repins").increment(1);
        let time_left: Duration = self
            .request_context
            .deadline
            .saturating_sub(self.entry.board.now());
        tracing::info!(
            request_id = %format_args!("{:032x}", self.request_context.request_id),
            shard = %shard.name,
            old,
            new,
            time_left_ms = time_left.as_millis() as u64,
            "query moved to another index version"
        );
    }
}
