//! HTTP/1.1 client with a pool of idle connections to one address.

use std::{
    net::SocketAddr,
    sync::{
        Mutex,
        PoisonError, //
    },
};

use bytes::Bytes;
use http::{
    Request,
    Response, //
};
use http_body_util::{
    BodyExt,
    Full, //
};
use hyper::client::conn::http1::{
    self,
    SendRequest, //
};
use hyper_util::rt::TokioIo;
use tokio::{
    net::TcpStream,
    task::JoinSet, //
};

/// Sender of requests on one connection.
type Connection = SendRequest<Full<Bytes>>;

/// Why no complete response was received.
#[derive(Debug, thiserror::Error)]
pub(crate) enum ExchangeError {
    /// No connection was made, so nothing was sent.
    #[error("cannot connect: {0}")]
    Connect(std::io::Error),
    /// The connection was closed before the request was written.
    #[error("connection closed before the request was sent")]
    NotSent,
    /// The connection broke after the request may have been sent.
    #[error("connection broke before the response was complete: {0}")]
    Interrupted(hyper::Error),
}

/// HTTP client of one address; reuses connections that are idle.
#[derive(Debug)]
pub(crate) struct PooledClient {
    addr: SocketAddr,
    idle_connections: Mutex<Vec<Connection>>,
    driver_tasks: Mutex<JoinSet<()>>,
}

impl PooledClient {
    /// Creates a client without connections.
    pub(crate) fn new(addr: SocketAddr) -> Self {
        Self {
            addr,
            idle_connections: Mutex::default(),
            driver_tasks: Mutex::default(),
        }
    }

    /// Sends a request and reads the whole response; opens a connection if none is idle.
    pub(crate) async fn exchange(
        &self,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<Bytes>, ExchangeError> {
        loop {
            let Some(connection) = self.take_idle() else {
                let connection = self.connect().await?;
                return self.send(connection, request).await;
            };
            match self.send(connection, request.clone()).await {
                // The server closed the idle connection before the request was written. Retrying
                // is safe, and load balancers do the same.
                Err(ExchangeError::NotSent) => {}
                result => return result,
            }
        }
    }

    /// Sends a request on a connection, which becomes idle after the whole response was read.
    async fn send(
        &self,
        mut connection: Connection,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<Bytes>, ExchangeError> {
        if connection.ready().await.is_err() {
            return Err(ExchangeError::NotSent);
        }
        let response = match connection.send_request(request).await {
            Ok(response) => response,
            Err(error) if error.is_canceled() => return Err(ExchangeError::NotSent),
            Err(error) => return Err(ExchangeError::Interrupted(error)),
        };
        let (head, body) = response.into_parts();
        let body = body.collect().await.map_err(ExchangeError::Interrupted)?;
        let mut idle_connections = self
            .idle_connections
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        idle_connections.push(connection);
        Ok(Response::from_parts(head, body.to_bytes()))
    }

    /// Removes and returns an idle connection that is still open.
    fn take_idle(&self) -> Option<Connection> {
        let mut idle_connections = self
            .idle_connections
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        while let Some(connection) = idle_connections.pop() {
            if !connection.is_closed() {
                return Some(connection);
            }
        }
        None
    }

    async fn connect(&self) -> Result<Connection, ExchangeError> {
        let stream = TcpStream::connect(self.addr)
            .await
            .map_err(ExchangeError::Connect)?;
        stream.set_nodelay(true).map_err(ExchangeError::Connect)?;
        let (connection, driver) = http1::handshake(TokioIo::new(stream))
            .await
            .map_err(|_| ExchangeError::NotSent)?;
        let mut driver_tasks = self
            .driver_tasks
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        // Removes the results of drivers that have ended, which would otherwise accumulate.
        while driver_tasks.try_join_next().is_some() {}
        driver_tasks.spawn(async move {
            // An error of the connection is also returned to the request that uses it.
            let _ = driver.await;
        });
        Ok(connection)
    }
}
