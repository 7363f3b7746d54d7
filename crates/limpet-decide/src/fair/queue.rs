//! Deficit round robin over the queries of all teams, with a limit on running queries.

use std::{
    collections::{
        HashMap,
        VecDeque, //
    },
    time::Duration,
};

use limpet_types::TeamName;

/// Weight of a new sample in the smoothed run time of the queries.
const RUN_TIME_SAMPLE_WEIGHT: f64 = 0.1;

/// Identifier of a query; the caller keeps it unique among the queued ones.
pub type QueryId = u64;

/// Bounds of the queue.
#[derive(Clone, Copy, Debug)]
pub struct QueueLimits {
    /// Maximum number of queries that run at a time.
    pub running_max: usize,
    /// Maximum number of queries that one team may have queued.
    pub queued_per_team_max: usize,
    /// Maximum number of queries that may be queued over all teams.
    pub queued_max: usize,
}

/// Result of admitting a query.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// The query runs now.
    Run,
    /// The query is queued until a [`ReleasedQuery::Run`] or [`ReleasedQuery::Expired`].
    Queued,
    /// The queue of the query's team or the whole queue is full.
    QueueFull,
    /// By the estimated wait, the query would miss its deadline.
    DeadlineTooClose,
}

/// A query that leaves the queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReleasedQuery {
    /// The query runs now.
    Run(QueryId),
    /// The deadline of the query passed while it was queued.
    Expired(QueryId),
}

#[derive(Debug)]
struct QueuedQuery {
    id: QueryId,
    deadline: Duration,
}

#[derive(Debug)]
struct TeamQueue {
    /// Number of queries that the team may start in each round.
    weight: u32,
    /// Number of queries that the team may still start in the current round.
    deficit: u32,
    queries: VecDeque<QueuedQuery>,
}

/// Queues of waiting queries by team, and the number of running queries.
///
/// In each round a team may start as many queries as its weight, so a team that sends more than its
/// share delays only its own queries.
#[derive(Debug)]
pub struct FairQueue {
    limits: QueueLimits,
    running_count: usize,
    queued_count: usize,
    smoothed_run_time: Duration,
    teams: HashMap<TeamName, TeamQueue>,
    /// Teams in the order of their next turns.
    active_teams: VecDeque<TeamName>,
}

impl FairQueue {
    /// Creates an empty queue.
    pub fn new(limits: QueueLimits) -> Self {
        Self {
            limits,
            running_count: 0,
            queued_count: 0,
            smoothed_run_time: Duration::ZERO,
            teams: HashMap::new(),
            active_teams: VecDeque::new(),
        }
    }

    /// Returns the number of running queries.
    pub const fn running_count(&self) -> usize {
        self.running_count
    }

    /// Returns the number of queued queries.
    pub const fn queued_count(&self) -> usize {
        self.queued_count
    }

    /// Runs, queues or refuses a query.
    ///
    /// The estimated wait refuses queries only while every slot is taken. So an estimate that is
    /// too long can't refuse all queries forever: once a slot is free, the next query runs and
    /// corrects it.
    pub fn admit(
        &mut self,
        id: QueryId,
        team: &str,
        weight: u32,
        deadline: Duration,
        now: Duration,
    ) -> Admission {
        if self.running_count < self.limits.running_max && self.queued_count == 0 {
            self.running_count += 1;
            return Admission::Run;
        }
        let weight = weight.max(1);
        let queued_ahead_count = self.teams.get(team).map_or(0, |queue| queue.queries.len());
        if self.queued_count >= self.limits.queued_max
            || queued_ahead_count >= self.limits.queued_per_team_max
        {
            return Admission::QueueFull;
        }
        if now + self.estimate_wait(team, weight, queued_ahead_count) + self.smoothed_run_time
            > deadline
        {
            return Admission::DeadlineTooClose;
        }
        let queue = self.teams.entry(team.into()).or_insert_with(|| {
            self.active_teams.push_back(team.into());
            TeamQueue {
                weight,
                deficit: 0,
                queries: VecDeque::new(),
            }
        });
        queue.weight = weight;
        queue.queries.push_back(QueuedQuery { id, deadline });
        self.queued_count += 1;
        Admission::Queued
    }

    /// Records the end of a running query and returns the queries that leave the queue.
    pub fn finish(&mut self, run_time: Duration, now: Duration) -> Vec<ReleasedQuery> {
        self.running_count = self.running_count.saturating_sub(1);
        self.smoothed_run_time = if self.smoothed_run_time.is_zero() {
            run_time
        } else {
            self.smoothed_run_time.mul_f64(1.0 - RUN_TIME_SAMPLE_WEIGHT)
                + run_time.mul_f64(RUN_TIME_SAMPLE_WEIGHT)
        };
        self.dequeue(now)
    }

    /// Removes a queued query whose caller disconnected; returns `false` if it is not queued.
    pub fn cancel(&mut self, id: QueryId) -> bool {
        for queue in self.teams.values_mut() {
            if let Some(position) = queue.queries.iter().position(|query| query.id == id) {
                queue.queries.remove(position);
                self.queued_count -= 1;
                return true;
            }
        }
        false
    }

    /// Estimates how long a new query of the team would wait for a slot.
    fn estimate_wait(&self, team: &str, weight: u32, queued_ahead_count: usize) -> Duration {
        // Queries of other teams that run before this one: at most those that they have queued, and
        // at most what their weights allow in the rounds that this team needs.
        let round_count = (queued_ahead_count as u64 + 1).div_ceil(u64::from(weight));
        let other_team_query_count: u64 = self
            .teams
            .iter()
            .filter(|(name, _)| &***name != team)
            .map(|(_, queue)| {
                (queue.queries.len() as u64).min(round_count * u64::from(queue.weight))
            })
            .sum();
        let query_count_before = other_team_query_count + queued_ahead_count as u64 + 1;
        self.smoothed_run_time
            .mul_f64(query_count_before as f64 / self.limits.running_max.max(1) as f64)
    }

    /// Takes queries from the queues while slots are free: those that run now, and expired ones, which take
    /// no slot.
    fn dequeue(&mut self, now: Duration) -> Vec<ReleasedQuery> {
        let mut released = Vec::new();
        while self.running_count < self.limits.running_max {
            let Some(team) = self.active_teams.pop_front() else {
                break;
            };
            let Some(queue) = self.teams.get_mut(&team) else {
                continue;
            };
            if queue.deficit == 0 {
                queue.deficit = queue.weight;
            }
            while queue.deficit > 0 && self.running_count < self.limits.running_max {
                let Some(query) = queue.queries.pop_front() else {
                    break;
                };
                self.queued_count -= 1;
                if query.deadline <= now {
                    released.push(ReleasedQuery::Expired(query.id));
                    continue;
                }
                queue.deficit -= 1;
                self.running_count += 1;
                released.push(ReleasedQuery::Run(query.id));
            }
            if queue.queries.is_empty() {
                self.teams.remove(&team);
            } else if queue.deficit > 0 {
                self.active_teams.push_front(team);
            } else {
                self.active_teams.push_back(team);
            }
        }
        released
    }
}
