//! Stand-in of a backend: it runs one request at a time on a connection and answers with its stamp.

use std::{
    io::BufReader,
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{
        atomic::{AtomicU64, Ordering},
        Arc, Mutex,
    },
    thread,
    time::Duration,
};

use super::{
    http::{read_message, write_response},
    record::Record,
};

/// A request that a backend began to run.
#[derive(Clone, Debug)]
pub struct Run {
    pub request_id: String,
    pub service: String,
    pub backend: String,
    pub method: String,
    pub target: String,
    pub body: Vec<u8>,
    pub at: Duration,
}

/// What the backends of a case have run.
pub type Runs = Arc<Mutex<Vec<Run>>>;

/// A running backend.
#[derive(Clone)]
pub struct Backend {
    pub id: String,
    pub service: String,
    pub addr: SocketAddr,
    pub zone: String,
    pub capacity: u32,
    pub born: u64,
    next_stamp: Arc<AtomicU64>,
}

impl Backend {
    /// Starts a backend on a free port of this address; a request takes `work`.
    pub fn start(
        id: &str,
        service: &str,
        zone: &str,
        ip: &str,
        work: Duration,
        runs: &Runs,
        record: &Record,
    ) -> Self {
        let listener = TcpListener::bind((ip, 0)).expect("a backend can listen");
        let backend = Self {
            id: id.into(),
            service: service.into(),
            addr: listener.local_addr().expect("a bound socket has an address"),
            zone: zone.into(),
            capacity: 64,
            born: 1_790_000_000_000,
            next_stamp: Arc::default(),
        };
        let (served, runs, record) = (backend.clone(), Arc::clone(runs), record.clone());
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (backend, runs, record) = (served.clone(), Arc::clone(&runs), record.clone());
                thread::spawn(move || backend.serve(stream, work, &runs, &record));
            }
        });
        backend
    }

    /// Entry of the backend in the store.
    pub fn entry(&self, state: &str) -> String {
        format!(
            concat!(
                "{{\"service\":\"{}\",\"addr\":\"{}\",\"zone\":\"{}\",\"version\":\"v1\",\"capacity\":{},",
                "\"state\":\"{}\",\"warmupLeftMs\":0,\"seq\":1,\"born\":{}}}"
            ),
            self.service, self.addr, self.zone, self.capacity, state, self.born
        )
    }

    fn serve(&self, stream: TcpStream, work: Duration, runs: &Runs, record: &Record) {
        let _ = stream.set_nodelay(true);
        let Ok(mut writer) = stream.try_clone() else { return };
        let mut reader = BufReader::new(stream);
        while let Ok(Some(request)) = read_message(&mut reader) {
            let request_id = request.header("x-request-id").unwrap_or("").to_owned();
            let (method, target) = request.method_and_target();
            if request.header("x-expect-instance").is_some_and(|id| id != self.id) {
                let headers = [("X-Request-Id", &*request_id), ("X-Instance-Id", &*self.id)];
                if write_response(&mut writer, 421, &headers, b"").is_err() {
                    return;
                }
                continue;
            }
            runs.lock().expect("no holder panics").push(Run {
                request_id: request_id.clone(),
                service: self.service.clone(),
                backend: self.id.clone(),
                method: method.into(),
                target: target.into(),
                body: request.body.clone(),
                at: record.now(),
            });
            record.line(&format!("run {request_id} by {} of {}", self.id, self.service));
            thread::sleep(work);
            let number = self.next_stamp.fetch_add(1, Ordering::Relaxed);
            let stamp = format!("{}.{number:x}.{request_id}", self.id);
            let body = format!("{} {request_id}", self.service);
            let headers = [("X-Request-Id", &*request_id), ("X-Server-Stamp", &*stamp)];
            if write_response(&mut writer, 200, &headers, body.as_bytes()).is_err() {
                return;
            }
        }
    }
}
