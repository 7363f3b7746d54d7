//! Index of a history by request and by target.

use std::collections::BTreeMap;

use limpet_fakes::target::ReceivedRequest;

use crate::history::{
    Answer,
    Change,
    ProcessChange,
    Record, //
};

/// A request of a caller with everything recorded about it.
#[derive(Debug, Default)]
pub(super) struct Request<'a> {
    pub(super) sent_us: u64,
    pub(super) entry: &'a str,
    pub(super) kind: &'a str,
    pub(super) key: Option<&'a str>,
    pub(super) record: Option<&'a str>,
    pub(super) ticket: Option<&'a str>,
    pub(super) size_bytes: usize,
    /// Time, status and body of the response.
    pub(super) answer: Option<(u64, u16, &'a Answer)>,
    /// Time of the failure, and whether the connection was open.
    pub(super) lost: Option<(u64, bool)>,
    pub(super) target_events: Vec<(&'a str, &'a ReceivedRequest)>,
}

/// A target of the configuration.
#[derive(Debug)]
pub(super) struct Target<'a> {
    pub(super) shard: &'a str,
    pub(super) start: u64,
    pub(super) end: u64,
    pub(super) zone: &'a str,
    pub(super) cold_requests_max: u32,
}

/// A team of the configuration.
#[derive(Debug)]
pub(super) struct Team<'a> {
    pub(super) name: &'a str,
    pub(super) rate_per_s: f64,
    pub(super) burst: f64,
    pub(super) keys: Vec<&'a str>,
}

/// Records of a history by what they are about.
#[derive(Debug, Default)]
pub(super) struct Index<'a> {
    pub(super) requests: BTreeMap<&'a str, Request<'a>>,
    pub(super) targets: BTreeMap<&'a str, Target<'a>>,
    pub(super) teams: Vec<Team<'a>>,
    pub(super) target_events: Vec<(&'a str, &'a ReceivedRequest)>,
    pub(super) changes: Vec<(u64, &'a Change)>,
    pub(super) processes: Vec<(u64, &'a str, ProcessChange)>,
}

impl<'a> Index<'a> {
    pub(super) fn new(records: &'a [Record]) -> Self {
        let mut index = Self::default();
        for record in records {
            index.add(record);
        }
        index.changes.sort_by_key(|(at_us, _)| *at_us);
        for (target, event) in &index.target_events {
            if let Some(request) = index.requests.get_mut(&*event.request) {
                request.target_events.push((target, event));
            }
        }
        index
    }

    fn add(&mut self, record: &'a Record) {
        match record {
            Record::Team {
                name,
                rate_per_s,
                burst,
                keys,
            } => self.teams.push(Team {
                name,
                rate_per_s: *rate_per_s,
                burst: *burst,
                keys: keys.iter().map(|key| &**key).collect(),
            }),
            Record::Site {
                target,
                shard,
                start,
                end,
                zone,
                cold_requests_max,
            } => {
                let config = Target {
                    shard,
                    start: *start,
                    end: *end,
                    zone,
                    cold_requests_max: *cold_requests_max,
                };
                self.targets.insert(target, config);
            }
            Record::Call {
                at_us,
                request,
                entry,
                kind,
                key,
                record,
                ticket,
                size_bytes,
            } => {
                let request = self.requests.entry(request).or_default();
                request.sent_us = *at_us;
                request.entry = entry;
                request.kind = kind;
                request.key = key.as_deref();
                request.record = record.as_deref();
                request.ticket = ticket.as_deref();
                request.size_bytes = *size_bytes;
            }
            Record::Answer {
                at_us,
                request,
                status,
                body,
            } => {
                self.requests.entry(request).or_default().answer = Some((*at_us, *status, body));
            }
            Record::Lost {
                at_us,
                request,
                connected,
            } => self.requests.entry(request).or_default().lost = Some((*at_us, *connected)),
            Record::Target { target, seen } => self.target_events.push((target, seen)),
            Record::Operator { at_us, change } => self.changes.push((*at_us, change)),
            Record::Process {
                at_us,
                process,
                change,
            } => self.processes.push((*at_us, process, *change)),
        }
    }

    /// Returns the IDs of all requests with the same ticket, or only `id` if it has no ticket.
    pub(super) fn ids_with_same_ticket(&self, id: &'a str) -> Vec<&'a str> {
        let ticket = self.requests.get(id).and_then(|request| request.ticket);
        match ticket {
            None => vec![id],
            Some(_) => {
                let requests = self.requests.iter();
                let requests = requests.filter(|(_, request)| request.ticket == ticket);
                requests.map(|(id, _)| *id).collect()
            }
        }
    }
}
