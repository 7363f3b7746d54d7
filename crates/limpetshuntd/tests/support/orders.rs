//! A fake relay for orders, and forwarding of orders between two entries.

use std::{
    sync::{
        Arc,
        atomic::{
            AtomicUsize,
            Ordering, //
        },
    },
    time::Duration,
};

use limpet_peer::{
    PeerServer,
    serve, //
};
use limpet_types::{
    NodeRecord, Phase, Role,
    message::{
        PeerReply,
        PeerRequest, //
    },
};
use limpetshuntd::{
    blackboard::{
        Member,
        Members, //
    },
    entry::EntryLimits,
};
use tokio::{
    net::TcpListener,
    sync::{
        Notify,
        Semaphore, //
    },
};

use super::{
    AttemptHandler,
    CallerConnection,
    CallerResponse,
    EntryFixture,
    answering_reply,
    attempt_handler,
    test_config, //
};

/// Fake relay that counts the attempts that it starts, and replies to each once a permit is available.
#[derive(Clone)]
pub struct OrderRelay {
    /// Number of attempts that started.
    pub run_count: Arc<AtomicUsize>,
    /// Notified when an attempt starts.
    pub run_started: Arc<Notify>,
    /// Each reply uses up one permit.
    pub reply_permits: Arc<Semaphore>,
}

impl OrderRelay {
    /// A relay with more reply permits than any test needs.
    pub fn unblocked() -> Self {
        Self::with_reply_permits(1000)
    }

    /// A relay that replies to this many attempts before the test must add permits.
    pub fn with_reply_permits(permit_count: usize) -> Self {
        Self {
            run_count: Arc::default(),
            run_started: Arc::default(),
            reply_permits: Arc::new(Semaphore::new(permit_count)),
        }
    }

    /// Returns the handler of the attempts that reach this relay.
    pub fn handler(&self) -> AttemptHandler {
        let relay = self.clone();
        attempt_handler(move |request| {
            let relay = relay.clone();
            async move {
                let run_index = relay.run_count.fetch_add(1, Ordering::SeqCst);
                relay.run_started.notify_one();
                relay.reply_permits.acquire().await.unwrap().forget();
                answering_reply(&request, run_index as u64, true)
            }
        })
    }

    /// Returns the number of attempts that started.
    pub fn run_count(&self) -> usize {
        self.run_count.load(Ordering::SeqCst)
    }
}

/// Starts an entry with two shards and one relay.
pub async fn start_fixture(handler: AttemptHandler) -> EntryFixture {
    EntryFixture::start(test_config(2, 1), vec![handler], EntryLimits::default()).await
}

/// Places the order for record `r1` under a ticket.
pub async fn place_order(caller: &mut CallerConnection, ticket: &str) -> CallerResponse {
    let headers = [("x-limpet-record", "r1"), ("x-limpet-ticket", ticket)];
    caller.send("order", &headers).await
}

/// Starts a server that runs forwarded orders at `issuer`, and announces its address to `forwarder` as the
/// peer address of `issuer`.
///
/// Returns the server, and `ticket` with that address, as callers of `forwarder` must send it.
pub async fn serve_forwarded_orders(
    issuer: &EntryFixture,
    forwarder: &EntryFixture,
    ticket: &str,
) -> (PeerServer, String) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let forward_addr = listener.local_addr().unwrap();
    let entry = Arc::clone(&issuer.entry);
    let issuer_node = issuer.board.node;
    let server = serve(listener, move |request| {
        let entry = Arc::clone(&entry);
        async move {
            let PeerRequest::ForwardOrder(mut order) = request else {
                return PeerReply::Unsupported;
            };
            // The issuer does not know the address of this server, and issues tickets with another one.
            order.ticket = order
                .ticket
                .replace(&forward_addr.to_string(), &issuer_node.addr.to_string())
                .into();
            PeerReply::ForwardOrder(entry.run_forwarded_order(order).await)
        }
    });
    let mut forwarded_node = issuer_node;
    forwarded_node.addr = forward_addr;
    let record = NodeRecord {
        node: forwarded_node,
        role: Role::Entry,
        zone: "z1".into(),
        phase: Phase::Serving,
        revision: 1,
        coordinated_groups: vec![],
        version: 1,
        age: Duration::ZERO,
    };
    let member = Member {
        record,
        last_seen_at: Duration::ZERO,
    };
    forwarder
        .board
        .members
        .store(Arc::new(Members::default().with_member(member)));
    (
        server,
        ticket.replace(&issuer_node.addr.to_string(), &forward_addr.to_string()),
    )
}
