//! Guards against two coordinators, two owners of a target and tokens beyond the limit, under lost,
//! repeated, late and reordered messages, restarts, freezes and member lists that disagree.

use std::{
    cmp::Reverse,
    collections::{
        BTreeMap,
        BinaryHeap, //
    },
    net::SocketAddr,
    time::Duration,
};

use limpet_decide::{
    grant::{
        Claims,
        Coordinator,
        Limit,
        OwnershipHolder,
        Rules,
        split_limit, //
    },
    lease::{
        Candidate,
        LEASE_TTL,
        RoundOutcome,
        Voter, //
    },
    share::{
        SharePolicy,
        Shares, //
    },
};
use limpet_types::{
    GroupId, NodeId, TargetAddr, Term,
    hash::group_of_target,
    message::{
        GrantReply,
        GrantRequest,
        TokenDemand,
        VoteReply,
        VoteRequest, //
    },
};
use proptest::prelude::*;
use rand::{
    Rng,
    SeedableRng, //
};
use rand_chacha::ChaCha8Rng;

const GROUP: GroupId = 0;
const RELAYS: usize = 5;
const ENTRIES: usize = 3;
const TEAM: &str = "north";
const WHOLE: Limit = Limit {
    rate_per_s: 160.0,
    burst: 40,
};
/// Largest difference between a node's clock and the true rate, in parts of a thousand.
const DRIFT_PERMILLE: i64 = 10;
const START_MS: u64 = 100_000;

/// A deliberate fault; the driver must notice each.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Fault {
    None,
    /// A restarted voter votes at once.
    NoAbstention,
    /// Tokens count from the arrival of the reply.
    CountedFromReply,
}

#[derive(Clone, Debug)]
enum Event {
    Vote(VoteRequest),
    VoteReply(VoteReply),
    Grant(GrantRequest),
    GrantReply(GrantReply),
    Wake(u64),
}

struct Pending {
    sequence: u64,
    sent_at: Duration,
    claims: Claims,
}

struct Node {
    id: NodeId,
    drift_permille: i64,
    frozen_until_ms: u64,
    is_relay: bool,
    knows: Vec<usize>,
    voter: Voter,
    candidate: Candidate,
    coordinator: Option<Coordinator>,
    holder: OwnershipHolder,
    shares: Shares,
    term: Option<Term>,
    sequence: u64,
    pending: Option<Pending>,
    peer: usize,
    is_hoarding: bool,
}

struct Driver {
    rng: ChaCha8Rng,
    fault: Fault,
    now_ms: u64,
    order: u64,
    queue: BinaryHeap<Reverse<(u64, u64, usize)>>,
    events: BTreeMap<u64, Event>,
    nodes: Vec<Node>,
    targets: Vec<TargetAddr>,
    limit: Limit,
    debt: f64,
    debt_at_ms: u64,
    spent: u64,
    elections: u64,
    gains: u64,
}

fn addr(index: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, index as u8 + 1], 7102))
}

impl Driver {
    fn new(seed: u64, fault: Fault) -> Self {
        let mut driver = Self {
            rng: ChaCha8Rng::seed_from_u64(seed),
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
        };
        for index in 0..RELAYS + ENTRIES {
            let node = driver.new_node(index);
            driver.nodes.push(node);
            driver.start(index);
        }
        driver
    }

    fn new_node(&mut self, index: usize) -> Node {
        let id = NodeId::new(addr(index), self.rng.random());
        let drift_permille = self.rng.random_range(-DRIFT_PERMILLE..=DRIFT_PERMILLE);
        let started_at = clock(self.now_ms, drift_permille);
        let abstains_from = match self.fault {
            Fault::NoAbstention => started_at - LEASE_TTL,
            _ => started_at,
        };
        let knows = (0..RELAYS).filter(|_| self.rng.random_bool(0.9)).collect();
        // Entries ask for as much as they can get.
        let mut shares = Shares::new().with_policy(SharePolicy {
            horizon: Duration::from_secs(60),
            burst_percent: 100,
            stage: Duration::ZERO,
        });
        shares.set_teams([TEAM].into_iter());
        Node {
            id,
            drift_permille,
            frozen_until_ms: 0,
            is_relay: index < RELAYS,
            knows,
            voter: Voter::new(id, abstains_from),
            candidate: Candidate::new(id, GROUP),
            coordinator: None,
            holder: OwnershipHolder::new(id),
            shares,
            term: None,
            sequence: 0,
            pending: None,
            peer: 0,
            is_hoarding: false,
        }
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

    fn run(&mut self, length_ms: u64) -> Result<(), String> {
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
            self.nodes[index] = self.new_node(index);
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

    fn rules(&self) -> Rules {
        Rules {
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
        let node = &mut self.nodes[index];
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
            false => node.shares.demands(GROUP, node.term, limit_of, now),
        };
        if !node.is_relay && tokens.is_empty() {
            tokens.push(TokenDemand {
                team: TEAM.into(),
                wanted: 0,
                reports: Vec::new(),
            });
        }
        for demand in &mut tokens {
            // The entries take all they can get: exclusive rights may not depend on their policy.
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
            released: Vec::new(),
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
        while self.nodes[index].shares.take(TEAM, now) {
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

fn clock(now_ms: u64, drift_permille: i64) -> Duration {
    // Clocks run at their own rate from the start of the run on.
    let elapsed = now_ms - START_MS;
    let drifted = elapsed * (1000 + drift_permille) as u64;
    Duration::from_millis(START_MS) + Duration::from_micros(drifted)
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 24, ..ProptestConfig::default() })]

    #[test]
    fn rights_are_exclusive(seed: u64) {
        let mut driver = Driver::new(seed, Fault::None);
        let result = driver.run(40_000);
        prop_assert!(result.is_ok(), "{result:?}");
        prop_assert!(driver.elections > 0 && driver.spent > 0);
    }
}

/// Guards against a driver in which nothing happens, which would prove nothing.
#[test]
fn the_driver_reaches_elections_tokens_and_owners() {
    let (mut elections, mut spent, mut gains) = (0, 0, 0);
    for seed in 0..12 {
        let mut driver = Driver::new(seed, Fault::None);
        assert_eq!(driver.run(40_000), Ok(()));
        elections += driver.elections;
        spent += driver.spent;
        gains += driver.gains;
    }
    println!("{elections} elections, {spent} tokens, {gains} changes of ownership");
    assert!(elections >= 24 && spent > 12 * 100 && gains >= 12 * 4);
}

limpet_testkit::cases! {
    fault_is_noticed:
    voting_without_abstention => (Fault::NoAbstention, "two coordinators"),
    tokens_counted_from_the_reply => (Fault::CountedFromReply, "tokens over the limit"),
}

fn fault_is_noticed((fault, expected): (Fault, &str)) {
    let found = (0..200).find_map(|seed| Driver::new(seed, fault).run(30_000).err());
    let found = found.expect("the driver missed the fault");
    assert!(found.contains(expected), "{found}");
}
