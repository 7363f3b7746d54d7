//! Tests the clients of the configuration service and of the VM list.
//!
//! Guards against misread responses and against waiting reads that return early or never end.

use std::{
    net::SocketAddr,
    time::{
        Duration,
        Instant, //
    },
};

use limpet_adapters::{
    config_service::{
        ConfigReadError,
        ConfigReadOutcome,
        ConfigServiceClient, //
    },
    vm_list::{
        VmListClient,
        VmListError,
        VmState, //
    },
};
use limpet_fakes::platform::{
    FakePlatform,
    FakePlatformServer,
    FakeVm, //
};

const LOCALHOST_ANY_PORT: SocketAddr =
    SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::LOCALHOST), 0);
/// Wait passed to the reads; each should end long before it elapses.
const LONG_WAIT: Duration = Duration::from_secs(20);

/// Starts the fake platform with one server, and creates a client of its configuration service.
async fn start_platform() -> (FakePlatform, FakePlatformServer, ConfigServiceClient) {
    let platform = FakePlatform::new();
    let platform_server = platform.serve(LOCALHOST_ANY_PORT).await.unwrap();
    let service = ConfigServiceClient::new(platform_server.addr());
    (platform, platform_server, service)
}

fn text_outcome(revision: u64, text: &str) -> ConfigReadOutcome {
    ConfigReadOutcome::Text {
        revision,
        text: text.into(),
    }
}

#[tokio::test]
async fn a_read_returns_a_newer_text_or_waits_for_one() {
    let (platform, platform_server, service) = start_platform().await;
    let outcome_without_text = service.read(0, Duration::ZERO).await.unwrap();
    assert_eq!(
        outcome_without_text,
        ConfigReadOutcome::Unchanged { revision: None }
    );
    platform.set_config_text("one");
    assert_eq!(
        service.read(0, LONG_WAIT).await.unwrap(),
        text_outcome(1, "one")
    );
    let wait = Duration::from_millis(50);
    let started_at = Instant::now();
    let outcome_after_wait = service.read(1, wait).await.unwrap();
    assert_eq!(
        outcome_after_wait,
        ConfigReadOutcome::Unchanged { revision: Some(1) }
    );
    assert!(started_at.elapsed() >= wait);
    let waiting_read = tokio::spawn(async move { service.read(1, LONG_WAIT).await });
    while platform.config_calls().total < 4 {
        tokio::task::yield_now().await;
    }
    platform.set_config_text("two");
    assert_eq!(waiting_read.await.unwrap().unwrap(), text_outcome(2, "two"));
    assert_eq!(
        platform.config_calls().total,
        4,
        "a waiting read counts as one call"
    );
    platform_server.stop().await;
}

#[tokio::test]
async fn a_stale_service_returns_its_older_text() {
    let (platform, platform_server, service) = start_platform().await;
    platform.set_config_text("one");
    platform.set_config_text("two");
    platform.set_stale_by(1);
    assert_eq!(
        service.read(2, LONG_WAIT).await.unwrap(),
        text_outcome(1, "one")
    );
    platform.set_stale_by(0);
    assert_eq!(
        service.read(1, LONG_WAIT).await.unwrap(),
        text_outcome(2, "two")
    );
    platform_server.stop().await;
}

#[tokio::test]
async fn a_waiting_read_fails_when_the_service_goes_down() {
    let (platform, platform_server, service) = start_platform().await;
    platform.set_config_text("one");
    let waiting_read = tokio::spawn(async move { service.read(1, LONG_WAIT).await });
    while platform.config_calls().total < 1 {
        tokio::task::yield_now().await;
    }
    platform_server.set_down(true);
    assert!(matches!(
        waiting_read.await.unwrap(),
        Err(ConfigReadError::Get(_))
    ));
    assert!(service.read(0, Duration::ZERO).await.is_err());
    platform_server.set_down(false);
    assert_eq!(
        service.read(0, LONG_WAIT).await.unwrap(),
        text_outcome(1, "one")
    );
    platform_server.stop().await;
    assert!(service.read(0, Duration::ZERO).await.is_err());
}

#[tokio::test]
async fn the_vm_list_is_parsed_and_an_unknown_state_is_an_error() {
    let (platform, platform_server, _) = start_platform().await;
    let vm_list = VmListClient::new(platform_server.addr());
    let vm = |state: &str| FakeVm {
        name: "vm-1".into(),
        ip: [127, 0, 0, 2].into(),
        zone: "a".into(),
        state: state.into(),
    };
    platform.set_vms(vec![vm("live"), vm("leaving")]);
    let vms = vm_list.fetch().await.unwrap();
    let states: Vec<VmState> = vms.iter().map(|vm| vm.state).collect();
    assert_eq!(states, [VmState::Live, VmState::Leaving]);
    platform.set_vms(vec![vm("gone")]);
    assert!(matches!(
        vm_list.fetch().await,
        Err(VmListError::Malformed(_))
    ));
    platform_server.stop().await;
}
