//! Another gateway process, whose replies the test chooses.

use std::{
    future::Future,
    net::SocketAddr,
    time::Duration, //
};

use limpet_gateway::members::Announcement;
use limpet_peer::PeerServer;
use limpet_types::{
    codec,
    message::{
        PeerReply,
        PeerRequest, //
    },
};
use tokio::{
    net::{
        TcpListener,
        UdpSocket, //
    },
    task::JoinHandle,
    time::sleep,
};

use super::{
    PEER_PORT,
    regular_report, //
};

/// Time between two reports of a fake peer.
const REPORT_INTERVAL: Duration = Duration::from_millis(20);

/// A process that reports to others and announces itself to them.
pub(crate) struct FakePeer {
    pub(crate) addr: SocketAddr,
    report_task: JoinHandle<()>,
    _server: Option<PeerServer>,
    /// Accepts connections that nobody serves.
    _listener: Option<TcpListener>,
}

impl Drop for FakePeer {
    fn drop(&mut self) {
        self.report_task.abort();
    }
}

impl FakePeer {
    /// Starts a peer at `ip` that answers requests with `handler`.
    pub(crate) async fn start<F>(
        ip: &str,
        capacity_cores: f64,
        report_to: &[SocketAddr],
        handler: impl Fn(PeerRequest) -> F + Send + Sync + 'static,
    ) -> Self
    where
        F: Future<Output = PeerReply> + Send + 'static,
    {
        let listener = TcpListener::bind((ip, PEER_PORT)).await.unwrap();
        let addr = listener.local_addr().unwrap();
        Self {
            addr,
            report_task: spawn_reports(addr, capacity_cores, report_to).await,
            _server: Some(limpet_peer::serve(listener, handler)),
            _listener: None,
        }
    }

    /// Starts a peer that reports but never answers, as if it were frozen.
    pub(crate) async fn start_frozen(
        ip: &str,
        capacity_cores: f64,
        report_to: &[SocketAddr],
    ) -> Self {
        let listener = TcpListener::bind((ip, PEER_PORT)).await.unwrap();
        let addr = listener.local_addr().unwrap();
        Self {
            addr,
            report_task: spawn_reports(addr, capacity_cores, report_to).await,
            _server: None,
            _listener: Some(listener),
        }
    }
}

/// Sends reports and announcements of the process at `addr` until the task is aborted.
async fn spawn_reports(
    addr: SocketAddr,
    capacity_cores: f64,
    report_to: &[SocketAddr],
) -> JoinHandle<()> {
    let socket = UdpSocket::bind(addr).await.unwrap();
    let report = regular_report(rand::random(), addr);
    let report = codec::encode(&report).unwrap();
    let announcement = Announcement {
        addr,
        zone: "zone-a".into(),
        capacity_cores,
    };
    let announcement = announcement.encode().unwrap();
    let report_to = report_to.to_vec();
    tokio::spawn(async move {
        loop {
            for to in &report_to {
                let _ = socket.send_to(&report, to).await;
                let _ = socket.send_to(&announcement, to).await;
            }
            sleep(REPORT_INTERVAL).await;
        }
    })
}
