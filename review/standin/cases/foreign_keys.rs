//! Entries of another writer lie in the store, their keys contain spaces; then all processes are killed.

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
/// Items of a page, as the `[discovery]` table of the small site files says.
const PAGE_ITEMS: usize = 50;
/// Number of entries of another writer: more than a page holds, so that a page ends with one.
const FOREIGN_ENTRIES: usize = 60;

pub fn run(setup: &Setup) -> io::Result<Verdict> {
    let record = &setup.record;
    let store = Store::start("127.20.0.1:0", PAGE_ITEMS)?;
    let runs = Arc::new(Mutex::new(Vec::new()));
    let work = Duration::from_millis(20);
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
    let load = Load::start(&fronts, Duration::from_millis(50), record, |number| Sent {
        method: "GET",
        target: format!("/orders/{number}"),
        body: b"",
        deadline_ms: 6000,
    });
    thread::sleep(Duration::from_secs(3));
    for number in 0..FOREIGN_ENTRIES {
        // The names tell nothing to the system; without the disruption they have no spaces.
        let name = match setup.has_trouble {
            true => format!("servers/bay {number:02}"),
            false => format!("servers/bay-{number:02}"),
        };
        store.put(&name, b"{\"note\":\"kept by the warehouse\"}");
    }
    record.show(&format!(
        "{FOREIGN_ENTRIES} entries of another writer are in the store"
    ));
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
    thread::sleep(RECOVERY + Duration::from_secs(8));
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
    let (served_before, before) = share(killed - Duration::from_secs(5), killed);
    let (served_after, after) = share(back + RECOVERY, Instant::now());
    record.show(&format!(
        "served in the 5 s before the fault: {served_before} of {before}"
    ));
    record.show(&format!(
        "served later than recoveryS after the machines are back: {served_after} of {after}"
    ));
    let ready = (0..system.nodes.len())
        .filter(|index| system.is_ready(*index))
        .count();
    record.show(&format!(
        "machines ready at the end: {ready} of {}",
        system.nodes.len()
    ));
    for line in system.log_lines(0, "source ").iter().rev().take(3) {
        record.line(&format!("log      {} {line}", system.nodes[0].name));
    }
    let was_served = served_before * 4 >= before;
    let is_served = served_after * 4 >= after;
    Ok(match was_served && !is_served {
        true => Verdict::Broken,
        false => Verdict::Held,
    })
}
