//! HTTP client that acts as a caller.

use std::net::SocketAddr;

use bytes::Bytes;
use http::{
    HeaderMap,
    Method,
    Request, //
};
use http_body_util::{
    BodyExt,
    Full, //
};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;

/// Response to a caller.
#[derive(Debug)]
pub(crate) struct Reply {
    pub(crate) status: u16,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
}

impl Reply {
    /// Returns a header as text, empty if it is absent.
    pub(crate) fn header(&self, name: &str) -> &str {
        self.headers
            .get(name)
            .map_or("", |value| value.to_str().unwrap())
    }
}

/// Sends one request on a new connection; adds the host, and request id and deadline unless `headers` has
/// them.
pub(crate) async fn call(
    addr: SocketAddr,
    method: Method,
    path: &str,
    headers: &[(&str, &str)],
    body: &'static [u8],
) -> Reply {
    let stream = TcpStream::connect(addr).await.unwrap();
    let (mut sender, connection) = hyper::client::conn::http1::handshake(TokioIo::new(stream))
        .await
        .unwrap();
    tokio::spawn(connection);
    let mut request = Request::builder()
        .method(method)
        .uri(path)
        .header("host", "shop.example");
    let is_given = |name: &str| headers.iter().any(|(known, _)| *known == name);
    if !is_given("t-id") {
        request = request.header("t-id", "request-1");
    }
    if !is_given("t-deadline") {
        request = request.header("t-deadline", "2000");
    }
    for (name, value) in headers {
        request = request.header(*name, *value);
    }
    let request = request.body(Full::new(Bytes::from_static(body))).unwrap();
    let response = sender.send_request(request).await.unwrap();
    let (head, body) = response.into_parts();
    Reply {
        status: head.status.as_u16(),
        headers: head.headers,
        body: body.collect().await.unwrap().to_bytes(),
    }
}

/// Sends a GET request with the API key `key-a`.
pub(crate) async fn get(addr: SocketAddr, path: &str) -> Reply {
    call(addr, Method::GET, path, &[("t-key", "key-a")], b"").await
}

/// Sends a POST request with the API key `key-a`.
pub(crate) async fn post(addr: SocketAddr, path: &str, body: &'static [u8]) -> Reply {
    call(addr, Method::POST, path, &[("t-key", "key-a")], body).await
}
