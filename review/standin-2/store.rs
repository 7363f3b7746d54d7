//! Stand-in of the platform's metadata store: `kv-key`, `kv-range` and `kv-watch`.
//!
//! It loses nothing, answers from its latest state and keeps `historyS` of changes. A page holds 500 items or 1 MB of
//! values, as `PROTOCOL.md` says; that page sets no limit for the events of a watch, so by default there is none.

use std::{
    collections::{BTreeMap, VecDeque},
    io::BufReader,
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{Arc, Condvar, Mutex},
    thread,
    time::{Duration, Instant},
};

use super::http::{query_value, read_message, write_response};

const PAGE_ITEMS_MAX: usize = 500;
const PAGE_BYTES_MAX: usize = 1 << 20;

/// One write or deletion. The value is kept in base64.
#[derive(Clone)]
struct Change {
    key: Arc<str>,
    value: Option<Arc<str>>,
    revision: u64,
    at: Instant,
}

#[derive(Clone)]
struct Item {
    value: Arc<str>,
    revision: u64,
    created: u64,
}

#[derive(Default)]
struct State {
    revision: u64,
    items: BTreeMap<Arc<str>, Item>,
    history: VecDeque<Change>,
    /// Revision up to which the history is gone.
    dropped_up_to: u64,
    /// How long an answer takes.
    delay: Duration,
    /// Largest size of the values in the answer to a watch, which holds one event at least.
    watch_bytes_max: usize,
    /// Number and size of the largest answer to a watch.
    largest_watch: (usize, usize),
    calls: usize,
}

/// A running store; all clones are the same one.
#[derive(Clone)]
pub struct Store {
    pub addr: SocketAddr,
    state: Arc<(Mutex<State>, Condvar)>,
    history: Duration,
}

impl Store {
    /// Starts the store on a free port of this address.
    pub fn start(ip: &str, history: Duration) -> Self {
        let listener = TcpListener::bind((ip, 0)).expect("the store can listen");
        let state = State {
            revision: 100,
            dropped_up_to: 100,
            delay: Duration::from_millis(4),
            watch_bytes_max: usize::MAX,
            ..State::default()
        };
        let store = Self {
            addr: listener.local_addr().expect("a bound socket has an address"),
            state: Arc::new((Mutex::new(state), Condvar::new())),
            history,
        };
        let served = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = served.clone();
                thread::spawn(move || store.serve(stream));
            }
        });
        store
    }

    /// Writes an item; returns its revision. The return is the acknowledgement.
    pub fn put(&self, key: &str, value: &str) -> u64 {
        self.change(key, Some(base64(value.as_bytes())))
    }

    /// Deletes an item; returns the revision.
    pub fn delete(&self, key: &str) -> u64 {
        self.change(key, None)
    }

    pub fn set_delay(&self, delay: Duration) {
        self.state.0.lock().expect("no holder panics").delay = delay;
    }

    pub fn set_watch_bytes_max(&self, bytes: usize) {
        self.state.0.lock().expect("no holder panics").watch_bytes_max = bytes;
    }

    /// Number of events and bytes of the largest answer to a watch, and the number of calls.
    pub fn statistics(&self) -> (usize, usize, usize) {
        let state = self.state.0.lock().expect("no holder panics");
        (state.largest_watch.0, state.largest_watch.1, state.calls)
    }

    fn change(&self, key: &str, value: Option<String>) -> u64 {
        let mut state = self.state.0.lock().expect("no holder panics");
        state.revision += 1;
        let revision = state.revision;
        let (key, value): (Arc<str>, Option<Arc<str>>) = (key.into(), value.map(Into::into));
        match &value {
            Some(value) => {
                let created = state.items.get(&key).map_or(revision, |item| item.created);
                let value = Arc::clone(value);
                let item = Item { value, revision, created };
                state.items.insert(Arc::clone(&key), item);
            }
            None => {
                state.items.remove(&key);
            }
        }
        let at = Instant::now();
        state.history.push_back(Change { key, value, revision, at });
        self.state.1.notify_all();
        revision
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(mut writer) = stream.try_clone() else { return };
        let mut reader = BufReader::new(stream);
        while let Ok(Some(request)) = read_message(&mut reader) {
            let (_, target) = request.method_and_target();
            let (status, body, delay) = self.answer(target);
            thread::sleep(delay);
            let headers = [("Content-Type", "application/json")];
            if write_response(&mut writer, status, &headers, body.as_bytes()).is_err() {
                return;
            }
        }
    }

    /// Returns the status and the body of an answer, and how long it takes from now on.
    fn answer(&self, target: &str) -> (u16, String, Duration) {
        let prefix = query_value(target, "prefix").unwrap_or_default();
        let after = query_value(target, "after").unwrap_or_default();
        let mut state = self.state.0.lock().expect("no holder panics");
        state.calls += 1;
        let delay = state.delay;
        match target.split('?').next().unwrap_or("") {
            "/api/kv-range" => (200, page(&state, &prefix, &after), delay),
            "/api/kv-key" => {
                let key = query_value(target, "key").unwrap_or_default();
                match state.items.get(key.as_str()) {
                    Some(item) => {
                        let item = item_json(&key, item);
                        let item = item.trim_end_matches('}');
                        (200, format!("{item},\"atRev\":{}}}", state.revision), delay)
                    }
                    None => (404, "{}".into(), delay),
                }
            }
            "/api/kv-watch" => {
                let after: u64 = after.parse().unwrap_or(0);
                let wait_ms = query_value(target, "waitMs").and_then(|text| text.parse().ok());
                let until = Instant::now() + Duration::from_millis(wait_ms.unwrap_or(0));
                loop {
                    self.drop_history(&mut state);
                    if after < state.dropped_up_to {
                        return (410, "{}".into(), delay);
                    }
                    let (events, bytes, at_rev) = events(&state, &prefix, after);
                    let left = until.saturating_duration_since(Instant::now());
                    if !events.is_empty() || left.is_zero() {
                        if bytes > state.largest_watch.1 {
                            state.largest_watch = (events.len(), bytes);
                        }
                        let body = format!(
                            "{{\"events\":[{}],\"atRev\":{at_rev}}}",
                            events.join(",")
                        );
                        return (200, body, delay);
                    }
                    state = self.state.1.wait_timeout(state, left).expect("no holder panics").0;
                }
            }
            _ => (404, "{}".into(), delay),
        }
    }

    fn drop_history(&self, state: &mut State) {
        while let Some(oldest) = state.history.front() {
            if oldest.at.elapsed() < self.history {
                break;
            }
            state.dropped_up_to = oldest.revision;
            state.history.pop_front();
        }
    }
}

fn item_json(key: &str, item: &Item) -> String {
    format!(
        "{{\"key\":\"{key}\",\"value\":\"{}\",\"revision\":{},\"createdRev\":{},\"leaseId\":0}}",
        item.value, item.revision, item.created
    )
}

fn page(state: &State, prefix: &str, after: &str) -> String {
    let (mut items, mut bytes, mut has_more) = (Vec::new(), 0, false);
    let wanted = state.items.iter().filter(|(key, _)| key.starts_with(prefix) && &***key > after);
    for (key, item) in wanted {
        let is_full = items.len() >= PAGE_ITEMS_MAX || bytes + item.value.len() > PAGE_BYTES_MAX;
        if is_full && !items.is_empty() {
            has_more = true;
            break;
        }
        bytes += item.value.len();
        items.push(item_json(key, item));
    }
    let (items, revision) = (items.join(","), state.revision);
    format!("{{\"items\":[{items}],\"hasMore\":{has_more},\"atRev\":{revision}}}")
}

/// Returns the events after a revision, their size, and the revision after which the next watch continues.
fn events(state: &State, prefix: &str, after: u64) -> (Vec<String>, usize, u64) {
    let (mut events, mut bytes) = (Vec::new(), 0);
    for change in state.history.iter().filter(|change| change.revision > after) {
        if !change.key.starts_with(prefix) {
            continue;
        }
        let size = change.value.as_ref().map_or(0, |value| value.len());
        if !events.is_empty() && bytes + size > state.watch_bytes_max {
            return (events, bytes, change.revision - 1);
        }
        bytes += size;
        events.push(match &change.value {
            Some(value) => {
                let revision = change.revision;
                let created = state.items.get(&change.key).map_or(revision, |item| item.created);
                let item = Item { value: Arc::clone(value), revision, created };
                item_json(&change.key, &item)
            }
            None => format!(
                "{{\"key\":\"{}\",\"revision\":{},\"deleted\":true}}",
                change.key, change.revision
            ),
        });
    }
    (events, bytes, state.revision)
}

/// Standard base64 with padding.
fn base64(bytes: &[u8]) -> String {
    const ALPHABET: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::with_capacity(bytes.len() / 3 * 4 + 4);
    for chunk in bytes.chunks(3) {
        let group = chunk.iter().fold(0_u32, |group, byte| group << 8 | u32::from(*byte));
        let group = group << (8 * (3 - chunk.len()));
        for place in 0..4 {
            match place <= chunk.len() {
                true => text.push(ALPHABET[(group >> (18 - 6 * place)) as usize & 63] as char),
                false => text.push('='),
            }
        }
    }
    text
}
