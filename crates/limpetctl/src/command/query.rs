//! Queries sent to an entry by `search`, `exists`, `record`, `order`, `lookup` and `watch`.

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
    exit_status::ExitStatus,
    http_client::{
        self,
        ClientError, //
    },
    output::print_line,
};

/// Time to wait for the response beyond the deadline, so that a refusal sent at the deadline arrives.
const RESPONSE_GRACE: Duration = Duration::from_secs(2);

/// Why a query was not sent or got no response.
#[derive(Debug, thiserror::Error)]
pub(crate) enum QueryError {
    /// The body cannot be read.
    #[error("cannot read the body from {path}: {source}")]
    Body {
        /// Path of the file.
        path: Box<str>,
        /// Cause.
        source: std::io::Error,
    },
    /// A value is not valid in a header or in the path.
    #[error("{name} is not valid in an HTTP request: {source}")]
    InvalidValue {
        /// Name of the value.
        name: &'static str,
        /// Cause.
        source: http::Error,
    },
    /// No complete response was received.
    #[error(transparent)]
    Client(#[from] ClientError),
}

impl QueryError {
    /// Returns the exit status of the command.
    pub(crate) const fn exit_status(&self) -> ExitStatus {
        match self {
            Self::Body { .. } | Self::InvalidValue { .. } => ExitStatus::Usage,
            Self::Client(_) => ExitStatus::NoResponse,
        }
    }
}

/// A query that can be sent to an entry more than once.
#[derive(Clone, Debug)]
pub(crate) struct Query {
    lookup: Box<str>,
    options: SendArguments,
    record: Option<Box<str>>,
    ticket: Option<Box<str>>,
}

impl Query {
    /// Creates a query without a record or ticket.
    pub(crate) const fn new(lookup: Box<str>, options: SendArguments) -> Self {
        Self {
            lookup,
            options,
            record: None,
            ticket: None,
        }
    }

    /// Sets the key of the record.
    pub(crate) fn with_record(mut self, record: Option<Box<str>>) -> Self {
        self.record = record;
        self
    }

    /// Sets the ticket of an order.
    pub(crate) fn with_ticket(mut self, ticket: Option<Box<str>>) -> Self {
        self.ticket = ticket;
        self
    }

    /// Reads the body from its file, if it has one, so that a repeated query sends the same body.
    pub(crate) fn load_body(mut self) -> Result<Self, QueryError> {
        if let Some(path) = self.options.body_file.take() {
            let text = read_body(&path).map_err(|source| QueryError::Body {
                path: path.display().to_string().into(),
                source,
            })?;
            self.options.body = Some(text.into());
        }
        Ok(self)
    }

    /// Sends the query with a new request identifier and reads the reply.
    pub(crate) async fn send(&self) -> Result<Reply, QueryError> {
        let request_id: u128 = rand::random();
        let request = self.build_request(request_id)?;
        let timeout = Duration::from_millis(self.options.deadline_ms) + RESPONSE_GRACE;
        let response = http_client::exchange(self.options.entry, request, timeout).await?;
        Ok(Reply::new(response, request_id, self.ticket.is_some()))
    }

    /// Builds the HTTP request of the query.
    fn build_request(&self, request_id: u128) -> Result<Request<Full<Bytes>>, QueryError> {
        let options = &self.options;
        let optional_headers = [
            ("x-limpet-record", "the record", self.record.as_deref()),
            ("x-limpet-ticket", "the ticket", self.ticket.as_deref()),
        ];
        let mut request = Request::post(format!("/v1/lookups/{}", self.lookup))
            .header("host", options.entry.to_string())
            .header("x-limpet-request-id", format!("{request_id:032x}"))
            .header("x-limpet-deadline-ms", options.deadline_ms);
        if options.allow_partial {
            request = request.header("x-limpet-allow-partial", "true");
        }
        if let Some(key) = &options.key {
            let mut value = HeaderValue::try_from(format!("Bearer {key}"))
                .map_err(|error| invalid_value("the API key", error.into()))?;
            value.set_sensitive(true);
            request = request.header(http::header::AUTHORIZATION, value);
        }
        for (header, value_name, value) in optional_headers {
            if let Some(value) = value {
                let value = HeaderValue::try_from(value)
                    .map_err(|error| invalid_value(value_name, error.into()))?;
                request = request.header(header, value);
            }
        }
        let body = options.body.as_deref().unwrap_or_default().to_owned();
        request
            .body(Full::new(Bytes::from(body)))
            .map_err(|error| invalid_value("the lookup name", error))
    }
}

const fn invalid_value(name: &'static str, source: http::Error) -> QueryError {
    QueryError::InvalidValue { name, source }
}

/// Reads a file, or standard input if the path is `-`.
fn read_body(path: &Path) -> std::io::Result<String> {
    if path == Path::new("-") {
        let mut text = String::new();
        std::io::stdin().read_to_string(&mut text)?;
        return Ok(text);
    }
    std::fs::read_to_string(path)
}

/// Sends a query and prints the reply.
pub(crate) async fn run(query: Query, is_json: bool) -> ExitStatus {
    let result = async { query.load_body()?.send().await }.await;
    print_result(result, is_json)
}

/// Places an order; requests a ticket first if the query has none.
pub(crate) async fn run_order(query: Query, is_json: bool) -> ExitStatus {
    let result = async {
        let query = query.load_body()?;
        let reply = query.send().await?;
        let Some(ticket) = reply.issued_ticket().filter(|_| query.ticket.is_none()) else {
            return Ok(reply);
        };
        // Printed before the order is sent, so that its outcome can be requested if the reply is lost.
        eprintln!("ticket: {ticket}");
        query.with_ticket(Some(ticket)).send().await
    };
    print_result(result.await, is_json)
}

/// Prints the reply, or the error on standard error, and returns the exit status of the command.
fn print_result(result: Result<Reply, QueryError>, is_json: bool) -> ExitStatus {
    match result {
        Ok(reply) => {
            if is_json {
                print_line!("{}", reply.json());
            } else {
                print_line!("{}", reply.text().trim_end());
            }
            reply.exit_status()
        }
        Err(error) => {
            eprintln!("error: {error}");
            error.exit_status()
        }
    }
}
