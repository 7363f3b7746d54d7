//! Guards against cancellations that do not reach the handler, errors that wrongly report a request as
//! not sent, and the reuse of connections that no longer deliver data.

use std::{
    net::SocketAddr,
    sync::Arc,
    time::Duration, //
};

use bytes::Bytes;
use limpet_peer::{
    GuardedReply,
    PeerClient,
    PeerErrorKind,
    PeerServer,
    serve, //
};
use limpet_types::{
    codec,
    message::{
        GatherReply,
        PeerReply,
        PeerRequest, //
    },
};
use tokio::{
    net::{
        TcpListener,
        TcpSocket,
        TcpStream, //
    },
    sync::Notify, //
};

/// How long a test waits for a step that should succeed before the test fails.
const TEST_TIMEOUT: Duration = Duration::from_secs(20);

async fn bind_listener() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap();
    (listener, addr)
}

/// Starts a server that answers each request with [`PeerReply::Unsupported`].
async fn start_server_replying_unsupported() -> (PeerServer, SocketAddr) {
    let (listener, addr) = bind_listener().await;
    (serve(listener, |_| async { PeerReply::Unsupported }), addr)
}

#[tokio::test]
async fn a_call_gets_its_reply_and_both_sides_stop() {
    let (server, addr) = start_server_replying_unsupported().await;
    let client = PeerClient::new();
    let reply = client
        .call(addr, &PeerRequest::Status, TEST_TIMEOUT)
        .await
        .unwrap();
    assert_eq!(reply, PeerReply::Unsupported);
    client.close().await;
    server.stop().await;
}

#[tokio::test]
async fn a_refused_connection_is_reported_as_not_sent() {
    let (listener, addr) = bind_listener().await;
    drop(listener);
    let error = PeerClient::new()
        .call(addr, &PeerRequest::Status, TEST_TIMEOUT)
        .await
        .unwrap_err();
    assert_eq!(error.kind, PeerErrorKind::ConnectionRefused);
    assert!(error.is_not_sent());
}

/// Notifies when it is dropped.
struct NotifyOnDrop(Arc<Notify>);

impl Drop for NotifyOnDrop {
    fn drop(&mut self) {
        self.0.notify_one();
    }
}

/// Answers each call with a reply of `reply_bytes`; the signal tells that the guard of a reply is dropped.
fn serve_guarded_reply(listener: TcpListener, reply_bytes: usize) -> (PeerServer, Arc<Notify>) {
    let drop_signal = Arc::new(Notify::new());
    let handler_drop_signal = Arc::clone(&drop_signal);
    let server = serve(listener, move |_| {
        let guard = NotifyOnDrop(Arc::clone(&handler_drop_signal));
        let reply = GatherReply::Gathered {
            signatures: Vec::new(),
            missing_count: 0,
            body: vec![0; reply_bytes],
        };
        async move {
            GuardedReply {
                reply: PeerReply::Gather(reply),
                guard: Some(Box::new(guard)),
            }
        }
    });
    (server, drop_signal)
}

/// Guards against a peer that was suspended and keeps the memory of the replies to it for good: its kernel keeps the
/// connection open.
#[tokio::test(start_paused = true)]
async fn a_reply_to_a_peer_that_reads_nothing_is_dropped() {
    const REPLY_BYTES: usize = 1 << 20;
    let (listener, addr) = bind_listener().await;
    let (server, drop_signal) = serve_guarded_reply(listener, REPLY_BYTES);
    let stream = TcpStream::connect(addr).await.unwrap();
    let (mut sender, connection) = h2::client::handshake(stream).await.unwrap();
    let driver = tokio::spawn(connection);
    let (response, mut body) = sender.send_request(http::Request::new(()), false).unwrap();
    let request = codec::encode(&PeerRequest::Status).unwrap();
    body.send_data(Bytes::from(request), true).unwrap();
    // The body is not read, so its flow-control window stays closed.
    let _unread = response.await.unwrap();
    tokio::time::timeout(TEST_TIMEOUT, drop_signal.notified())
        .await
        .expect("the reply was not dropped");
    driver.abort();
    drop(sender);
    server.stop().await;
}

/// Starts a server with a small send buffer that answers each request with `reply_bytes`, and sends it a request on a connection
/// with the window sizes of [`PeerClient`]. The connection is driven only until the reply begins; the signal tells that the
/// guard of the reply is dropped.
async fn start_unread_reply(
    reply_bytes: usize,
) -> (
    PeerServer,
    Arc<Notify>,
    h2::RecvStream,
    impl Future<Output = Result<(), h2::Error>> + Send,
) {
    const WINDOW_BYTES: u32 = 2 << 20;
    const SOCKET_BUFFER_BYTES: u32 = 16 << 10;
    let socket = TcpSocket::new_v4().unwrap();
    socket.set_send_buffer_size(SOCKET_BUFFER_BYTES).unwrap();
    socket.bind("127.0.0.1:0".parse().unwrap()).unwrap();
    // Accepted connections inherit the size of the buffer.
    let listener = socket.listen(16).unwrap();
    let addr = listener.local_addr().unwrap();
    let (server, drop_signal) = serve_guarded_reply(listener, reply_bytes);
    let socket = TcpSocket::new_v4().unwrap();
    socket.set_recv_buffer_size(SOCKET_BUFFER_BYTES).unwrap();
    let stream = socket.connect(addr).await.unwrap();
    let (mut sender, connection) = h2::client::Builder::new()
        .initial_window_size(WINDOW_BYTES)
        .initial_connection_window_size(WINDOW_BYTES * 4)
        .handshake::<_, Bytes>(stream)
        .await
        .unwrap();
    let mut connection = Box::pin(connection);
    let (response, mut body) = sender.send_request(http::Request::new(()), false).unwrap();
    let request = codec::encode(&PeerRequest::Status).unwrap();
    body.send_data(Bytes::from(request), true).unwrap();
    let response = tokio::select! {
        _ = &mut connection => panic!("the connection ended"),
        response = response => response.unwrap(),
    };
    (server, drop_signal, response.into_body(), connection)
}

/// Guards against a reply that counts as sent once h2 has queued it, although its bytes still occupy memory.
#[tokio::test]
async fn a_guard_lives_until_the_queued_bytes_of_the_reply_are_sent() {
    const REPLY_BYTES: usize = 300 << 10;
    let (server, drop_signal, mut body, connection) = start_unread_reply(REPLY_BYTES).await;
    // Gives the request, and what fits into the buffers of the sockets, time to arrive.
    tokio::time::timeout(Duration::from_millis(300), drop_signal.notified())
        .await
        .expect_err("the guard was dropped before the reply was sent");
    let driver = tokio::spawn(connection);
    let mut received_bytes = 0;
    while let Some(chunk) = body.data().await {
        let chunk = chunk.unwrap();
        received_bytes += chunk.len();
        body.flow_control().release_capacity(chunk.len()).unwrap();
    }
    assert!(received_bytes > REPLY_BYTES, "{received_bytes} bytes");
    tokio::time::timeout(TEST_TIMEOUT, drop_signal.notified())
        .await
        .expect("the guard was not dropped after the reply was sent");
    drop(body);
    driver.abort();
    server.stop().await;
}

/// Guards against a suspended peer that keeps the memory of a reply which h2 has queued as a whole: its windows are open, but
/// its kernel accepts nothing.
#[tokio::test(start_paused = true)]
async fn a_queued_reply_to_a_suspended_peer_is_dropped() {
    let (server, drop_signal, body, connection) = start_unread_reply(300 << 10).await;
    tokio::time::timeout(TEST_TIMEOUT, drop_signal.notified())
        .await
        .expect("the reply was not dropped");
    drop((body, connection));
    server.stop().await;
}

/// Serves calls without ever replying; returns the server, and the signals of the start and the end of a handler.
fn serve_without_reply(listener: TcpListener) -> (PeerServer, Arc<Notify>, Arc<Notify>) {
    let (start_signal, drop_signal) = (Arc::new(Notify::new()), Arc::new(Notify::new()));
    let (handler_start_signal, handler_drop_signal) =
        (Arc::clone(&start_signal), Arc::clone(&drop_signal));
    let server = serve(listener, move |_| {
        let guard = NotifyOnDrop(Arc::clone(&handler_drop_signal));
        let start_signal = Arc::clone(&handler_start_signal);
        async move {
            let _guard = guard;
            start_signal.notify_one();
            std::future::pending::<PeerReply>().await
        }
    });
    (server, start_signal, drop_signal)
}

/// Guards against a stop that waits for streams and connections which do not end, and against tasks that outlive it.
#[tokio::test]
async fn a_stop_by_a_time_ends_the_streams_in_flight() {
    let (listener, addr) = bind_listener().await;
    let (server, start_signal, drop_signal) = serve_without_reply(listener);
    let _silent = TcpStream::connect(addr).await.unwrap();
    let client = PeerClient::new();
    let calling_client = client.clone();
    let call = tokio::spawn(async move {
        calling_client
            .call(addr, &PeerRequest::Status, TEST_TIMEOUT)
            .await
    });
    start_signal.notified().await;
    let close_at = tokio::time::Instant::now() + Duration::from_millis(50);
    tokio::time::timeout(TEST_TIMEOUT, server.stop_by(close_at))
        .await
        .expect("the server did not stop");
    // The permit is stored already, since the stop joined the task of the handler.
    let dropped = tokio::time::timeout(Duration::ZERO, drop_signal.notified());
    assert!(dropped.await.is_ok(), "the handler outlived the stop");
    assert!(call.await.unwrap().is_err());
    client.close().await;
}

#[tokio::test]
async fn a_dropped_call_cancels_the_handler() {
    let (listener, addr) = bind_listener().await;
    let (server, start_signal, drop_signal) = serve_without_reply(listener);
    let client = PeerClient::new();
    tokio::select! {
        _ = client.call(addr, &PeerRequest::Status, TEST_TIMEOUT) => panic!("unexpected end of the call"),
        () = start_signal.notified() => {}
    }
    tokio::time::timeout(TEST_TIMEOUT, drop_signal.notified())
        .await
        .expect("the handler was not cancelled");
    client.close().await;
    server.stop().await;
}

#[tokio::test]
async fn a_timeout_is_not_reported_as_not_sent_and_the_next_call_opens_a_new_connection() {
    let (listener, addr) = bind_listener().await;
    let client = PeerClient::new();
    let silent_server = tokio::spawn(async move {
        let (first, _) = listener.accept().await.unwrap();
        // The client sends the request without waiting for the handshake of the server, so the
        // first connection receives a request that is never answered.
        let (second, _) = listener.accept().await.unwrap();
        (first, second)
    });
    let timeout = Duration::from_millis(50);
    let error = client
        .call(addr, &PeerRequest::Status, timeout)
        .await
        .unwrap_err();
    assert_eq!(error.kind, PeerErrorKind::Timeout);
    assert!(!error.is_not_sent());
    let _ = client.call(addr, &PeerRequest::Status, timeout).await;
    tokio::time::timeout(TEST_TIMEOUT, silent_server)
        .await
        .expect("the client opened no second connection")
        .unwrap();
}

/// Guards against a peer that is slow to react, and still gets and runs a request that the caller has taken back
/// to run it elsewhere.
#[tokio::test]
async fn a_request_is_not_sent_to_a_peer_that_does_not_react() {
    let (listener, addr) = bind_listener().await;
    let slow_peer = tokio::spawn(async move {
        let (stream, _) = listener.accept().await.unwrap();
        let mut connection = h2::server::handshake(stream).await.unwrap();
        let (request, _responder) = connection.accept().await.unwrap().unwrap();
        // The connection has to be polled for the stream to make progress.
        let drive = tokio::spawn(async move { while connection.accept().await.is_some() {} });
        let received = request.into_body().data().await;
        drive.abort();
        received.is_some_and(|data| data.is_ok())
    });
    let error = PeerClient::new()
        .call_with_accept_timeout(
            addr,
            &PeerRequest::Status,
            Duration::from_millis(50),
            TEST_TIMEOUT,
        )
        .await
        .unwrap_err();
    assert_eq!(error.kind, PeerErrorKind::NotAccepted);
    assert!(error.is_not_sent());
    let has_received_request = tokio::time::timeout(TEST_TIMEOUT, slow_peer).await;
    assert!(!has_received_request.unwrap().unwrap());
}

/// Guards against a healthy peer that counts as unresponsive because the caller itself did not run for a while, as
/// when its share of the processor is used up.
#[tokio::test]
async fn a_stall_of_the_caller_is_not_taken_for_a_peer_that_does_not_react() {
    let (addr_sender, addr_receiver) = tokio::sync::oneshot::channel();
    // The server has a thread of its own, so that it runs during the stall.
    std::thread::spawn(move || {
        let runtime = tokio::runtime::Runtime::new().unwrap();
        runtime.block_on(async {
            let (_server, addr) = start_server_replying_unsupported().await;
            addr_sender.send(addr).unwrap();
            std::future::pending::<()>().await;
        });
    });
    let addr = addr_receiver.await.unwrap();
    let client = PeerClient::new();
    let opened = client.call(addr, &PeerRequest::Status, TEST_TIMEOUT).await;
    assert_eq!(opened.unwrap(), PeerReply::Unsupported);
    let accept_timeout = Duration::from_millis(40);
    for _ in 0..20 {
        let call = client.call_with_accept_timeout(
            addr,
            &PeerRequest::Status,
            accept_timeout,
            TEST_TIMEOUT,
        );
        let stall = async { std::thread::sleep(accept_timeout * 2) };
        let (reply, ()) = tokio::join!(call, stall);
        assert_eq!(reply.unwrap(), PeerReply::Unsupported);
    }
}
