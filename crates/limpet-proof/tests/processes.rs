//! Guards against properties that hold only without faults.
//!
//! Real processes are killed, paused and stopped under load; then the recorded history of the callers and
//! targets is checked.

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
        FleetLayout,
        Query,
        Role, //
    },
    history::ConfigChange,
};
use tokio::sync::Semaphore;

/// Limits the number of fleets that run at a time; three fleets are 24 processes.
static FLEET_PERMITS: Semaphore = Semaphore::const_new(3);
/// Seed of the loads.
const SEED: u64 = 41;
const ALL_VMS: [usize; 4] = [0, 1, 2, 3];

/// Longer than every lease; the longest is the ownership of a target with 4 s.
const LONGER_THAN_LEASES: Duration = Duration::from_secs(5);
/// Longer than the 5 s within which each process must apply a configuration change.
const LONGER_THAN_CHANGE_DEADLINE: Duration = Duration::from_millis(6500);

/// Runs a scenario on a new fleet and asserts that its history has no violation.
fn run_scenario<F>(scenario: impl FnOnce(Fleet) -> F)
where
    F: Future<Output = Result<Fleet, FleetError>>,
{
    run_scenario_with(|spec| spec, scenario);
}

/// Like [`run_scenario`]; `adapt_spec` changes the settings of each target.
fn run_scenario_with<F>(
    adapt_spec: impl Fn(TargetSpec) -> TargetSpec + Send,
    scenario: impl FnOnce(Fleet) -> F,
) where
    F: Future<Output = Result<Fleet, FleetError>>,
{
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(2)
        .enable_all()
        .build()
        .unwrap();
    runtime.block_on(async {
        let _permit = FLEET_PERMITS.acquire().await.unwrap();
        let fleet = Fleet::start(adapt_spec).await.unwrap();
        let fleet = scenario(fleet).await.unwrap();
        let violations = fleet.stop_and_check().await.unwrap();
        assert!(violations.is_empty(), "{violations:#?}");
    });
}

/// Waits until each entry answers a search and a record query completely.
async fn wait_until_all_complete(fleet: &Fleet) -> Result<(), FleetError> {
    for vm_index in ALL_VMS {
        fleet.wait_until_complete(vm_index, "search").await?;
        fleet.wait_until_complete(vm_index, "record").await?;
    }
    Ok(())
}

#[test]
fn no_faults() {
    run_scenario(async |fleet| {
        let load = fleet.start_load(SEED, &ALL_VMS);
        fleet.wait_for_answers(200).await?;
        load.stop().await;
        Ok(fleet)
    });
}

limpet_testkit::cases! {
    killed_under_load:
    entry_killed => (Role::Entry, 1),
    relay_killed => (Role::Relay, 1),
}

fn killed_under_load((role, vm_index): (Role, usize)) {
    run_scenario(async move |mut fleet| {
        let load = fleet.start_load(SEED, &ALL_VMS);
        fleet.wait_for_answers(100).await?;
        fleet.kill(role, vm_index).await?;
        fleet.wait_for_answers(200).await?;
        fleet.start_process(role, vm_index)?;
        fleet.wait_until_complete(vm_index, "search").await?;
        fleet.wait_until_complete(vm_index, "record").await?;
        load.stop().await;
        Ok(fleet)
    });
}

#[test]
fn coordinator_killed() {
    run_scenario(async |mut fleet| {
        let load = fleet.start_load(SEED, &ALL_VMS);
        fleet.wait_for_answers(100).await?;
        let coordinator_vm_index = fleet.wait_for_coordinator().await?;
        fleet.kill(Role::Relay, coordinator_vm_index).await?;
        fleet.wait_for_answer_after(LONGER_THAN_LEASES).await?;
        wait_until_all_complete(&fleet).await?;
        load.stop().await;
        Ok(fleet)
    });
}

limpet_testkit::cases! {
    paused_past_all_leases:
    relay_paused => Role::Relay,
    entry_paused => Role::Entry,
}

fn paused_past_all_leases(role: Role) {
    run_scenario(async move |fleet| {
        let load = fleet.start_load(SEED, &[0, 2, 3]);
        let load_on_paused_vm = fleet.start_load(SEED + 100, &[1]);
        fleet.wait_for_answers(100).await?;
        fleet.pause(role, 1);
        fleet.wait_for_answer_after(LONGER_THAN_LEASES).await?;
        fleet.resume(role, 1);
        fleet.wait_for_answers(100).await?;
        wait_until_all_complete(&fleet).await?;
        load.stop().await;
        load_on_paused_vm.stop().await;
        Ok(fleet)
    });
}

#[test]
fn platform_down_and_relay_killed() {
    run_scenario(async |mut fleet| {
        let load = fleet.start_load(SEED, &ALL_VMS);
        fleet.wait_for_answers(100).await?;
        fleet.set_platform_down(true);
        fleet.kill(Role::Relay, 2).await?;
        fleet
            .wait_for_answer_after(LONGER_THAN_CHANGE_DEADLINE)
            .await?;
        wait_until_all_complete(&fleet).await?;
        fleet.set_platform_down(false);
        fleet.start_process(Role::Relay, 2)?;
        wait_until_all_complete(&fleet).await?;
        load.stop().await;
        Ok(fleet)
    });
}

#[test]
fn coordinator_killed_and_relay_paused() {
    run_scenario(async |mut fleet| {
        let load = fleet.start_load(SEED, &ALL_VMS);
        fleet.wait_for_answers(100).await?;
        let coordinator_vm_index = fleet.wait_for_coordinator().await?;
        let paused_vm_index = (coordinator_vm_index + 1) % ALL_VMS.len();
        fleet.pause(Role::Relay, paused_vm_index);
        fleet.kill(Role::Relay, coordinator_vm_index).await?;
        // Two of four relays are no quorum, so no lease is granted until one resumes.
        fleet.wait_for_refusal("rate_limited").await?;
        fleet.resume(Role::Relay, paused_vm_index);
        wait_until_all_complete(&fleet).await?;
        load.stop().await;
        Ok(fleet)
    });
}

#[test]
fn stale_config_service_for_a_new_vm() {
    run_scenario(async |mut fleet| {
        let load = fleet.start_load(SEED, &[0, 1, 2]);
        fleet.wait_for_answers(50).await?;
        fleet.apply_change(ConfigChange::KeyRevoked(FleetLayout::api_key("retail")));
        fleet
            .wait_for_answer_after(LONGER_THAN_CHANGE_DEADLINE)
            .await?;
        fleet.kill(Role::Entry, 3).await?;
        fleet.kill(Role::Relay, 3).await?;
        fleet.platform.set_stale_by(1);
        fleet.start_process(Role::Relay, 3)?;
        fleet.start_process(Role::Entry, 3)?;
        let load_on_new_vm = fleet.start_load(SEED + 100, &[3]);
        fleet.wait_for_refusal("config_stale").await?;
        fleet.platform.set_stale_by(0);
        fleet.wait_until_complete(3, "search").await?;
        load.stop().await;
        load_on_new_vm.stop().await;
        Ok(fleet)
    });
}

#[test]
fn key_revoked_under_open_connections() {
    run_scenario(async |mut fleet| {
        let load = fleet.start_load(SEED, &ALL_VMS);
        fleet.wait_for_answers(100).await?;
        fleet.apply_change(ConfigChange::KeyRevoked(FleetLayout::api_key("retail")));
        fleet
            .wait_for_answer_after(LONGER_THAN_CHANGE_DEADLINE)
            .await?;
        load.stop().await;
        Ok(fleet)
    });
}

#[test]
fn zone_out_and_back() {
    run_scenario(async |mut fleet| {
        let load = fleet.start_load(SEED, &ALL_VMS);
        fleet.wait_for_answers(100).await?;
        fleet.apply_change(ConfigChange::ZoneOut("zone-a".into()));
        fleet.wait_for_refusal("zone_out").await?;
        fleet
            .wait_for_answer_after(LONGER_THAN_CHANGE_DEADLINE)
            .await?;
        fleet.apply_change(ConfigChange::ZoneIn("zone-a".into()));
        wait_until_all_complete(&fleet).await?;
        load.stop().await;
        Ok(fleet)
    });
}

#[test]
fn zone_out_and_relay_killed() {
    run_scenario(async |mut fleet| {
        let load = fleet.start_load(SEED, &ALL_VMS);
        fleet.wait_for_answers(100).await?;
        fleet.apply_change(ConfigChange::ZoneOut("zone-a".into()));
        fleet.kill(Role::Relay, 1).await?;
        fleet
            .wait_for_answer_after(LONGER_THAN_CHANGE_DEADLINE)
            .await?;
        fleet.start_process(Role::Relay, 1)?;
        fleet.apply_change(ConfigChange::ZoneIn("zone-a".into()));
        wait_until_all_complete(&fleet).await?;
        load.stop().await;
        Ok(fleet)
    });
}

#[test]
fn target_leaving() {
    run_scenario(async |mut fleet| {
        let load = fleet.start_load(SEED, &ALL_VMS);
        fleet.wait_for_answers(100).await?;
        fleet.apply_change(ConfigChange::Leaving("stock-0-0".into()));
        fleet
            .wait_for_answer_after(LONGER_THAN_CHANGE_DEADLINE)
            .await?;
        wait_until_all_complete(&fleet).await?;
        load.stop().await;
        Ok(fleet)
    });
}

#[test]
fn targets_restart_cold() {
    let adapt_spec = |spec: TargetSpec| spec.with_cold_start(1, 10);
    run_scenario_with(adapt_spec, async |fleet| {
        let load = fleet.start_load(SEED, &ALL_VMS);
        fleet.wait_for_answers(100).await?;
        for target in fleet.targets.iter().step_by(2) {
            target.inject(Fault::Crash);
            fleet.wait_for_answers(50).await?;
        }
        wait_until_all_complete(&fleet).await?;
        load.stop().await;
        Ok(fleet)
    });
}

#[test]
fn responses_crossed_and_truncated() {
    run_scenario(async |fleet| {
        let load = fleet.start_load(SEED, &ALL_VMS);
        fleet.wait_for_answers(50).await?;
        for target in &fleet.targets {
            target.inject(Fault::WrongEcho(10));
            target.inject(Fault::ShortBody(10));
        }
        fleet.wait_for_answers(150).await?;
        load.stop().await;
        Ok(fleet)
    });
}

#[test]
fn poison_resent_through_every_entry() {
    let adapt_spec = |spec: TargetSpec| spec.with_poison("poison");
    run_scenario_with(adapt_spec, async |fleet| {
        let query = Query::new("record", "probe").with_body("poison");
        // Without the pause the test would depend on how fast strikes spread between the VMs.
        let mut interval = tokio::time::interval(Duration::from_millis(250));
        let mut codes = Vec::new();
        for vm_index in ALL_VMS.into_iter().cycle().take(12) {
            interval.tick().await;
            let response = fleet.caller(vm_index).send(&query).await;
            codes.extend(response.and_then(|response| response.body.code));
        }
        let crashes: u32 = fleet
            .targets
            .iter()
            .map(|target| target.stats().crashes)
            .sum();
        let last_code = codes.last().map(|code| &**code);
        assert_eq!(last_code, Some("request_quarantined"), "{crashes} crashes");
        // Each of the two relays that own a target of the shard allows two crashes.
        assert!(crashes <= 4, "{crashes} crashes");
        Ok(fleet)
    });
}

#[test]
fn order_resent_while_its_issuer_is_killed() {
    let adapt_spec = |spec: TargetSpec| spec.with_service_time_us(40_000);
    run_scenario_with(adapt_spec, async |mut fleet| {
        let order = Query::new("order", "probe");
        let mut tickets = Vec::new();
        for _ in 0..12 {
            let response = fleet.caller(1).send(&order).await;
            tickets.extend(response.and_then(|response| response.body.ticket));
        }
        assert_eq!(tickets.len(), 12, "tickets are issued");
        let mut senders = tokio::task::JoinSet::new();
        for (ticket_index, ticket) in tickets.into_iter().enumerate() {
            let mut callers = [1, 0, 2, 3].map(|vm_index| fleet.caller(vm_index));
            senders.spawn(async move {
                let record = format!("A-{ticket_index}");
                for caller in &mut callers {
                    let order = Query::new("order", "probe").with_record(&record);
                    caller.send(&order.with_ticket(&ticket)).await;
                }
            });
        }
        fleet.wait_for_answers(2).await?;
        fleet.kill(Role::Entry, 1).await?;
        while senders.join_next().await.is_some() {}
        Ok(fleet)
    });
}

#[test]
fn processes_stopped_under_load() {
    // The targets are slow enough that requests are in flight at all times.
    let adapt_spec = |spec: TargetSpec| spec.with_service_time_us(20_000);
    run_scenario_with(adapt_spec, async |mut fleet| {
        let load = fleet.start_load(SEED, &ALL_VMS);
        fleet.wait_for_answers(100).await?;
        assert_eq!(fleet.stop(Role::Entry, 1).await?, Some(0));
        fleet.wait_for_answers(50).await?;
        assert_eq!(fleet.stop(Role::Relay, 2).await?, Some(0));
        fleet.wait_for_answers(100).await?;
        load.stop().await;
        Ok(fleet)
    });
}
