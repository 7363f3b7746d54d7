//! Waiting until a fleet reaches a state.

use std::{
    net::SocketAddr,
    time::Duration, //
};

use bytes::Bytes;
use http::Request;
use http_body_util::{
    BodyExt,
    Empty, //
};
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use limpet_types::status::StatusDocument;
use tokio::net::TcpStream;

use crate::{
    fleet::{
        Fleet, FleetError, HistoryRecorder, Query, Role,
        fleet_layout::VM_COUNT,
        running_fleet::{
            WAIT_TIMEOUT,
            timeout_error,
            vm_ip, //
        },
    },
    history::HistoryRecord,
};

/// Interval between two requests to a process while waiting.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

impl Fleet {
    /// Repeats a query of the team `probe` until the entry answers it completely.
    ///
    /// # Errors
    ///
    /// Fails when the entry gives no complete answer within the timeout.
    pub async fn wait_until_complete(&self, vm_index: usize, kind: &str) -> Result<(), FleetError> {
        let mut caller = self.caller(vm_index);
        let query = Query::new(kind, "probe");
        let answered = async {
            while !caller
                .send(&query)
                .await
                .is_some_and(|response| response.is_complete())
            {
                tokio::time::sleep(POLL_INTERVAL).await;
            }
        };
        let awaited = format!("a complete {kind} answer from entry {vm_index}");
        tokio::time::timeout(WAIT_TIMEOUT, answered)
            .await
            .map_err(|_| timeout_error(&awaited))
    }

    /// Waits until callers have received `count` more answers with status 200.
    ///
    /// # Errors
    ///
    /// Fails when fewer answers come within the timeout.
    pub async fn wait_for_answers(&self, count: usize) -> Result<(), FleetError> {
        let is_match =
            |record: &HistoryRecord| matches!(record, HistoryRecord::Response { status: 200, .. });
        self.recorder
            .wait_for("answers", count, WAIT_TIMEOUT, is_match)
            .await
    }

    /// Waits until a caller receives an answer with status 200 at least `delay` from now.
    ///
    /// # Errors
    ///
    /// Fails when none comes within the timeout.
    pub async fn wait_for_answer_after(&self, delay: Duration) -> Result<(), FleetError> {
        let from_us = HistoryRecorder::now_us() + delay.as_micros() as u64;
        let is_match = |record: &HistoryRecord| match record {
            HistoryRecord::Response { status, at_us, .. } => *status == 200 && *at_us >= from_us,
            _ => false,
        };
        let awaited = "an answer after the delay";
        self.recorder
            .wait_for(awaited, 1, WAIT_TIMEOUT, is_match)
            .await
    }

    /// Waits until a caller receives a refusal with this code.
    ///
    /// # Errors
    ///
    /// Fails when none comes within the timeout.
    pub async fn wait_for_refusal(&self, code: &str) -> Result<(), FleetError> {
        let is_match = |record: &HistoryRecord| match record {
            HistoryRecord::Response { body, .. } => body.code.as_deref() == Some(code),
            _ => false,
        };
        self.recorder
            .wait_for(code, 1, WAIT_TIMEOUT, is_match)
            .await
    }

    /// Waits until entry 0 reports the coordinator of the first lease group, and returns the index of the
    /// VM whose relay this coordinator is.
    ///
    /// # Errors
    ///
    /// Fails when entry 0 reports no coordinator within the timeout.
    pub async fn wait_for_coordinator(&self) -> Result<usize, FleetError> {
        let coordinator = async {
            loop {
                let status = fetch_status(self.admin_addr(Role::Entry, 0)).await;
                let vm_index = status.and_then(|status| {
                    let node = status.coordinators.first()?.node.clone();
                    (0..VM_COUNT)
                        .find(|vm_index| node.starts_with(&format!("{}:", vm_ip(*vm_index))))
                });
                match vm_index {
                    Some(vm_index) => return vm_index,
                    None => tokio::time::sleep(POLL_INTERVAL).await,
                }
            }
        };
        tokio::time::timeout(WAIT_TIMEOUT, coordinator)
            .await
            .map_err(|_| timeout_error("a coordinator"))
    }
}

/// Fetches the status document from the admin address of a process.
async fn fetch_status(addr: SocketAddr) -> Option<StatusDocument> {
    let stream = TcpStream::connect(addr).await.ok()?;
    let (mut connection, driver) = http1::handshake(TokioIo::new(stream)).await.ok()?;
    tokio::spawn(driver);
    let request = Request::get("/status").header("host", addr.to_string());
    let request = request.body(Empty::<Bytes>::new()).ok()?;
    let response = connection.send_request(request).await.ok()?;
    let body = response.into_body().collect().await.ok()?.to_bytes();
    serde_json::from_slice(&body).ok()
}
