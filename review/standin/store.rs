//! Stand-in of the platform's metadata store, as PROTOCOL.md describes it: pages, watches, one revision counter.

use std::collections::BTreeMap;
use std::io::BufReader;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{self, Request};

struct Item {
    value: Vec<u8>,
    revision: u64,
    created: u64,
}

struct Event {
    revision: u64,
    key: String,
    /// Absent if the item was deleted.
    value: Option<Vec<u8>>,
}

#[derive(Default)]
struct State {
    revision: u64,
    items: BTreeMap<String, Item>,
    events: Vec<Event>,
    /// Number of times that the waiting watches were cut.
    cut_count: u64,
    /// Paths of the calls, with the address of the caller.
    calls: Vec<(Instant, SocketAddr, String)>,
    page_items: usize,
}

#[derive(Clone)]
pub struct Store {
    pub addr: SocketAddr,
    shared: Arc<(Mutex<State>, Condvar)>,
}

impl Store {
    /// Starts a store whose pages hold `page_items` items at most.
    pub fn start(addr: &str, page_items: usize) -> std::io::Result<Self> {
        let listener = TcpListener::bind(addr)?;
        let state = State {
            revision: 100,
            page_items,
            ..State::default()
        };
        let store = Self {
            addr: listener.local_addr()?,
            shared: Arc::new((Mutex::new(state), Condvar::new())),
        };
        let served = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = served.clone();
                thread::spawn(move || store.serve(stream));
            }
        });
        Ok(store)
    }

    /// Writes an item; returns once the write is acknowledged.
    pub fn put(&self, key: &str, value: &[u8]) -> u64 {
        let (state, changed) = &*self.shared;
        let mut state = state.lock().unwrap();
        state.revision += 1;
        let revision = state.revision;
        let created = state.items.get(key).map_or(revision, |item| item.created);
        let item = Item {
            value: value.to_vec(),
            revision,
            created,
        };
        state.items.insert(key.to_string(), item);
        state.events.push(Event {
            revision,
            key: key.to_string(),
            value: Some(value.to_vec()),
        });
        changed.notify_all();
        revision
    }

    /// Deletes an item; returns once that is acknowledged.
    pub fn delete(&self, key: &str) -> u64 {
        let (state, changed) = &*self.shared;
        let mut state = state.lock().unwrap();
        state.revision += 1;
        let revision = state.revision;
        state.items.remove(key);
        state.events.push(Event {
            revision,
            key: key.to_string(),
            value: None,
        });
        changed.notify_all();
        revision
    }

    /// Cuts the watches that are waiting now: their connections end without an answer.
    pub fn cut_waiting_watches(&self) {
        let (state, changed) = &*self.shared;
        state.lock().unwrap().cut_count += 1;
        changed.notify_all();
    }

    /// Returns the calls since `since`.
    pub fn calls_since(&self, since: Instant) -> Vec<(Instant, SocketAddr, String)> {
        let state = self.shared.0.lock().unwrap();
        state
            .calls
            .iter()
            .filter(|(at, ..)| *at >= since)
            .cloned()
            .collect()
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(mut writer) = stream.try_clone() else {
            return;
        };
        let Ok(peer) = stream.peer_addr() else {
            return;
        };
        let mut reader = BufReader::new(stream);
        while let Ok(Some(request)) = http::read_request(&mut reader) {
            let call = (Instant::now(), peer, request.target.clone());
            self.shared.0.lock().unwrap().calls.push(call);
            let Some((status, body)) = self.answer(&request) else {
                return;
            };
            let headers = [("Content-Type", "application/json")];
            if http::write_response(&mut writer, status, &headers, body.as_bytes()).is_err() {
                return;
            }
        }
    }

    /// Returns the answer, or `None` if the watch was cut.
    fn answer(&self, request: &Request) -> Option<(u16, String)> {
        let (path, query) = request
            .target
            .split_once('?')
            .unwrap_or((&request.target, ""));
        let parameters: Vec<(String, String)> = query
            .split('&')
            .filter_map(|pair| pair.split_once('='))
            .map(|(name, value)| (name.to_string(), decode_query(value)))
            .collect();
        let parameter = |name: &str| {
            let found = parameters.iter().find(|(known, _)| known == name);
            found.map_or("", |(_, value)| value.as_str())
        };
        match path {
            "/api/kv-range" => Some((200, self.range(parameter("prefix"), parameter("after")))),
            "/api/kv-watch" => self.watch(
                parameter("prefix"),
                parameter("after").parse().unwrap_or(0),
                Duration::from_millis(parameter("waitMs").parse().unwrap_or(0)),
            ),
            "/api/kv-key" => {
                let state = self.shared.0.lock().unwrap();
                let key = parameter("key");
                Some(match state.items.get(key) {
                    Some(item) => (200, item_json(key, item)),
                    None => (404, "{}".to_string()),
                })
            }
            _ => Some((400, "{}".to_string())),
        }
    }

    fn range(&self, prefix: &str, after: &str) -> String {
        let state = self.shared.0.lock().unwrap();
        let mut matching = state.items.iter().filter(|(key, _)| {
            key.starts_with(prefix) && (after.is_empty() || key.as_str() > after)
        });
        let page = matching.by_ref().take(state.page_items);
        let items: Vec<String> = page.map(|(key, item)| item_json(key, item)).collect();
        let has_more = matching.next().is_some();
        format!(
            "{{\"items\":[{}],\"hasMore\":{has_more},\"atRev\":{}}}",
            items.join(","),
            state.revision
        )
    }

    fn watch(&self, prefix: &str, after: u64, wait: Duration) -> Option<(u16, String)> {
        let (state, changed) = &*self.shared;
        let mut state = state.lock().unwrap();
        let cut_count = state.cut_count;
        let end = Instant::now() + wait;
        loop {
            let events: Vec<String> = state
                .events
                .iter()
                .filter(|event| event.revision > after && event.key.starts_with(prefix))
                .map(event_json)
                .collect();
            let left = end.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let body = format!(
                    "{{\"events\":[{}],\"atRev\":{}}}",
                    events.join(","),
                    state.revision
                );
                return Some((200, body));
            }
            state = changed.wait_timeout(state, left).unwrap().0;
            if state.cut_count != cut_count {
                return None;
            }
        }
    }
}

fn item_json(key: &str, item: &Item) -> String {
    format!(
        "{{\"key\":{},\"value\":\"{}\",\"revision\":{},\"createdRev\":{},\"leaseId\":0}}",
        json_text(key),
        base64(&item.value),
        item.revision,
        item.created
    )
}

fn event_json(event: &Event) -> String {
    match &event.value {
        Some(value) => format!(
            "{{\"key\":{},\"value\":\"{}\",\"revision\":{},\"createdRev\":{},\"leaseId\":0}}",
            json_text(&event.key),
            base64(value),
            event.revision,
            event.revision
        ),
        None => format!(
            "{{\"key\":{},\"revision\":{},\"deleted\":true}}",
            json_text(&event.key),
            event.revision
        ),
    }
}

/// Returns a text as a JSON string.
pub fn json_text(text: &str) -> String {
    let mut quoted = String::from("\"");
    for character in text.chars() {
        match character {
            '"' | '\\' => quoted.extend(['\\', character]),
            control if control.is_control() => {
                quoted.push_str(&format!("\\u{:04x}", control as u32))
            }
            other => quoted.push(other),
        }
    }
    quoted.push('"');
    quoted
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let mut group = [0_u8; 3];
        group[..chunk.len()].copy_from_slice(chunk);
        let number = u32::from(group[0]) << 16 | u32::from(group[1]) << 8 | u32::from(group[2]);
        for index in 0..4 {
            let digit = DIGITS[(number >> (18 - 6 * index)) as usize & 63] as char;
            text.push(if index <= chunk.len() { digit } else { '=' });
        }
    }
    text
}

/// Decodes the percent encoding of a query value.
fn decode_query(value: &str) -> String {
    let bytes = value.as_bytes();
    let mut decoded = Vec::new();
    let mut index = 0;
    while index < bytes.len() {
        let hex = value
            .get(index + 1..index + 3)
            .and_then(|hex| u8::from_str_radix(hex, 16).ok());
        match (bytes[index], hex) {
            (b'%', Some(byte)) => {
                decoded.push(byte);
                index += 3;
            }
            (byte, _) => {
                decoded.push(byte);
                index += 1;
            }
        }
    }
    String::from_utf8_lossy(&decoded).into_owned()
}
