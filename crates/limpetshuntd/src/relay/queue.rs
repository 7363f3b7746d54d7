//! Attempts that wait for one target, served by team.

use std::collections::{
    HashMap,
    VecDeque, //
};

use limpet_types::TeamName;

use crate::relay::work::Work;

/// One team's attempts and what it may still send in this round.
#[derive(Debug, Default)]
struct Lane {
    waiting: VecDeque<Work>,
    credit: u32,
}

/// Deficit round robin over the teams: a team sends as many attempts per round as it weighs.
#[derive(Debug, Default)]
pub(crate) struct TeamQueue {
    lanes: HashMap<TeamName, Lane>,
    /// Teams with waiting attempts; the first one is served.
    round: VecDeque<TeamName>,
    len: usize,
}

impl TeamQueue {
    pub(crate) const fn len(&self) -> usize {
        self.len
    }

    pub(crate) const fn is_empty(&self) -> bool {
        self.len == 0
    }

    pub(crate) fn push(&mut self, work: Work) {
        let team = work.request.team.clone();
        let lane = self.lanes.entry(team.clone()).or_default();
        if lane.waiting.is_empty() {
            lane.credit = work.weight;
            self.round.push_back(team);
        }
        lane.waiting.push_back(work);
        self.len += 1;
    }

    /// Returns an attempt that could not be sent yet to the head of the queue.
    pub(crate) fn push_front(&mut self, work: Work) {
        let team = work.request.team.clone();
        let lane = self.lanes.entry(team.clone()).or_default();
        lane.credit += 1;
        lane.waiting.push_front(work);
        self.round.retain(|other| *other != team);
        self.round.push_front(team);
        self.len += 1;
    }

    pub(crate) fn pop(&mut self) -> Option<Work> {
        let team = self.round.pop_front()?;
        let lane = self.lanes.get_mut(&team)?;
        let work = lane.waiting.pop_front()?;
        self.len -= 1;
        lane.credit = lane.credit.saturating_sub(1);
        match lane.waiting.front() {
            None => {
                self.lanes.remove(&team);
            }
            Some(next) if lane.credit == 0 => {
                lane.credit = next.weight;
                self.round.push_back(team);
            }
            Some(_) => self.round.push_front(team),
        }
        Some(work)
    }

    /// Removes the attempts for which `is_over` holds.
    pub(crate) fn take_if(&mut self, mut is_over: impl FnMut(&Work) -> bool) -> Vec<Work> {
        let mut over = Vec::new();
        for lane in self.lanes.values_mut() {
            let (gone, kept) = std::mem::take(&mut lane.waiting)
                .into_iter()
                .partition(|work| is_over(work));
            let gone: VecDeque<Work> = gone;
            lane.waiting = kept;
            over.extend(gone);
        }
        self.len -= over.len();
        self.lanes.retain(|_, lane| !lane.waiting.is_empty());
        self.round.retain(|team| self.lanes.contains_key(team));
        over
    }
}
