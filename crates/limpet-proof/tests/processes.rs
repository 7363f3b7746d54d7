//! Guards against properties that hold only while every process runs: real processes are killed, frozen
//! and stopped under load, and the history checker decides from what callers and targets saw.

use std::{
    future::Future,
    time::Duration, //
};

use limpet_fakes::target::{
    Fault,
    TargetSpec, //
};
use limpet_proof::{
    fleet::{
        Fleet,
        FleetError,
        Layout,
        Query,
        Role, //
    },
    history::Change,
};
use tokio::sync::Semaphore;

/// Fleets that run at a time: three are 24 processes.
static FLEETS: Semaphore = Semaphore::const_new(3);
const SEED: u64 = 41;
const EVERY: [usize; 4] = [0, 1, 2, 3];

/// Longer than any lease: ownership, the longest, lasts 4 s.
const OVER_LEASES: Duration = Duration::from_secs(5);
/// Longer than the time after which a change must be in force (5 s).
const OVER_LIMIT: Duration = Duration::from_millis(6500);

/// Runs a scenario on a fresh fleet and requires that no property is contradicted.
fn scenario<F>(run: impl FnOnce(Fleet) -> F)
where
    F: Future<Output = Result<Fleet, FleetError>>,
{
    scenario_with(|spec| spec, run);
}

fn scenario_with<F>(adapt: impl Fn(TargetSpec) -> TargetSpec + Send, run: impl FnOnce(Fleet) -> F)
where
    F: Future<Output = Result<Fleet, FleetError>>,
{
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(2)
        .enable_all()
        .build()
        .unwrap();
    runtime.block_on(async {
        let _place = FLEETS.acquire().await.unwrap();
        let fleet = Fleet::start(adapt).await.unwrap();
        let fleet = run(fleet).await.unwrap();
        let found = fleet.verdict().await.unwrap();
        assert!(found.is_empty(), "{found:#?}");
    });
}

async fn until_all_complete(fleet: &Fleet) -> Result<(), FleetError> {
    for place in EVERY {
        fleet.until_complete(place, "search").await?;
        fleet.until_complete(place, "record").await?;
    }
    Ok(())
}

#[test]
fn undisturbed() {
    scenario(async |fleet| {
        let load = fleet.load(SEED, &EVERY);
        fleet.until_answers(200).await?;
        load.stop().await;
        Ok(fleet)
    });
}

limpet_testkit::cases! {
    killed_under_load:
    entry_killed => (Role::Entry, 1),
    relay_killed => (Role::Relay, 1),
}

fn killed_under_load((role, place): (Role, usize)) {
    scenario(async move |mut fleet| {
        let load = fleet.load(SEED, &EVERY);
        fleet.until_answers(100).await?;
        fleet.kill(role, place).await?;
        fleet.until_answers(200).await?;
        fleet.launch(role, place)?;
        fleet.until_complete(place, "search").await?;
        fleet.until_complete(place, "record").await?;
        load.stop().await;
        Ok(fleet)
    });
}

#[test]
fn coordinator_killed() {
    scenario(async |mut fleet| {
        let load = fleet.load(SEED, &EVERY);
        fleet.until_answers(100).await?;
        let place = fleet.coordinator().await?;
        fleet.kill(Role::Relay, place).await?;
        fleet.until_answer_after(OVER_LEASES).await?;
        until_all_complete(&fleet).await?;
        load.stop().await;
        Ok(fleet)
    });
}

limpet_testkit::cases! {
    frozen_over_every_lease:
    relay_frozen => Role::Relay,
    entry_frozen => Role::Entry,
}

fn frozen_over_every_lease(role: Role) {
    scenario(async move |fleet| {
        let load = fleet.load(SEED, &[0, 2, 3]);
        let load_of_frozen = fleet.load(SEED + 100, &[1]);
        fleet.until_answers(100).await?;
        fleet.freeze(role, 1);
        fleet.until_answer_after(OVER_LEASES).await?;
        fleet.wake(role, 1);
        fleet.until_answers(100).await?;
        until_all_complete(&fleet).await?;
        load.stop().await;
        load_of_frozen.stop().await;
        Ok(fleet)
    });
}

#[test]
fn service_down_and_relay_killed() {
    scenario(async |mut fleet| {
        let load = fleet.load(SEED, &EVERY);
        fleet.until_answers(100).await?;
        fleet.set_platform_down(true);
        fleet.kill(Role::Relay, 2).await?;
        fleet.until_answer_after(OVER_LIMIT).await?;
        until_all_complete(&fleet).await?;
        fleet.set_platform_down(false);
        fleet.launch(Role::Relay, 2)?;
        until_all_complete(&fleet).await?;
        load.stop().await;
        Ok(fleet)
    });
}

#[test]
fn coordinator_killed_and_relay_frozen() {
    scenario(async |mut fleet| {
        let load = fleet.load(SEED, &EVERY);
        fleet.until_answers(100).await?;
        let place = fleet.coordinator().await?;
        let frozen = (place + 1) % EVERY.len();
        fleet.freeze(Role::Relay, frozen);
        fleet.kill(Role::Relay, place).await?;
        // Two of four relays are no quorum: nothing is granted until one is back.
        fleet.until_refused("rate_limited").await?;
        fleet.wake(Role::Relay, frozen);
        until_all_complete(&fleet).await?;
        load.stop().await;
        Ok(fleet)
    });
}

#[test]
fn stale_service_for_a_new_vm() {
    scenario(async |mut fleet| {
        let load = fleet.load(SEED, &[0, 1, 2]);
        fleet.until_answers(50).await?;
        fleet.change(Change::KeyRevoked(Layout::key("retail")));
        fleet.until_answer_after(OVER_LIMIT).await?;
        fleet.kill(Role::Entry, 3).await?;
        fleet.kill(Role::Relay, 3).await?;
        fleet.platform.set_stale(1);
        fleet.launch(Role::Relay, 3)?;
        fleet.launch(Role::Entry, 3)?;
        let load_of_new = fleet.load(SEED + 100, &[3]);
        fleet.until_refused("config_stale").await?;
        fleet.platform.set_stale(0);
        fleet.until_complete(3, "search").await?;
        load.stop().await;
        load_of_new.stop().await;
        Ok(fleet)
    });
}

#[test]
fn key_revoked_under_open_connections() {
    scenario(async |mut fleet| {
        let load = fleet.load(SEED, &EVERY);
        fleet.until_answers(100).await?;
        fleet.change(Change::KeyRevoked(Layout::key("retail")));
        fleet.until_answer_after(OVER_LIMIT).await?;
        load.stop().await;
        Ok(fleet)
    });
}

#[test]
fn zone_out_and_back() {
    scenario(async |mut fleet| {
        let load = fleet.load(SEED, &EVERY);
        fleet.until_answers(100).await?;
        fleet.change(Change::ZoneOut("zone-a".into()));
        fleet.until_refused("zone_out").await?;
        fleet.until_answer_after(OVER_LIMIT).await?;
        fleet.change(Change::ZoneIn("zone-a".into()));
        until_all_complete(&fleet).await?;
        load.stop().await;
        Ok(fleet)
    });
}

#[test]
fn zone_out_and_relay_killed() {
    scenario(async |mut fleet| {
        let load = fleet.load(SEED, &EVERY);
        fleet.until_answers(100).await?;
        fleet.change(Change::ZoneOut("zone-a".into()));
        fleet.kill(Role::Relay, 1).await?;
        fleet.until_answer_after(OVER_LIMIT).await?;
        fleet.launch(Role::Relay, 1)?;
        fleet.change(Change::ZoneIn("zone-a".into()));
        until_all_complete(&fleet).await?;
        load.stop().await;
        Ok(fleet)
    });
}

#[test]
fn target_leaves() {
    scenario(async |mut fleet| {
        let load = fleet.load(SEED, &EVERY);
        fleet.until_answers(100).await?;
        fleet.change(Change::Leaving("stock-0-0".into()));
        fleet.until_answer_after(OVER_LIMIT).await?;
        until_all_complete(&fleet).await?;
        load.stop().await;
        Ok(fleet)
    });
}

#[test]
fn targets_restart_cold() {
    let adapt = |spec: TargetSpec| spec.with_cold_start(1, 10);
    scenario_with(adapt, async |fleet| {
        let load = fleet.load(SEED, &EVERY);
        fleet.until_answers(100).await?;
        for target in fleet.targets.iter().step_by(2) {
            target.inject(Fault::Crash);
            fleet.until_answers(50).await?;
        }
        until_all_complete(&fleet).await?;
        load.stop().await;
        Ok(fleet)
    });
}

#[test]
fn answers_crossed_and_cut() {
    scenario(async |fleet| {
        let load = fleet.load(SEED, &EVERY);
        fleet.until_answers(50).await?;
        for target in &fleet.targets {
            target.inject(Fault::WrongEcho(10));
            target.inject(Fault::ShortBody(10));
        }
        fleet.until_answers(150).await?;
        load.stop().await;
        Ok(fleet)
    });
}

#[test]
fn poison_resent_through_every_entry() {
    let adapt = |spec: TargetSpec| spec.with_poison("poison");
    scenario_with(adapt, async |fleet| {
        let query = Query::new("record", "probe").with_body("poison");
        // A caller that resends at once would test the spread of strikes, not the quarantine.
        let mut pace = tokio::time::interval(Duration::from_millis(250));
        let mut codes = Vec::new();
        for place in EVERY.into_iter().cycle().take(12) {
            pace.tick().await;
            let response = fleet.caller(place).send(&query).await;
            codes.extend(response.and_then(|response| response.answer.code));
        }
        let crashes: u32 = fleet.targets.iter().map(|t| t.stats().crashes).sum();
        let last = codes.last().map(|code| &**code);
        assert_eq!(last, Some("request_quarantined"), "{crashes} crashes");
        // Two for each of the two relays that own a target of the shard.
        assert!(crashes <= 4, "{crashes} crashes");
        Ok(fleet)
    });
}

#[test]
fn order_resent_while_its_issuer_is_killed() {
    let adapt = |spec: TargetSpec| spec.with_service_time_us(40_000);
    scenario_with(adapt, async |mut fleet| {
        let order = Query::new("order", "probe");
        let mut tickets = Vec::new();
        for _ in 0..12 {
            let response = fleet.caller(1).send(&order).await;
            tickets.extend(response.and_then(|response| response.answer.ticket));
        }
        assert_eq!(tickets.len(), 12, "tickets are issued");
        let mut sent = tokio::task::JoinSet::new();
        for (number, ticket) in tickets.into_iter().enumerate() {
            let mut callers = [1, 0, 2, 3].map(|place| fleet.caller(place));
            sent.spawn(async move {
                let record = format!("A-{number}");
                for caller in &mut callers {
                    let order = Query::new("order", "probe").with_record(&record);
                    caller.send(&order.with_ticket(&ticket)).await;
                }
            });
        }
        fleet.until_answers(2).await?;
        fleet.kill(Role::Entry, 1).await?;
        while sent.join_next().await.is_some() {}
        Ok(fleet)
    });
}

#[test]
fn stopped_under_load() {
    // Long enough that requests are in flight at every moment.
    let adapt = |spec: TargetSpec| spec.with_service_time_us(20_000);
    scenario_with(adapt, async |mut fleet| {
        let load = fleet.load(SEED, &EVERY);
        fleet.until_answers(100).await?;
        assert_eq!(fleet.stop(Role::Entry, 1).await?, Some(0));
        fleet.until_answers(50).await?;
        assert_eq!(fleet.stop(Role::Relay, 2).await?, Some(0));
        fleet.until_answers(100).await?;
        load.stop().await;
        Ok(fleet)
    });
}
