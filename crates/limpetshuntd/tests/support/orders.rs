//! Orders at a fake relay, and forwarding between two entries.

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
    attempt_handler, //
    test_config,
};

/// Relay side that counts the orders it ran and answers each when the gate lets it.
#[derive(Clone)]
pub struct OrderRelay {
    pub run_count: Arc<AtomicUsize>,
    pub run_started: Arc<Notify>,
    pub reply_permits: Arc<Semaphore>,
}

impl OrderRelay {
    pub fn unblocked() -> Self {
        Self::with_reply_permits(1000)
    }

    pub fn with_reply_permits(permits: usize) -> Self {
        Self {
            run_count: Arc::default(),
            run_started: Arc::default(),
            reply_permits: Arc::new(Semaphore::new(permits)),
        }
    }

    pub fn handler(&self) -> AttemptHandler {
        let orders = self.clone();
        attempt_handler(move |request| {
            let orders = orders.clone();
            async move {
                let run = orders.run_count.fetch_add(1, Ordering::SeqCst);
                orders.run_started.notify_one();
                orders.reply_permits.acquire().await.unwrap().forget();
                answering_reply(&request, run as u64, true)
            }
        })
    }

    pub fn run_count(&self) -> usize {
        self.run_count.load(Ordering::SeqCst)
    }
}

pub async fn start_fixture(handler: AttemptHandler) -> EntryFixture {
    EntryFixture::start(test_config(2, 1), vec![handler], EntryLimits::default()).await
}

pub async fn place_order(caller: &mut CallerConnection, ticket: &str) -> CallerResponse {
    let headers = [("x-limpet-record", "r1"), ("x-limpet-ticket", ticket)];
    caller.send("order", &headers).await
}

/// Serves forwarded orders of `issuer` and makes it known to `other` under that address.
pub async fn serve_forwarded_orders(
    issuer: &EntryFixture,
    other: &EntryFixture,
    ticket: &str,
) -> (PeerServer, String) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap();
    let entry = Arc::clone(&issuer.entry);
    let node = issuer.board.node;
    let server = serve(listener, move |request| {
        let entry = Arc::clone(&entry);
        async move {
            let PeerRequest::ForwardOrder(mut order) = request else {
                return PeerReply::Unsupported;
            };
            // The entries of a test have no fixed peer port: the address differs in the ticket.
            order.ticket = order
                .ticket
                .replace(&addr.to_string(), &node.addr.to_string())
                .into();
            PeerReply::ForwardOrder(entry.run_forwarded_order(order).await)
        }
    });
    let mut at_addr = node;
    at_addr.addr = addr;
    let record = NodeRecord {
        node: at_addr,
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
    other
        .board
        .members
        .store(Arc::new(Members::default().with_member(member)));
    (
        server,
        ticket.replace(&node.addr.to_string(), &addr.to_string()),
    )
}
