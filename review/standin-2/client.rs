//! Stand-in of a client, which keeps its connection and sends one request after the other.

use std::{
    io::{BufReader, Write},
    net::{SocketAddr, TcpStream},
    sync::{
        atomic::{AtomicBool, AtomicU64, Ordering},
        Arc, Mutex,
    },
    thread::{self, JoinHandle},
    time::Duration,
};

use super::{
    http::{read_message, Message},
    record::Record,
};

/// How a request ended.
#[derive(Clone, Debug, PartialEq)]
pub enum End {
    /// The node answered with this status and body.
    Answered(u16, String),
    /// The node closed the connection without a complete answer.
    Closed,
    /// No answer came in the time that the client waits.
    Unanswered,
    /// There was no connection within a second.
    NoConnection,
}

/// A request that a client sent.
#[derive(Clone, Debug)]
pub struct Sent {
    pub request_id: String,
    pub node: usize,
    /// Whether the connection had carried an answer before.
    pub is_kept: bool,
    pub sent_at: Duration,
    pub ended_at: Duration,
    pub end: End,
}

/// What the clients of a case have sent.
pub type AllSent = Arc<Mutex<Vec<Sent>>>;

static NEXT_ID: AtomicU64 = AtomicU64::new(1);

/// What a client sends.
#[derive(Clone)]
pub struct Request {
    pub method: String,
    pub host: String,
    pub path: String,
    pub api_key: Option<String>,
    pub deadline: Duration,
    pub body: Vec<u8>,
}

impl Request {
    fn bytes(&self, request_id: &str) -> Vec<u8> {
        let mut head = format!(
            "{} {} HTTP/1.1\r\nHost: {}\r\nX-Request-Id: {request_id}\r\nX-Deadline-Ms: {}\r\n",
            self.method,
            self.path,
            self.host,
            self.deadline.as_millis()
        );
        if let Some(key) = &self.api_key {
            head += &format!("Api-Key: {key}\r\n");
        }
        if !self.body.is_empty() {
            head += &format!("Content-Length: {}\r\n", self.body.len());
        }
        head += "\r\n";
        let mut bytes = head.into_bytes();
        bytes.extend_from_slice(&self.body);
        bytes
    }
}

/// Sends requests to one node until `stop` is set, with `pause` between an answer and the next request.
pub fn start(
    node: usize,
    addr: SocketAddr,
    request: Request,
    pause: Duration,
    stop: &Arc<AtomicBool>,
    all_sent: &AllSent,
    record: &Record,
) -> JoinHandle<()> {
    let (stop, all_sent, record) = (Arc::clone(stop), Arc::clone(all_sent), record.clone());
    thread::spawn(move || {
        let mut connection: Option<BufReader<TcpStream>> = None;
        while !stop.load(Ordering::Relaxed) {
            let request_id = format!("{:016x}", NEXT_ID.fetch_add(1, Ordering::Relaxed));
            let is_kept = connection.is_some();
            let sent_at = record.now();
            record.line(&format!("send {request_id} to node {node} kept={is_kept}"));
            let (end, keeps) = exchange(&mut connection, addr, &request, &request_id);
            if !keeps {
                connection = None;
            }
            let ended_at = record.now();
            record.line(&format!("end {request_id} at node {node}: {end:?}"));
            let is_served = matches!(end, End::Answered(200, _));
            all_sent.lock().expect("no holder panics").push(Sent {
                request_id,
                node,
                is_kept,
                sent_at,
                ended_at,
                end,
            });
            thread::sleep(match is_served {
                true => pause,
                false => pause.max(Duration::from_millis(100)),
            });
        }
    })
}

/// Sends one request and reads its answer; tells whether the connection can be kept.
fn exchange(
    connection: &mut Option<BufReader<TcpStream>>,
    addr: SocketAddr,
    request: &Request,
    request_id: &str,
) -> (End, bool) {
    let mut reader = match connection.take() {
        Some(reader) => reader,
        None => match TcpStream::connect_timeout(&addr, Duration::from_secs(1)) {
            Ok(stream) => BufReader::new(stream),
            Err(_) => return (End::NoConnection, false),
        },
    };
    let wait = request.deadline + Duration::from_secs(1);
    let _ = reader.get_ref().set_nodelay(true);
    let _ = reader.get_ref().set_read_timeout(Some(wait));
    if reader.get_mut().write_all(&request.bytes(request_id)).is_err() {
        return (End::Closed, false);
    }
    match read_message(&mut reader) {
        Ok(Some(answer)) => {
            let keeps = !is_closing(&answer);
            *connection = Some(reader);
            let body = String::from_utf8_lossy(&answer.body).into_owned();
            (End::Answered(answer.status(), body), keeps)
        }
        Err(error) if matches!(error.kind(), std::io::ErrorKind::WouldBlock | std::io::ErrorKind::TimedOut) => {
            (End::Unanswered, false)
        }
        Ok(None) | Err(_) => (End::Closed, false),
    }
}

fn is_closing(answer: &Message) -> bool {
    answer.header("connection").is_some_and(|value| value.eq_ignore_ascii_case("close"))
}
