//! One attempt as a target gets it.

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

/// One attempt as a target gets it; the caller's API key is no part of it.
#[derive(Clone, Debug)]
pub struct TargetRequest {
    /// Caller request.
    pub request_id: RequestId,
    /// Number of the attempt.
    pub attempt: u32,
    /// What to do.
    pub kind: AttemptKind,
    /// Keys that the response must cover.
    pub range: KeyRange,
    /// Index version to answer from.
    pub snapshot: Option<IndexVersion>,
    /// Time left for the target.
    pub time_left: Duration,
    /// Record key of a record or an order.
    pub record: Option<Box<str>>,
    /// Ticket of an order, which lets the target recognise a repetition.
    pub ticket: Option<Box<str>>,
    /// Query.
    pub body: Bytes,
}

impl TargetRequest {
    pub(crate) fn request_id_text(&self) -> String {
        format!("{:032x}", self.request_id)
    }

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
