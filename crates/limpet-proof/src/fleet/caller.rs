//! Callers: HTTP clients that record their requests and the responses.

use std::{
    net::SocketAddr,
    time::Duration, //
};

use bytes::Bytes;
use http::Request;
use http_body_util::{
    BodyExt,
    Full, //
};
use hyper::client::conn::http1::{
    self,
    SendRequest, //
};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;

use crate::{
    fleet::{
        FleetLayout,
        HistoryRecorder, //
    },
    history::{
        HistoryRecord,
        ResponseBody, //
    },
};

/// Timeout of a response; far above the 500 ms deadline of a request, so that only a paused entry reaches
/// it.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(3);

/// A query to send.
#[derive(Clone, Debug)]
pub struct Query<'a> {
    /// Kind of the lookup; each lookup of the fleet is named after its kind.
    pub kind: &'a str,
    /// Name of the team whose API key is sent.
    pub team: &'a str,
    /// Record key of a record or order query.
    pub record: &'a str,
    /// Ticket of an order.
    pub ticket: Option<&'a str>,
    /// Body of the query.
    pub body: &'a str,
}

impl<'a> Query<'a> {
    /// Creates a query with a default record key and body, and without a ticket.
    pub const fn new(kind: &'a str, team: &'a str) -> Self {
        Self {
            kind,
            team,
            record: "A-1001",
            ticket: None,
            body: "oak 4mm",
        }
    }

    /// Sets the ticket of an order.
    pub const fn with_ticket(mut self, ticket: &'a str) -> Self {
        self.ticket = Some(ticket);
        self
    }

    /// Sets the body.
    pub const fn with_body(mut self, body: &'a str) -> Self {
        self.body = body;
        self
    }

    /// Sets the record key.
    pub const fn with_record(mut self, record: &'a str) -> Self {
        self.record = record;
        self
    }
}

/// Response of an entry.
#[derive(Clone, Debug)]
pub struct EntryResponse {
    /// HTTP status.
    pub status: u16,
    /// Parsed body.
    pub body: ResponseBody,
}

impl EntryResponse {
    /// Returns whether the query was answered completely.
    pub fn is_complete(&self) -> bool {
        self.status == 200 && self.body.complete
    }
}

/// A caller of one entry, over one connection at a time.
#[derive(Debug)]
pub struct Caller {
    entry: Box<str>,
    addr: SocketAddr,
    recorder: HistoryRecorder,
    connection: Option<SendRequest<Full<Bytes>>>,
}

impl Caller {
    pub(super) fn new(entry: &str, addr: SocketAddr, recorder: HistoryRecorder) -> Self {
        Self {
            entry: entry.into(),
            addr,
            recorder,
            connection: None,
        }
    }

    /// Sends a query on the connection, which is opened if necessary.
    ///
    /// Returns `None` if no whole response arrived.
    pub async fn send(&mut self, query: &Query<'_>) -> Option<EntryResponse> {
        let request_id = format!("{:032x}", rand::random::<u128>());
        let mut is_connected = false;
        self.recorder.add(HistoryRecord::Call {
            at_us: HistoryRecorder::now_us(),
            request: request_id.as_str().into(),
            entry: self.entry.clone(),
            kind: query.kind.into(),
            key: Some(FleetLayout::api_key(query.team)),
            record: matches!(query.kind, "record" | "order").then(|| query.record.into()),
            ticket: query.ticket.map(Into::into),
            size_bytes: query.body.len(),
        });
        let exchange = self.exchange(query, &request_id, &mut is_connected);
        let response = tokio::time::timeout(RESPONSE_TIMEOUT, exchange).await;
        let at_us = HistoryRecorder::now_us();
        if let Ok(Some(response)) = response {
            self.recorder.add(HistoryRecord::Response {
                at_us,
                request: request_id.into(),
                status: response.status,
                body: response.body.clone(),
            });
            return Some(response);
        }
        self.connection = None;
        self.recorder.add(HistoryRecord::LostResponse {
            at_us,
            request: request_id.into(),
            connected: is_connected,
        });
        None
    }

    /// Sends the query and reads the response; `is_connected` tells whether the entry may have received the
    /// query.
    async fn exchange(
        &mut self,
        query: &Query<'_>,
        request_id: &str,
        is_connected: &mut bool,
    ) -> Option<EntryResponse> {
        let mut connection = match self.connection.take() {
            // The entry may have closed the idle connection; no request is lost by that.
            Some(mut open_connection) => match open_connection.ready().await {
                Ok(()) => open_connection,
                Err(_) => self.connect().await?,
            },
            None => self.connect().await?,
        };
        let mut request = Request::post(format!("/v1/lookups/{}", query.kind))
            .header("host", self.addr.to_string())
            .header(
                "authorization",
                format!("Bearer {}", FleetLayout::api_key(query.team)),
            )
            .header("x-limpet-request-id", request_id)
            .header("x-limpet-allow-partial", "true")
            .header("x-limpet-deadline-ms", "500")
            .header("x-limpet-record", query.record);
        if let Some(ticket) = query.ticket {
            request = request.header("x-limpet-ticket", ticket);
        }
        let body = Full::new(Bytes::copy_from_slice(query.body.as_bytes()));
        let request = request.body(body).ok()?;
        *is_connected = true;
        let response = match connection.send_request(request).await {
            Ok(response) => response,
            Err(error) => {
                *is_connected = !error.is_canceled();
                return None;
            }
        };
        let status = response.status().as_u16();
        let body = response.into_body().collect().await.ok()?.to_bytes();
        let body = serde_json::from_slice(&body).ok()?;
        self.connection = Some(connection);
        Some(EntryResponse { status, body })
    }

    async fn connect(&self) -> Option<SendRequest<Full<Bytes>>> {
        let stream = TcpStream::connect(self.addr).await.ok()?;
        let _ = stream.set_nodelay(true);
        let (connection, driver) = http1::handshake(TokioIo::new(stream)).await.ok()?;
        // The task ends with the connection, which this caller owns. Errors are returned to the request.
        tokio::spawn(driver);
        Some(connection)
    }
}
