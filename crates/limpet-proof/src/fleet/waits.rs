//! Events that a test waits for.

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
        Fleet, FleetError, Query, Recorder, Role,
        layout::VMS,
        running::{
            LIMIT,
            ip,
            late, //
        },
    },
    history::Record,
};

/// Pause between two questions to a process that is not ready.
const ASK_PAUSE: Duration = Duration::from_millis(50);

impl Fleet {
    /// Repeats a query of the team `probe` until the entry answers it completely.
    ///
    /// # Errors
    ///
    /// Fails when that does not happen within the limit.
    pub async fn until_complete(&self, place: usize, kind: &str) -> Result<(), FleetError> {
        let mut caller = self.caller(place);
        let query = Query::new(kind, "probe");
        let answered = async {
            while !caller.send(&query).await.is_some_and(|r| r.is_complete()) {
                tokio::time::sleep(ASK_PAUSE).await;
            }
        };
        let what = format!("a complete {kind} from entry {place}");
        tokio::time::timeout(LIMIT, answered)
            .await
            .map_err(|_| late(&what))
    }

    /// Waits until callers have got this many more answers with status 200.
    ///
    /// # Errors
    ///
    /// Fails when they do not come within the limit.
    pub async fn until_answers(&self, count: usize) -> Result<(), FleetError> {
        let is_counted = |r: &Record| matches!(r, Record::Answer { status: 200, .. });
        self.recorder
            .until("answers", count, LIMIT, is_counted)
            .await
    }

    /// Waits until a caller has got an answer with status 200 this long from now.
    ///
    /// # Errors
    ///
    /// Fails when none comes within the limit.
    pub async fn until_answer_after(&self, time: Duration) -> Result<(), FleetError> {
        let from_us = Recorder::now_us() + time.as_micros() as u64;
        let is_counted = |r: &Record| match r {
            Record::Answer { status, at_us, .. } => *status == 200 && *at_us >= from_us,
            _ => false,
        };
        let what = "an answer after the pause";
        self.recorder.until(what, 1, LIMIT, is_counted).await
    }

    /// Waits until a caller has got a refusal with this code.
    ///
    /// # Errors
    ///
    /// Fails when none comes within the limit.
    pub async fn until_refused(&self, code: &str) -> Result<(), FleetError> {
        let is_counted = |r: &Record| match r {
            Record::Answer { body, .. } => body.code.as_deref() == Some(code),
            _ => false,
        };
        self.recorder.until(code, 1, LIMIT, is_counted).await
    }

    /// Returns the place of the relay that coordinates the first lease group, as an entry reports it.
    ///
    /// # Errors
    ///
    /// Fails when no entry names one within the limit.
    pub async fn coordinator(&self) -> Result<usize, FleetError> {
        let named = async {
            loop {
                let status = status(self.admin(Role::Entry, 0)).await;
                let named = status.and_then(|status| {
                    let node = status.coordinators.first()?.node.clone();
                    (0..VMS).find(|place| node.starts_with(&format!("{}:", ip(*place))))
                });
                match named {
                    Some(place) => return place,
                    None => tokio::time::sleep(ASK_PAUSE).await,
                }
            }
        };
        tokio::time::timeout(LIMIT, named)
            .await
            .map_err(|_| late("a coordinator"))
    }
}

async fn status(addr: SocketAddr) -> Option<StatusDocument> {
    let stream = TcpStream::connect(addr).await.ok()?;
    let (mut connection, driver) = http1::handshake(TokioIo::new(stream)).await.ok()?;
    tokio::spawn(driver);
    let request = Request::get("/status").header("host", addr.to_string());
    let request = request.body(Empty::<Bytes>::new()).ok()?;
    let response = connection.send_request(request).await.ok()?;
    let body = response.into_body().collect().await.ok()?.to_bytes();
    serde_json::from_slice(&body).ok()
}
