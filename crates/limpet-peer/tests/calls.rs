//! Guards against lost cancellation, wrong "not sent" claims and silent connections kept in use.

use std::{
    net::SocketAddr,
    sync::Arc,
    time::Duration, //
};

use limpet_peer::{
    PeerClient,
    PeerErrorKind,
    PeerServer,
    serve, //
};
use limpet_types::message::{
    PeerReply,
    PeerRequest, //
};
use tokio::{
    net::TcpListener,
    sync::Notify, //
};

const LONG: Duration = Duration::from_secs(20);

async fn listener() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap();
    (listener, addr)
}

async fn echo_server() -> (PeerServer, SocketAddr) {
    let (listener, addr) = listener().await;
    (serve(listener, |_| async { PeerReply::Unsupported }), addr)
}

#[tokio::test]
async fn a_call_gets_its_reply_and_both_sides_stop() {
    let (server, addr) = echo_server().await;
    let client = PeerClient::new();
    let reply = client.call(addr, &PeerRequest::Status, LONG).await.unwrap();
    assert_eq!(reply, PeerReply::Unsupported);
    client.close().await;
    server.stop().await;
}

#[tokio::test]
async fn a_refused_connection_is_reported_as_not_sent() {
    let (listener, addr) = listener().await;
    drop(listener);
    let error = PeerClient::new()
        .call(addr, &PeerRequest::Status, LONG)
        .await
        .unwrap_err();
    assert_eq!(error.kind, PeerErrorKind::ConnectionRefused);
    assert!(error.is_not_sent());
}

#[tokio::test]
async fn a_dropped_call_cancels_the_handler() {
    struct OnDrop(Arc<Notify>);
    impl Drop for OnDrop {
        fn drop(&mut self) {
            self.0.notify_one();
        }
    }
    let (listener, addr) = listener().await;
    let (started, dropped) = (Arc::new(Notify::new()), Arc::new(Notify::new()));
    let (started_in, dropped_in) = (Arc::clone(&started), Arc::clone(&dropped));
    let server = serve(listener, move |_| {
        let guard = OnDrop(Arc::clone(&dropped_in));
        let started = Arc::clone(&started_in);
        async move {
            let _guard = guard;
            started.notify_one();
            std::future::pending::<PeerReply>().await
        }
    });
    let client = PeerClient::new();
    tokio::select! {
        _ = client.call(addr, &PeerRequest::Status, LONG) => panic!("the handler never replies"),
        () = started.notified() => {}
    }
    tokio::time::timeout(LONG, dropped.notified())
        .await
        .expect("handler was not cancelled");
    client.close().await;
    server.stop().await;
}

#[tokio::test]
async fn a_timeout_on_a_silent_connection_is_not_called_not_sent_and_opens_a_new_one() {
    let (listener, addr) = listener().await;
    let client = PeerClient::new();
    let silent = tokio::spawn(async move {
        let (first, _) = listener.accept().await.unwrap();
        // The handshake of the client does not wait for the server, so the first connection
        // swallows the request; the second one is accepted next.
        let (second, _) = listener.accept().await.unwrap();
        (first, second)
    });
    let short = Duration::from_millis(50);
    let error = client
        .call(addr, &PeerRequest::Status, short)
        .await
        .unwrap_err();
    assert_eq!(error.kind, PeerErrorKind::Timeout);
    assert!(!error.is_not_sent());
    let _ = client.call(addr, &PeerRequest::Status, short).await;
    tokio::time::timeout(LONG, silent)
        .await
        .expect("no second connection")
        .unwrap();
}
