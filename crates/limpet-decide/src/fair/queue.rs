//! Deficit round robin over a limit on running queries.

use std::{
    collections::{
        HashMap,
        VecDeque, //
    },
    time::Duration,
};

use limpet_types::TeamName;

/// Weight of a new sample of the time that a query runs.
const SERVICE_TIME_WEIGHT: f64 = 0.1;

/// Number of a query in the queue.
pub type QueryId = u64;

/// Bounds of the queue.
#[derive(Clone, Copy, Debug)]
pub struct QueueLimits {
    /// Queries that run at a time.
    pub running_max: usize,
    /// Queries that one team may have waiting.
    pub queued_per_team_max: usize,
    /// Queries that may wait over all teams.
    pub queued_max: usize,
}

/// Answer to a query that asks to run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// It runs at once.
    Run,
    /// It waits for [`Released::Run`] or [`Released::Expired`].
    Queued,
    /// The queue is full.
    QueueFull,
    /// It could not start early enough for its deadline.
    DeadlineTooClose,
}

/// A query that leaves the queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Released {
    /// It runs now.
    Run(QueryId),
    /// It could no longer meet its deadline.
    Expired(QueryId),
}

#[derive(Debug)]
struct Waiting {
    id: QueryId,
    deadline: Duration,
}

#[derive(Debug)]
struct TeamQueue {
    weight: u32,
    deficit: u32,
    waiting: VecDeque<Waiting>,
}

/// Queries that wait, by team, and the number that run.
///
/// Each turn of a team is worth as many queries as its weight, so a team that sends more than its
/// share waits in its own queue only.
#[derive(Debug)]
pub struct FairQueue {
    limits: QueueLimits,
    running: usize,
    queued: usize,
    service_time: Duration,
    teams: HashMap<TeamName, TeamQueue>,
    turns: VecDeque<TeamName>,
}

impl FairQueue {
    /// Creates an empty queue.
    pub fn new(limits: QueueLimits) -> Self {
        Self {
            limits,
            running: 0,
            queued: 0,
            service_time: Duration::ZERO,
            teams: HashMap::new(),
            turns: VecDeque::new(),
        }
    }

    /// Returns the number of running queries.
    pub const fn running(&self) -> usize {
        self.running
    }

    /// Returns the number of waiting queries.
    pub const fn queued(&self) -> usize {
        self.queued
    }

    /// Asks to run a query.
    ///
    /// The estimate of the wait refuses only while every place is taken. An estimate that is too long
    /// can therefore not refuse everything for good: as soon as a place is free the next query runs
    /// and corrects it.
    pub fn admit(
        &mut self,
        id: QueryId,
        team: &str,
        weight: u32,
        deadline: Duration,
        now: Duration,
    ) -> Admission {
        if self.running < self.limits.running_max && self.queued == 0 {
            self.running += 1;
            return Admission::Run;
        }
        let weight = weight.max(1);
        let ahead = self.teams.get(team).map_or(0, |queue| queue.waiting.len());
        if self.queued >= self.limits.queued_max || ahead >= self.limits.queued_per_team_max {
            return Admission::QueueFull;
        }
        if now + self.wait_estimate(team, weight, ahead) + self.service_time > deadline {
            return Admission::DeadlineTooClose;
        }
        let queue = self.teams.entry(team.into()).or_insert_with(|| {
            self.turns.push_back(team.into());
            TeamQueue {
                weight,
                deficit: 0,
                waiting: VecDeque::new(),
            }
        });
        queue.weight = weight;
        queue.waiting.push_back(Waiting { id, deadline });
        self.queued += 1;
        Admission::Queued
    }

    /// Notes that a running query ended and returns those that leave the queue.
    pub fn finish(&mut self, run_time: Duration, now: Duration) -> Vec<Released> {
        self.running = self.running.saturating_sub(1);
        self.service_time = if self.service_time.is_zero() {
            run_time
        } else {
            self.service_time.mul_f64(1.0 - SERVICE_TIME_WEIGHT)
                + run_time.mul_f64(SERVICE_TIME_WEIGHT)
        };
        self.release(now)
    }

    /// Removes a waiting query whose caller went away; false if it does not wait.
    pub fn cancel(&mut self, id: QueryId) -> bool {
        for queue in self.teams.values_mut() {
            if let Some(position) = queue.waiting.iter().position(|w| w.id == id) {
                queue.waiting.remove(position);
                self.queued -= 1;
                return true;
            }
        }
        false
    }

    fn wait_estimate(&self, team: &str, weight: u32, ahead: usize) -> Duration {
        // The queries of other teams that get their turn before this one: never more than they have
        // waiting, and never more than their weights allow in the turns that this team needs.
        let turns = (ahead as u64 + 1).div_ceil(u64::from(weight));
        let others: u64 = self
            .teams
            .iter()
            .filter(|(name, _)| &***name != team)
            .map(|(_, queue)| (queue.waiting.len() as u64).min(turns * u64::from(queue.weight)))
            .sum();
        let before = others + ahead as u64 + 1;
        self.service_time
            .mul_f64(before as f64 / self.limits.running_max.max(1) as f64)
    }

    fn release(&mut self, now: Duration) -> Vec<Released> {
        let mut released = Vec::new();
        while self.running < self.limits.running_max {
            let Some(team) = self.turns.pop_front() else {
                break;
            };
            let Some(queue) = self.teams.get_mut(&team) else {
                continue;
            };
            if queue.deficit == 0 {
                queue.deficit = queue.weight;
            }
            while queue.deficit > 0 && self.running < self.limits.running_max {
                let Some(next) = queue.waiting.pop_front() else {
                    break;
                };
                self.queued -= 1;
                if next.deadline <= now {
                    released.push(Released::Expired(next.id));
                    continue;
                }
                queue.deficit -= 1;
                self.running += 1;
                released.push(Released::Run(next.id));
            }
            if queue.waiting.is_empty() {
                self.teams.remove(&team);
            } else if queue.deficit > 0 {
                self.turns.push_front(team);
            } else {
                self.turns.push_back(team);
            }
        }
        released
    }
}
