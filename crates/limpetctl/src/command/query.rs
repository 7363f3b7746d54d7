//! Queries to an entry.

use std::{
    io::Read as _,
    path::Path,
    time::Duration, //
};

use bytes::Bytes;
use http::{
    HeaderValue,
    Request, //
};
use http_body_util::Full;

use crate::{
    arguments::SendArguments,
    command::reply::Reply,
    exit::Exit,
    http_client::{
        self,
        ClientError, //
    },
    output::say,
};

/// Wait for a response beyond the deadline, so that a refusal at the deadline still arrives.
const RESPONSE_GRACE: Duration = Duration::from_secs(2);

/// Why a query was not sent or got no response.
#[derive(Debug, thiserror::Error)]
pub(crate) enum QueryError {
    /// The body cannot be read.
    #[error("cannot read the body from {path}: {source}")]
    Body {
        /// File.
        path: Box<str>,
        /// Cause.
        source: std::io::Error,
    },
    /// A value cannot stand in a header or path.
    #[error("{what} cannot be sent in HTTP: {source}")]
    Value {
        /// Which value.
        what: &'static str,
        /// Cause.
        source: http::Error,
    },
    /// No complete response came.
    #[error(transparent)]
    Client(#[from] ClientError),
}

impl QueryError {
    pub(crate) const fn exit(&self) -> Exit {
        match self {
            Self::Body { .. } | Self::Value { .. } => Exit::Usage,
            Self::Client(_) => Exit::NoResponse,
        }
    }
}

/// One query.
#[derive(Clone, Debug)]
pub(crate) struct Query {
    lookup: Box<str>,
    send: SendArguments,
    record: Option<Box<str>>,
    ticket: Option<Box<str>>,
}

impl Query {
    /// Creates a query without record and ticket.
    pub(crate) const fn new(lookup: Box<str>, send: SendArguments) -> Self {
        Self {
            lookup,
            send,
            record: None,
            ticket: None,
        }
    }

    /// Sets the record key.
    pub(crate) fn with_record(mut self, record: Option<Box<str>>) -> Self {
        self.record = record;
        self
    }

    /// Sets the ticket of an order.
    pub(crate) fn with_ticket(mut self, ticket: Option<Box<str>>) -> Self {
        self.ticket = ticket;
        self
    }

    /// Reads the body from its file, so that a repeated query need not read it again.
    pub(crate) fn load_body(mut self) -> Result<Self, QueryError> {
        if let Some(path) = self.send.body_file.take() {
            let text = read_body(&path).map_err(|source| QueryError::Body {
                path: path.display().to_string().into(),
                source,
            })?;
            self.send.body = Some(text.into());
        }
        Ok(self)
    }

    /// Sends the query and reads the reply.
    pub(crate) async fn send(&self) -> Result<Reply, QueryError> {
        let request_id: u128 = rand::random();
        let request = self.request(request_id)?;
        let timeout = Duration::from_millis(self.send.deadline_ms) + RESPONSE_GRACE;
        let response = http_client::exchange(self.send.entry, request, timeout).await?;
        Ok(Reply::new(response, request_id, self.ticket.is_some()))
    }

    fn request(&self, request_id: u128) -> Result<Request<Full<Bytes>>, QueryError> {
        let send = &self.send;
        let optional = [
            ("x-limpet-record", "the record", self.record.as_deref()),
            ("x-limpet-ticket", "the ticket", self.ticket.as_deref()),
        ];
        let mut request = Request::post(format!("/v1/lookups/{}", self.lookup))
            .header("host", send.entry.to_string())
            .header("x-limpet-request-id", format!("{request_id:032x}"))
            .header("x-limpet-deadline-ms", send.deadline_ms);
        if send.allow_partial {
            request = request.header("x-limpet-allow-partial", "true");
        }
        if let Some(key) = &send.key {
            let mut value = HeaderValue::try_from(format!("Bearer {key}"))
                .map_err(|error| value_error("the API key", error.into()))?;
            value.set_sensitive(true);
            request = request.header(http::header::AUTHORIZATION, value);
        }
        for (name, what, value) in optional {
            if let Some(value) = value {
                let value = HeaderValue::try_from(value)
                    .map_err(|error| value_error(what, error.into()))?;
                request = request.header(name, value);
            }
        }
        let body = send.body.as_deref().unwrap_or_default().to_owned();
        request
            .body(Full::new(Bytes::from(body)))
            .map_err(|error| value_error("the lookup name", error))
    }
}

const fn value_error(what: &'static str, source: http::Error) -> QueryError {
    QueryError::Value { what, source }
}

fn read_body(path: &Path) -> std::io::Result<String> {
    if path == Path::new("-") {
        let mut text = String::new();
        std::io::stdin().read_to_string(&mut text)?;
        return Ok(text);
    }
    std::fs::read_to_string(path)
}

/// Sends a query and prints the reply.
pub(crate) async fn run(query: Query, json: bool) -> Exit {
    let result = async { query.load_body()?.send().await }.await;
    print(result, json)
}

/// Places an order: without a ticket it gets one first, then sends the order with it.
pub(crate) async fn run_order(query: Query, json: bool) -> Exit {
    let result = async {
        let query = query.load_body()?;
        let reply = query.send().await?;
        let Some(ticket) = reply.ticket().filter(|_| query.ticket.is_none()) else {
            return Ok(reply);
        };
        // Printed before the order is sent: with it the outcome can be asked for after a lost reply.
        eprintln!("ticket: {ticket}");
        query.with_ticket(Some(ticket)).send().await
    };
    print(result.await, json)
}

fn print(result: Result<Reply, QueryError>, json: bool) -> Exit {
    match result {
        Ok(reply) => {
            if json {
                say!("{}", reply.json());
            } else {
                say!("{}", reply.text().trim_end());
            }
            reply.exit()
        }
        Err(error) => {
            eprintln!("error: {error}");
            error.exit()
        }
    }
}
