//! A target that does what the test says.

use std::{
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{
            AtomicUsize,
            Ordering, //
        },
    },
    time::Duration,
};

use http::HeaderMap;
use tokio::{
    io::{
        AsyncReadExt,
        AsyncWriteExt, //
    },
    net::{
        TcpListener,
        TcpStream, //
    },
    sync::Notify,
    task::{
        JoinHandle,
        JoinSet, //
    },
    time::{
        sleep,
        timeout, //
    },
};

/// What a target does with a request.
#[derive(Clone, Debug)]
pub(crate) enum Behaviour {
    /// Answers with a status, a signature and a body after a delay.
    Answer(u16, &'static [u8], Duration),
    /// Says that it did not run the request.
    Shed,
    /// Runs the request and closes the connection.
    Close,
    /// Ends the target: its connections close and it no longer listens.
    Crash,
    /// Runs the request and says nothing.
    Silent,
    /// Answers with the id of another request.
    WrongRequestId,
    /// Breaks off in the middle of the body.
    Truncated,
    /// Another target has the address.
    OtherTarget,
    /// Answers with success but without a signature.
    Unsigned,
}

/// A request that arrived.
#[derive(Clone, Debug)]
pub(crate) struct ReceivedRequest {
    /// Method and path.
    pub(crate) line: String,
    /// Headers.
    pub(crate) headers: HeaderMap,
    /// Body.
    pub(crate) body: Vec<u8>,
}

type Choose = Arc<dyn Fn(usize, &ReceivedRequest) -> Behaviour + Send + Sync>;

/// A running target.
pub(crate) struct FakeTarget {
    pub(crate) addr: SocketAddr,
    arrivals: Arc<Mutex<Vec<ReceivedRequest>>>,
    open: Arc<AtomicUsize>,
    accepting: JoinHandle<()>,
}

impl Drop for FakeTarget {
    fn drop(&mut self) {
        self.accepting.abort();
    }
}

impl FakeTarget {
    /// Starts a target; `choose` gets the number of the request, from 0.
    pub(crate) async fn start(
        choose: impl Fn(usize, &ReceivedRequest) -> Behaviour + Send + Sync + 'static,
    ) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let addr = listener.local_addr().unwrap();
        let arrivals = Arc::new(Mutex::new(Vec::new()));
        let choose: Choose = Arc::new(choose);
        let seen = Arc::clone(&arrivals);
        let open = Arc::new(AtomicUsize::new(0));
        let counted = Arc::clone(&open);
        let accepting = tokio::spawn(async move {
            let crash = Arc::new(Notify::new());
            let mut connections = JoinSet::new();
            loop {
                tokio::select! {
                    accepted = listener.accept() => {
                        let (stream, _) = accepted.unwrap();
                        let (choose, seen) = (Arc::clone(&choose), Arc::clone(&seen));
                        let served = serve(stream, choose, seen, Arc::clone(&crash));
                        let counted = Arc::clone(&counted);
                        connections.spawn(async move {
                            counted.fetch_add(1, Ordering::Relaxed);
                            served.await;
                            counted.fetch_sub(1, Ordering::Relaxed);
                        });
                    }
                    () = crash.notified() => return,
                }
            }
        });
        Self {
            addr,
            arrivals,
            open,
            accepting,
        }
    }

    /// Starts a target that does the same with every request.
    pub(crate) async fn always(behaviour: Behaviour) -> Self {
        Self::start(move |_, _| behaviour.clone()).await
    }

    /// Returns the connections that the other side has not closed.
    pub(crate) fn open_connections(&self) -> usize {
        self.open.load(Ordering::Relaxed)
    }

    /// Returns the requests that arrived.
    pub(crate) fn received_requests(&self) -> Vec<ReceivedRequest> {
        self.arrivals.lock().unwrap().clone()
    }
}

async fn serve(
    mut stream: TcpStream,
    choose: Choose,
    seen: Arc<Mutex<Vec<ReceivedRequest>>>,
    crash: Arc<Notify>,
) {
    let mut buffer = Vec::new();
    while let Some(arrival) = read_request(&mut stream, &mut buffer).await {
        let id = arrival
            .headers
            .get("t-id")
            .unwrap()
            .to_str()
            .unwrap()
            .to_owned();
        let number = {
            let mut seen = seen.lock().unwrap();
            seen.push(arrival.clone());
            seen.len() - 1
        };
        let response = match choose(number, &arrival) {
            Behaviour::Answer(status, body, delay) => {
                sleep(delay).await;
                answer(status, &id, body, "")
            }
            Behaviour::Shed => answer(503, &id, b"", "t-not-run: 1\r\n"),
            Behaviour::OtherTarget => answer(421, &id, b"", "t-target: other\r\n"),
            Behaviour::WrongRequestId => answer(200, "another-request", b"crossed", ""),
            Behaviour::Unsigned => {
                format!("HTTP/1.1 200 OK\r\nt-id: {id}\r\ncontent-length: 4\r\n\r\nfake").into()
            }
            Behaviour::Truncated => {
                let mut whole = answer(200, &id, b"0123456789abcdef", "");
                whole.truncate(whole.len() - 4);
                let _ = stream.write_all(&whole).await;
                return;
            }
            Behaviour::Close => return,
            Behaviour::Crash => {
                crash.notify_one();
                sleep(Duration::from_secs(30)).await;
                return;
            }
            Behaviour::Silent => {
                // Ends when the other side closes the connection.
                let _ = timeout(Duration::from_secs(30), stream.read_u8()).await;
                return;
            }
        };
        if stream.write_all(&response).await.is_err() {
            return;
        }
    }
}

fn answer(status: u16, id: &str, body: &[u8], extra: &str) -> Vec<u8> {
    let head = format!(
        "HTTP/1.1 {status} Status\r\nt-id: {id}\r\nt-signature: sig-{id}\r\n{extra}content-length: {}\r\n\r\n",
        body.len()
    );
    [head.as_bytes(), body].concat()
}

async fn read_request(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> Option<ReceivedRequest> {
    let end = loop {
        if let Some(end) = buffer.windows(4).position(|window| window == b"\r\n\r\n") {
            break end + 4;
        }
        if stream.read_buf(buffer).await.ok()? == 0 {
            return None;
        }
    };
    let head = String::from_utf8(buffer[..end].to_vec()).ok()?;
    let mut lines = head.lines();
    let line = lines.next()?.to_owned();
    let mut headers = HeaderMap::new();
    for (name, value) in lines.filter_map(|line| line.split_once(':')) {
        let name: http::HeaderName = name.parse().ok()?;
        headers.append(name, value.trim().parse().ok()?);
    }
    let length = headers
        .get("content-length")
        .map_or(0, |v| v.to_str().unwrap().parse().unwrap());
    while buffer.len() < end + length {
        if stream.read_buf(buffer).await.ok()? == 0 {
            return None;
        }
    }
    let body = buffer[end..end + length].to_vec();
    buffer.drain(..end + length);
    Some(ReceivedRequest {
        line,
        headers,
        body,
    })
}
