//! Stand-in of the users' backends, as PROTOCOL.md describes them.

use std::io::BufReader;
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::http::{self, Request, header};
use crate::record::Record;

/// What a backend does with a request that it has begun to work on.
#[derive(Clone, Copy, PartialEq)]
pub enum Behaviour {
    /// It answers with success after its work.
    Sound,
    /// It fails two in five requests after its work, with this status and without `X-Not-Executed`.
    Fails(u16),
}

/// One run of a request.
#[derive(Clone)]
pub struct Run {
    pub request_id: String,
    pub backend: String,
    pub began: Instant,
    /// When the answer was written; absent if the backend ended before.
    pub answered: Option<Instant>,
}

struct Shared {
    id: String,
    service: String,
    addr: SocketAddr,
    zone: String,
    born: u128,
    work: Duration,
    behaviour: Mutex<Behaviour>,
    is_ended: AtomicBool,
    running: AtomicU32,
    connections: Mutex<Vec<TcpStream>>,
    runs: Arc<Mutex<Vec<Run>>>,
    record: Record,
}

#[derive(Clone)]
pub struct Backend(Arc<Shared>);

impl Backend {
    /// Starts a backend on a free port of `ip`; its runs are added to `runs`.
    pub fn start(
        id: &str,
        service: &str,
        ip: &str,
        zone: &str,
        work: Duration,
        runs: &Arc<Mutex<Vec<Run>>>,
        record: &Record,
    ) -> std::io::Result<Self> {
        let listener = TcpListener::bind((ip, 0))?;
        listener.set_nonblocking(true)?;
        let born = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default()
            .as_millis();
        let backend = Self(Arc::new(Shared {
            id: id.to_string(),
            service: service.to_string(),
            addr: listener.local_addr()?,
            zone: zone.to_string(),
            born,
            work,
            behaviour: Mutex::new(Behaviour::Sound),
            is_ended: AtomicBool::new(false),
            running: AtomicU32::new(0),
            connections: Mutex::new(Vec::new()),
            runs: Arc::clone(runs),
            record: record.clone(),
        }));
        let served = backend.clone();
        thread::spawn(move || served.accept(&listener));
        Ok(backend)
    }

    pub fn id(&self) -> &str {
        &self.0.id
    }

    pub fn key(&self) -> String {
        format!("servers/{}", self.0.id)
    }

    pub fn running(&self) -> u32 {
        self.0.running.load(Ordering::SeqCst)
    }

    pub fn set_behaviour(&self, behaviour: Behaviour) {
        *self.0.behaviour.lock().unwrap() = behaviour;
    }

    /// Returns the entry of the backend in the store.
    pub fn entry(&self, state: &str) -> String {
        let shared = &self.0;
        format!(
            "{{\"service\":\"{}\",\"addr\":\"{}\",\"zone\":\"{}\",\"version\":\"v1\",\"capacity\":2,\
             \"state\":\"{state}\",\"warmupLeftMs\":0,\"seq\":4,\"born\":{}}}",
            shared.service, shared.addr, shared.zone, shared.born
        )
    }

    /// Ends the backend: it stops listening, and its connections end, also those with a request at work.
    pub fn end(&self) {
        self.0.is_ended.store(true, Ordering::SeqCst);
        for connection in self.0.connections.lock().unwrap().drain(..) {
            let _ = connection.shutdown(Shutdown::Both);
        }
    }

    fn is_ended(&self) -> bool {
        self.0.is_ended.load(Ordering::SeqCst)
    }

    fn accept(&self, listener: &TcpListener) {
        while !self.is_ended() {
            match listener.accept() {
                Ok((stream, _)) => {
                    let _ = stream.set_nonblocking(false);
                    let _ = stream.set_nodelay(true);
                    if let Ok(kept) = stream.try_clone() {
                        self.0.connections.lock().unwrap().push(kept);
                    }
                    let backend = self.clone();
                    thread::spawn(move || backend.serve(stream));
                }
                Err(_) => thread::sleep(Duration::from_millis(2)),
            }
        }
    }

    fn serve(&self, stream: TcpStream) {
        let Ok(mut writer) = stream.try_clone() else {
            return;
        };
        let mut reader = BufReader::new(stream);
        while let Ok(Some(request)) = http::read_request(&mut reader) {
            if self.is_ended() || !self.answer(&request, &mut writer) {
                return;
            }
        }
    }

    /// Answers a request; returns whether the connection can be kept.
    fn answer(&self, request: &Request, writer: &mut TcpStream) -> bool {
        let shared = &self.0;
        if request.target == "/health" {
            let headers = [("X-Instance-Id", shared.id.as_str())];
            return http::write_response(writer, 200, &headers, b"").is_ok();
        }
        let request_id = header(&request.headers, "x-request-id")
            .unwrap_or("")
            .to_string();
        let expected = header(&request.headers, "x-expect-instance");
        if expected.is_some_and(|expected| expected != shared.id) {
            let headers = [
                ("X-Instance-Id", shared.id.as_str()),
                ("X-Request-Id", &request_id),
            ];
            return http::write_response(writer, 421, &headers, b"").is_ok();
        }
        let began = Instant::now();
        let index = {
            let mut runs = shared.runs.lock().unwrap();
            runs.push(Run {
                request_id: request_id.clone(),
                backend: shared.id.clone(),
                began,
                answered: None,
            });
            runs.len() - 1
        };
        shared.running.fetch_add(1, Ordering::SeqCst);
        shared
            .record
            .line(&format!("run      {request_id} begins at {}", shared.id));
        thread::sleep(shared.work);
        shared.running.fetch_sub(1, Ordering::SeqCst);
        if self.is_ended() {
            shared.record.line(&format!(
                "run      {request_id} is cut, {} has ended",
                shared.id
            ));
            return false;
        }
        let status = match *shared.behaviour.lock().unwrap() {
            Behaviour::Sound => 200,
            Behaviour::Fails(status) if index % 5 < 2 => status,
            Behaviour::Fails(_) => 200,
        };
        let stamp = format!("{}.{request_id}", shared.id);
        let headers = [
            ("X-Request-Id", request_id.as_str()),
            ("X-Server-Stamp", stamp.as_str()),
            ("Keep-Alive", "timeout=5"),
        ];
        let is_written = http::write_response(writer, status, &headers, b"done").is_ok();
        shared.record.line(&format!(
            "run      {request_id} ends at {}: {status}",
            shared.id
        ));
        shared.runs.lock().unwrap()[index].answered = Some(Instant::now());
        is_written
    }
}
