//! Clients: each sends requests at a steady pace, every one on a new connection and with its own id.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use crate::http::{self, header};
use crate::record::Record;

/// A request as a client sends it.
#[derive(Clone)]
pub struct Sent {
    pub method: &'static str,
    pub target: String,
    pub body: &'static [u8],
    pub deadline_ms: u64,
}

/// What became of a request.
#[derive(Clone)]
pub struct Outcome {
    pub request_id: String,
    pub front: SocketAddr,
    pub sent: Instant,
    /// Status; 0 if the connection ended without an answer or could not be opened.
    pub status: u16,
    pub has_stamp: bool,
}

/// Sends one request and waits for its answer.
pub fn send(front: SocketAddr, request: &Sent, record: &Record) -> Outcome {
    static NUMBER: AtomicU64 = AtomicU64::new(1);
    let number = NUMBER.fetch_add(1, Ordering::SeqCst);
    let request_id = format!("{number:016x}");
    let deadline = request.deadline_ms.to_string();
    let headers = [
        ("Host", "shop.example"),
        ("X-Request-Id", request_id.as_str()),
        ("X-Deadline-Ms", deadline.as_str()),
    ];
    record.line(&format!(
        "client   {request_id} {} {} sent to {front}",
        request.method, request.target
    ));
    let sent = Instant::now();
    let timeout = Duration::from_millis(request.deadline_ms + 500);
    let answer = http::call(
        front,
        request.method,
        &request.target,
        &headers,
        request.body,
        timeout,
    );
    let (status, has_stamp) = match &answer {
        Ok(answer) => (
            answer.status,
            header(&answer.headers, "x-server-stamp").is_some(),
        ),
        Err(_) => (0, false),
    };
    let text = match &answer {
        Ok(_) => format!("answered {status}, stamp {has_stamp}"),
        Err(error) => format!("no answer: {error}"),
    };
    record.line(&format!(
        "client   {request_id} {text} after {} ms",
        sent.elapsed().as_millis()
    ));
    Outcome {
        request_id,
        front,
        sent,
        status,
        has_stamp,
    }
}

/// Clients that send until they are stopped.
pub struct Load {
    is_stopped: Arc<AtomicBool>,
    threads: Vec<JoinHandle<()>>,
    outcomes: Arc<Mutex<Vec<Outcome>>>,
}

impl Load {
    /// Starts the clients: to each of `fronts`, one request per `pace`.
    pub fn start(
        fronts: &[SocketAddr],
        pace: Duration,
        record: &Record,
        next: impl Fn(u64) -> Sent + Send + Sync + 'static,
    ) -> Self {
        let is_stopped = Arc::new(AtomicBool::new(false));
        let outcomes = Arc::new(Mutex::new(Vec::new()));
        let next = Arc::new(next);
        let threads: Vec<_> = fronts
            .iter()
            .map(|front| {
                let (front, record) = (*front, record.clone());
                let (is_stopped, outcomes) = (Arc::clone(&is_stopped), Arc::clone(&outcomes));
                let next = Arc::clone(&next);
                thread::spawn(move || {
                    let started = Instant::now();
                    let mut requests = Vec::new();
                    for number in 0_u32.. {
                        let at = started + pace * number;
                        thread::sleep(at.saturating_duration_since(Instant::now()));
                        if is_stopped.load(Ordering::SeqCst) {
                            break;
                        }
                        let request = next(u64::from(number));
                        let (outcomes, record) = (Arc::clone(&outcomes), record.clone());
                        requests.push(thread::spawn(move || {
                            let outcome = send(front, &request, &record);
                            outcomes.lock().unwrap().push(outcome);
                        }));
                    }
                    for request in requests {
                        let _ = request.join();
                    }
                })
            })
            .collect();
        Self {
            is_stopped,
            threads,
            outcomes,
        }
    }

    /// Stops the clients, waits for the last answers and returns what became of all requests.
    pub fn stop(self) -> Vec<Outcome> {
        self.is_stopped.store(true, Ordering::SeqCst);
        for thread in self.threads {
            let _ = thread.join();
        }
        let outcomes = self.outcomes.lock().unwrap();
        outcomes.clone()
    }
}
