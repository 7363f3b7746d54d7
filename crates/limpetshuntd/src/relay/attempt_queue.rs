//! Queue of the attempts that wait for one target, shared fairly between teams.

use std::collections::{
    HashMap,
    VecDeque, //
};

use limpet_types::TeamName;

use crate::relay::attempt::Attempt;

/// Waiting attempts of one team.
#[derive(Debug, Default)]
struct TeamQueue {
    attempts: VecDeque<Attempt>,
    /// Number of attempts that the team may still send in this round.
    sends_left: u32,
}

/// Attempts that wait for one target, taken by deficit round robin over the teams: in each round a
/// team sends at most as many attempts as its weight.
#[derive(Debug, Default)]
pub(crate) struct AttemptQueue {
    team_queues: HashMap<TeamName, TeamQueue>,
    /// Teams with waiting attempts in the order of their turns; the first one is served.
    turns: VecDeque<TeamName>,
    len: usize,
}

impl AttemptQueue {
    pub(crate) const fn len(&self) -> usize {
        self.len
    }

    pub(crate) const fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Adds an attempt as the last one of its team.
    pub(crate) fn push(&mut self, attempt: Attempt) {
        let team = attempt.request.team.clone();
        let team_queue = self.team_queues.entry(team.clone()).or_default();
        if team_queue.attempts.is_empty() {
            team_queue.sends_left = attempt.team_weight;
            self.turns.push_back(team);
        }
        team_queue.attempts.push_back(attempt);
        self.len += 1;
    }

    /// Puts an attempt that could not be sent yet back at the head of the queue, and gives its team back the
    /// send that [`AttemptQueue::pop`] took.
    pub(crate) fn push_front(&mut self, attempt: Attempt) {
        let team = attempt.request.team.clone();
        let team_queue = self.team_queues.entry(team.clone()).or_default();
        team_queue.sends_left += 1;
        team_queue.attempts.push_front(attempt);
        self.turns.retain(|waiting_team| *waiting_team != team);
        self.turns.push_front(team);
        self.len += 1;
    }

    /// Removes and returns the next attempt to send.
    pub(crate) fn pop(&mut self) -> Option<Attempt> {
        let team = self.turns.pop_front()?;
        let team_queue = self.team_queues.get_mut(&team)?;
        let attempt = team_queue.attempts.pop_front()?;
        self.len -= 1;
        team_queue.sends_left = team_queue.sends_left.saturating_sub(1);
        match team_queue.attempts.front() {
            None => {
                self.team_queues.remove(&team);
            }
            Some(next_attempt) if team_queue.sends_left == 0 => {
                team_queue.sends_left = next_attempt.team_weight;
                self.turns.push_back(team);
            }
            Some(_) => self.turns.push_front(team),
        }
        Some(attempt)
    }

    /// Removes and returns the attempts for which `should_remove` returns `true`.
    pub(crate) fn remove_if(
        &mut self,
        mut should_remove: impl FnMut(&Attempt) -> bool,
    ) -> Vec<Attempt> {
        let mut removed = Vec::new();
        for team_queue in self.team_queues.values_mut() {
            let (removed_from_team, kept) = std::mem::take(&mut team_queue.attempts)
                .into_iter()
                .partition(|attempt| should_remove(attempt));
            let removed_from_team: VecDeque<Attempt> = removed_from_team;
            team_queue.attempts = kept;
            removed.extend(removed_from_team);
        }
        self.len -= removed.len();
        self.team_queues
            .retain(|_, team_queue| !team_queue.attempts.is_empty());
        self.turns
            .retain(|team| self.team_queues.contains_key(team));
        removed
    }
}
