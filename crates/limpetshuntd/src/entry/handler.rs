//! Handles a caller request, from its headers to its response.

use std::{
    sync::Arc,
    time::Duration, //
};

use bytes::Bytes;
use http::{
    HeaderMap,
    HeaderValue,
    Method,
    Request,
    header, //
};
use http_body_util::{
    BodyExt,
    Limited, //
};
use hyper::body::{
    Body,
    Incoming, //
};
use limpet_config::Lookup;
use limpet_types::{
    Phase,
    Refusal,
    RefusalCode,
    RequestId,
    message::AttemptKind, //
};

use crate::{
    blackboard::ConfigInForce,
    entry::{
        limits::{
            BODY_SIZE_MAX_BYTES,
            DEADLINE_DEFAULT,
            DEADLINE_MAX, //
        },
        lookup_graph,
        request_context::RequestContext,
        response::{
            self,
            CallerResponse, //
        },
        state::Entry,
    },
};

/// Path of every lookup, up to the name.
const LOOKUP_PATH_PREFIX: &str = "/v1/lookups/";

/// A refusal as it is returned to a caller.
pub(super) struct CallerRefusal {
    pub(super) refusal: Refusal,
    /// Ticket issued for an order that came without one.
    pub(super) ticket: Option<Box<str>>,
    /// Whether `not_run` already takes earlier uses of the caller's ticket into account.
    pub(super) is_ticket_history_considered: bool,
}

impl From<Refusal> for CallerRefusal {
    fn from(refusal: Refusal) -> Self {
        Self {
            refusal,
            ticket: None,
            is_ticket_history_considered: false,
        }
    }
}

/// Returns the refusal of a request whose method, headers or body are not valid.
fn bad_request_refusal(message: impl Into<Box<str>>) -> Refusal {
    Refusal::not_run(RefusalCode::BadRequest, message)
}

/// Returns a header as text; `None` if the request does not have it.
fn header_text<'h>(headers: &'h HeaderMap, name: &str) -> Result<Option<&'h str>, Refusal> {
    headers
        .get(name)
        .map(|value| value.to_str())
        .transpose()
        .map_err(|_| bad_request_refusal(format!("{name} is not plain text")))
}

/// Returns the request id that the caller sent, or a random one if it sent none.
fn parse_request_id(headers: &HeaderMap) -> Result<RequestId, Refusal> {
    match header_text(headers, "x-limpet-request-id")? {
        None => Ok(rand::random()),
        Some(digits) if digits.len() == 32 => RequestId::from_str_radix(digits, 16)
            .map_err(|_| bad_request_refusal("x-limpet-request-id must be 32 hex digits")),
        Some(_) => Err(bad_request_refusal(
            "x-limpet-request-id must be 32 hex digits",
        )),
    }
}

/// Returns the time from the arrival of the request to its deadline.
fn parse_time_limit(headers: &HeaderMap) -> Result<Duration, Refusal> {
    let Some(digits) = header_text(headers, "x-limpet-deadline-ms")? else {
        return Ok(DEADLINE_DEFAULT);
    };
    let time_limit = digits.parse().map(Duration::from_millis).map_err(|_| {
        bad_request_refusal("x-limpet-deadline-ms must be a number of milliseconds")
    })?;
    Ok(time_limit.min(DEADLINE_MAX))
}

/// Returns the API key of the request; `None` if it has no bearer token.
fn parse_api_key(headers: &HeaderMap) -> Option<&[u8]> {
    let value = headers.get(header::AUTHORIZATION)?.as_bytes();
    // The scheme "Bearer " with its space has 7 bytes.
    let (scheme, key) = value.split_at_checked(7)?;
    scheme.eq_ignore_ascii_case(b"bearer ").then_some(key)
}

/// Reads the body, and refuses one that is too large or arrives too late.
async fn read_body(body: Incoming, time_left: Duration) -> Result<Bytes, Refusal> {
    let too_large_refusal =
        || bad_request_refusal(format!("the body is over {BODY_SIZE_MAX_BYTES} bytes"));
    if body.size_hint().lower() > BODY_SIZE_MAX_BYTES as u64 {
        return Err(too_large_refusal());
    }
    let collect = Limited::new(body, BODY_SIZE_MAX_BYTES).collect();
    match tokio::time::timeout(time_left, collect).await {
        Ok(Ok(body)) => Ok(body.to_bytes()),
        Ok(Err(error)) if error.is::<http_body_util::LengthLimitError>() => {
            Err(too_large_refusal())
        }
        Ok(Err(error)) => Err(bad_request_refusal(format!(
            "the body cannot be read: {error}"
        ))),
        Err(_) => Err(Refusal::not_run(
            RefusalCode::DeadlineExceeded,
            "the body did not arrive before the deadline",
        )),
    }
}

impl Entry {
    /// Handles a caller request: runs it, or refuses it with a response that says why.
    pub(super) async fn handle_request(
        self: Arc<Self>,
        request: Request<Incoming>,
    ) -> CallerResponse {
        // The request is counted before the phase is read: a drain that starts in between then waits for it.
        let _in_flight_guard = self.track_in_flight();
        let started_at = std::time::Instant::now();
        let sent_ticket = request.headers().get(response::TICKET_HEADER).cloned();
        let (request_id, result) = match parse_request_id(request.headers()) {
            Ok(id) => (id, self.run_request(id, request).await),
            Err(refusal) => (rand::random(), Err(refusal.into())),
        };
        let mut response = match result {
            Ok(response) => response,
            Err(mut caller_refusal) => {
                if let Some(sent_ticket) = sent_ticket {
                    self.mark_maybe_run_if_ticket_used(&mut caller_refusal, &sent_ticket);
                }
                let CallerRefusal {
                    refusal, ticket, ..
                } = caller_refusal;
                metrics::counter!("limpet_entry_refusals", "code" => refusal.code.as_str())
                    .increment(1);
                tracing::info!(
                    request_id = %format_args!("{request_id:032x}"),
                    code = refusal.code.as_str(),
                    not_run = refusal.not_run,
                    message = %refusal.message,
                    "caller request refused"
                );
                response::refusal_response(request_id, &refusal, ticket.as_deref())
            }
        };
        metrics::histogram!("limpet_entry_request_seconds").record(started_at.elapsed());
        if self.board.phase() == Phase::Draining {
            // The caller must send its next request to another entry.
            let headers = response.headers_mut();
            headers.insert(header::CONNECTION, HeaderValue::from_static("close"));
        }
        response
    }

    /// Checks a request, reads its body, waits for a rate token and a query slot, and runs the request.
    ///
    /// An order without a ticket is not run: the refusal carries a new ticket for it.
    async fn run_request(
        self: &Arc<Self>,
        request_id: RequestId,
        request: Request<Incoming>,
    ) -> Result<CallerResponse, CallerRefusal> {
        let arrived_at = self.board.now();
        let (head, body) = request.into_parts();
        let Some(lookup_name) = head.uri.path().strip_prefix(LOOKUP_PATH_PREFIX) else {
            let message = "the path must be /v1/lookups/LOOKUP";
            return Err(Refusal::not_run(RefusalCode::UnknownLookup, message).into());
        };
        if head.method != Method::POST {
            return Err(bad_request_refusal("the method must be POST").into());
        }
        let config_in_force = self.require_serving()?;
        let lookup = find_lookup(&config_in_force.config, lookup_name)?;
        let api_key = parse_api_key(&head.headers);
        let caller = self.authorize(&config_in_force.config, lookup, api_key)?;
        let deadline = arrived_at + parse_time_limit(&head.headers)?;
        let is_partial_allowed = match header_text(&head.headers, "x-limpet-allow-partial")? {
            None | Some("false") => false,
            Some("true") => true,
            Some(_) => {
                return Err(
                    bad_request_refusal("x-limpet-allow-partial must be true or false").into(),
                );
            }
        };
        let record_key: Option<Box<str>> =
            header_text(&head.headers, "x-limpet-record")?.map(Into::into);
        let is_record_key_required =
            matches!(lookup.kind, AttemptKind::Record | AttemptKind::Order);
        if is_record_key_required && record_key.is_none() {
            return Err(bad_request_refusal("x-limpet-record is required for this lookup").into());
        }
        let ticket = header_text(&head.headers, response::TICKET_HEADER)?;
        let time_left = deadline.saturating_sub(self.board.now());
        let body = read_body(body, time_left).await?;
        if lookup.kind == AttemptKind::Order && ticket.is_none() {
            // Issuing a ticket costs no rate token: the order sent with the ticket spends one.
            return Err(self.issue_ticket(&caller.team));
        }
        if caller.has_rate_limit {
            self.spend_rate_token(&caller.team, deadline).await?;
        }
        let query_slot = self
            .query_slots
            .acquire(&caller.team, caller.weight, deadline)
            .await?;
        // The configuration may have changed while the request queued, for example revoked the API key.
        let config_in_force = self.require_serving_or_draining()?;
        let lookup = find_lookup(&config_in_force.config, lookup_name)?;
        let reauthorized = self.authorize(&config_in_force.config, lookup, api_key)?;
        if reauthorized.team != caller.team {
            let message = "the API key moved to another team";
            return Err(Refusal::not_run(RefusalCode::Unauthorized, message).into());
        }
        let mut request_context = RequestContext::new(
            request_id,
            caller.team,
            deadline,
            body,
            Arc::clone(&config_in_force),
        );
        request_context.is_partial_allowed = is_partial_allowed;
        request_context.record_key = record_key;
        request_context.ticket = ticket.map(Into::into);
        let response = match (lookup.kind, ticket) {
            (AttemptKind::Order, Some(ticket)) => {
                let outcome = self
                    .place_order(request_context, lookup, ticket, query_slot)
                    .await;
                let outcome = outcome.map_err(|refusal| CallerRefusal {
                    is_ticket_history_considered: true,
                    ..refusal.into()
                })?;
                response::json_bytes_response(request_id, &outcome)
            }
            _ => {
                let results =
                    lookup_graph::run_with_dependencies(self, &request_context, lookup).await?;
                // The next query may start while the response is built.
                drop(query_slot);
                response::lookup_response(request_id, &config_in_force.config, lookup, &results)
            }
        };
        Ok(response)
    }

    /// Like [`Entry::require_serving`], but also succeeds during a drain: for requests admitted before the
    /// drain.
    pub(super) fn require_serving_or_draining(&self) -> Result<Arc<ConfigInForce>, Refusal> {
        match self.board.config_in_force() {
            Some(config_in_force) if self.board.phase() == Phase::Draining => Ok(config_in_force),
            _ => self.require_serving(),
        }
    }
}

/// Returns the lookup of that name, or a refusal if the configuration has none.
pub(super) fn find_lookup<'c>(
    config: &'c limpet_config::Config,
    name: &str,
) -> Result<&'c Lookup, Refusal> {
    config.lookup(name).ok_or_else(|| {
        Refusal::not_run(
            RefusalCode::UnknownLookup,
            format!("there is no lookup {name:?}"),
        )
    })
}
