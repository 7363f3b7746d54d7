//! Index of a history: its records by request, target, team and process.

use std::collections::BTreeMap;

use limpet_fakes::target::ReceivedRequest;

use crate::history::{
    ConfigChange,
    HistoryRecord,
    ProcessChange,
    ResponseBody, //
};

/// A request of a caller with everything recorded about it.
#[derive(Debug, Default)]
pub(super) struct CallerRequest<'a> {
    /// Time at which the request was sent, since boot.
    pub(super) sent_us: u64,
    pub(super) entry: &'a str,
    pub(super) kind: &'a str,
    pub(super) key: Option<&'a str>,
    pub(super) record: Option<&'a str>,
    pub(super) ticket: Option<&'a str>,
    pub(super) size_bytes: usize,
    /// Time of arrival since boot, status and body of the response.
    pub(super) response: Option<(u64, u16, &'a ResponseBody)>,
    /// If no whole response came: time of the failure since boot, and whether the connection was open.
    pub(super) lost_response: Option<(u64, bool)>,
    /// Requests that targets received for this request, each with the name of its target.
    pub(super) received_requests: Vec<(&'a str, &'a ReceivedRequest)>,
}

/// A target of the configuration.
#[derive(Debug)]
pub(super) struct ConfiguredTarget<'a> {
    pub(super) shard: &'a str,
    pub(super) start: u64,
    pub(super) end: u64,
    pub(super) zone: &'a str,
    pub(super) cold_requests_max: u32,
}

/// A team of the configuration.
#[derive(Debug)]
pub(super) struct ConfiguredTeam<'a> {
    pub(super) name: &'a str,
    pub(super) rate_per_s: f64,
    pub(super) burst: f64,
    pub(super) keys: Vec<&'a str>,
}

/// Records of a history, by what they are about.
#[derive(Debug, Default)]
pub(super) struct HistoryIndex<'a> {
    pub(super) requests: BTreeMap<&'a str, CallerRequest<'a>>,
    pub(super) targets: BTreeMap<&'a str, ConfiguredTarget<'a>>,
    pub(super) teams: Vec<ConfiguredTeam<'a>>,
    /// Requests that targets received, each with the name of its target.
    pub(super) received_requests: Vec<(&'a str, &'a ReceivedRequest)>,
    /// Accepted configuration changes with their times since boot, in the order of the times.
    pub(super) config_changes: Vec<(u64, &'a ConfigChange)>,
    /// Starts, stops and faults of processes: time since boot, name of the process and what happened.
    pub(super) process_changes: Vec<(u64, &'a str, ProcessChange)>,
}

impl<'a> HistoryIndex<'a> {
    pub(super) fn new(records: &'a [HistoryRecord]) -> Self {
        let mut index = Self::default();
        for record in records {
            index.add(record);
        }
        index.config_changes.sort_by_key(|(at_us, _)| *at_us);
        for (target, received) in &index.received_requests {
            if let Some(request) = index.requests.get_mut(&*received.request) {
                request.received_requests.push((target, received));
            }
        }
        index
    }

    fn add(&mut self, record: &'a HistoryRecord) {
        match record {
            HistoryRecord::Team {
                name,
                rate_per_s,
                burst,
                keys,
            } => self.teams.push(ConfiguredTeam {
                name,
                rate_per_s: *rate_per_s,
                burst: *burst,
                keys: keys.iter().map(|key| &**key).collect(),
            }),
            HistoryRecord::ConfiguredTarget {
                target,
                shard,
                start,
                end,
                zone,
                cold_requests_max,
            } => {
                let target_config = ConfiguredTarget {
                    shard,
                    start: *start,
                    end: *end,
                    zone,
                    cold_requests_max: *cold_requests_max,
                };
                self.targets.insert(target, target_config);
            }
            HistoryRecord::Call {
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
            HistoryRecord::Response {
                at_us,
                request,
                status,
                body,
            } => {
                self.requests.entry(request).or_default().response = Some((*at_us, *status, body));
            }
            HistoryRecord::LostResponse {
                at_us,
                request,
                connected,
            } => {
                self.requests.entry(request).or_default().lost_response = Some((*at_us, *connected))
            }
            HistoryRecord::TargetRequest { target, received } => {
                self.received_requests.push((target, received))
            }
            HistoryRecord::ConfigChanged { at_us, change } => {
                self.config_changes.push((*at_us, change))
            }
            HistoryRecord::Process {
                at_us,
                process,
                change,
            } => self.process_changes.push((*at_us, process, *change)),
        }
    }

    /// Returns the IDs of all requests with the same ticket, or only `request_id` if it has no ticket.
    pub(super) fn ids_with_same_ticket(&self, request_id: &'a str) -> Vec<&'a str> {
        let ticket = self
            .requests
            .get(request_id)
            .and_then(|request| request.ticket);
        match ticket {
            None => vec![request_id],
            Some(_) => {
                let requests = self.requests.iter();
                let requests = requests.filter(|(_, request)| request.ticket == ticket);
                requests.map(|(id, _)| *id).collect()
            }
        }
    }
}
