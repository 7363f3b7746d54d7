//! Relays and entries over a network that loses, repeats and delays, on drifting clocks.

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
        split_limit, //
    },
    lease::RoundOutcome,
};
use limpet_types::{
    NodeId, TargetAddr,
    hash::group_of_target,
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
    ENTRIES,
    Event,
    Fault,
    GROUP,
    Node,
    Pending,
    RELAYS,
    START_MS,
    TEAM,
    WHOLE,
    clock, //
};

pub(crate) struct Driver {
    rng: ChaCha8Rng,
    // Of its own, so that releases leave the seeds on which the faults are noticed as they are.
    release_rng: ChaCha8Rng,
    fault: Fault,
    now_ms: u64,
    order: u64,
    queue: BinaryHeap<Reverse<(u64, u64, usize)>>,
    events: BTreeMap<u64, Event>,
    nodes: Vec<Node>,
    targets: Vec<TargetAddr>,
    limit: RateLimit,
    debt: f64,
    debt_at_ms: u64,
    pub(crate) spent: u64,
    pub(crate) elections: u64,
    pub(crate) gains: u64,
    pub(crate) releases: u64,
}

impl Driver {
    pub(crate) fn new(seed: u64, fault: Fault) -> Self {
        let mut driver = Self {
            rng: ChaCha8Rng::seed_from_u64(seed),
            release_rng: ChaCha8Rng::seed_from_u64(!seed),
            fault,
            now_ms: START_MS,
            order: 0,
            queue: BinaryHeap::new(),
            events: BTreeMap::new(),
            nodes: Vec::new(),
            targets: (1..200u16)
                .map(|port| TargetAddr::from(([10, 1, 0, 1], port)))
                .filter(|target| group_of_target(*target) == GROUP)
                .take(4)
                .collect(),
            limit: split_limit(TEAM, WHOLE, GROUP),
            debt: 0.0,
            debt_at_ms: START_MS,
            spent: 0,
            elections: 0,
            gains: 0,
            releases: 0,
        };
        for index in 0..RELAYS + ENTRIES {
            let node = Node::new(&mut driver.rng, fault, driver.now_ms, index);
            driver.nodes.push(node);
            driver.start(index);
        }
        driver
    }

    fn start(&mut self, index: usize) {
        let incarnation = self.nodes[index].id.incarnation;
        let wait = self.rng.random_range(0..50);
        self.push(index, wait, Event::Wake(incarnation));
    }

    fn push(&mut self, to: usize, wait_ms: u64, event: Event) {
        self.order += 1;
        self.events.insert(self.order, event);
        let at = self.now_ms + wait_ms;
        self.queue.push(Reverse((at, self.order, to)));
    }

    /// Sends with loss, repetition and delays up to seconds.
    fn send(&mut self, to: usize, event: Event) {
        for _ in 0..if self.rng.random_bool(0.05) { 2 } else { 1 } {
            if self.rng.random_bool(0.03) {
                continue;
            }
            let wait = match self.rng.random_range(0..100) {
                0 => self.rng.random_range(0..6_000),
                1..=5 => self.rng.random_range(0..600),
                _ => self.rng.random_range(0..10),
            };
            self.push(to, wait, event.clone());
        }
    }

    pub(crate) fn run(&mut self, length_ms: u64) -> Result<(), String> {
        let end = self.now_ms + length_ms;
        while let Some(Reverse((at, order, to))) = self.queue.pop() {
            if at > end {
                break;
            }
            self.now_ms = self.now_ms.max(at);
            let event = self.events.remove(&order).unwrap();
            let frozen_until = self.nodes[to].frozen_until_ms;
            if frozen_until > self.now_ms {
                let wait = frozen_until - self.now_ms;
                self.push(to, wait, event);
                continue;
            }
            self.step(to, event)?;
            self.check_rights()?;
            if self.rng.random_bool(0.001) {
                self.disturb();
            }
        }
        Ok(())
    }

    fn disturb(&mut self) {
        let index = self.rng.random_range(0..self.nodes.len());
        if self.rng.random_bool(0.5) {
            let length = self.rng.random_range(0..5_000);
            self.nodes[index].frozen_until_ms = self.now_ms + length;
        } else {
            // The old process is gone before its replacement starts, so `vms_max` is kept.
            self.nodes[index] = Node::new(&mut self.rng, self.fault, self.now_ms, index);
            self.start(index);
        }
    }

    fn index_of(&self, id: NodeId) -> usize {
        let is_addr = |n: &Node| n.id.addr == id.addr;
        self.nodes.iter().position(is_addr).unwrap()
    }

    fn local(&self, index: usize) -> Duration {
        clock(self.now_ms, self.nodes[index].drift_permille)
    }

    fn step(&mut self, index: usize, event: Event) -> Result<(), String> {
        let now = self.local(index);
        match event {
            Event::Vote(request) => {
                let vms_max = Some(RELAYS as u32);
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
                        self.elections += 1;
                        node.coordinator = Some(Coordinator::new(node.id, GROUP, lease));
                    }
                    RoundOutcome::Renewed(lease) => node.coordinator.as_mut().unwrap().renew(lease),
                }
            }
            Event::Grant(request) => self.grant(index, &request, now),
            Event::GrantReply(reply) => self.on_grant(index, &reply, now),
            Event::Wake(incarnation) if incarnation == self.nodes[index].id.incarnation => {
                self.wake(index, now)?;
            }
            Event::Wake(_) => {}
        }
        Ok(())
    }

    fn rules(&self) -> GroupRules {
        GroupRules {
            limits: [(TEAM.into(), self.limit)].into_iter().collect(),
            preferred: BTreeMap::from_iter(self.targets.iter().enumerate().map(
                |(place, target)| {
                    let relay = (place + (self.now_ms / 7_000) as usize) % RELAYS;
                    (*target, self.nodes[relay].id)
                },
            ))
            .into_iter()
            .collect(),
        }
    }

    fn grant(&mut self, index: usize, request: &GrantRequest, now: Duration) {
        let rules = self.rules();
        let node = &mut self.nodes[index];
        let is_held = node.candidate.lease(now).is_some();
        let Some(coordinator) = node.coordinator.as_mut().filter(|_| is_held) else {
            return;
        };
        let reply = coordinator.handle(request, &rules, false, now);
        let to = self.index_of(request.holder);
        self.send(to, Event::GrantReply(reply));
    }

    fn on_grant(&mut self, index: usize, reply: &GrantReply, now: Duration) {
        let fault = self.fault;
        let node = &mut self.nodes[index];
        let Some(pending) = node.pending.take_if(|p| p.sequence == reply.sequence) else {
            return;
        };
        node.term = Some(reply.term);
        let sent_at = match fault {
            Fault::CountedFromReply => now,
            _ => pending.sent_at,
        };
        node.shares.apply(reply, sent_at, now);
        let changes = node
            .holder
            .apply(&pending.claims, reply, pending.sent_at, now);
        self.gains += changes.len() as u64;
    }

    fn wake(&mut self, index: usize, now: Duration) -> Result<(), String> {
        if self.nodes[index].is_relay {
            self.campaign(index, now);
        } else {
            self.spend(index, now)?;
        }
        self.ask(index, now);
        let wait = match self.nodes[index].is_relay {
            true => self.rng.random_range(100..700),
            false => self.rng.random_range(1..60),
        };
        let incarnation = self.nodes[index].id.incarnation;
        self.push(index, wait, Event::Wake(incarnation));
        Ok(())
    }

    fn campaign(&mut self, index: usize, now: Duration) {
        let node = &mut self.nodes[index];
        let is_free = node
            .voter
            .promised_to(GROUP, now)
            .is_none_or(|c| c == node.id);
        if node.candidate.lease(now).is_none() && !is_free && self.rng.random_bool(0.8) {
            return;
        }
        let give_back = node.candidate.abandon_round(now);
        let request = node.candidate.start_round(RELAYS as u32, now);
        let mut knows = node.knows.clone();
        knows.push(index);
        for request in give_back.into_iter().chain(request) {
            for peer in &knows {
                self.send(*peer, Event::Vote(request.clone()));
            }
        }
    }

    fn ask(&mut self, index: usize, now: Duration) {
        let patience = Duration::from_millis(self.rng.random_range(50..2_000));
        let pending = self.nodes[index].pending.as_ref();
        if pending.is_some_and(|pending| now < pending.sent_at + patience) {
            return;
        }
        let limit_of = |_: &str| WHOLE;
        let targets = self.targets.clone();
        let has_coordinator = (0..RELAYS).find(|index| {
            let lease = self.nodes[*index].candidate.lease(self.local(*index));
            lease.is_some()
        });
        let random_peer = self.rng.random_range(0..RELAYS);
        let gives_back = self.release_rng.random_bool(0.1);
        let node = &mut self.nodes[index];
        let given_back = node.holder.owned().next().filter(|_| gives_back);
        if let Some((target, _)) = given_back {
            // As for a move: at any moment, also while a reply that renews the target is on its way.
            node.holder.release(target);
            self.releases += 1;
        }
        node.peer = match has_coordinator {
            Some(_) if random_peer % 2 == 0 => random_peer,
            Some(peer) => peer,
            None => random_peer,
        };
        node.sequence += 1;
        let wanted: Vec<TargetAddr> = if node.is_relay { targets } else { Vec::new() };
        let claims = node.holder.claims(&wanted, |_| true, now);
        // An entry that hoards reports and gives back nothing.
        let mut tokens = match node.is_relay || node.is_hoarding {
            true => Vec::new(),
            false => node.shares.build_demands(GROUP, node.term, limit_of, now),
        };
        if !node.is_relay && tokens.is_empty() {
            tokens.push(TokenDemand {
                team: TEAM.into(),
                wanted: 0,
                reports: Vec::new(),
            });
        }
        for demand in &mut tokens {
            // The limit must hold whatever the policy of the entries is, so they take all they can.
            demand.wanted = WHOLE.burst;
        }
        let request = GrantRequest {
            group: GROUP,
            holder: node.id,
            sequence: node.sequence,
            tokens,
            term: node.term,
            wanted: claims.wanted.clone(),
            claimed: claims.claimed.clone(),
            released: claims.released.clone(),
            directory_version: 0,
        };
        node.pending = Some(Pending {
            sequence: node.sequence,
            sent_at: now,
            claims,
        });
        let peer = node.peer;
        self.send(peer, Event::Grant(request));
    }

    /// Spends everything at once or hoards, which is the worst an entry can do.
    fn spend(&mut self, index: usize, now: Duration) -> Result<(), String> {
        if self.rng.random_bool(0.05) {
            self.nodes[index].is_hoarding ^= true;
        }
        if self.nodes[index].is_hoarding {
            return Ok(());
        }
        while self.nodes[index].shares.try_acquire(TEAM, now) {
            self.note_spent()?;
        }
        Ok(())
    }

    fn note_spent(&mut self) -> Result<(), String> {
        // The debt of a leaky bucket is over the burst exactly if some window [s, e] has more than
        // burst + rate * (e - s).
        let rate = self.limit.rate_per_s * (1.0 + DRIFT_PERMILLE as f64 / 1000.0);
        let elapsed_s = (self.now_ms - self.debt_at_ms) as f64 / 1000.0;
        self.debt = (self.debt - rate * elapsed_s).max(0.0) + 1.0;
        self.debt_at_ms = self.now_ms;
        self.spent += 1;
        if self.debt > f64::from(self.limit.burst) + 1e-6 {
            return Err(format!("tokens over the limit: debt {}", self.debt));
        }
        Ok(())
    }

    fn check_rights(&self) -> Result<(), String> {
        let now = |n: &&Node| clock(self.now_ms, n.drift_permille);
        let relays = || self.nodes.iter().filter(|n| n.is_relay);
        let leads = |n: &&Node| n.candidate.lease(now(n)).is_some();
        if relays().filter(leads).count() > 1 {
            return Err("two coordinators".into());
        }
        for target in &self.targets {
            let owns = |n: &&Node| {
                n.holder
                    .owned()
                    .any(|(t, end)| t == *target && now(n) < end)
            };
            if relays().filter(owns).count() > 1 {
                return Err(format!("two owners of {target}"));
            }
        }
        Ok(())
    }
}
