//! Accounts of all teams and what the other processes reported.

use std::{
    collections::HashMap,
    time::Duration, //
};

use limpet_types::deployment::Team;
use serde::{
    Deserialize,
    Serialize, //
};

use super::Account;
use crate::members::NodeId;

/// Requests of one team that one process admitted since its start.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TeamCount {
    /// Name of the team.
    pub team: Box<str>,
    /// Requests admitted.
    pub admitted: u64,
}

/// Tokens of one team that a process sees left.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TeamLevel {
    /// Name of the team.
    pub team: Box<str>,
    /// Tokens, less than zero after an overdraft.
    pub level: f64,
}

/// Sums of one process in a report.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Sums {
    /// Whether teams that are not named stand at zero; else they did not change lately.
    pub is_complete: bool,
    /// Sums by team.
    pub counts: Vec<TeamCount>,
}

/// Who shares the rates.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Presence {
    /// Processes that may admit requests, this one included.
    pub processes: usize,
    /// Those of them that were not heard for a while.
    pub silent: usize,
}

impl Presence {
    /// Returns the part of each rate that the processes heard may use.
    pub fn share(self) -> f64 {
        let processes = self.processes.max(1);
        let heard = processes.saturating_sub(self.silent).max(1);
        heard as f64 / processes as f64
    }
}

#[derive(Debug, Default)]
struct Reported {
    /// Whether a complete report came, so that teams not named in it stood at zero.
    has_complete: bool,
    counts: HashMap<Box<str>, u64>,
}

/// Accounts of all teams.
///
/// Each process counts what it admits of each team and tells the others the sums, so that a lost or
/// repeated report does no harm. A process that falls silent keeps its part of every rate until it is
/// known to be gone; the same holds on its side, so that the two sides of a cut together stay within
/// the rate.
#[derive(Debug)]
pub struct Ledger {
    accounts: HashMap<Box<str>, Account>,
    reported: HashMap<NodeId, Reported>,
    presence: Presence,
    is_first_start: bool,
    /// Levels taken over before the teams were known, with their time.
    adopted: Vec<(TeamLevel, Duration)>,
}

impl Ledger {
    /// Creates a ledger without teams.
    pub fn new(is_first_start: bool) -> Self {
        Self {
            accounts: HashMap::new(),
            reported: HashMap::new(),
            presence: Presence {
                processes: 1,
                silent: 0,
            },
            is_first_start,
            adopted: Vec::new(),
        }
    }

    /// Takes over the teams of a text.
    pub fn set_teams<'a>(&mut self, teams: impl Iterator<Item = &'a Team>, now: Duration) {
        let share = self.presence.share();
        let mut accounts = HashMap::new();
        for team in teams {
            let account = self.accounts.remove(&team.name);
            let mut account = account.unwrap_or_else(|| {
                Account::new(team.rate_per_s, team.burst, self.is_first_start, now)
            });
            account.refill(share, now);
            account.set_limits(team.rate_per_s, team.burst);
            accounts.insert(team.name.clone(), account);
        }
        self.accounts = accounts;
        self.is_first_start = false;
        for (known, at) in std::mem::take(&mut self.adopted) {
            if let Some(account) = self.accounts.get_mut(&known.team) {
                account.adopt_level(known.level, share, at);
                account.refill(share, now);
            }
        }
    }

    /// Takes over who shares the rates, after what was earned until now.
    pub fn set_presence(&mut self, presence: Presence, now: Duration) {
        if presence != self.presence {
            let share = self.presence.share();
            self.accounts
                .values_mut()
                .for_each(|a| a.refill(share, now));
            self.presence = presence;
        }
    }

    /// Returns who shares the rates.
    pub const fn presence(&self) -> Presence {
        self.presence
    }

    /// Admits one request of a team; `is_late` tells that it cannot meet its goal any more.
    ///
    /// # Errors
    ///
    /// The time after which the team may have a token again.
    pub fn admit(&mut self, team: &str, is_late: bool, now: Duration) -> Result<(), Duration> {
        let share = self.presence.share();
        let Some(account) = self.accounts.get_mut(team) else {
            return Ok(());
        };
        // The processes that share these tokens take turns at them.
        let heard = self
            .presence
            .processes
            .saturating_sub(self.presence.silent)
            .max(1) as u32;
        account
            .admit(is_late, share, now)
            .map_err(|wait| wait * heard)
    }

    /// Returns the sums of this process that changed since a time.
    pub fn counts_since(&self, since: Duration) -> Vec<TeamCount> {
        self.counts_where(|account| account.is_changed_since(since))
    }

    /// Returns those of them whose teams use up their rates.
    pub fn pressed_counts_since(&self, since: Duration) -> Vec<TeamCount> {
        let processes = self.presence.processes;
        let is_pressed = |a: &Account| a.is_pressed(processes) && a.is_changed_since(since);
        self.counts_where(is_pressed)
    }

    fn counts_where(&self, is_wanted: impl Fn(&Account) -> bool) -> Vec<TeamCount> {
        let wanted = self
            .accounts
            .iter()
            .filter(|(_, account)| is_wanted(account));
        wanted
            .map(|(team, account)| TeamCount {
                team: team.clone(),
                admitted: account.admitted(),
            })
            .collect()
    }

    /// Returns all sums of this process.
    pub fn counts(&self) -> Vec<TeamCount> {
        self.counts_since(Duration::ZERO)
    }

    /// Returns the tokens that are left of each limited team.
    pub fn levels(&mut self, now: Duration) -> Vec<TeamLevel> {
        let share = self.presence.share();
        let limited = self
            .accounts
            .iter_mut()
            .filter(|(_, account)| account.is_limited());
        limited
            .map(|(team, account)| TeamLevel {
                team: team.clone(),
                level: account.level(share, now),
            })
            .collect()
    }

    /// Takes over the tokens that a process sees which was there before this one.
    pub fn adopt_levels(&mut self, levels: &[TeamLevel], now: Duration) {
        let share = self.presence.share();
        for known in levels {
            match self.accounts.get_mut(&known.team) {
                Some(account) => account.adopt_level(known.level, share, now),
                None => self.adopted.push((known.clone(), now)),
            }
        }
    }

    /// Takes in the sums of another process; `silence` is how long it was not heard before, for which
    /// its part of the rate was already left to it.
    pub fn report(&mut self, node: NodeId, sums: &Sums, silence: Duration, now: Duration) {
        let share = self.presence.share();
        let part = 1.0 / self.presence.processes.max(1) as f64;
        let reported = self.reported.entry(node).or_default();
        let had_complete = reported.has_complete;
        reported.has_complete |= sums.is_complete;
        for count in &sums.counts {
            let known = reported.counts.insert(count.team.clone(), count.admitted);
            let Some(account) = self.accounts.get_mut(&count.team) else {
                continue;
            };
            // Without a complete report before, it is not known when the sum was admitted.
            let base = known.unwrap_or(if had_complete { 0 } else { count.admitted });
            let requests = count.admitted.saturating_sub(base) as f64;
            let left_to_it = silence.as_secs_f64() * account.rate_per_s() * part;
            account.debit((requests - left_to_it).max(0.0), share, now);
        }
    }

    /// Forgets a process that is gone.
    pub fn forget(&mut self, node: NodeId) {
        self.reported.remove(&node);
    }
}
