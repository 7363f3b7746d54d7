//! Simulation of relays and entries with drifting clocks, on a network that loses, repeats and
//! delays messages.

use std::{
    cmp::Reverse,
    collections::{
        BTreeMap,
        BinaryHeap, //
    },
    time::Duration,
};

use limpet_decide::{
    grant::{
        Coordinator,
        GroupRules,
        RateLimit,
        group_limit, //
    },
    lease::RoundOutcome,
};
use limpet_types::{
    NodeId, TargetAddr,
    hash::lease_group_of_target,
    message::{
        GrantReply,
        GrantRequest,
        TokenDemand, //
    },
};
use rand::{
    Rng,
    SeedableRng, //
};
use rand_chacha::ChaCha8Rng;

use crate::node::{
    DRIFT_PERMILLE,
    ENTRY_COUNT,
    Event,
    GROUP,
    Node,
    PendingRequest,
    RELAY_COUNT,
    START_MS,
    SeededBug,
    TEAM,
    TEAM_LIMIT,
    drifted_time, //
};

/// Run of relays and entries that is determined by a seed.
pub(crate) struct Simulation {
    rng: ChaCha8Rng,
    // A generator of its own, so that releases do not change the runs of the seeds that detect the
    // seeded bugs.
    release_rng: ChaCha8Rng,
    seeded_bug: SeededBug,
    now_ms: u64,
    last_event_id: u64,
    /// Time in milliseconds, identifier and receiving node of each event.
    event_queue: BinaryHeap<Reverse<(u64, u64, usize)>>,
    events: BTreeMap<u64, Event>,
    nodes: Vec<Node>,
    targets: Vec<TargetAddr>,
    limit: RateLimit,
    /// Level of the leaky bucket that checks the spent tokens against the limit.
    bucket_level: f64,
    bucket_drained_at_ms: u64,
    pub(crate) spent_token_count: u64,
    pub(crate) election_count: u64,
    pub(crate) ownership_change_count: u64,
    pub(crate) release_count: u64,
}

impl Simulation {
    pub(crate) fn new(seed: u64, seeded_bug: SeededBug) -> Self {
        let mut simulation = Self {
            rng: ChaCha8Rng::seed_from_u64(seed),
            release_rng: ChaCha8Rng::seed_from_u64(!seed),
            seeded_bug,
            now_ms: START_MS,
            last_event_id: 0,
            event_queue: BinaryHeap::new(),
            events: BTreeMap::new(),
            nodes: Vec::new(),
            targets: (1..200u16)
                .map(|port| TargetAddr::from(([10, 1, 0, 1], port)))
                .filter(|target| lease_group_of_target(*target) == GROUP)
                .take(4)
                .collect(),
            limit: group_limit(TEAM, TEAM_LIMIT, GROUP),
            bucket_level: 0.0,
            bucket_drained_at_ms: START_MS,
            spent_token_count: 0,
            election_count: 0,
            ownership_change_count: 0,
            release_count: 0,
        };
        for index in 0..RELAY_COUNT + ENTRY_COUNT {
            let node = Node::new(&mut simulation.rng, seeded_bug, simulation.now_ms, index);
            simulation.nodes.push(node);
            simulation.schedule_first_timer(index);
        }
        simulation
    }

    fn schedule_first_timer(&mut self, index: usize) {
        let incarnation = self.nodes[index].id.incarnation;
        let wait_ms = self.rng.random_range(0..50);
        self.schedule(index, wait_ms, Event::Timer(incarnation));
    }

    fn schedule(&mut self, to: usize, wait_ms: u64, event: Event) {
        self.last_event_id += 1;
        self.events.insert(self.last_event_id, event);
        let at_ms = self.now_ms + wait_ms;
        self.event_queue
            .push(Reverse((at_ms, self.last_event_id, to)));
    }

    /// Sends a message that may be lost, repeated, or delayed by up to 6 s.
    fn send(&mut self, to: usize, event: Event) {
        for _ in 0..if self.rng.random_bool(0.05) { 2 } else { 1 } {
            if self.rng.random_bool(0.03) {
                continue;
            }
            let wait_ms = match self.rng.random_range(0..100) {
                0 => self.rng.random_range(0..6_000),
                1..=5 => self.rng.random_range(0..600),
                _ => self.rng.random_range(0..10),
            };
            self.schedule(to, wait_ms, event.clone());
        }
    }

    /// Runs for `length_ms` or until a check fails, and returns the failure.
    pub(crate) fn run(&mut self, length_ms: u64) -> Result<(), String> {
        let end_ms = self.now_ms + length_ms;
        while let Some(Reverse((at_ms, event_id, to))) = self.event_queue.pop() {
            if at_ms > end_ms {
                break;
            }
            self.now_ms = self.now_ms.max(at_ms);
            let event = self.events.remove(&event_id).unwrap();
            let suspended_until_ms = self.nodes[to].suspended_until_ms;
            if suspended_until_ms > self.now_ms {
                let wait_ms = suspended_until_ms - self.now_ms;
                self.schedule(to, wait_ms, event);
                continue;
            }
            self.handle_event(to, event)?;
            self.check_exclusivity()?;
            if self.rng.random_bool(0.001) {
                self.suspend_or_restart_node();
            }
        }
        Ok(())
    }

    fn suspend_or_restart_node(&mut self) {
        let index = self.rng.random_range(0..self.nodes.len());
        if self.rng.random_bool(0.5) {
            let length_ms = self.rng.random_range(0..5_000);
            self.nodes[index].suspended_until_ms = self.now_ms + length_ms;
        } else {
            // The old process has ended before its replacement starts, so that no more than
            // `vms_max` relays exist.
            self.nodes[index] = Node::new(&mut self.rng, self.seeded_bug, self.now_ms, index);
            self.schedule_first_timer(index);
        }
    }

    fn index_of(&self, id: NodeId) -> usize {
        let has_addr = |n: &Node| n.id.addr == id.addr;
        self.nodes.iter().position(has_addr).unwrap()
    }

    fn local_time(&self, index: usize) -> Duration {
        drifted_time(self.now_ms, self.nodes[index].drift_permille)
    }

    fn handle_event(&mut self, index: usize, event: Event) -> Result<(), String> {
        let now = self.local_time(index);
        match event {
            Event::VoteRequest(request) => {
                let vms_max = Some(RELAY_COUNT as u32);
                let reply = self.nodes[index].voter.vote(&request, vms_max, now);
                let to = self.index_of(request.candidate);
                self.send(to, Event::VoteReply(reply));
            }
            Event::VoteReply(reply) => {
                let term = self.rng.random();
                let node = &mut self.nodes[index];
                match node.candidate.on_reply(&reply, term, now) {
                    RoundOutcome::Pending => {}
                    RoundOutcome::Elected(lease) => {
                        self.election_count += 1;
                        node.coordinator = Some(Coordinator::new(node.id, GROUP, lease));
                    }
                    RoundOutcome::Renewed(lease) => node.coordinator.as_mut().unwrap().renew(lease),
                }
            }
            Event::GrantRequest(request) => self.handle_grant_request(index, &request, now),
            Event::GrantReply(reply) => self.handle_grant_reply(index, &reply, now),
            Event::Timer(incarnation) if incarnation == self.nodes[index].id.incarnation => {
                self.handle_timer(index, now)?;
            }
            Event::Timer(_) => {}
        }
        Ok(())
    }

    fn rules(&self) -> GroupRules {
        GroupRules {
            limits: [(TEAM.into(), self.limit)].into_iter().collect(),
            preferred: BTreeMap::from_iter(self.targets.iter().enumerate().map(
                |(target_index, target)| {
                    let relay_index = (target_index + (self.now_ms / 7_000) as usize) % RELAY_COUNT;
                    (*target, self.nodes[relay_index].id)
                },
            ))
            .into_iter()
            .collect(),
        }
    }

    fn handle_grant_request(&mut self, index: usize, request: &GrantRequest, now: Duration) {
        let rules = self.rules();
        let node = &mut self.nodes[index];
        let has_lease = node.candidate.lease(now).is_some();
        let Some(coordinator) = node.coordinator.as_mut().filter(|_| has_lease) else {
            return;
        };
        let reply = coordinator.handle(request, &rules, false, now);
        let to = self.index_of(request.holder);
        self.send(to, Event::GrantReply(reply));
    }

    fn handle_grant_reply(&mut self, index: usize, reply: &GrantReply, now: Duration) {
        let seeded_bug = self.seeded_bug;
        let node = &mut self.nodes[index];
        let Some(pending) = node.pending.take_if(|p| p.sequence == reply.sequence) else {
            return;
        };
        node.term = Some(reply.term);
        let sent_at = match seeded_bug {
            SeededBug::TokensCountedFromReply => now,
            _ => pending.sent_at,
        };
        node.pool.apply(reply, sent_at, now);
        let changes =
            node.owned_targets
                .apply(&pending.ownership_request, reply, pending.sent_at, now);
        self.ownership_change_count += changes.len() as u64;
    }

    fn handle_timer(&mut self, index: usize, now: Duration) -> Result<(), String> {
        if self.nodes[index].is_relay {
            self.request_votes(index, now);
        } else {
            self.spend(index, now)?;
        }
        self.send_grant_request(index, now);
        let wait_ms = match self.nodes[index].is_relay {
            true => self.rng.random_range(100..700),
            false => self.rng.random_range(1..60),
        };
        let incarnation = self.nodes[index].id.incarnation;
        self.schedule(index, wait_ms, Event::Timer(incarnation));
        Ok(())
    }

    /// Requests votes from the relays that the node knows, itself included, and first releases the votes of
    /// an open round without quorum if the node has no lease. Mostly does nothing if the node has no lease
    /// and its own voter has promised its vote to another candidate.
    fn request_votes(&mut self, index: usize, now: Duration) {
        let node = &mut self.nodes[index];
        let is_unpromised = node
            .voter
            .promised_to(GROUP, now)
            .is_none_or(|c| c == node.id);
        if node.candidate.lease(now).is_none() && !is_unpromised && self.rng.random_bool(0.8) {
            return;
        }
        let release_request = node.candidate.abandon_round(now);
        let request = node.candidate.start_round(RELAY_COUNT as u32, now);
        let mut known_relays = node.known_relays.clone();
        known_relays.push(index);
        for request in release_request.into_iter().chain(request) {
            for peer_index in &known_relays {
                self.send(*peer_index, Event::VoteRequest(request.clone()));
            }
        }
    }

    fn send_grant_request(&mut self, index: usize, now: Duration) {
        let request_timeout = Duration::from_millis(self.rng.random_range(50..2_000));
        let pending = self.nodes[index].pending.as_ref();
        if pending.is_some_and(|pending| now < pending.sent_at + request_timeout) {
            return;
        }
        let limit_of = |_: &str| TEAM_LIMIT;
        let targets = self.targets.clone();
        let coordinator_index = (0..RELAY_COUNT).find(|index| {
            let lease = self.nodes[*index].candidate.lease(self.local_time(*index));
            lease.is_some()
        });
        let random_peer_index = self.rng.random_range(0..RELAY_COUNT);
        let should_release = self.release_rng.random_bool(0.1);
        let node = &mut self.nodes[index];
        let released = node.owned_targets.owned().next().filter(|_| should_release);
        if let Some((target, _)) = released {
            // As for a move, a release can happen while a reply that renews the target is in
            // flight.
            node.owned_targets.release(target);
            self.release_count += 1;
        }
        node.peer_index = match coordinator_index {
            Some(_) if random_peer_index % 2 == 0 => random_peer_index,
            Some(peer_index) => peer_index,
            None => random_peer_index,
        };
        node.sequence += 1;
        let wanted: Vec<TargetAddr> = if node.is_relay { targets } else { Vec::new() };
        let ownership_request = node.owned_targets.build_request(&wanted, |_| true, now);
        // An entry that withholds its tokens neither reports nor returns any.
        let mut tokens = match node.is_relay || node.is_withholding {
            true => Vec::new(),
            false => node.pool.build_demands(GROUP, node.term, limit_of, now),
        };
        if !node.is_relay && tokens.is_empty() {
            tokens.push(TokenDemand {
                team: TEAM.into(),
                wanted: 0,
                reports: Vec::new(),
            });
        }
        for demand in &mut tokens {
            // The limit must hold under any prefetch policy, so entries request all they can get.
            demand.wanted = TEAM_LIMIT.burst;
        }
        let request = GrantRequest {
            group: GROUP,
            holder: node.id,
            sequence: node.sequence,
            tokens,
            term: node.term,
            wanted: ownership_request.wanted.clone(),
            claimed: ownership_request.claimed.clone(),
            released: ownership_request.released.clone(),
            directory_version: 0,
        };
        node.pending = Some(PendingRequest {
            sequence: node.sequence,
            sent_at: now,
            ownership_request,
        });
        let peer_index = node.peer_index;
        self.send(peer_index, Event::GrantRequest(request));
    }

    /// Spends all tokens of an entry at once or withholds them, which strains the limit most.
    fn spend(&mut self, index: usize, now: Duration) -> Result<(), String> {
        if self.rng.random_bool(0.05) {
            self.nodes[index].is_withholding ^= true;
        }
        if self.nodes[index].is_withholding {
            return Ok(());
        }
        while self.nodes[index].pool.try_acquire(TEAM, now) {
            self.record_spent()?;
        }
        Ok(())
    }

    fn record_spent(&mut self) -> Result<(), String> {
        // A leaky bucket overflows exactly if more than burst + rate * (e - s) tokens are spent in
        // some window [s, e].
        let rate = self.limit.rate_per_s * (1.0 + DRIFT_PERMILLE as f64 / 1000.0);
        let elapsed_s = (self.now_ms - self.bucket_drained_at_ms) as f64 / 1000.0;
        self.bucket_level = (self.bucket_level - rate * elapsed_s).max(0.0) + 1.0;
        self.bucket_drained_at_ms = self.now_ms;
        self.spent_token_count += 1;
        if self.bucket_level > f64::from(self.limit.burst) + 1e-6 {
            return Err(format!(
                "tokens over the limit: bucket level {}",
                self.bucket_level
            ));
        }
        Ok(())
    }

    /// Checks that there is at most one coordinator, and at most one owner of each target.
    fn check_exclusivity(&self) -> Result<(), String> {
        let now = |n: &&Node| drifted_time(self.now_ms, n.drift_permille);
        let relays = || self.nodes.iter().filter(|n| n.is_relay);
        let is_coordinator = |n: &&Node| n.candidate.lease(now(n)).is_some();
        if relays().filter(is_coordinator).count() > 1 {
            return Err("two coordinators".into());
        }
        for target in &self.targets {
            let owns = |n: &&Node| {
                n.owned_targets
                    .owned()
                    .any(|(t, expires_at)| t == *target && now(n) < expires_at)
            };
            if relays().filter(owns).count() > 1 {
                return Err(format!("two owners of {target}"));
            }
        }
        Ok(())
    }
}
