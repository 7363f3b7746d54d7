//! A backend fails part of the requests that it runs, with its own 503.

use std::io;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use super::one_route;
use crate::backend::{Backend, Behaviour};
use crate::load::{Load, Sent};
use crate::store::Store;
use crate::system::System;
use crate::{Setup, Verdict};

pub fn run(setup: &Setup) -> io::Result<Verdict> {
    let record = &setup.record;
    let store = Store::start("127.20.0.1:0", 500)?;
    let runs = Arc::new(Mutex::new(Vec::new()));
    let work = Duration::from_millis(20);
    let mut backends = Vec::new();
    for index in 0..8 {
        let (id, ip) = (format!("i-{index}"), format!("127.30.0.{}", index + 1));
        backends.push(Backend::start(
            &id,
            "orders",
            &ip,
            "derby-yard",
            work,
            &runs,
            record,
        )?);
    }
    store.put("op/config", one_route(3, "unsafe", "orders").as_bytes());
    for backend in &backends {
        store.put(&backend.key(), backend.entry("ready").as_bytes());
    }
    let mut system = System::prepare(&["derby-yard", "leicester-yard"], store.addr)?;
    system.start_all()?;
    let fronts: Vec<_> = system.nodes.iter().map(|node| node.front).collect();
    let load = Load::start(&fronts, Duration::from_millis(20), record, |number| Sent {
        method: "POST",
        target: format!("/orders/{number}"),
        body: b"two pallets of underlay",
        deadline_ms: 6000,
    });
    thread::sleep(Duration::from_secs(3));
    if setup.has_trouble {
        record.show("i-0 fails two in five of the orders that it runs");
        backends[0].set_behaviour(Behaviour::Fails(503));
    }
    thread::sleep(Duration::from_secs(6));
    let outcomes = load.stop();

    let runs = runs.lock().unwrap();
    let has_run = |id: &str| runs.iter().any(|run| run.request_id == id);
    let refused: Vec<_> = outcomes
        .iter()
        .filter(|it| matches!(it.status, 408 | 421 | 429 | 503) && has_run(&it.request_id))
        .collect();
    for outcome in &refused {
        let id = &outcome.request_id;
        record.line(&format!(
            "REFUSED  {id} was answered {} and has run",
            outcome.status
        ));
    }
    record.show(&format!("requests in all: {}", outcomes.len()));
    record.show(&format!(
        "orders refused though they have run: {}",
        refused.len()
    ));
    Ok(match refused.is_empty() {
        true => Verdict::Held,
        false => Verdict::Broken,
    })
}
