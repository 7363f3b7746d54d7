//! Guards against misread answers of the platform and against watches that do not wait or not end.

use std::{
    net::SocketAddr,
    time::{
        Duration,
        Instant, //
    },
};

use limpet_adapters::{
    config_service::{
        ConfigService,
        Read,
        ReadError, //
    },
    vm_list::{
        ListError,
        VmList,
        VmState, //
    },
};
use limpet_fakes::platform::{
    FakeVm,
    Frontend,
    Platform, //
};

const ANY: SocketAddr = SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::LOCALHOST), 0);
const LONG: Duration = Duration::from_secs(20);

async fn platform() -> (Platform, Frontend, ConfigService) {
    let platform = Platform::new();
    let frontend = platform.open(ANY).await.unwrap();
    let service = ConfigService::new(frontend.addr());
    (platform, frontend, service)
}

fn text(revision: u64, text: &str) -> Read {
    Read::Text {
        revision,
        text: text.into(),
    }
}

#[tokio::test]
async fn a_read_shows_the_text_and_a_watch_waits_for_the_next() {
    let (platform, frontend, service) = platform().await;
    let none = service.read(0, Duration::ZERO).await.unwrap();
    assert_eq!(none, Read::Unchanged { revision: None });
    platform.set_text("one");
    assert_eq!(service.read(0, LONG).await.unwrap(), text(1, "one"));
    let wait = Duration::from_millis(50);
    let started = Instant::now();
    let same = service.read(1, wait).await.unwrap();
    assert_eq!(same, Read::Unchanged { revision: Some(1) });
    assert!(started.elapsed() >= wait);
    let watch = tokio::spawn(async move { service.read(1, LONG).await });
    while platform.calls().total < 4 {
        tokio::task::yield_now().await;
    }
    platform.set_text("two");
    assert_eq!(watch.await.unwrap().unwrap(), text(2, "two"));
    assert_eq!(platform.calls().total, 4, "a watch counts as one call");
    frontend.stop().await;
}

#[tokio::test]
async fn a_stale_service_shows_its_old_value() {
    let (platform, frontend, service) = platform().await;
    platform.set_text("one");
    platform.set_text("two");
    platform.set_stale(1);
    assert_eq!(service.read(2, LONG).await.unwrap(), text(1, "one"));
    platform.set_stale(0);
    assert_eq!(service.read(1, LONG).await.unwrap(), text(2, "two"));
    frontend.stop().await;
}

#[tokio::test]
async fn a_service_that_goes_down_ends_the_watch_with_an_error() {
    let (platform, frontend, service) = platform().await;
    platform.set_text("one");
    let watch = tokio::spawn(async move { service.read(1, LONG).await });
    while platform.calls().total < 1 {
        tokio::task::yield_now().await;
    }
    frontend.set_down(true);
    assert!(matches!(watch.await.unwrap(), Err(ReadError::Get(_))));
    assert!(service.read(0, Duration::ZERO).await.is_err());
    frontend.set_down(false);
    assert_eq!(service.read(0, LONG).await.unwrap(), text(1, "one"));
    frontend.stop().await;
    assert!(service.read(0, Duration::ZERO).await.is_err());
}

#[tokio::test]
async fn the_list_is_read_and_an_unknown_state_is_an_error() {
    let (platform, frontend, _) = platform().await;
    let list = VmList::new(frontend.addr());
    let vm = |state: &str| FakeVm {
        name: "vm-1".into(),
        ip: [127, 0, 0, 2].into(),
        zone: "a".into(),
        state: state.into(),
    };
    platform.set_vms(vec![vm("live"), vm("leaving")]);
    let vms = list.fetch().await.unwrap();
    let states: Vec<VmState> = vms.iter().map(|vm| vm.state).collect();
    assert_eq!(states, [VmState::Live, VmState::Leaving]);
    platform.set_vms(vec![vm("gone")]);
    assert!(matches!(list.fetch().await, Err(ListError::Malformed(_))));
    frontend.stop().await;
}
