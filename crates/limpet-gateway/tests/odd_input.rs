//! Odd bytes from callers, other processes and the source: nothing may end the process or stop its other work.

mod support;

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{
            AtomicUsize,
            Ordering, //
        },
    },
    time::{
        Duration,
        Instant, //
    },
};

use http::Method;
use limpet_gateway::{
    Source, gateway,
    members::{
        Announcement,
        Report,
        Welcome, //
    },
    rate::{
        AdmissionCounts,
        TeamAdmissions,
        TeamTokens, //
    },
};
use limpet_types::{
    codec,
    deployment::Idempotency, //
};
use rand::{
    Rng,
    SeedableRng,
    rngs::StdRng, //
};
use support::{
    Behaviour,
    Deployment,
    FakeTarget,
    PEER_PORT,
    RunningGateway,
    call,
    config,
    get,
    header_names,
    regular_report,
    route,
    settings,
    target_record,
    unused_loopback_ip, //
};
use tokio::{
    io::{
        AsyncReadExt,
        AsyncWriteExt, //
    },
    net::{
        TcpStream,
        UdpSocket, //
    },
    sync::watch,
    time::{
        sleep,
        timeout, //
    },
};

const SEED: u64 = 20_261_204;

async fn start_gateway() -> (RunningGateway, FakeTarget) {
    let target = FakeTarget::always(Behaviour::Answer(200, b"good", Duration::ZERO)).await;
    let deployment = Deployment::new();
    let mut config = config(
        1,
        vec![route("/one/", Idempotency::Idempotent, "s")],
        &["s"],
    );
    config.limits.body_max_bytes = 512 << 10;
    deployment.publish_config(config);
    deployment.publish_target("t", target_record("s", target.addr));
    (RunningGateway::start(&deployment).await, target)
}

async fn check_still_serves(gateway: &RunningGateway) {
    for _ in 0..5 {
        assert_eq!(get(gateway.caller_addr, "/one/a").await.status, 200);
    }
    assert!(gateway.is_ready().await);
}

/// Returns a copy with some bytes changed, removed or added.
fn mutate(bytes: &[u8], rng: &mut StdRng) -> Vec<u8> {
    let mut mutated = bytes.to_vec();
    for _ in 0..rng.random_range(1..6) {
        let index = rng.random_range(0..=mutated.len());
        match rng.random_range(0..4) {
            0 if index < mutated.len() => mutated[index] = rng.random(),
            1 if index < mutated.len() => drop(mutated.drain(index..)),
            2 => mutated.insert(index, rng.random()),
            _ => mutated.extend(std::iter::repeat_n(
                rng.random::<u8>(),
                rng.random_range(0..40),
            )),
        }
    }
    mutated
}

/// Returns a report with extreme values.
fn extreme_report(addr: SocketAddr) -> Report {
    let team: Box<str> = "team-a".into();
    Report {
        node: u64::MAX,
        addr,
        is_leaving: false,
        admissions: AdmissionCounts {
            is_complete: true,
            teams: vec![TeamAdmissions {
                team: team.clone(),
                admitted: u64::MAX,
            }],
        },
        welcome: Some(Welcome {
            processes: usize::MAX,
            team_tokens: vec![TeamTokens {
                team,
                tokens: f64::NAN,
            }],
        }),
        known_addrs: vec![addr; 40],
        strikes: Vec::new(),
    }
}

/// Guards against a datagram that ends the task that exchanges reports, or the process.
#[tokio::test]
async fn odd_datagrams_do_no_harm() {
    let (gateway, _target) = start_gateway().await;
    let socket = UdpSocket::bind("127.0.0.1:0").await.unwrap();
    let mut rng = StdRng::seed_from_u64(SEED);
    let own_addr = socket.local_addr().unwrap();
    let report = codec::encode(&extreme_report(own_addr)).unwrap();
    let announcement = Announcement {
        addr: own_addr,
        zone: "zone-a".into(),
        capacity_cores: f64::NAN,
    };
    let announcement = announcement.encode().unwrap();
    let relayed = [&[0xfe], report.as_slice()].concat();
    for round in 0..1500 {
        let datagram = match round % 5 {
            0 => mutate(&report, &mut rng),
            1 => mutate(&announcement, &mut rng),
            2 => mutate(&relayed, &mut rng),
            3 => vec![0xfe; round % 40],
            _ => (0..rng.random_range(0..300))
                .map(|_| rng.random())
                .collect(),
        };
        socket.send_to(&datagram, gateway.peer_addr).await.unwrap();
        if round % 50 == 0 {
            sleep(Duration::from_millis(1)).await;
        }
    }
    for datagram in [&report, &announcement, &relayed] {
        socket.send_to(datagram, gateway.peer_addr).await.unwrap();
    }
    sleep(Duration::from_millis(400)).await;
    // The process still answers reports: it welcomes a new process.
    let joining = UdpSocket::bind("127.0.0.1:0").await.unwrap();
    let report = Report {
        node: 7,
        welcome: None,
        ..extreme_report(joining.local_addr().unwrap())
    };
    let report = codec::encode(&report).unwrap();
    joining.send_to(&report, gateway.peer_addr).await.unwrap();
    let mut buffer = vec![0; 16 << 10];
    let answer = timeout(Duration::from_secs(2), joining.recv(&mut buffer)).await;
    answer.expect("no report after odd datagrams").unwrap();
    check_still_serves(&gateway).await;
}

/// Guards against a datagram with several marks to pass it on, which processes of a zone would pass to each other, each
/// time to all, until no mark is left.
#[tokio::test]
async fn datagram_is_passed_on_once() {
    let (gateway, _target) = start_gateway().await;
    let neighbour = UdpSocket::bind("127.0.0.1:0").await.unwrap();
    let neighbour_addr = neighbour.local_addr().unwrap();
    let report = regular_report(7, neighbour_addr);
    let announcement = Announcement {
        addr: neighbour_addr,
        zone: "zone-a".into(),
        capacity_cores: 1.0,
    };
    let datagrams = [
        codec::encode(&report).unwrap(),
        announcement.encode().unwrap(),
    ];
    for datagram in datagrams {
        neighbour
            .send_to(&datagram, gateway.peer_addr)
            .await
            .unwrap();
    }
    sleep(Duration::from_millis(100)).await;
    let sender = UdpSocket::bind("127.0.0.1:0").await.unwrap();
    for datagram in [&b"\xfe\xfemarked twice"[..], &b"\xfemarked once"[..]] {
        sender.send_to(datagram, gateway.peer_addr).await.unwrap();
    }
    let mut passed_on = Vec::new();
    let mut buffer = vec![0; 16 << 10];
    while !passed_on.ends_with(&[b"marked once".to_vec()]) {
        let received = timeout(Duration::from_secs(2), neighbour.recv(&mut buffer)).await;
        let size = received.expect("nothing was passed on").unwrap();
        passed_on.push(buffer[..size].to_vec());
    }
    let is_marked = |datagram: &&Vec<u8>| datagram.starts_with(b"\xfe");
    assert_eq!(passed_on.iter().find(is_marked), None);
}

/// Guards against bytes that are no request, on any port, that end the process or hold up other callers.
#[tokio::test]
async fn odd_streams_do_no_harm() {
    let (gateway, _target) = start_gateway().await;
    let mut rng = StdRng::seed_from_u64(SEED);
    let request: &[u8] = b"GET /one/a HTTP/1.1\r\nhost: shop.example\r\nt-id: r\r\nt-key: key-a\r\n\
        t-deadline: 18446744073709551615\r\ntransfer-encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n";
    let peer_preface: &[u8] = b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n\0\0\0\x04\0\0\0\0\0";
    let addrs = [
        gateway.caller_addr,
        gateway.peer_addr,
        gateway.ready_addr,
        gateway.admin_addr,
    ];
    for round in 0..400 {
        let addr = addrs[round % addrs.len()];
        let template = match addr == gateway.peer_addr {
            true => peer_preface,
            false => request,
        };
        let mut stream = TcpStream::connect(addr).await.unwrap();
        // A reset of the connection is a right answer.
        let _ = stream.write_all(&mutate(template, &mut rng)).await;
        if round % 3 == 0 {
            let mut answer = [0; 256];
            let _ = timeout(Duration::from_millis(5), stream.read(&mut answer)).await;
        }
    }
    let endless_head = "x".repeat(4 << 20);
    let mut stream = TcpStream::connect(gateway.caller_addr).await.unwrap();
    let _ = stream.write_all(endless_head.as_bytes()).await;
    check_still_serves(&gateway).await;
}

/// Guards against numbers in a request that a calculation with times cannot hold.
#[tokio::test]
async fn extreme_deadlines_are_answered() {
    let (gateway, _target) = start_gateway().await;
    for deadline in ["0", "18446744073709551615", "-1", "1e9", "NaN", ""] {
        let headers = [("t-key", "key-a"), ("t-deadline", deadline)];
        let reply = call(gateway.caller_addr, Method::GET, "/one/a", &headers, b"").await;
        assert!(
            matches!(reply.status, 200 | 503),
            "{deadline:?}: {}",
            reply.status
        );
    }
    check_still_serves(&gateway).await;
}

/// Guards against callers with large slow bodies that use up the memory: those for which none is left are
/// refused at once, and small requests go on.
#[tokio::test]
async fn slow_large_bodies_share_a_limit() {
    let (gateway, _target) = start_gateway().await;
    let body = vec![b'a'; 300 << 10];
    let head = format!(
        "POST /one/a HTTP/1.1\r\nhost: shop.example\r\nt-id: r\r\nt-key: key-a\r\nt-deadline: 3000\r\n\
         content-length: {}\r\n\r\n",
        body.len() + 1
    );
    let mut streams = Vec::new();
    for _ in 0..10 {
        let mut stream = TcpStream::connect(gateway.caller_addr).await.unwrap();
        stream.write_all(head.as_bytes()).await.unwrap();
        // The last byte never comes. A refused caller's connection may be closed meanwhile.
        let _ = stream.write_all(&body).await;
        streams.push(stream);
    }
    let started = Instant::now();
    let mut refused_count = 0;
    for stream in &mut streams {
        let mut answer = vec![0; 1024];
        if let Ok(Ok(size)) = timeout(Duration::from_millis(100), stream.read(&mut answer)).await {
            let answer = String::from_utf8_lossy(&answer[..size]).to_ascii_lowercase();
            assert!(answer.starts_with("http/1.1 503"), "{answer}");
            assert!(answer.contains("retry-after"), "{answer}");
            refused_count += 1;
        }
    }
    // Three bodies fit into 1 MB.
    assert_eq!(refused_count, 7);
    assert!(started.elapsed() < Duration::from_secs(1));
    check_still_serves(&gateway).await;
    drop(streams);
    sleep(Duration::from_millis(50)).await;
    let reply = call(
        gateway.caller_addr,
        Method::POST,
        "/one/a",
        &[("t-key", "key-a")],
        &[b'a'; 300 << 10],
    );
    assert_eq!(reply.await.status, 200, "the memory was not released");
}

/// Guards against a process that never gets a state again after an unexpected error in the task that keeps it.
#[tokio::test]
async fn panic_while_reading_the_source_is_survived() {
    let target = FakeTarget::always(Behaviour::Answer(200, b"good", Duration::ZERO)).await;
    let deployment = Deployment::new();
    let routes = vec![route("/one/", Idempotency::Idempotent, "s")];
    deployment.publish_config(config(1, routes, &["s"]));
    deployment.publish_target("t", target_record("s", target.addr));
    let inner = deployment.source(&Arc::default());
    let read_count = Arc::new(AtomicUsize::new(0));
    let source = Source {
        read: Box::new(move || {
            let is_first = read_count.fetch_add(1, Ordering::Relaxed) == 0;
            assert!(!is_first, "the test panics in the first read");
            (inner.read)()
        }),
        watch: deployment.source(&Arc::default()).watch,
    };
    let settings = settings(&unused_loopback_ip(), PEER_PORT).await;
    let caller_addr = settings.caller_addr;
    let (_seed_sender, seed_updates) = watch::channel(Vec::new());
    let gateway = tokio::spawn(gateway::run(
        settings,
        header_names(),
        source,
        None,
        seed_updates,
        std::future::pending(),
    ));
    let served = async {
        while TcpStream::connect(caller_addr).await.is_err()
            || get(caller_addr, "/one/a").await.status != 200
        {
            sleep(Duration::from_millis(20)).await;
        }
    };
    timeout(Duration::from_secs(3), served)
        .await
        .expect("the process has no state after the panic");
    gateway.abort();
}
