//! The measured tier: one entry and one relay that run in this process.

use std::{
    net::SocketAddr,
    time::Duration, //
};

use bytes::Bytes;
use clap::Parser as _;
use http::Request;
use http_body_util::Full;
use limpet_fakes::platform::{
    FakePlatform,
    FakePlatformServer,
    FakeVm, //
};
use limpetshuntd::{
    Settings,
    daemon, //
};
use tokio::{
    sync::watch,
    task::JoinHandle, //
};

use crate::{
    example::{
        ExampleFleet,
        example_api_key,
        render_config, //
    },
    load::{
        LookupInput,
        PooledClient,
        ResponseClass,
        classify_response, //
    },
    ports::find_free_ports,
};

/// Timeout of the first complete answer. An election, the ownership of the targets and their cold start
/// take seconds.
const READY_TIMEOUT: Duration = Duration::from_secs(60);
/// Interval between queries until the first complete answer.
const READY_RETRY_INTERVAL: Duration = Duration::from_millis(100);
/// Deadline of each query, long enough that slow answers are included in the latencies.
const DEADLINE_MS: u32 = 5_000;

/// Why the tier did not start.
#[derive(Debug, thiserror::Error)]
pub(crate) enum TierError {
    /// The settings of a daemon are invalid.
    #[error("invalid settings: {0}")]
    Settings(#[from] clap::Error),
    /// An address cannot be bound, or too few ports are free.
    #[error("cannot bind an address: {0}")]
    Bind(#[from] std::io::Error),
    /// No query was answered completely in time.
    #[error("no complete answer within {} s", READY_TIMEOUT.as_secs())]
    NotReady,
}

/// A running entry and relay, with a server of the fake platform that they use.
#[derive(Debug)]
pub(crate) struct Tier {
    client: PooledClient,
    stop: watch::Sender<bool>,
    daemon_tasks: Vec<JoinHandle<()>>,
    platform_server: FakePlatformServer,
}

impl Tier {
    /// Starts the tier and waits until it answers a query completely.
    pub(crate) async fn start(fleet: &ExampleFleet, target_port: u16) -> Result<Self, TierError> {
        let platform = FakePlatform::new();
        platform.set_config_text(&render_config(fleet, target_port));
        platform.set_vms(vec![FakeVm {
            name: "vm-1".into(),
            ip: [127, 0, 0, 1].into(),
            zone: "zone-a".into(),
            state: "live".into(),
        }]);
        let platform_server = platform
            .serve(SocketAddr::from(([127, 0, 0, 1], 0)))
            .await?;
        let ports = find_free_ports(5)?;
        let [
            entry_peer_port,
            relay_peer_port,
            entry_admin_port,
            relay_admin_port,
            caller_port,
        ] = ports[..]
        else {
            return Err(std::io::Error::other("too few free ports").into());
        };
        let common_flags = format!(
            "--ip 127.0.0.1 --zone zone-a --entry-peer-port {entry_peer_port} --relay-peer-port \
             {relay_peer_port} --config-service {platform} --vm-list {platform}",
            platform = platform_server.addr(),
        );
        let command_lines = [
            format!("limpetshuntd relay {common_flags} --admin-addr 127.0.0.1:{relay_admin_port}"),
            format!(
                "limpetshuntd entry {common_flags} --admin-addr 127.0.0.1:{entry_admin_port} \
                 --caller-addr 127.0.0.1:{caller_port}"
            ),
        ];
        let stop = watch::Sender::new(false);
        let mut daemon_tasks = Vec::with_capacity(command_lines.len());
        for command_line in &command_lines {
            let settings = Settings::try_parse_from(command_line.split_whitespace())?;
            daemon_tasks.push(tokio::spawn(run_daemon(settings, stop.subscribe())));
        }
        let tier = Self {
            client: PooledClient::new(SocketAddr::from(([127, 0, 0, 1], caller_port))),
            stop,
            daemon_tasks,
            platform_server,
        };
        let readiness = tokio::time::timeout(READY_TIMEOUT, tier.wait_until_ready()).await;
        if readiness.is_err() {
            tier.stop().await;
            return Err(TierError::NotReady);
        }
        Ok(tier)
    }

    async fn wait_until_ready(&self) {
        while !self
            .query(&format!("{:032x}", rand::random::<u128>()))
            .await
        {
            tokio::time::sleep(READY_RETRY_INTERVAL).await;
        }
    }

    /// Sends one query and returns whether the answer is complete.
    pub(crate) async fn query(&self, request_id: &str) -> bool {
        let request = Request::post("/v1/lookups/flat-search")
            .header("host", "entry")
            .header(
                "authorization",
                format!("Bearer {}", example_api_key("bench")),
            )
            .header("x-limpet-request-id", request_id)
            .header("x-limpet-deadline-ms", DEADLINE_MS)
            .body(Full::new(Bytes::from_static(b"query")));
        let Ok(request) = request else { return false };
        let response = self.client.exchange(request).await;
        response.is_ok_and(|response| {
            classify_response(&response, request_id, LookupInput::BodyOnly)
                == ResponseClass::Complete
        })
    }

    /// Drains both daemons and waits until they have stopped.
    pub(crate) async fn stop(self) {
        self.stop.send_replace(true);
        for daemon_task in self.daemon_tasks {
            if let Err(error) = daemon_task.await {
                eprintln!("daemon task failed: {error}");
            }
        }
        self.platform_server.stop().await;
    }
}

/// Runs an entry or a relay until `stopped` is true.
async fn run_daemon(settings: Settings, mut stopped: watch::Receiver<bool>) {
    let shutdown = async move {
        // The daemon also stops when the sender is dropped.
        let _ = stopped.wait_for(|is_stopped| *is_stopped).await;
    };
    if let Err(error) = daemon::run(settings, shutdown).await {
        eprintln!("daemon failed: {error}");
    }
}
