//! The request that an attempt sends to a target.

use std::time::Duration;

use bytes::Bytes;
use http::{
    Request,
    header::HOST, //
};
use http_body_util::Full;
use limpet_types::{
    IndexVersion,
    KeyRange,
    RequestId,
    TargetAddr,
    message::AttemptKind, //
};

/// An attempt as it is sent to a target; it never contains the API key of the caller.
#[derive(Clone, Debug)]
pub struct TargetRequest {
    /// Identifier of the caller's request that the attempt is part of.
    pub request_id: RequestId,
    /// Number of the attempt, unique within the caller's request.
    pub attempt: u32,
    /// Operation that the target runs.
    pub kind: AttemptKind,
    /// Range of keys that the response must cover.
    pub range: KeyRange,
    /// Index version to read from, if a certain one is required.
    pub snapshot: Option<IndexVersion>,
    /// Time until the deadline of the request.
    pub time_left: Duration,
    /// Key of the record to read or to place the order on.
    pub record: Option<Box<str>>,
    /// Ticket of an order, by which the target recognizes a repeated order.
    pub ticket: Option<Box<str>>,
    /// Body of the query.
    pub body: Bytes,
}

impl TargetRequest {
    /// Returns the request identifier as the headers contain it.
    pub(crate) fn request_id_text(&self) -> String {
        format!("{:032x}", self.request_id)
    }

    /// Builds the HTTP request for a target.
    pub(crate) fn to_http(&self, target: TargetAddr) -> Result<Request<Full<Bytes>>, http::Error> {
        let mut builder = Request::post(format!("/v1/{}", self.kind.as_str()))
            .header(HOST, target.to_string())
            .header("x-request-id", self.request_id_text())
            .header("x-attempt", self.attempt)
            .header("x-deadline-ms", self.time_left.as_millis().to_string())
            .header(
                "x-range",
                format!("{}-{}", self.range.start, self.range.end),
            );
        if let Some(version) = self.snapshot {
            builder = builder.header("x-index-version", version);
        }
        if let Some(record) = &self.record {
            builder = builder.header("x-record", &**record);
        }
        if let Some(ticket) = &self.ticket {
            builder = builder.header("x-ticket", &**ticket);
        }
        builder.body(Full::new(self.body.clone()))
    }
}
