//! Guards against properties that hold only while every process runs: real processes are killed, frozen
//! and stopped under load, and the history checker decides from what callers and targets saw.

use std::future::Future;

use limpet_proof::fleet::{
    Fleet,
    FleetError,
    Role, //
};
use tokio::sync::Semaphore;

/// Fleets that run at a time: two are 16 processes.
static FLEETS: Semaphore = Semaphore::const_new(2);
const SEED: u64 = 41;
const EVERY: [usize; 4] = [0, 1, 2, 3];

/// Runs a scenario on a fresh fleet and requires that no property is contradicted.
fn scenario<F>(run: impl FnOnce(Fleet) -> F)
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
        let fleet = Fleet::start(|spec| spec).await.unwrap();
        let fleet = run(fleet).await.unwrap();
        let found = fleet.verdict().await.unwrap();
        assert!(found.is_empty(), "{found:#?}");
    });
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
