//! Callers: HTTP clients with one connection that record requests and responses.

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
        Layout,
        Recorder, //
    },
    history::{
        Answer,
        Record, //
    },
};

/// Response timeout; far above the 500 ms deadline of a request, so that only a paused entry reaches it.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(3);

/// Query to send.
#[derive(Clone, Debug)]
pub struct Query<'a> {
    /// Lookup kind; each lookup is named after its kind.
    pub kind: &'a str,
    /// Team whose API key is sent.
    pub team: &'a str,
    /// Record key of a record or order query.
    pub record: &'a str,
    /// Ticket of an order.
    pub ticket: Option<&'a str>,
    /// Body.
    pub body: &'a str,
}

impl<'a> Query<'a> {
    /// Creates a query with the default record and body.
    pub const fn new(kind: &'a str, team: &'a str) -> Self {
        Self {
            kind,
            team,
            record: "A-1001",
            ticket: None,
            body: "oak 4mm",
        }
    }

    /// Sets the ticket.
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
pub struct Response {
    /// HTTP status.
    pub status: u16,
    /// Body.
    pub answer: Answer,
}

impl Response {
    /// Returns whether the query was answered completely.
    pub fn is_complete(&self) -> bool {
        self.status == 200 && self.answer.complete
    }
}

/// A caller of one entry.
#[derive(Debug)]
pub struct Caller {
    entry: Box<str>,
    addr: SocketAddr,
    recorder: Recorder,
    connection: Option<SendRequest<Full<Bytes>>>,
}

impl Caller {
    pub(super) fn new(entry: &str, addr: SocketAddr, recorder: Recorder) -> Self {
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
    pub async fn send(&mut self, query: &Query<'_>) -> Option<Response> {
        let request_id = format!("{:032x}", rand::random::<u128>());
        let mut connected = false;
        self.recorder.add(Record::Call {
            at_us: Recorder::now_us(),
            request: request_id.as_str().into(),
            entry: self.entry.clone(),
            kind: query.kind.into(),
            key: Some(Layout::api_key(query.team)),
            record: matches!(query.kind, "record" | "order").then(|| query.record.into()),
            ticket: query.ticket.map(Into::into),
            size_bytes: query.body.len(),
        });
        let exchange = self.exchange(query, &request_id, &mut connected);
        let response = tokio::time::timeout(RESPONSE_TIMEOUT, exchange).await;
        let at_us = Recorder::now_us();
        if let Ok(Some(response)) = response {
            self.recorder.add(Record::Answer {
                at_us,
                request: request_id.into(),
                status: response.status,
                body: response.answer.clone(),
            });
            return Some(response);
        }
        self.connection = None;
        self.recorder.add(Record::Lost {
            at_us,
            request: request_id.into(),
            connected,
        });
        None
    }

    async fn exchange(
        &mut self,
        query: &Query<'_>,
        request_id: &str,
        connected: &mut bool,
    ) -> Option<Response> {
        let mut connection = match self.connection.take() {
            // The entry may close an idle connection; no request is lost by that.
            Some(mut open) => match open.ready().await {
                Ok(()) => open,
                Err(_) => self.connect().await?,
            },
            None => self.connect().await?,
        };
        let mut request = Request::post(format!("/v1/lookups/{}", query.kind))
            .header("host", self.addr.to_string())
            .header(
                "authorization",
                format!("Bearer {}", Layout::api_key(query.team)),
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
        *connected = true;
        let response = match connection.send_request(request).await {
            Ok(response) => response,
            Err(error) => {
                *connected = !error.is_canceled();
                return None;
            }
        };
        let status = response.status().as_u16();
        let body = response.into_body().collect().await.ok()?.to_bytes();
        let answer = serde_json::from_slice(&body).ok()?;
        self.connection = Some(connection);
        Some(Response { status, answer })
    }

    async fn connect(&self) -> Option<SendRequest<Full<Bytes>>> {
        let stream = TcpStream::connect(self.addr).await.ok()?;
        let _ = stream.set_nodelay(true);
        let (connection, driver) = http1::handshake(TokioIo::new(stream)).await.ok()?;
        // Ends with the connection, which this caller owns; errors are returned to the request.
        tokio::spawn(driver);
        Some(connection)
    }
}
