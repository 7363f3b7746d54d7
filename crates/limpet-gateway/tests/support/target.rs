//! Fake target whose behaviour the test chooses for each request.

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
    /// Answers with a status, a signature, a body and these header lines.
    AnswerWith(u16, &'static [u8], &'static str),
    /// Rejects the request without running it.
    Shed,
    /// Runs the request and closes the connection.
    Close,
    /// Runs the request and closes the connection after a delay.
    CloseAfter(Duration),
    /// Stops the target: its connections close and it no longer listens.
    Crash,
    /// Like [`Behaviour::Crash`], after a delay.
    CrashAfter(Duration),
    /// Like [`Behaviour::Crash`], but the connection of this request closes shortly after the others.
    CrashLast,
    /// Runs the request and sends no response.
    Silent,
    /// Answers with the id of another request.
    WrongRequestId,
    /// Closes the connection in the middle of the body.
    Truncated,
    /// Sends only this many bytes of a successful response and closes the connection.
    CutAfter(usize),
    /// Sends these bytes, with the id of the request for `ID`, and closes the connection.
    Raw(&'static str),
    /// Answers as another target that has taken over the address.
    OtherTarget,
    /// Answers successfully but without a signature.
    Unsigned,
    /// Answers, and after a delay sends a second copy of the response on the same connection, which stays open.
    /// The second copy carries the request id if the flag is set.
    Twice(Duration, bool),
    /// Sends a copy of the previous response of the connection, if there is one, and then answers successfully.
    StaleCopyThenAnswer,
    /// Sends a head without end.
    EndlessHead,
    /// Sends interim replies without end.
    EndlessInterimReplies,
    /// Sends the head of a signed response and then a body without end, with these pauses.
    EndlessBody(Duration),
}

/// A request that the target received.
#[derive(Clone, Debug)]
pub(crate) struct ReceivedRequest {
    /// Request line.
    pub(crate) line: String,
    /// Headers.
    pub(crate) headers: HeaderMap,
    /// Body.
    pub(crate) body: Vec<u8>,
}

/// Chooses the behaviour for a request by its index and content.
type ChooseBehaviour = Arc<dyn Fn(usize, &ReceivedRequest) -> Behaviour + Send + Sync>;

/// A running fake target.
pub(crate) struct FakeTarget {
    pub(crate) addr: SocketAddr,
    received_requests: Arc<Mutex<Vec<ReceivedRequest>>>,
    /// Number of connections that neither side has closed.
    open_connection_count: Arc<AtomicUsize>,
    /// Number of connections that were ever opened.
    accepted_connection_count: Arc<AtomicUsize>,
    accept_task: JoinHandle<()>,
}

impl Drop for FakeTarget {
    fn drop(&mut self) {
        self.accept_task.abort();
    }
}

impl FakeTarget {
    /// Starts a target; `choose` is called with the index of each request, from 0.
    pub(crate) async fn start(
        choose: impl Fn(usize, &ReceivedRequest) -> Behaviour + Send + Sync + 'static,
    ) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let addr = listener.local_addr().unwrap();
        let received_requests = Arc::new(Mutex::new(Vec::new()));
        let choose: ChooseBehaviour = Arc::new(choose);
        let request_log = Arc::clone(&received_requests);
        let open_connection_count = Arc::new(AtomicUsize::new(0));
        let open_count = Arc::clone(&open_connection_count);
        let accepted_connection_count = Arc::new(AtomicUsize::new(0));
        let accepted_count = Arc::clone(&accepted_connection_count);
        let accept_task = tokio::spawn(async move {
            let crash = Arc::new(Notify::new());
            let mut connections = JoinSet::new();
            loop {
                tokio::select! {
                    accepted = listener.accept() => {
                        let (stream, _) = accepted.unwrap();
                        accepted_count.fetch_add(1, Ordering::Relaxed);
                        let (choose, request_log) = (Arc::clone(&choose), Arc::clone(&request_log));
                        let serve_future = serve_connection(stream, choose, request_log, Arc::clone(&crash));
                        let open_count = Arc::clone(&open_count);
                        connections.spawn(async move {
                            open_count.fetch_add(1, Ordering::Relaxed);
                            serve_future.await;
                            open_count.fetch_sub(1, Ordering::Relaxed);
                        });
                    }
                    () = crash.notified() => return,
                }
            }
        });
        Self {
            addr,
            received_requests,
            open_connection_count,
            accepted_connection_count,
            accept_task,
        }
    }

    /// Starts a target that behaves the same for every request.
    pub(crate) async fn always(behaviour: Behaviour) -> Self {
        Self::start(move |_, _| behaviour.clone()).await
    }

    /// Returns the number of connections that neither side has closed.
    pub(crate) fn open_connection_count(&self) -> usize {
        self.open_connection_count.load(Ordering::Relaxed)
    }

    /// Returns the number of connections that were ever opened.
    pub(crate) fn accepted_connection_count(&self) -> usize {
        self.accepted_connection_count.load(Ordering::Relaxed)
    }

    /// Returns the requests that the target has received.
    pub(crate) fn received_requests(&self) -> Vec<ReceivedRequest> {
        self.received_requests.lock().unwrap().clone()
    }
}

/// Answers the requests of one connection as `choose` tells.
async fn serve_connection(
    mut stream: TcpStream,
    choose: ChooseBehaviour,
    received_requests: Arc<Mutex<Vec<ReceivedRequest>>>,
    crash: Arc<Notify>,
) {
    let mut buffer = Vec::new();
    let mut previous_response = Vec::new();
    while let Some(request) = read_request(&mut stream, &mut buffer).await {
        let id = request
            .headers
            .get("t-id")
            .unwrap()
            .to_str()
            .unwrap()
            .to_owned();
        let index = {
            let mut received_requests = received_requests.lock().unwrap();
            received_requests.push(request.clone());
            received_requests.len() - 1
        };
        let response = match choose(index, &request) {
            Behaviour::Answer(status, body, delay) => {
                sleep(delay).await;
                format_response(status, &id, body, "")
            }
            Behaviour::AnswerWith(status, body, headers) => {
                format_response(status, &id, body, headers)
            }
            Behaviour::Shed => format_response(503, &id, b"", "t-not-run: 1\r\n"),
            Behaviour::StaleCopyThenAnswer => {
                if stream.write_all(&previous_response).await.is_err() {
                    return;
                }
                format_response(200, &id, id.as_bytes(), "")
            }
            Behaviour::OtherTarget => format_response(421, &id, b"", "t-target: other\r\n"),
            Behaviour::WrongRequestId => format_response(200, "another-request", b"crossed", ""),
            Behaviour::Unsigned => {
                format!("HTTP/1.1 200 OK\r\nt-id: {id}\r\ncontent-length: 4\r\n\r\nfake").into()
            }
            Behaviour::Twice(delay, has_id) => {
                let response = format_response(200, &id, id.as_bytes(), "");
                if stream.write_all(&response).await.is_err() {
                    return;
                }
                let second_copy = match has_id {
                    true => response,
                    false => String::from_utf8(response)
                        .unwrap()
                        .replace(&format!("t-id: {id}\r\n"), "")
                        .into(),
                };
                sleep(delay).await;
                second_copy
            }
            Behaviour::EndlessHead => {
                send_without_end(
                    &mut stream,
                    b"HTTP/1.1 200 OK\r\n",
                    b"x: yyyyyyyy\r\n",
                    Duration::ZERO,
                )
                .await;
                return;
            }
            Behaviour::EndlessInterimReplies => {
                let interim_replies = b"HTTP/1.1 103 Early Hints\r\n\r\n".repeat(512);
                send_without_end(&mut stream, b"", &interim_replies, Duration::ZERO).await;
                return;
            }
            Behaviour::EndlessBody(pause) => {
                let head = format!(
                    "HTTP/1.1 200 OK\r\nt-id: {id}\r\nt-signature: sig\r\ntransfer-encoding: chunked\r\n\r\n"
                );
                send_without_end(&mut stream, head.as_bytes(), ENDLESS_CHUNK, pause).await;
                return;
            }
            Behaviour::Truncated => {
                let mut truncated = format_response(200, &id, b"0123456789abcdef", "");
                truncated.truncate(truncated.len() - 4);
                let _ = stream.write_all(&truncated).await;
                return;
            }
            Behaviour::CutAfter(length) => {
                let mut cut = format_response(200, &id, CUT_BODY, "");
                cut.truncate(length);
                let _ = stream.write_all(&cut).await;
                return;
            }
            Behaviour::Raw(text) => {
                let _ = stream.write_all(text.replace("ID", &id).as_bytes()).await;
                return;
            }
            Behaviour::Close => return,
            Behaviour::CloseAfter(delay) => {
                sleep(delay).await;
                return;
            }
            Behaviour::Crash => {
                crash.notify_one();
                sleep(Duration::from_secs(30)).await;
                return;
            }
            Behaviour::CrashAfter(delay) => {
                sleep(delay).await;
                crash.notify_one();
                sleep(Duration::from_secs(30)).await;
                return;
            }
            Behaviour::CrashLast => {
                tokio::spawn(async move {
                    sleep(LAST_CLOSE_DELAY).await;
                    drop(stream);
                });
                crash.notify_one();
                return;
            }
            Behaviour::Silent => {
                // Returns when the gateway closes the connection.
                let _ = timeout(Duration::from_secs(30), stream.read_u8()).await;
                return;
            }
        };
        if stream.write_all(&response).await.is_err() {
            return;
        }
        previous_response = response;
    }
}

/// Time between the close of the other connections of a target that crashes and that of the last one; shorter than the time
/// after which a gateway checks whether the target still listens.
const LAST_CLOSE_DELAY: Duration = Duration::from_millis(5);

/// Body of a response that is cut.
const CUT_BODY: &[u8] = b"0123456789abcdef";

/// Returns the length of the response that is cut, for a request with this id.
pub(crate) fn cut_response_length(id: &str) -> usize {
    format_response(200, id, CUT_BODY, "").len()
}

/// One chunk of a body without end.
const ENDLESS_CHUNK: &[u8] = b"10\r\naaaaaaaaaaaaaaaa\r\n";

/// Sends `start` and then `repeated` until the gateway closes the connection, with a pause between two writes.
async fn send_without_end(stream: &mut TcpStream, start: &[u8], repeated: &[u8], pause: Duration) {
    let is_fast = pause.is_zero();
    let repeated = match is_fast {
        true => repeated.repeat(256),
        false => repeated.to_vec(),
    };
    let mut is_open = stream.write_all(start).await.is_ok();
    while is_open {
        is_open = stream.write_all(&repeated).await.is_ok();
        if !is_fast {
            sleep(pause).await;
        }
    }
}

/// Formats a signed response to the request with this id; `extra_headers` is added to its head.
fn format_response(status: u16, id: &str, body: &[u8], extra_headers: &str) -> Vec<u8> {
    let head = format!(
        "HTTP/1.1 {status} Status\r\nt-id: {id}\r\nt-signature: sig-{id}\r\n\
         {extra_headers}content-length: {}\r\n\r\n",
        body.len()
    );
    [head.as_bytes(), body].concat()
}

/// Reads the next request, or returns `None` at the end of the connection; `buffer` keeps what follows it.
async fn read_request(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> Option<ReceivedRequest> {
    let head_end = loop {
        if let Some(end) = buffer.windows(4).position(|window| window == b"\r\n\r\n") {
            break end + 4;
        }
        if stream.read_buf(buffer).await.ok()? == 0 {
            return None;
        }
    };
    let head = String::from_utf8(buffer[..head_end].to_vec()).ok()?;
    let mut lines = head.lines();
    let line = lines.next()?.to_owned();
    let mut headers = HeaderMap::new();
    for (name, value) in lines.filter_map(|line| line.split_once(':')) {
        let name: http::HeaderName = name.parse().ok()?;
        headers.append(name, value.trim().parse().ok()?);
    }
    let body_length = headers
        .get("content-length")
        .map_or(0, |value| value.to_str().unwrap().parse().unwrap());
    while buffer.len() < head_end + body_length {
        if stream.read_buf(buffer).await.ok()? == 0 {
            return None;
        }
    }
    let body = buffer[head_end..head_end + body_length].to_vec();
    buffer.drain(..head_end + body_length);
    Some(ReceivedRequest {
        line,
        headers,
        body,
    })
}
