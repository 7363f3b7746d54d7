//! After a restart of all machines one backend crashes, while it runs a query that many callers send.

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

/// `recoveryS` of the small deployments.
const RECOVERY: Duration = Duration::from_secs(12);
/// How long the backend is down, as in the `srv_crash` entries of the site file.
const DOWN: Duration = Duration::from_millis(4500);

pub fn run(setup: &Setup) -> io::Result<Verdict> {
    let record = &setup.record;
    let store = Store::start("127.20.0.1:0", 500)?;
    let runs = Arc::new(Mutex::new(Vec::new()));
    let work = Duration::from_millis(90);
    let start = |index: usize, name: &str| {
        let ip = format!("127.30.0.{}", index + 1);
        Backend::start(name, "orders", &ip, "derby-yard", work, &runs, record)
    };
    let mut backends = Vec::new();
    for index in 0..8 {
        backends.push(start(index, &format!("i-{index}"))?);
    }
    store.put("op/config", one_route(3, "safe", "orders").as_bytes());
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
    let load = Load::start(&fronts, Duration::from_millis(15), record, |_| Sent {
        method: "GET",
        target: "/orders/batch-4711".to_string(),
        body: b"",
        deadline_ms: 6000,
    });
    thread::sleep(Duration::from_secs(5));
    let killed = Instant::now();
    for index in 0..system.nodes.len() {
        system.kill(index);
    }
    record.show("all processes are killed");
    thread::sleep(Duration::from_secs(1));
    for index in 0..system.nodes.len() {
        system.start(index)?;
    }
    let back = Instant::now();
    record.show("all processes are started again");
    thread::sleep(Duration::from_secs(5));
    if setup.has_trouble {
        record.show(&format!(
            "i-0 crashes, requests at work: {}",
            backends[0].running()
        ));
        backends[0].end();
        thread::sleep(DOWN);
        store.delete(&backends[0].key());
        let restarted = start(8, "i-0b")?;
        store.put(&restarted.key(), restarted.entry("ready").as_bytes());
        record.show("it is back, with a new id");
        backends.push(restarted);
    }
    thread::sleep(
        (back + RECOVERY + Duration::from_secs(20)).saturating_duration_since(Instant::now()),
    );
    let outcomes = load.stop();

    let share = |from: Instant, to: Instant| {
        let sent: Vec<_> = outcomes
            .iter()
            .filter(|it| it.sent >= from && it.sent < to)
            .collect();
        let served = sent
            .iter()
            .filter(|it| it.status == 200 && it.has_stamp)
            .count();
        (served, sent.len())
    };
    let (served_before, before) = share(killed - Duration::from_secs(4), killed);
    let (served_after, after) = share(back + RECOVERY, Instant::now());
    record.show(&format!(
        "served in the 4 s before the fault: {served_before} of {before}"
    ));
    record.show(&format!(
        "served later than recoveryS after the machines are back: {served_after} of {after}"
    ));
    let was_served = served_before * 4 >= before;
    let is_served = served_after * 4 >= after;
    Ok(match was_served && !is_served {
        true => Verdict::Broken,
        false => Verdict::Held,
    })
}
