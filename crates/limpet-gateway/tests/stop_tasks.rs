//! Tasks of a gateway that stops.

mod support;

use std::{
    sync::{
        Arc,
        Mutex,
        mpsc, //
    },
    time::Duration,
};

use limpet_gateway::{
    Settings,
    gateway, //
};
use limpet_types::deployment::Idempotency;
use support::{
    Behaviour,
    Deployment,
    FakeTarget,
    PEER_PORT,
    config,
    get,
    header_names,
    route,
    settings,
    target_record,
    unused_loopback_ip, //
};
use tokio::{
    io::AsyncWriteExt,
    net::TcpStream,
    sync::{
        oneshot,
        watch, //
    },
    time::{
        Instant,
        sleep,
        timeout, //
    },
};

/// Runs a gateway on a runtime of its own until `stop` resolves; returns the number of its tasks that have not ended then.
fn run_on_own_runtime(
    settings: Settings,
    deployment: &Deployment,
    stop: oneshot::Receiver<()>,
) -> mpsc::Receiver<usize> {
    let source = deployment.source(&Arc::new(Mutex::new(false)));
    let (count_sender, count_receiver) = mpsc::channel();
    std::thread::spawn(move || {
        // One thread: a task that was only told to end has not ended when the gateway returns.
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()
            .unwrap();
        let (_seed_sender, seed_updates) = watch::channel(Vec::new());
        let shutdown = async {
            let _ = stop.await;
        };
        let running = gateway::run(
            settings,
            header_names(),
            source,
            None,
            seed_updates,
            shutdown,
        );
        runtime.block_on(running).unwrap();
        let _ = count_sender.send(runtime.metrics().num_alive_tasks());
    });
    count_receiver
}

/// Guards against tasks of connections that outlive the stop of the process: those of targets, callers, other processes and
/// the admin port, idle and in use.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn no_task_outlives_the_stop() {
    let deployment = Deployment::new();
    let mut routes = vec![
        route("/idle/", Idempotency::Idempotent, "idle"),
        route("/silent/", Idempotency::AtMostOnce, "silent"),
    ];
    routes[1].timeout = Duration::from_secs(10);
    deployment.publish_config(config(1, routes, &["idle", "silent"]));
    let idle = FakeTarget::always(Behaviour::Answer(200, b"good", Duration::from_millis(30))).await;
    let silent = FakeTarget::always(Behaviour::Silent).await;
    deployment.publish_target("idle", target_record("idle", idle.addr));
    deployment.publish_target("silent", target_record("silent", silent.addr));
    let settings = settings(&unused_loopback_ip(), PEER_PORT).await;
    let stop_time = settings.shutdown_timeout;
    let addr = settings.caller_addr;
    let other_addrs = [settings.admin_addr, settings.peer_addr, addr];
    let (stop_sender, stop) = oneshot::channel();
    let task_count = run_on_own_runtime(settings, &deployment, stop);
    let ready = async {
        while TcpStream::connect(addr).await.is_err() || get(addr, "/idle/a").await.status != 200 {
            sleep(Duration::from_millis(10)).await;
        }
    };
    timeout(Duration::from_secs(5), ready).await.unwrap();
    let requests: Vec<_> = (0..8)
        .map(|_| tokio::spawn(async move { get(addr, "/idle/a").await.status }))
        .collect();
    for request in requests {
        assert_eq!(request.await.unwrap(), 200);
    }
    assert!(idle.open_connection_count() > 1);
    let mut hanging = TcpStream::connect(addr).await.unwrap();
    let request = b"POST /silent/a HTTP/1.1\r\nhost: shop.example\r\nt-id: r\r\nt-key: key-a\r\n\
        t-deadline: 9000\r\ncontent-length: 0\r\n\r\n";
    hanging.write_all(request).await.unwrap();
    let mut idle_streams = Vec::new();
    for addr in other_addrs {
        idle_streams.push(TcpStream::connect(addr).await.unwrap());
    }
    while silent.received_requests().is_empty() {
        sleep(Duration::from_millis(5)).await;
    }
    let stop_began = Instant::now();
    stop_sender.send(()).unwrap();
    let task_count = tokio::task::spawn_blocking(move || {
        task_count.recv_timeout(Duration::from_secs(10)).unwrap()
    });
    let task_count = task_count.await.unwrap();
    assert!(
        stop_began.elapsed() < stop_time,
        "{:?}",
        stop_began.elapsed()
    );
    assert_eq!(task_count, 0, "tasks have not ended");
}
