//! The store cuts a waiting watch just when a backend's entry is removed.

use std::io;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use super::one_route;
use crate::backend::Backend;
use crate::load::{Load, Sent};
use crate::store::Store;
use crate::system::System;
use crate::{Setup, Verdict};

/// `drainMs` of the small deployments.
const DRAIN: Duration = Duration::from_millis(3000);
/// The backend serves this much longer than `drainMs` ("and a little longer").
const LONGER: Duration = Duration::from_millis(300);

pub fn run(setup: &Setup) -> io::Result<Verdict> {
    let record = &setup.record;
    let store = Store::start("127.20.0.1:0", 500)?;
    let runs = Arc::new(Mutex::new(Vec::new()));
    let work = Duration::from_millis(90);
    let mut backends = Vec::new();
    for index in 0..4 {
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
    let zones = [
        "derby-yard",
        "derby-yard",
        "leicester-yard",
        "nottingham-yard",
    ];
    let mut system = System::prepare(&zones, store.addr)?;
    system.start_all()?;
    let fronts: Vec<_> = system.nodes.iter().map(|node| node.front).collect();
    let load = Load::start(&fronts, Duration::from_millis(15), record, |number| Sent {
        method: "POST",
        target: format!("/orders/{number}"),
        body: b"two pallets of underlay",
        deadline_ms: 6000,
    });
    // Longer than contactMs, so that all machines are in touch.
    thread::sleep(Duration::from_secs(8));

    // A watch has just begun to wait.
    let since = Instant::now();
    while !store
        .calls_since(since)
        .iter()
        .any(|(_, _, path)| path.contains("kv-watch"))
    {
        thread::sleep(Duration::from_millis(2));
    }
    thread::sleep(Duration::from_millis(20));
    let leaving = &backends[0];
    if setup.has_trouble {
        store.cut_waiting_watches();
        record.show("the store cuts the watches that wait");
    }
    store.delete(&leaving.key());
    let acknowledged = Instant::now();
    record.show(&format!("the entry of {} is removed", leaving.id()));
    thread::sleep(DRAIN + LONGER);
    let at_work = leaving.running();
    leaving.end();
    record.show(&format!(
        "{} ends, requests at work: {at_work}",
        leaving.id()
    ));
    thread::sleep(Duration::from_secs(2));
    let outcomes = load.stop();

    let runs = runs.lock().unwrap();
    let late: Vec<_> = runs
        .iter()
        .filter(|run| run.backend == leaving.id() && run.began > acknowledged + DRAIN)
        .collect();
    for run in &late {
        record.line(&format!(
            "LATE     {} reached {} {} ms after the removal",
            run.request_id,
            run.backend,
            (run.began - acknowledged).as_millis()
        ));
    }
    let last = runs
        .iter()
        .filter(|run| run.backend == leaving.id())
        .map(|run| run.began)
        .max();
    let last_ms = last.map_or(0, |last| {
        last.saturating_duration_since(acknowledged).as_millis()
    });
    record.show(&format!(
        "last request reached {} {last_ms} ms after the removal",
        leaving.id()
    ));
    record.show(&format!(
        "requests that reached it later than drainMs: {}",
        late.len()
    ));
    let lost = outcomes
        .iter()
        .filter(|outcome| outcome.status == 502 || outcome.status == 0);
    record.show(&format!(
        "requests without a success or a refusal: {}",
        lost.count()
    ));
    record.show(&format!("requests in all: {}", outcomes.len()));
    for index in 0..system.nodes.len() {
        for line in system.log_lines(index, "source ") {
            record.line(&format!("log      {} {line}", system.nodes[index].name));
        }
    }
    Ok(match late.is_empty() {
        true => Verdict::Held,
        false => Verdict::Broken,
    })
}
